package logread

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// beliefs are the prefixes of the messages with which a host logs changes of its view of
// the configuration, the assignments, the servers and the store.
var beliefs = []string{"configuration in force", "assignment known", "store followed", "store not followed", "servers changed",
	"relay vouches for the store's state", "no relay has the store's word", "controller did not answer a report", "controller is gone", "watches were behind",
	"source does not pass on what the store holds", "listed from a host"}

// Story is the sequence of all log lines about one request, ordered by time.
type Story struct {
	Request string  `json:"request"`
	Events  []Event `json:"events"`
}

// Event is one log line about a request.
type Event struct {
	Line string `json:"line"`
	Host string `json:"host"`
	// Believed contains the lines that describe the host's view at that time: the last
	// line of each message and service that the host logged before.
	Believed []string `json:"believed"`
}

// Storyteller collects the lines of one request. It must receive the lines of each host in
// the order in which they were written; the order of hosts doesn't matter.
type Storyteller struct {
	request string
	// believed contains the last line of each host, message and service.
	believed map[string]map[string]Line
	events   []dated
}

// dated is an event with its time, by which events are sorted.
type dated struct {
	Event
	at time.Time
}

// NewStoryteller returns a collector for the request with the given ID.
func NewStoryteller(request string) *Storyteller {
	return &Storyteller{request: request, believed: map[string]map[string]Line{}}
}

// Take processes one line.
func (c *Storyteller) Take(line Line) {
	if line.Request == c.request {
		event := Event{Line: line.Raw, Host: line.Host}
		lastLines := c.believed[line.Host]
		var state []Line
		for _, stateLine := range lastLines {
			state = append(state, stateLine)
		}
		slices.SortFunc(state, func(a, b Line) int { return a.Time.Compare(b.Time) })
		for _, stateLine := range state {
			event.Believed = append(event.Believed, stateLine.Raw)
		}
		c.events = append(c.events, dated{Event: event, at: line.Time})
		return
	}
	if !slices.ContainsFunc(beliefs, func(message string) bool { return strings.HasPrefix(line.Message, message) }) {
		return
	}
	if c.believed[line.Host] == nil {
		c.believed[line.Host] = map[string]Line{}
	}
	c.believed[line.Host][line.Message+"/"+line.Service] = line
}

// Story returns the collected lines.
func (c *Storyteller) Story() *Story {
	slices.SortStableFunc(c.events, func(a, b dated) int { return a.at.Compare(b.at) })
	trace := &Story{Request: c.request}
	for _, event := range c.events {
		trace.Events = append(trace.Events, event.Event)
	}
	return trace
}

// Table writes the lines of the request as text.
func (t *Story) Table(out io.Writer) {
	if len(t.Events) == 0 {
		fmt.Fprintf(out, "no line names request %s; hosts leave lines out under load: see the lines \"lines left out\"\n", t.Request)
		return
	}
	for _, event := range t.Events {
		fmt.Fprintf(out, "%s\n", event.Line)
		for _, stateLine := range event.Believed {
			fmt.Fprintf(out, "    before: %s\n", stateLine)
		}
	}
}
