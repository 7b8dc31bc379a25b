// Package routing holds the operator's configuration in the form that the request
// path uses: which service a request goes to, how long it may take, and the limits
// that apply to it.
//
// A Configuration is immutable. A request keeps the configuration under which it
// was accepted until it is answered, so that old and new versions are in use side
// by side without a lock.
package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Target is one service that a route sends requests to, with its relative weight.
type Target struct {
	Service string
	Weight  int
}

// Kind describes the requests of a route. The zero value is the strictest: requests
// that may run at most once.
type Kind struct {
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// LargeBody and LargeAnswer are set if request bodies or response bodies are
	// far larger than usual.
	LargeBody, LargeAnswer bool
}

// Route configures the handling of requests under a path prefix.
type Route struct {
	Name   string
	Prefix string
	Kind
	// Timeout is the maximum time to the final response; 0 means no limit.
	Timeout time.Duration
	// TargetLatency is the latency objective.
	TargetLatency time.Duration
	// Priority ranks requests under overload; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts limits the number of backend servers that one request is sent to.
	MaxAttempts int
}

// Service is a group of backend servers that are interchangeable or own keys.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all
	// hosts together.
	MaxConnections int
	// Keyed is set if a request may run only at the server that owns its key.
	Keyed bool
	// Warmup is how long requests for a key are slow at a new owner that took the
	// key over without a handoff.
	Warmup time.Duration
	// ColdStartLimit is the number of requests per second that a cold server can
	// handle from all hosts together; 0 means no limit.
	ColdStartLimit float64
}

// Limits restrict what callers may send and how long they may take for it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version uint64
	// Warnings are errors in entries that could not be read and were replaced by
	// the strictest setting. They do not keep the configuration from taking effect.
	Warnings []error
	Hosts    map[string][]Route
	Services map[string]Service
	Limits   Limits
}

// InvalidError is the error for a configuration that is rejected.
type InvalidError struct {
	Field, Value, Fix string
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration: %s = %q: %s", e.Field, e.Value, e.Fix)
}

// Check returns an *InvalidError for the first invalid field found.
func (c *Configuration) Check() error {
	for name, service := range c.Services {
		if service.ColdStartLimit < 0 {
			return &InvalidError{Field: "service " + name + " requests a second of a cold server", Value: fmt.Sprint(service.ColdStartLimit), Fix: "must not be negative"}
		}
	}
	for host, routes := range c.Hosts {
		for i := range routes {
			if err := c.validateRoute(host, &routes[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Configuration) validateRoute(host string, route *Route) error {
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

// Match returns the route of the host with the longest prefix of the path, or nil.
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

// Priorities returns the priorities of the routes that send requests to a service, in
// increasing order: the most urgent first.
func (c *Configuration) Priorities(service string) []int {
	var priorities []int
	for _, routes := range c.Hosts {
		for i := range routes {
			if routes[i].sendsTo(service) {
				priorities = append(priorities, routes[i].Priority)
			}
		}
	}
	slices.Sort(priorities)
	return slices.Compact(priorities)
}

// DividedByPriority reports whether the capacity of a service is worth dividing by priority: its
// routes include the most urgent priority and a less urgent one.
func (c *Configuration) DividedByPriority(service string) bool {
	priorities := c.Priorities(service)
	return len(priorities) > 1 && priorities[0] == 0
}

func (r *Route) sendsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Service == service && target.Weight > 0 })
}

// PickService returns a random service of the route, in proportion to the weights.
func (r *Route) PickService() string {
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

// ActiveConfiguration holds the configuration that is in force. It never reverts to
// an older version, whichever source that comes from: a late response from a slow
// or partitioned store must not undo a version that requests have already been
// handled under.
type ActiveConfiguration struct{ current atomic.Pointer[Configuration] }

// Current returns the active configuration, or nil before the first.
func (a *ActiveConfiguration) Current() *Configuration { return a.current.Load() }

// Update makes a configuration the active one if it is newer, and reports whether
// it did.
func (a *ActiveConfiguration) Update(offered *Configuration) bool {
	for {
		current := a.current.Load()
		if current != nil && current.Version >= offered.Version {
			return false
		}
		if a.current.CompareAndSwap(current, offered) {
			return true
		}
	}
}
