// Package daemon runs a gateway as a process: settings, listeners, signals.
package daemon

import (
	"time"

	"cicadarouter/host/settings"
)

// Settings are the settings of cicada-gateway.
type Settings struct {
	// File is where they were read from.
	File string

	Host, Domain string
	Callers      string
	Ready        string
	Peers        string
	Metrics      string
	Store        string
	LogLevel     string
	// MemoryMB is what the process may use.
	MemoryMB int
	// Processor is the share of a core that the host has, and LinkMbps its
	// link's bandwidth. Small hosts leave control to larger ones.
	Processor float64
	LinkMbps  float64
	// RetryRatio is the share of requests that may be sent once more, over all
	// hosts together.
	RetryRatio float64
	// RetryReserve is how many more may be, over all hosts together; 0 if operators name
	// none.
	RetryReserve float64
	// Seeds are addresses of other hosts, for one that starts while the store is away.
	Seeds []string
	// ConfigurationWithin and DrainWithin are the times in which a configuration
	// must be in force, and a leaving server must get nothing more.
	ConfigurationWithin, DrainWithin time.Duration
	// EvacuateWithin is the time after which nothing may reach the servers of an
	// evacuated failure domain; 0 if no domain ever is, which saves the calls that
	// ask for it.
	EvacuateWithin time.Duration
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// LeaveFor is how long the host goes on taking callers after SIGTERM: the
	// balancer asks each second and takes a host out after two misses.
	LeaveFor time.Duration
	// StopWithin is how long after SIGTERM the process is killed.
	StopWithin time.Duration
}

const (
	addressAllowed = "an IP number and port, such as 127.0.0.1:7001"
	nameAllowed    = "a name that is not empty"
)

// Options returns the options of the settings file.
func (s *Settings) Options() []settings.Option {
	return []settings.Option{
		{Section: "host", Name: "name", Required: true, Allowed: nameAllowed, Set: settings.Text(&s.Host)},
		{Section: "host", Name: "domain", Required: true, Allowed: nameAllowed, Set: settings.Text(&s.Domain)},
		{Section: "host", Name: "memory-mb", Default: "128", Allowed: "16 to 1048576", Set: settings.Int(&s.MemoryMB, 16, 1<<20)},
		{Section: "host", Name: "processor", Default: "1", Allowed: "0.01 to 1024 cores", Set: settings.Float(&s.Processor, 0.01, 1024)},
		{Section: "host", Name: "link-mbps", Default: "1000", Allowed: "1 to 1000000 Mbit/s", Set: settings.Float(&s.LinkMbps, 1, 1e6)},
		{Section: "host", Name: "first-start", Default: "false", Allowed: "true or false", Set: settings.Bool(&s.FirstStart)},
		{Section: "listen", Name: "callers", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Callers)},
		{Section: "listen", Name: "ready", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Ready)},
		{Section: "listen", Name: "peers", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Peers)},
		{Section: "listen", Name: "metrics", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Metrics)},
		{Section: "store", Name: "address", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Store)},
		{Section: "peers", Name: "seeds", Allowed: "IP numbers and ports, separated by commas", Set: settings.Addresses(&s.Seeds)},
		{Section: "changes", Name: "configuration-within", Default: "2s", Allowed: "1s to 1m", Set: settings.Duration(&s.ConfigurationWithin, time.Second, time.Minute)},
		{Section: "changes", Name: "drain-within", Default: "2s", Allowed: "1s to 1m", Set: settings.Duration(&s.DrainWithin, time.Second, time.Minute)},
		{Section: "changes", Name: "evacuate-within", Default: "0s", Allowed: "0s to 1m", Set: settings.Duration(&s.EvacuateWithin, 0, time.Minute)},
		{Section: "retries", Name: "ratio", Default: "0.2", Allowed: "0.001 to 1", Set: settings.Float(&s.RetryRatio, 0.001, 1)},
		{Section: "retries", Name: "reserve", Default: "0", Allowed: "0 to 1000000 requests", Set: settings.Float(&s.RetryReserve, 0, 1e6)},
		{Section: "stop", Name: "leave-for", Default: "3300ms", Allowed: "0s to 1h", Set: settings.Duration(&s.LeaveFor, 0, time.Hour)},
		{Section: "stop", Name: "within", Default: "6s", Allowed: "1s to 1h", Set: settings.Duration(&s.StopWithin, time.Second, time.Hour)},
		{Section: "log", Name: "level", Default: "info", Allowed: "debug, info, warn or error",
			Set: settings.Choice(&s.LogLevel, "debug", "info", "warn", "error")},
	}
}

// Load reads and checks the settings file.
func Load(file string) (Settings, error) {
	s := Settings{File: file}
	err := settings.Load(file, s.Options())
	return s, err
}
