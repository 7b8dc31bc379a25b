package backendlink

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A server may send a second copy of a response late, where the response to a later request on
// the connection is expected. The request's ID, which the server returns, tells the copy from that
// response, unless the later request has the same ID. So an ID is sent only once on a connection.

// requestID identifies the request of an exchange; the zero value stands for a request that is not
// identified.
type requestID struct {
	hash uint64
	set  bool
}

func newRequestID(id string) requestID { return requestID{hash: xxhash.Sum64String(id), set: true} }

// maxSentIDs bounds the IDs that a connection remembers. Late copies come with the next few
// responses.
const maxSentIDs = 64

// sentIDs remembers the IDs of the latest requests that were sent on a connection.
type sentIDs struct {
	hashes []uint64
	next   int // the oldest one, once there are maxSentIDs
}

func (s *sentIDs) add(id requestID) {
	switch {
	case !id.set:
	case len(s.hashes) < maxSentIDs:
		s.hashes = append(s.hashes, id.hash)
	default:
		s.hashes[s.next] = id.hash
		s.next = (s.next + 1) % maxSentIDs
	}
}

func (s *sentIDs) contains(id requestID) bool { return id.set && slices.Contains(s.hashes, id.hash) }
