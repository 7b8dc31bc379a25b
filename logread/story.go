package logread

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// beliefs are the messages of lines that tell what a host came to believe.
var beliefs = []string{"configuration in force", "assignment known", "store followed", "store not followed", "servers changed",
	"relay vouches for the store's state", "no relay has the store's word", "controller did not answer a report", "controller is gone", "watches were behind",
	"source does not pass on what the store holds", "listed from a host"}

// Story is all that hosts wrote of one request, in order, each line with what its
// host believed then.
type Story struct {
	Request string  `json:"request"`
	Events  []Event `json:"events"`
}

// Event is one line of a request.
type Event struct {
	Line string `json:"line"`
	Host string `json:"host"`
	// Believed are the last lines by which the host's beliefs changed before.
	Believed []string `json:"believed"`
}

// Storyteller finds the lines of one request. The lines of one host must come in
// their order; hosts may come in any.
type Storyteller struct {
	request string
	// believed are the last lines by host and message.
	believed map[string]map[string]Line
	events   []dated
}

// dated is an event with its time, by which events are put in order.
type dated struct {
	Event
	at time.Time
}

// NewStoryteller returns one for a request's ID.
func NewStoryteller(request string) *Storyteller {
	return &Storyteller{request: request, believed: map[string]map[string]Line{}}
}

// Take takes one line in.
func (s *Storyteller) Take(line Line) {
	if line.Request == s.request {
		event := Event{Line: line.Raw, Host: line.Host}
		known := s.believed[line.Host]
		var last []Line
		for _, each := range known {
			last = append(last, each)
		}
		slices.SortFunc(last, func(a, b Line) int { return a.Time.Compare(b.Time) })
		for _, each := range last {
			event.Believed = append(event.Believed, each.Raw)
		}
		s.events = append(s.events, dated{Event: event, at: line.Time})
		return
	}
	if !slices.ContainsFunc(beliefs, func(message string) bool { return strings.HasPrefix(line.Message, message) }) {
		return
	}
	if s.believed[line.Host] == nil {
		s.believed[line.Host] = map[string]Line{}
	}
	s.believed[line.Host][line.Message+"/"+line.Service] = line
}

// Story returns what was found.
func (s *Storyteller) Story() *Story {
	slices.SortStableFunc(s.events, func(a, b dated) int { return a.at.Compare(b.at) })
	story := &Story{Request: s.request}
	for _, each := range s.events {
		story.Events = append(story.Events, each.Event)
	}
	return story
}

// Table writes the story for people.
func (s *Story) Table(out io.Writer) {
	if len(s.Events) == 0 {
		fmt.Fprintf(out, "no line names request %s; hosts leave lines out under load: see the lines \"lines left out\"\n", s.Request)
		return
	}
	for _, event := range s.Events {
		fmt.Fprintf(out, "%s\n", event.Line)
		for _, belief := range event.Believed {
			fmt.Fprintf(out, "    before: %s\n", belief)
		}
	}
}
