package host

import (
	"time"

	"cicadarouter/host/settings"
)

// TLSSettings are the PEM files for TLS between processes. Either all are set or none.
type TLSSettings struct {
	Certificate string
	Key         string
	Authority   string
}

// Enabled reports whether connections between processes use TLS.
func (s TLSSettings) Enabled() bool { return s.Certificate != "" }

// ControllerSettings are the settings of cicada-controller.
type ControllerSettings struct {
	Host, Domain string
	Link         string
	Admin        string
	Store        string
	Peers        []string
	LogLevel     string
	TLS          TLSSettings
}

// RouterSettings are the settings of cicada-router.
type RouterSettings struct {
	Host, Domain string
	Callers      string
	Link         string
	Admin        string
	Controllers  []string
	LogLevel     string
	BalancerWait time.Duration
	DrainWait    time.Duration
	InFlight     int
	TLS          TLSSettings
}

const (
	addressAllowed   = "an IP address and port, such as 127.0.0.1:7001"
	addressesAllowed = "IP addresses and ports, separated by commas"
	nameAllowed      = "a name, not empty"
	levelAllowed     = "debug, info, warn or error"
)

func hostOptions(host, domain, level *string) []settings.Option {
	return []settings.Option{
		{Section: "host", Name: "name", Required: true, Allowed: nameAllowed, Set: settings.RequiredText(host)},
		{Section: "host", Name: "domain", Required: true, Allowed: nameAllowed, Set: settings.RequiredText(domain)},
		{Section: "log", Name: "level", Default: "info", Allowed: levelAllowed, Set: settings.OneOf(level, "debug", "info", "warn", "error")},
	}
}

func tlsOptions(keys *TLSSettings) []settings.Option {
	const allowed = "the path of a PEM file"
	return []settings.Option{
		{Section: "tls", Name: "certificate", Allowed: allowed, Set: settings.OptionalText(&keys.Certificate)},
		{Section: "tls", Name: "key", Allowed: allowed, Set: settings.OptionalText(&keys.Key)},
		{Section: "tls", Name: "authority", Allowed: allowed, Set: settings.OptionalText(&keys.Authority)},
	}
}

// checkTLS returns an error unless all three files are given or none.
func checkTLS(file string, keys TLSSettings) error {
	given := 0
	for _, path := range []string{keys.Certificate, keys.Key, keys.Authority} {
		if path != "" {
			given++
		}
	}
	if given == 0 || given == 3 {
		return nil
	}
	return &settings.Error{File: file, Section: "tls", Option: "certificate", Value: keys.Certificate,
		Allowed: "give certificate, key and authority together, or none of them"}
}

// LoadController reads the settings of cicada-controller.
func LoadController(file string) (ControllerSettings, error) {
	var s ControllerSettings
	options := append(hostOptions(&s.Host, &s.Domain, &s.LogLevel), tlsOptions(&s.TLS)...)
	options = append(options,
		settings.Option{Section: "listen", Name: "link", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Link)},
		settings.Option{Section: "listen", Name: "admin", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Admin)},
		settings.Option{Section: "platform", Name: "store", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Store)},
		settings.Option{Section: "platform", Name: "peers", Allowed: addressesAllowed, Set: settings.Addresses(&s.Peers)},
	)
	if err := settings.Load(file, options); err != nil {
		return ControllerSettings{}, err
	}
	return s, checkTLS(file, s.TLS)
}

// LoadRouter reads the settings of cicada-router.
func LoadRouter(file string) (RouterSettings, error) {
	var s RouterSettings
	const maxInFlight = 1_000_000
	options := append(hostOptions(&s.Host, &s.Domain, &s.LogLevel), tlsOptions(&s.TLS)...)
	options = append(options,
		settings.Option{Section: "listen", Name: "callers", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Callers)},
		settings.Option{Section: "listen", Name: "link", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Link)},
		settings.Option{Section: "listen", Name: "admin", Required: true, Allowed: addressAllowed, Set: settings.Address(&s.Admin)},
		settings.Option{Section: "control", Name: "controllers", Required: true, Allowed: addressesAllowed + "; at least one", Set: nonEmpty(settings.Addresses(&s.Controllers), &s.Controllers)},
		settings.Option{Section: "stop", Name: "balancer-wait", Default: "1s", Allowed: "a duration from 0s to 60s", Set: settings.Duration(&s.BalancerWait, 0, time.Minute)},
		settings.Option{Section: "stop", Name: "drain-wait", Default: "30s", Allowed: "a duration from 1s to 10m", Set: settings.Duration(&s.DrainWait, time.Second, 10*time.Minute)},
		settings.Option{Section: "limits", Name: "in-flight", Default: "8192", Allowed: "a whole number from 1 to 1000000", Set: settings.Int(&s.InFlight, 1, maxInFlight)},
	)
	if err := settings.Load(file, options); err != nil {
		return RouterSettings{}, err
	}
	return s, checkTLS(file, s.TLS)
}

func nonEmpty(set func(string) bool, target *[]string) func(string) bool {
	return func(value string) bool { return set(value) && len(*target) > 0 }
}
