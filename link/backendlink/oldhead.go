package backendlink

import (
	"bufio"
	"bytes"
	"net/textproto"

	"cicadarouter/internal/responsehead"
)

// HTTP/1.0 has no transfer codings. net/http ignores that of an HTTP/1.0 answer and removes the field, so
// that the framing of chunks is taken for a part of the body. RFC 9112, section 6.1, calls such an answer's
// framing faulty.

var oldVersion = []byte("HTTP/1.0")

// oldHeadRecorder keeps the head of an HTTP/1.0 answer as it was received, and nothing of other answers.
type oldHeadRecorder struct {
	head    []byte // may be followed by a part of the body
	ignored bool   // the answer has another version
}

// begin begins the head of an answer, of which a part may have been received.
func (r *oldHeadRecorder) begin(received []byte) {
	r.head, r.ignored = nil, false
	r.add(received)
}

// add adds received bytes and returns how many it keeps.
func (r *oldHeadRecorder) add(received []byte) (kept int) {
	if r.ignored {
		return 0
	}
	if len(r.head) == 0 && len(received) >= len(oldVersion) && !bytes.HasPrefix(received, oldVersion) {
		r.ignored = true
		return 0
	}
	r.head = append(r.head, received...)
	return len(received)
}

// check returns a *responsehead.Error if the answer is one of HTTP/1.0 and has a transfer coding.
func (r *oldHeadRecorder) check() error {
	head := r.head
	r.head = nil
	if !bytes.HasPrefix(head, oldVersion) {
		return nil
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := reader.ReadLine(); err != nil {
		return err
	}
	fields, err := reader.ReadMIMEHeader()
	if err != nil {
		return err
	}
	if coding, found := fields["Transfer-Encoding"]; found {
		return &responsehead.Error{Field: "Transfer-Encoding", Value: coding[0], Fix: "must not be in an HTTP/1.0 response"}
	}
	return nil
}
