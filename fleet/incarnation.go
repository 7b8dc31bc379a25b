package fleet

import (
	"strconv"
	"strings"
)

// Incarnation identifies one run of a backend server's process. A server may restart under the same
// ID; it then holds no keys and none of its earlier state. What is known about one incarnation does
// not apply to another.
type Incarnation struct {
	ID string
	// Start is when the process started, in Unix milliseconds of its own clock; 0 if unknown. Start
	// times are only compared between incarnations of the same ID.
	Start int64
}

// Replaces reports whether i is known to have started later than another incarnation of the same
// server, which has therefore terminated.
func (i Incarnation) Replaces(other Incarnation) bool {
	return i.ID == other.ID && i.Start > other.Start
}

// startSeparator separates the ID and the start time in the text of an incarnation.
const startSeparator = "@"

// String returns "ID@START", or only the ID if the start time is unknown and the ID contains no
// separator.
func (i Incarnation) String() string {
	if i.Start == 0 && !strings.Contains(i.ID, startSeparator) {
		return i.ID
	}
	return i.ID + startSeparator + strconv.FormatInt(i.Start, 10)
}

// MarshalText implements encoding.TextMarshaler, which keys of JSON objects need.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Incarnation) UnmarshalText(text []byte) error {
	*i = Incarnation{ID: string(text)}
	at := strings.LastIndex(i.ID, startSeparator)
	if at < 0 {
		return nil
	}
	if start, err := strconv.ParseInt(i.ID[at+1:], 10, 64); err == nil && start >= 0 {
		*i = Incarnation{ID: i.ID[:at], Start: start}
	}
	return nil
}
