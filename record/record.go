// Package record defines the kinds of records that the platform's store holds
// for the system: what operators write (services, backend servers, lost
// domains and hosts) and what controllers write (assignment pages).
//
// A record on the wire is an Envelope. Its Spec is read through the schema
// version that the envelope names; fields that this build does not know are
// kept, so that a newer writer's data survives an older reader's edit.
package record

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind names a type of record.
type Kind string

// The kinds of records.
const (
	KindService  Kind = "service"
	KindServer   Kind = "server"
	KindPage     Kind = "page"
	KindLost     Kind = "lost"
	KindEnforced Kind = "enforced"
)

// Schema is the version of a record's layout.
type Schema string

// The schema versions that this build reads and writes.
const (
	SchemaV1 Schema = "v1"
	SchemaV2 Schema = "v2"
)

// Ref names one record.
type Ref struct {
	Kind Kind
	Name string
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Envelope is a record as operators and the store see it.
type Envelope struct {
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name"`
	Schema Schema          `json:"schema"`
	Spec   json.RawMessage `json:"spec"`
}

// Ref returns the envelope's kind and name.
func (e Envelope) Ref() Ref { return Ref{Kind: e.Kind, Name: e.Name} }

// FieldError reports one field of a record or request that cannot be accepted.
type FieldError struct {
	Record Ref    // the record that holds the field
	Field  string // path of the field, in JSON names
	Value  string // the value as given
	Fix    string // what the operator should do
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %q has value %q: %s", e.Record, e.Field, e.Value, e.Fix)
}

// CheckError collects every FieldError of one check, so that an operator can
// mend all of them at once.
type CheckError struct{ Fields []*FieldError }

// Error implements error.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "; ")
}

// checker gathers FieldErrors for one record.
type checker struct {
	ref    Ref
	fields []*FieldError
}

func (c *checker) require(ok bool, field, value, fix string) {
	if ok {
		return
	}
	c.fields = append(c.fields, &FieldError{Record: c.ref, Field: field, Value: value, Fix: fix})
}

func (c *checker) err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &CheckError{Fields: c.fields}
}

// nameMaxLength bounds record names: they become path segments and metric labels.
const nameMaxLength = 63

// ValidName reports whether a name holds only lower-case letters, digits, '-'
// and '.', starts with a letter or digit and has at most 63 bytes.
func ValidName(name string) bool {
	if name == "" || len(name) > nameMaxLength {
		return false
	}
	for i, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		mark := r == '-' || r == '.'
		if !letter && (!mark || i == 0) {
			return false
		}
	}
	return true
}

const nameFix = "use 1 to 63 lower-case letters, digits, '-' or '.', starting with a letter or digit"
