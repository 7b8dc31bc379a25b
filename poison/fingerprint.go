// Package poison distinguishes requests that terminate every server that runs them from requests
// that merely were in flight when a server terminated. It performs no I/O and reads no clock:
// callers pass the time as an argument, and nothing blocks.
//
// The package is designed for this load pattern: a caller sends the same request again and again,
// to any host and each time under a new request ID, among ordinary requests, while servers also
// terminate for other reasons. A host that looked only at single copies would send each of them to
// another server.
//
// An UnansweredTracker holds what one host observed: which requests were in flight at servers that
// terminated. A Ledger holds, for each such request, the servers that terminated during it, as
// observed by this host and others, and decides whether the request is served.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/rotisserie/eris"
)

// Fingerprint identifies equal requests. It is a prefix of a cryptographic hash: a caller who could
// construct a collision could get another caller's request rejected.
type Fingerprint [16]byte

// Identity holds the properties in which two copies of a request are equal.
type Identity struct {
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	// Caller is the identity that the caller presents; empty if there is none.
	Caller string
	// Body is the part of the body that the host reads before it chooses a server. Of a longer body
	// only this prefix and the length are compared.
	Body []byte
	// Length is the length of the whole body in bytes, or -1 if it is not known.
	Length int64
}

// Fingerprint returns the fingerprint of requests with this identity.
func (i Identity) Fingerprint() Fingerprint {
	sum := sha256.New()
	for _, part := range []string{i.Method, i.Host, i.Target, i.Caller} {
		writePart(sum, []byte(part))
	}
	writePart(sum, i.Body)
	length := binary.BigEndian.AppendUint64(nil, uint64(i.Length))
	_, _ = sum.Write(length) // writing to a hash never fails
	var f Fingerprint
	copy(f[:], sum.Sum(nil))
	return f
}

// writePart writes a field preceded by its length, so that the boundary between fields is
// unambiguous.
func writePart(to hash.Hash, part []byte) {
	length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
	_, _ = to.Write(length) // writing to a hash never fails
	_, _ = to.Write(part)
}

// String returns the fingerprint as hexadecimal digits.
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
