// Package poison tells requests that end every server that runs them from those
// that were merely under way when a server ended. It is pure: time comes in as an
// argument, and nothing blocks.
//
// Load pattern: one request, sent again and again by its caller at any host, each
// time under a new request ID, among ordinary load on servers that also end for
// reasons of their own. A host that judges each copy by itself gives it another
// server each time.
//
// A Witness holds what one host saw: which requests were under way at servers that
// ended. A Ledger holds, for each such request, the servers that ended under it,
// from this host and others, and decides whether the request is served.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/rotisserie/eris"
)

// Fingerprint names what two copies of a request have in common. It is part of a
// cryptographic hash: a caller who could make two requests collide could have
// another caller's turned away.
type Fingerprint [16]byte

// Identity is what makes two requests the same.
type Identity struct {
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	// Caller is by what the caller identifies itself; empty if it does not.
	Caller string
	// Body is what the host has read of the body before it chooses a server. A longer
	// body is known by this much of it and by its length.
	Body []byte
	// Length is that of the whole body in bytes, -1 if it is not known.
	Length int64
}

// Fingerprint returns the identity's hash.
func (i Identity) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, part := range []string{i.Method, i.Host, i.Target, i.Caller} {
		writePart(sum, []byte(part))
	}
	writePart(sum, i.Body)
	length := binary.BigEndian.AppendUint64(nil, uint64(i.Length))
	_, _ = sum.Write(length) // a hash takes any bytes
	var f Fingerprint
	copy(f[:], sum.Sum(nil))
	return f
}

// writePart writes a part with its length, so that parts can't run into each other.
func writePart(to hash.Hash, part []byte) {
	length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
	_, _ = to.Write(length) // a hash takes any bytes
	_, _ = to.Write(part)
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return eris.Errorf("fingerprint %q: must be %d hexadecimal digits", text, hex.EncodedLen(len(f)))
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return eris.Wrapf(err, "fingerprint %q", text)
	}
	return nil
}
