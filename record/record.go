// Package record defines the records that the system keeps in the platform's
// store: services, backend servers and declarations of loss, which operators
// write, and assignment pages and reports, which controllers write.
//
// On the wire a record is an Envelope. Its Spec is decoded by the schema version
// that the envelope names. The unknown fields of services and servers are kept,
// so that an edit by an older build does not drop the data of a newer one.
package record

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Kind is the type of a record.
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

// Ref identifies one record.
type Ref struct {
	Kind Kind
	Name string
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Envelope is the encoded form of a record, in documents of operators and in the
// store.
type Envelope struct {
	Kind   Kind            `json:"kind"`
	Name   string          `json:"name"`
	Schema Schema          `json:"schema"`
	Spec   json.RawMessage `json:"spec"`
}

// Ref returns the envelope's kind and name.
func (e Envelope) Ref() Ref { return Ref{Kind: e.Kind, Name: e.Name} }

// FieldError reports an invalid field of a record or request.
type FieldError struct {
	Record Ref    // the record that holds the field
	Field  string // path of the field, in JSON names
	Value  string // the rejected value
	Fix    string // what the operator should change
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %q has value %q: %s", e.Record, e.Field, e.Value, e.Fix)
}

// ValidationError collects every FieldError of one check, so that an operator can
// correct all of them at once.
type ValidationError struct{ Fields []*FieldError }

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "; ")
}

// validator collects the FieldErrors of one record.
type validator struct {
	ref    Ref
	fields []*FieldError
}

func (c *validator) require(ok bool, field, value, fix string) {
	if ok {
		return
	}
	c.fields = append(c.fields, &FieldError{Record: c.ref, Field: field, Value: value, Fix: fix})
}

func (c *validator) err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return &ValidationError{Fields: c.fields}
}

// maxNameLength limits record names in bytes, because names are used as path
// segments and metric labels.
const maxNameLength = 63

// ValidName reports whether a name contains only lower-case letters, digits, '-'
// and '.', starts with a letter or digit, and has 1 to 63 bytes.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i, r := range name {
		alphanumeric := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		separator := r == '-' || r == '.'
		if !alphanumeric && (!separator || i == 0) {
			return false
		}
	}
	return true
}

const nameFix = "use 1 to 63 lower-case letters, digits, '-' or '.', starting with a letter or digit"
