package logread

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// stateMessages are the prefixes of the messages with which a host logs changes of its view of
// the configuration, the assignments, the servers and the store.
var stateMessages = []string{"configuration in force", "assignment known", "store followed", "store not followed", "servers changed",
	"relay vouches for the store's state", "no relay has the store's word", "controller did not answer a report", "controller is gone", "watches were behind",
	"source does not pass on what the store holds", "listed from a host"}

// Trace is the sequence of all log lines about one request, ordered by time.
type Trace struct {
	Request string       `json:"request"`
	Events  []TraceEvent `json:"events"`
}

// TraceEvent is one log line about a request.
type TraceEvent struct {
	Line string `json:"line"`
	Host string `json:"host"`
	// HostState contains the lines that describe the host's view at that time: the last
	// line of each message and service that the host logged before.
	HostState []string `json:"believed"`
}

// TraceCollector collects the lines of one request. It must receive the lines of each host in
// the order in which they were written; the order of hosts doesn't matter.
type TraceCollector struct {
	request string
	// hostState contains the last line of each host, message and service.
	hostState map[string]map[string]Line
	events    []timedEvent
}

// timedEvent is an event with its time, by which events are sorted.
type timedEvent struct {
	TraceEvent
	at time.Time
}

// NewTraceCollector returns a collector for the request with the given ID.
func NewTraceCollector(request string) *TraceCollector {
	return &TraceCollector{request: request, hostState: map[string]map[string]Line{}}
}

// Add processes one line.
func (c *TraceCollector) Add(line Line) {
	if line.Request == c.request {
		event := TraceEvent{Line: line.Raw, Host: line.Host}
		lastLines := c.hostState[line.Host]
		var state []Line
		for _, stateLine := range lastLines {
			state = append(state, stateLine)
		}
		slices.SortFunc(state, func(a, b Line) int { return a.Time.Compare(b.Time) })
		for _, stateLine := range state {
			event.HostState = append(event.HostState, stateLine.Raw)
		}
		c.events = append(c.events, timedEvent{TraceEvent: event, at: line.Time})
		return
	}
	if !slices.ContainsFunc(stateMessages, func(message string) bool { return strings.HasPrefix(line.Message, message) }) {
		return
	}
	if c.hostState[line.Host] == nil {
		c.hostState[line.Host] = map[string]Line{}
	}
	c.hostState[line.Host][line.Message+"/"+line.Service] = line
}

// Trace returns the collected lines.
func (c *TraceCollector) Trace() *Trace {
	slices.SortStableFunc(c.events, func(a, b timedEvent) int { return a.at.Compare(b.at) })
	trace := &Trace{Request: c.request}
	for _, event := range c.events {
		trace.Events = append(trace.Events, event.TraceEvent)
	}
	return trace
}

// WriteTable writes the lines of the request as text.
func (t *Trace) WriteTable(out io.Writer) {
	if len(t.Events) == 0 {
		fmt.Fprintf(out, "no line names request %s; hosts leave lines out under load: see the lines \"lines left out\"\n", t.Request)
		return
	}
	for _, event := range t.Events {
		fmt.Fprintf(out, "%s\n", event.Line)
		for _, stateLine := range event.HostState {
			fmt.Fprintf(out, "    before: %s\n", stateLine)
		}
	}
}
