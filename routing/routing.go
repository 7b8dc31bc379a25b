// Package routing is the operator's configuration as the data path uses it:
// which service a request goes to, how long it may take, and what it may cost.
//
// A Configuration is immutable. A request keeps the configuration under which
// it was accepted until it is answered, so that old and new versions serve side
// by side without a lock.
package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"
)

// Target is one service that a route sends requests to, with its weight.
type Target struct {
	Service string
	Weight  int
}

// Kind says what the requests of a route are like. The zero value is the strictest: a request
// that may run once at most.
type Kind struct {
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// LargeBody and LargeAnswer are set if requests, or answers, are far longer than usual.
	LargeBody, LargeAnswer bool
}

// Route says how requests below a path prefix are handled.
type Route struct {
	Name   string
	Prefix string
	Kind
	// Timeout is the longest time to the final answer; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective.
	TargetLatency time.Duration
	// Priority is the rank under overload; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
}

// Service is a group of interchangeable or key-owning backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one server accepts from all hosts together.
	MaxConnections int
	// Keyed services run a request only at the server that owns its key.
	Keyed bool
	// Warmup is how long keys that arrive without a hand-over are slow.
	Warmup time.Duration
	// ColdPerSecond is how many requests a second a cold server bears from all hosts
	// together; 0 if it is not limited.
	ColdPerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version uint64
	// Doubts are what could not be read and was taken for the strictest. They don't keep the
	// rest from being in force.
	Doubts   []error
	Hosts    map[string][]Route
	Services map[string]Service
	Limits   Limits
}

// InvalidError reports a configuration that cannot be put in force.
type InvalidError struct {
	Field, Value, Fix string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration: %s = %q: %s", e.Field, e.Value, e.Fix)
}

// Check returns an *InvalidError for the first fault found.
func (c *Configuration) Check() error {
	for name, service := range c.Services {
		if service.ColdPerSecond < 0 {
			return &InvalidError{Field: "service " + name + " requests a second of a cold server", Value: fmt.Sprint(service.ColdPerSecond), Fix: "must not be negative"}
		}
	}
	for host, routes := range c.Hosts {
		for i := range routes {
			if err := c.checkRoute(host, &routes[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Configuration) checkRoute(host string, route *Route) error {
	where := "route " + host + " " + route.Name
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return &InvalidError{Field: where + " prefix", Value: route.Prefix, Fix: "must begin and end with a slash"}
	}
	if len(route.Targets) == 0 {
		return &InvalidError{Field: where + " targets", Fix: "needs at least one service"}
	}
	total := 0
	for _, target := range route.Targets {
		if _, known := c.Services[target.Service]; !known {
			return &InvalidError{Field: where + " service", Value: target.Service, Fix: "no such service in this version"}
		}
		if target.Weight < 0 {
			return &InvalidError{Field: where + " weight", Value: fmt.Sprint(target.Weight), Fix: "must not be negative"}
		}
		total += target.Weight
	}
	if total == 0 {
		return &InvalidError{Field: where + " weight", Value: "0", Fix: "one weight must be above 0"}
	}
	return nil
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	routes := c.Hosts[host]
	for i := range routes {
		route := &routes[i]
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Pick draws a service of the route in proportion to the weights.
func (r *Route) Pick() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	drawn := rand.IntN(total)
	for _, target := range r.Targets {
		if drawn < target.Weight {
			return target.Service
		}
		drawn -= target.Weight
	}
	return r.Targets[0].Service
}

// InForce holds the configuration in force. It never goes back to an older
// version, whichever source offers it: a late answer of a slow or partitioned
// store must not undo what requests have already been handled under.
type InForce struct{ current atomic.Pointer[Configuration] }

// Current returns the configuration in force, or nil before the first.
func (f *InForce) Current() *Configuration { return f.current.Load() }

// Offer puts a configuration in force if it is newer, and reports whether it did.
func (f *InForce) Offer(offered *Configuration) bool {
	for {
		current := f.current.Load()
		if current != nil && current.Version >= offered.Version {
			return false
		}
		if f.current.CompareAndSwap(current, offered) {
			return true
		}
	}
}
