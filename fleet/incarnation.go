package fleet

import (
	"strconv"
	"strings"
)

// Incarnation names one run of a backend server's process. A server may start
// again under the ID that it had; it then holds no keys and has forgotten what
// it was told. What is known of one incarnation says nothing of another.
type Incarnation struct {
	ID string
	// Start is when the process started, in Unix milliseconds by its own clock;
	// 0 if it did not say. Only starts of one ID are compared.
	Start int64
}

// Replaces reports whether i is known to have started later than the other
// incarnation of the same server, which has therefore ended.
func (i Incarnation) Replaces(other Incarnation) bool {
	return i.ID == other.ID && i.Start > other.Start
}

// startMark separates ID and start in an incarnation's text.
const startMark = "@"

// String returns "ID@START", or the ID alone if the start is not known and the ID
// can't be taken for such a text.
func (i Incarnation) String() string {
	if i.Start == 0 && !strings.Contains(i.ID, startMark) {
		return i.ID
	}
	return i.ID + startMark + strconv.FormatInt(i.Start, 10)
}

// MarshalText implements encoding.TextMarshaler, for keys of JSON objects.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Incarnation) UnmarshalText(text []byte) error {
	*i = Incarnation{ID: string(text)}
	at := strings.LastIndex(i.ID, startMark)
	if at < 0 {
		return nil
	}
	if start, err := strconv.ParseInt(i.ID[at+1:], 10, 64); err == nil && start >= 0 {
		*i = Incarnation{ID: i.ID[:at], Start: start}
	}
	return nil
}
