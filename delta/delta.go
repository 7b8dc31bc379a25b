// Package delta tells one version of a JSON document by what differs from
// another. It is pure.
//
// Load pattern: documents of hundreds of small objects (ranges of keys, routes)
// of which a change touches a few, sent to every host at each change.
package delta

import (
	"bytes"
	"fmt"
	"hash/crc64"
)

// Delta makes one version of a document into another.
type Delta struct {
	// Steps build the fresh version from its beginning.
	Steps []Step `json:"steps"`
	// Sum is the checksum of the fresh version.
	Sum uint64 `json:"sum"`
}

// Step appends Count pieces of the old version from its piece From on, and then
// Text.
type Step struct {
	From  int    `json:"f,omitempty"`
	Count int    `json:"n,omitempty"`
	Text  string `json:"t,omitempty"`
}

// MismatchError reports a delta that is not one of the version at hand.
type MismatchError struct{ What string }

// Error implements error.
func (e *MismatchError) Error() string { return "delta: " + e.What }

var table = crc64.MakeTable(crc64.ECMA)

// Make returns the delta between two versions.
func Make(old, fresh []byte) *Delta {
	pieces := split(old)
	at := make(map[string]int, len(pieces))
	for i := len(pieces) - 1; i >= 0; i-- {
		at[string(pieces[i])] = i
	}
	made := &Delta{Sum: crc64.Checksum(fresh, table)}
	var step Step
	var text []byte
	end := func() {
		step.Text, text = string(text), nil
		if step.Count > 0 || step.Text != "" {
			made.Steps = append(made.Steps, step)
		}
	}
	for _, piece := range split(fresh) {
		next := step.From + step.Count
		if len(text) == 0 && step.Count > 0 && next < len(pieces) && bytes.Equal(pieces[next], piece) {
			step.Count++
			continue
		}
		if from, known := at[string(piece)]; known {
			end()
			step = Step{From: from, Count: 1}
			continue
		}
		text = append(text, piece...)
	}
	end()
	return made
}

// Apply returns the fresh version. It fails with a *MismatchError if the old
// version is not the one that the delta was made of.
func (d *Delta) Apply(old []byte) ([]byte, error) {
	pieces := split(old)
	var fresh []byte
	for _, step := range d.Steps {
		if step.From < 0 || step.Count < 0 || step.From+step.Count > len(pieces) {
			return nil, &MismatchError{What: fmt.Sprintf("pieces %d to %d of a version that has %d", step.From, step.From+step.Count, len(pieces))}
		}
		for _, piece := range pieces[step.From : step.From+step.Count] {
			fresh = append(fresh, piece...)
		}
		fresh = append(fresh, step.Text...)
	}
	if crc64.Checksum(fresh, table) != d.Sum {
		return nil, &MismatchError{What: "the version that it makes has another checksum"}
	}
	return fresh, nil
}

// split cuts a document before each object. The pieces together are the
// document.
func split(document []byte) [][]byte {
	var pieces [][]byte
	first := 0
	for i, c := range document {
		if c == '{' && i > first {
			pieces = append(pieces, document[first:i])
			first = i
		}
	}
	if first < len(document) {
		pieces = append(pieces, document[first:])
	}
	return pieces
}
