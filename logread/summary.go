package logread

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
)

// mostListed bounds the keys, servers and hosts that a summary lists.
const mostListed = 10

// Summary is what became of the requests in some logs, and who controlled keys.
type Summary struct {
	First, Last time.Time
	Lines       int64 `json:"lines"`
	Hosts       int   `json:"hosts"`
	// Seconds are the outcomes by second since the first line.
	Seconds []map[string]int64 `json:"seconds"`
	// Outcomes are counts by service and outcome.
	Outcomes map[string]map[string]int64 `json:"outcomes"`
	// Failed are the keys, servers and hosts of requests that were not answered.
	FailedKeys    []Count `json:"failedKeys"`
	FailedServers []Count `json:"failedServers"`
	FailedHosts   []Count `json:"failedHosts"`
	// Ages are the mean ages of the assignments that decided requests, in
	// milliseconds, by outcome.
	Ages map[string]int64 `json:"assignmentAgesMs"`
	// Controllers tells when which host took or gave up control.
	Controllers []Change `json:"controllers"`
	// Messages are counts of all lines by message.
	Messages []Count `json:"messages"`
}

// Count is how often something occurred.
type Count struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// Change is a change of a service's controller.
type Change struct {
	At      time.Time `json:"at"`
	Service string    `json:"service"`
	Host    string    `json:"host"`
	What    string    `json:"what"`
}

// Summarizer takes lines in and makes a summary of them.
type Summarizer struct {
	lines       int64
	hosts       map[string]bool
	seconds     map[int64]map[string]int64 // by Unix second
	outcomes    map[string]map[string]int64
	keys        map[string]int64
	servers     map[string]int64
	failedHosts map[string]int64
	messages    map[string]int64
	ages        map[string]*mean
	controllers []Change
	first, last time.Time
}

type mean struct{ sum, n int64 }

// NewSummarizer returns one that has seen nothing.
func NewSummarizer() *Summarizer {
	return &Summarizer{hosts: map[string]bool{}, seconds: map[int64]map[string]int64{}, outcomes: map[string]map[string]int64{}, keys: map[string]int64{},
		servers: map[string]int64{}, failedHosts: map[string]int64{}, messages: map[string]int64{}, ages: map[string]*mean{}}
}

// Take takes one line in.
func (s *Summarizer) Take(line Line) {
	s.lines++
	s.hosts[line.Host] = true
	s.messages[line.Message]++
	if s.first.IsZero() || line.Time.Before(s.first) {
		s.first = line.Time
	}
	if line.Time.After(s.last) {
		s.last = line.Time
	}
	switch line.Message {
	case messageRequest:
		s.request(line)
	case messageControl, messageGaveUp:
		s.controllers = append(s.controllers, Change{At: line.Time, Service: line.Service, Host: line.Host, What: line.Message})
	}
}

// outcomeAnswered is that of requests that a server answered.
const outcomeAnswered = "answered"

func (s *Summarizer) request(line Line) {
	outcome := line.Outcome
	if outcome == outcomeAnswered && line.Status >= 500 {
		outcome = "answered with " + strconv.Itoa(line.Status)
	}
	add(s.seconds, line.Time.Unix(), outcome)
	add(s.outcomes, line.Service, outcome)
	if line.AssignmentAgeMs != nil {
		known := s.ages[outcome]
		if known == nil {
			known = &mean{}
			s.ages[outcome] = known
		}
		known.sum, known.n = known.sum+*line.AssignmentAgeMs, known.n+1
	}
	if outcome == outcomeAnswered {
		return
	}
	s.failedHosts[line.Host]++
	if line.Key != nil {
		s.keys[line.Service+"/"+strconv.Itoa(*line.Key)]++
	}
	for _, server := range line.Servers {
		s.servers[server]++
	}
}

func add[K comparable](counts map[K]map[string]int64, at K, name string) {
	if counts[at] == nil {
		counts[at] = map[string]int64{}
	}
	counts[at][name]++
}

// Summary returns what was taken in so far.
func (s *Summarizer) Summary() *Summary {
	made := &Summary{First: s.first, Last: s.last, Lines: s.lines, Hosts: len(s.hosts), Outcomes: s.outcomes, Ages: map[string]int64{},
		FailedKeys: top(s.keys, mostListed), FailedServers: top(s.servers, mostListed), FailedHosts: top(s.failedHosts, mostListed),
		Messages: top(s.messages, len(s.messages)), Controllers: s.controllers}
	for outcome, known := range s.ages {
		made.Ages[outcome] = known.sum / known.n
	}
	slices.SortStableFunc(made.Controllers, func(a, b Change) int { return a.At.Compare(b.At) })
	if len(s.seconds) > 0 {
		for second := s.first.Unix(); second <= s.last.Unix(); second++ {
			made.Seconds = append(made.Seconds, s.seconds[second])
		}
	}
	return made
}

// top returns the greatest counts.
func top(counts map[string]int64, most int) []Count {
	var all []Count
	for name, count := range counts {
		all = append(all, Count{Name: name, Count: count})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name)) })
	return all[:min(len(all), most)]
}

// Table writes the summary for people, in columns divided by tabs.
func (s *Summary) Table(out io.Writer) {
	fmt.Fprintf(out, "%d lines of %d hosts, %s to %s\n\nSERVICE\tOUTCOME\tREQUESTS\n", s.Lines, s.Hosts, s.First.Format(time.RFC3339Nano), s.Last.Format(time.RFC3339Nano))
	for _, service := range slices.Sorted(maps.Keys(s.Outcomes)) {
		for _, count := range top(s.Outcomes[service], len(s.Outcomes[service])) {
			fmt.Fprintf(out, "%s\t%s\t%d\n", service, count.Name, count.Count)
		}
	}
	fmt.Fprintf(out, "\nSECOND\tOUTCOMES\n")
	for i, second := range s.Seconds {
		fmt.Fprintf(out, "%d", i)
		for _, count := range top(second, len(second)) {
			fmt.Fprintf(out, "\t%s %d", count.Name, count.Count)
		}
		fmt.Fprintln(out)
	}
	list(out, "KEY OF REQUESTS NOT ANSWERED", s.FailedKeys)
	list(out, "SERVER OF REQUESTS NOT ANSWERED", s.FailedServers)
	list(out, "HOST OF REQUESTS NOT ANSWERED", s.FailedHosts)
	fmt.Fprintf(out, "\nOUTCOME\tMEAN AGE OF THE ASSIGNMENT, MS\n")
	for _, outcome := range slices.Sorted(maps.Keys(s.Ages)) {
		fmt.Fprintf(out, "%s\t%d\n", outcome, s.Ages[outcome])
	}
	fmt.Fprintf(out, "\nTIME\tSERVICE\tHOST\tCONTROL\n")
	for _, change := range s.Controllers {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", change.At.Format(time.RFC3339Nano), change.Service, change.Host, change.What)
	}
	list(out, "LINE", s.Messages)
}

func list(out io.Writer, title string, counts []Count) {
	fmt.Fprintf(out, "\n%s\tCOUNT\n", title)
	for _, count := range counts {
		fmt.Fprintf(out, "%s\t%d\n", count.Name, count.Count)
	}
}
