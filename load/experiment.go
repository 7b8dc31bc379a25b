package load

import (
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"cicadarouter/host/settings"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Duration time.Duration
	Seed     int
	// Entries are the entry hosts, each written "callers-address/admin-address".
	Entries []Entry
	// Fleets are the addresses of the fake backend servers' control APIs.
	Fleets []string
	// Store is the address of the fake platform.
	Store string
	// Output is the path of the results, without extension.
	Output  string
	Streams []Stream
	Faults  []Fault
}

// Entry is the pair of addresses of an entry host.
type Entry struct {
	Callers string
	Admin   string
}

// Stream is a stream of requests to one service.
type Stream struct {
	Name    string
	Service string
	// Rate is in requests per second.
	Rate float64
	Keys int
	// Zipf is the exponent of the keys' Zipf distribution; 0 means a uniform one.
	Zipf float64
	// Writes is the fraction of requests that are not idempotent.
	Writes   float64
	Deadline time.Duration
	Callers  int
	// HotShare is the fraction of requests for the hot key. Another key becomes the hot one
	// every HotEvery.
	HotShare float64
	HotEvery time.Duration
	// From and Until are the start and the end of the stream. If Until is 0, it ends with
	// the run.
	From, Until time.Duration
	// Keyed is set if requests have keys.
	Keyed bool
}

// Fault is a fault that is injected into a fake backend server or into the store.
type Fault struct {
	Name   string
	At     time.Duration
	For    time.Duration
	Action string
	Target string
}

// The kinds of faults.
const (
	ActionFreeze        = "freeze"
	ActionDrain         = "drain"
	ActionShed          = "shed"
	ActionSlow          = "slow"
	ActionStoreDown     = "store-down"
	ActionDropResponses = "lose-replies"
)

const maxDuration = time.Hour

// ReadExperiment reads an experiment file.
func ReadExperiment(file string) (Experiment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Experiment{}, &settings.FileError{File: file, Cause: err}
	}
	return ParseExperiment(file, data)
}

// ParseExperiment parses the content of an experiment file. The file name is only for
// error messages.
func ParseExperiment(file string, data []byte) (Experiment, error) {
	var experiment Experiment
	var entries []string
	names, err := sectionNames(file, data)
	if err != nil {
		return Experiment{}, err
	}
	options := runOptions(&experiment, &entries)
	experiment.Streams = make([]Stream, len(names.streams))
	for i, name := range names.streams {
		experiment.Streams[i].Name = strings.TrimPrefix(name, streamPrefix)
		options = append(options, streamOptions(name, &experiment.Streams[i])...)
	}
	experiment.Faults = make([]Fault, len(names.faults))
	for i, name := range names.faults {
		experiment.Faults[i].Name = strings.TrimPrefix(name, faultPrefix)
		options = append(options, faultOptions(name, &experiment.Faults[i])...)
	}
	return experiment, settings.Parse(file, data, options)
}

const (
	streamPrefix = "stream."
	faultPrefix  = "fault."
)

type sections struct{ streams, faults []string }

func sectionNames(file string, data []byte) (sections, error) {
	var found sections
	loaded, err := ini.Load(data)
	if err != nil {
		return found, &settings.FileError{File: file, Cause: err}
	}
	for _, name := range loaded.SectionStrings() {
		switch {
		case strings.HasPrefix(name, streamPrefix):
			found.streams = append(found.streams, name)
		case strings.HasPrefix(name, faultPrefix):
			found.faults = append(found.faults, name)
		}
	}
	return found, nil
}

