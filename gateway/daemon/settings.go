// Package daemon runs a gateway as a process: it handles settings, listeners and signals.
package daemon

import (
	"time"

	"cicadarouter/host/settings"
)

// Settings are the settings of cicada-gateway.
type Settings struct {
	// File is the file that the settings were read from.
	File string

	Host, Domain string
	Callers      string
	Ready        string
	Peers        string
	Metrics      string
	Store        string
	LogLevel     string
	// MemoryMB is the memory that the process may use.
	MemoryMB int
	// Processor is the number of processor cores that the host has, and LinkMbps the bandwidth of
	// its link. Small hosts leave the role of controller to larger ones.
	Processor float64
	LinkMbps  float64
	// RetryRatio is the share of requests that may be retried, over all hosts together.
	RetryRatio float64
	// RetryReserve is how many further requests may be retried, over all hosts together; 0 if
	// operators set none.
	RetryReserve float64
	// ByPriority tells for which services the capacity is divided by priority: auto, on or off.
	ByPriority string
	// Seeds are the addresses of other hosts, which a host uses if it starts while the store is
	// unavailable.
	Seeds []string
	// ConfigurationWithin is the time within which a new configuration must be in force,
	// DrainWithin the time after which a draining server must get no new requests.
	ConfigurationWithin, DrainWithin time.Duration
	// EvacuateWithin is the time after which no request may reach the servers of an evacuated
	// failure domain. 0 means that domains are never evacuated, which saves the calls to the store
	// that look for evacuations.
	EvacuateWithin time.Duration
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// LeaveFor is how long the host keeps accepting requests after SIGTERM. The load balancer
	// checks every second and takes a host out after two failed checks.
	LeaveFor time.Duration
	// StopWithin is how long after SIGTERM the process is killed.
	StopWithin time.Duration
}

const (
	addressAllowed = "an IP address and port, such as 127.0.0.1:7001"
	nameAllowed    = "a name that is not empty"
)

// Options returns the options of the settings file.
func (s *Settings) Options() []settings.Option {
	return []settings.Option{
		{Section: "host", Name: "name", Required: true, Allowed: nameAllowed, Set: settings.RequiredText(&s.Host)},
		{Section: "host", Name: "domain", Required: true, Allowed: nameAllowed, Set: settings.RequiredText(&s.Domain)},
		{Section: "host", Name: "memory-mb", Default: "128", Allowed: "16 to 1048576", Set: settings.Int(&s.MemoryMB, 16, 1<<20)},
		{Section: "host", Name: "processor", Default: "1", Allowed: "0.01 to 1024 cores", Set: settings.Float(&s.Processor, 0.01, 1024)},
		{Section: "host", Name: "link-mbps", Default: "1000", Allowed: "1 to 1000000 Mbit/s", Set: settings.Float(&s.LinkMbps, 1, 1e6)},
		{Section: "host", Name: "first-start", Default: "false", Allowed: "true or false", Set: settings.Bool(&s.FirstStart)},
		{Section: "listen", Name: "callers", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Callers)},
		{Section: "listen", Name: "ready", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Ready)},
		{Section: "listen", Name: "peers", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Peers)},
		{Section: "listen", Name: "metrics", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Metrics)},
		{Section: "store", Name: "address", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Store)},
		{Section: "peers", Name: "seeds", Allowed: "IP addresses and ports, separated by commas", Set: settings.Addresses(&s.Seeds)},
		{Section: "changes", Name: "configuration-within", Default: "2s", Allowed: "1s to 1m", Set: settings.Duration(&s.ConfigurationWithin, time.Second, time.Minute)},
		{Section: "changes", Name: "drain-within", Default: "2s", Allowed: "1s to 1m", Set: settings.Duration(&s.DrainWithin, time.Second, time.Minute)},
		{Section: "changes", Name: "evacuate-within", Default: "0s", Allowed: "0s to 1m", Set: settings.Duration(&s.EvacuateWithin, 0, time.Minute)},
		{Section: "retries", Name: "ratio", Default: "0.2", Allowed: "0.001 to 1", Set: settings.Float(&s.RetryRatio, 0.001, 1)},
		{Section: "retries", Name: "reserve", Default: "0", Allowed: "0 to 1000000 requests", Set: settings.Float(&s.RetryReserve, 0, 1e6)},
		{Section: "admission", Name: "by-priority", Default: "auto", Allowed: "auto, on or off", Set: settings.OneOf(&s.ByPriority, "auto", "on", "off")},
		{Section: "stop", Name: "leave-for", Default: "3300ms", Allowed: "0s to 1h", Set: settings.Duration(&s.LeaveFor, 0, time.Hour)},
		{Section: "stop", Name: "within", Default: "6s", Allowed: "1s to 1h", Set: settings.Duration(&s.StopWithin, time.Second, time.Hour)},
		{Section: "log", Name: "level", Default: "info", Allowed: "debug, info, warn or error",
			Set: settings.OneOf(&s.LogLevel, "debug", "info", "warn", "error")},
	}
}

// Load reads and checks the settings file.
func Load(file string) (Settings, error) {
	s := Settings{File: file}
	err := settings.Load(file, s.Options())
	return s, err
}
