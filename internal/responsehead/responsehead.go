// Package responsehead checks the heads of HTTP/1.1 responses. net/http accepts some that RFC 9110 and
// RFC 9112 don't allow; what such a response says, and where it ends, can't be relied on.
package responsehead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Error reports a malformed head. The request may have run.
type Error struct {
	Field, Value string
	// Fix says what the value should be.
	Fix string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed head of a response: %s %q %s", e.Field, e.Value, e.Fix)
}

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an *Error if the head of a response is malformed. The response may be an interim one.
func Check(response *http.Response) error {
	if err := checkStatus(response); err != nil {
		return err
	}
	return checkFields(response.Header)
}

// checkFields checks names and values of fields (RFC 9110, sections 5.1 and 5.5). net/http accepts blanks
// in a name, also before the colon, and then doesn't know the field: a length or a transfer coding of that
// name would not count.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Field: "field name", Value: quoted(name), Fix: "must be a token, without blanks and control bytes"}
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return &Error{Field: "value of " + name, Value: quoted(value), Fix: "must not hold control bytes"}
			}
		}
	}
	return nil
}

// checkStatus checks that the status is one that RFC 9110, section 15, defines a class for, and no switch
// to another protocol, which no request asks for. net/http accepts any number of three characters, zeros and
// signs in front among them.
func checkStatus(response *http.Response) error {
	invalid := func(fix string) error {
		return &Error{Field: "status", Value: quoted(response.Status), Fix: fix}
	}
	status := response.StatusCode
	switch {
	case status < minStatus || status > maxStatus:
		return invalid("must be a number from 100 to 599")
	case status == http.StatusSwitchingProtocols:
		return invalid("must not switch protocols: the request did not ask for it")
	}
	return nil
}

// maxQuotedBytes is how much of a value an error quotes, in bytes.
const maxQuotedBytes = 80

func quoted(value string) string { return value[:min(len(value), maxQuotedBytes)] }

// Transport refuses responses whose heads are malformed.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper. The error is an *Error if the head of the response is malformed;
// the connection of a response with a body is then closed.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close() // the error about the head says more
		return nil, err
	}
	return response, nil
}
