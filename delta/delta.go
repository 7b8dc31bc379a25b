// Package delta encodes a version of a JSON document as its difference from another version.
// It performs no I/O.
//
// Load pattern: documents of hundreds of small objects, such as key ranges and routes. A
// change touches few of them, and every change is sent to every host.
package delta

import (
	"bytes"
	"fmt"
	"hash/crc64"
)

// Delta transforms one version of a document into another.
type Delta struct {
	// Steps build the new version from its beginning.
	Steps []Step `json:"steps"`
	// Sum is the CRC-64 checksum of the new version.
	Sum uint64 `json:"sum"`
}

// Step appends Count pieces of the old version, starting at piece From, and then Text.
type Step struct {
	From  int    `json:"f,omitempty"`
	Count int    `json:"n,omitempty"`
	Text  string `json:"t,omitempty"`
}

// MismatchError reports a delta that does not apply to the given version.
type MismatchError struct{ Detail string }

// Error implements error.
func (e *MismatchError) Error() string { return "delta: " + e.Detail }

var crcTable = crc64.MakeTable(crc64.ECMA)

// Make returns the delta from the old version to the fresh one.
func Make(old, fresh []byte) *Delta {
	pieces := splitAtObjects(old)
	at := make(map[string]int, len(pieces))
	for i := len(pieces) - 1; i >= 0; i-- {
		at[string(pieces[i])] = i
	}
	made := &Delta{Sum: crc64.Checksum(fresh, crcTable)}
	var step Step
	var text []byte
	end := func() {
		step.Text, text = string(text), nil
		if step.Count > 0 || step.Text != "" {
			made.Steps = append(made.Steps, step)
		}
	}
	for _, piece := range splitAtObjects(fresh) {
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

// Apply returns the new version. It fails with a *MismatchError if the delta was made from
// another version than old.
func (d *Delta) Apply(old []byte) ([]byte, error) {
	pieces := splitAtObjects(old)
	var fresh []byte
	for _, step := range d.Steps {
		if step.From < 0 || step.Count < 0 || step.From+step.Count > len(pieces) {
			return nil, &MismatchError{Detail: fmt.Sprintf("step copies pieces %d to %d of a version with %d pieces", step.From, step.From+step.Count, len(pieces))}
		}
		for _, piece := range pieces[step.From : step.From+step.Count] {
			fresh = append(fresh, piece...)
		}
		fresh = append(fresh, step.Text...)
	}
	if crc64.Checksum(fresh, crcTable) != d.Sum {
		return nil, &MismatchError{Detail: "the checksum of the resulting version does not match"}
	}
	return fresh, nil
}

// splitAtObjects splits a document before each '{'. The concatenated pieces are the document.
func splitAtObjects(document []byte) [][]byte {
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
