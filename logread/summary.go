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

// maxListed is the maximum number of keys, of servers and of hosts that a summary lists.
const maxListed = 10

// Summary describes the outcomes of the requests in the logs and which hosts controlled
// each service.
type Summary struct {
	First, Last time.Time
	Lines       int64 `json:"lines"`
	Hosts       int   `json:"hosts"`
	// Seconds contains the number of requests by outcome for each second since the first
	// line.
	Seconds []map[string]int64 `json:"seconds"`
	// Outcomes contains the number of requests by service and outcome.
	Outcomes map[string]map[string]int64 `json:"outcomes"`
	// FailedKeys, FailedServers and FailedHosts list the keys, servers and hosts with the
	// most failed requests: those without an answer or with a 5xx status.
	FailedKeys    []Count `json:"failedKeys"`
	FailedServers []Count `json:"failedServers"`
	FailedHosts   []Count `json:"failedHosts"`
	// Ages contains the mean age of the assignments used to route requests, in
	// milliseconds, by outcome.
	Ages map[string]int64 `json:"assignmentAgesMs"`
	// Controllers lists when hosts took and gave up control of services.
	Controllers []Change `json:"controllers"`
	// Messages contains the number of lines with each message.
	Messages []Count `json:"messages"`
}

// Count is the number of occurrences of a name.
type Count struct {
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// Change is the event of a host taking or giving up control of a service.
type Change struct {
	At      time.Time `json:"at"`
	Service string    `json:"service"`
	Host    string    `json:"host"`
	What    string    `json:"what"`
}

// Summarizer computes a Summary from log lines.
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

// NewSummarizer returns a Summarizer without any lines.
func NewSummarizer() *Summarizer {
	return &Summarizer{hosts: map[string]bool{}, seconds: map[int64]map[string]int64{}, outcomes: map[string]map[string]int64{}, keys: map[string]int64{},
		servers: map[string]int64{}, failedHosts: map[string]int64{}, messages: map[string]int64{}, ages: map[string]*mean{}}
}

// Add adds one line.
func (s *Summarizer) Add(line Line) {
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
		s.addRequest(line)
	case messageInControl, messageControlGivenUp:
		s.controllers = append(s.controllers, Change{At: line.Time, Service: line.Service, Host: line.Host, What: line.Message})
	}
}

// outcomeAnswered is the outcome of requests that a server answered, with any status.
const outcomeAnswered = "answered"

// addRequest adds a line about a request. A response with a server error is counted as an
// outcome of its own, and as failed.
func (s *Summarizer) addRequest(line Line) {
	outcome := line.Outcome
	if outcome == outcomeAnswered && line.Status >= 500 {
		outcome = "answered with " + strconv.Itoa(line.Status)
	}
	increment(s.seconds, line.Time.Unix(), outcome)
	increment(s.outcomes, line.Service, outcome)
	if line.AssignmentAgeMs != nil {
		age := s.ages[outcome]
		if age == nil {
			age = &mean{}
			s.ages[outcome] = age
		}
		age.sum, age.n = age.sum+*line.AssignmentAgeMs, age.n+1
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

// increment increments the count of a name under a key.
func increment[K comparable](counts map[K]map[string]int64, key K, name string) {
	if counts[key] == nil {
		counts[key] = map[string]int64{}
	}
	counts[key][name]++
}

// Summary returns the summary of the lines added so far.
func (s *Summarizer) Summary() *Summary {
	summary := &Summary{First: s.first, Last: s.last, Lines: s.lines, Hosts: len(s.hosts), Outcomes: s.outcomes, Ages: map[string]int64{},
		FailedKeys: highest(s.keys, maxListed), FailedServers: highest(s.servers, maxListed), FailedHosts: highest(s.failedHosts, maxListed),
		Messages: highest(s.messages, len(s.messages)), Controllers: s.controllers}
	for outcome, age := range s.ages {
		summary.Ages[outcome] = age.sum / age.n
	}
	slices.SortStableFunc(summary.Controllers, func(a, b Change) int { return a.At.Compare(b.At) })
	if len(s.seconds) > 0 {
		for second := s.first.Unix(); second <= s.last.Unix(); second++ {
			summary.Seconds = append(summary.Seconds, s.seconds[second])
		}
	}
	return summary
}

// highest returns the highest counts, at most limit of them.
func highest(counts map[string]int64, limit int) []Count {
	var all []Count
	for name, count := range counts {
		all = append(all, Count{Name: name, Count: count})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name)) })
	return all[:min(len(all), limit)]
}

// WriteTable writes the summary as text, in columns separated by tabs.
func (s *Summary) WriteTable(out io.Writer) {
	fmt.Fprintf(out, "%d lines of %d hosts, %s to %s\n\nSERVICE\tOUTCOME\tREQUESTS\n", s.Lines, s.Hosts, s.First.Format(time.RFC3339Nano), s.Last.Format(time.RFC3339Nano))
	for _, service := range slices.Sorted(maps.Keys(s.Outcomes)) {
		for _, count := range highest(s.Outcomes[service], len(s.Outcomes[service])) {
			fmt.Fprintf(out, "%s\t%s\t%d\n", service, count.Name, count.Count)
		}
	}
	fmt.Fprintf(out, "\nSECOND\tOUTCOMES\n")
	for i, second := range s.Seconds {
		fmt.Fprintf(out, "%d", i)
		for _, count := range highest(second, len(second)) {
			fmt.Fprintf(out, "\t%s %d", count.Name, count.Count)
		}
		fmt.Fprintln(out)
	}
	writeCounts(out, "KEY OF REQUESTS NOT ANSWERED", s.FailedKeys)
	writeCounts(out, "SERVER OF REQUESTS NOT ANSWERED", s.FailedServers)
	writeCounts(out, "HOST OF REQUESTS NOT ANSWERED", s.FailedHosts)
	fmt.Fprintf(out, "\nOUTCOME\tMEAN AGE OF THE ASSIGNMENT, MS\n")
	for _, outcome := range slices.Sorted(maps.Keys(s.Ages)) {
		fmt.Fprintf(out, "%s\t%d\n", outcome, s.Ages[outcome])
	}
	fmt.Fprintf(out, "\nTIME\tSERVICE\tHOST\tCONTROL\n")
	for _, change := range s.Controllers {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", change.At.Format(time.RFC3339Nano), change.Service, change.Host, change.What)
	}
	writeCounts(out, "LINE", s.Messages)
}

func writeCounts(out io.Writer, title string, counts []Count) {
	fmt.Fprintf(out, "\n%s\tCOUNT\n", title)
	for _, count := range counts {
		fmt.Fprintf(out, "%s\t%d\n", count.Name, count.Count)
	}
}
