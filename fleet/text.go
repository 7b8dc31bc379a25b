package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// EntryError reports a text that is not a valid entry.
type EntryError struct {
	Field, Value, Fix string
}

// Error implements error.
func (e *EntryError) Error() string {
	return fmt.Sprintf("server entry: %s = %q: %s", e.Field, e.Value, e.Fix)
}

const (
	entrySeparator = "\t"
	entryFields    = 7
	entryReady     = "ready"
	entryDraining  = "draining"
)

// EncodeEntry returns an entry without its ID in the compact form that hosts exchange: a starting
// host receives thousands of entries. ok is false if a field contains a character that the format
// does not allow.
func EncodeEntry(s *Server) (text string, ok bool) {
	if strings.ContainsAny(s.Service+s.Address+s.Domain, "\t\n\r\"\\") {
		return "", false
	}
	state := entryReady
	if s.Draining {
		state = entryDraining
	}
	return strings.Join([]string{s.Service, s.Address, s.Domain, strconv.Itoa(s.Slots), state,
		strconv.FormatInt(s.ColdFor.Milliseconds(), 10), strconv.FormatInt(s.Start, 10)}, entrySeparator), true
}

// DecodeEntry parses a text written by EncodeEntry. The error is an *EntryError.
func DecodeEntry(id, text string) (Server, error) {
	parts := strings.Split(text, entrySeparator)
	if len(parts) != entryFields {
		return Server{}, &EntryError{Field: "fields", Value: text, Fix: "must be " + strconv.Itoa(entryFields)}
	}
	s := Server{ID: id, Service: parts[0], Address: parts[1], Domain: parts[2], Draining: parts[4] == entryDraining}
	if !s.Draining && parts[4] != entryReady {
		return Server{}, &EntryError{Field: "state", Value: parts[4], Fix: "must be " + entryReady + " or " + entryDraining}
	}
	var cold int64
	for _, number := range []struct {
		field, text string
		set         func(int64)
	}{
		{"slots", parts[3], func(n int64) { s.Slots = int(n) }},
		{"cold", parts[5], func(n int64) { cold = n }},
		{"start", parts[6], func(n int64) { s.Start = n }},
	} {
		n, err := strconv.ParseInt(number.text, 10, 64)
		if err != nil || n < 0 {
			return Server{}, &EntryError{Field: number.field, Value: number.text, Fix: "must be a whole number that is not negative"}
		}
		number.set(n)
	}
	s.ColdFor = time.Duration(cold) * time.Millisecond
	return s, nil
}