func runOptions(e *Experiment, _ *[]string) []settings.Option {
	const addresses = "IP numbers and ports, separated by commas"
	return []settings.Option{
		{Section: "run", Name: "duration", Default: "20s", Allowed: "a duration from 1s to 1h", Set: settings.Duration(&e.Duration, time.Second, maxDuration)},
		{Section: "run", Name: "seed", Default: "1", Allowed: "a whole number of at least 0", Set: settings.Int(&e.Seed, 0, 1<<31-1)},
		{Section: "run", Name: "output", Allowed: "a path for the results, without ending", Set: settings.OptionalText(&e.Output)},
		{Section: "system", Name: "entries", Required: true, Allowed: "pairs CALLERS/ADMIN of IP numbers and ports, separated by commas", Set: setEntries(&e.Entries)},
		{Section: "system", Name: "fleets", Allowed: addresses, Set: settings.Addresses(&e.Fleets)},
		{Section: "system", Name: "store", Allowed: "an IP number and port", Set: settings.OptionalText(&e.Store)},
	}
}

func setEntries(target *[]Entry) func(string) bool {
	return func(value string) bool {
		*target = nil
		for part := range strings.SplitSeq(value, ",") {
			callers, admin, ok := strings.Cut(strings.TrimSpace(part), "/")
			if !ok {
				return false
			}
			*target = append(*target, Entry{Callers: callers, Admin: admin})
		}
		return len(*target) > 0
	}
}

func streamOptions(section string, s *Stream) []settings.Option {
	const most = 10_000_000
	return []settings.Option{
		{Section: section, Name: "service", Required: true, Allowed: "the name of a service", Set: settings.RequiredText(&s.Service)},
		{Section: section, Name: "rate", Required: true, Allowed: "requests per second, from 0.1 to 1000000", Set: settings.Float(&s.Rate, 0.1, 1e6)},
		{Section: section, Name: "keyed", Default: "true", Allowed: "true or false", Set: settings.Bool(&s.Keyed)},
		{Section: section, Name: "keys", Default: "10000", Allowed: "a whole number from 1 to 10000000", Set: settings.Int(&s.Keys, 1, most)},
		{Section: section, Name: "zipf", Default: "0", Allowed: "0, or an exponent above 1 up to 5", Set: setZipf(&s.Zipf)},
		{Section: section, Name: "writes", Default: "0.2", Allowed: "a share from 0 to 1", Set: settings.Float(&s.Writes, 0, 1)},
		{Section: section, Name: "deadline", Default: "3s", Allowed: "a duration from 1ms to 60s", Set: settings.Duration(&s.Deadline, time.Millisecond, time.Minute)},
		{Section: section, Name: "callers", Default: "20", Allowed: "a whole number from 1 to 100000", Set: settings.Int(&s.Callers, 1, 100_000)},
		{Section: section, Name: "hot-share", Default: "0", Allowed: "a share from 0 to 1", Set: settings.Float(&s.HotShare, 0, 1)},
		{Section: section, Name: "hot-every", Default: "1h", Allowed: "a duration from 1s to 1h", Set: settings.Duration(&s.HotEvery, time.Second, maxDuration)},
		{Section: section, Name: "from", Default: "0s", Allowed: "a duration from 0s to 1h", Set: settings.Duration(&s.From, 0, maxDuration)},
		{Section: section, Name: "until", Default: "0s", Allowed: "a duration from 0s to 1h; 0s means to the end", Set: settings.Duration(&s.Until, 0, maxDuration)},
	}
}

func setZipf(target *float64) func(string) bool {
	parse := settings.Float(target, 0, 5)
	return func(value string) bool { return parse(value) && (*target == 0 || *target > 1) }
}

func faultOptions(section string, f *Fault) []settings.Option {
	actions := []string{ActionFreeze, ActionDrain, ActionShed, ActionSlow, ActionStoreDown, ActionDropResponses}
	return []settings.Option{
		{Section: section, Name: "at", Required: true, Allowed: "a duration from 0s to 1h", Set: settings.Duration(&f.At, 0, maxDuration)},
		{Section: section, Name: "for", Default: "3s", Allowed: "a duration from 0s to 1h", Set: settings.Duration(&f.For, 0, maxDuration)},
		{Section: section, Name: "action", Required: true, Allowed: strings.Join(actions, ", "), Set: settings.OneOf(&f.Action, actions...)},
		{Section: section, Name: "target", Allowed: "the name of a backend server", Set: settings.OptionalText(&f.Target)},
	}
}
