// Package responsehead checks the heads of HTTP/1.1 responses. net/http accepts some that RFC 9110 and
// RFC 9112 don't allow; what such a response says, and where it ends, can't be relied on.
package responsehead

import (
	"fmt"
	"net/http"
	"strconv"
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
	maxStatus    = 599
	statusDigits = 3 // net/http accepts no other length
)

// Check returns an *Error if the head of a response is malformed. The response may be an interim one.
func Check(response *http.Response) error {
	return checkStatus(response)
}

// checkStatus checks that the status is one that RFC 9110, section 15, defines a class for, and no switch
// to another protocol, which no request asks for. net/http also accepts zeros and signs in front: 000, +10.
func checkStatus(response *http.Response) error {
	invalid := func(fix string) error {
		return &Error{Field: "status", Value: response.Status[:min(len(response.Status), maxQuotedBytes)], Fix: fix}
	}
	status := response.StatusCode
	switch {
	case response.Status[:statusDigits] != strconv.Itoa(status) || status > maxStatus:
		return invalid("must be a number from 100 to 599 in three digits")
	case status == http.StatusSwitchingProtocols:
		return invalid("must not switch protocols: the request did not ask for it")
	}
	return nil
}

// maxQuotedBytes is how much of a value an error quotes, in bytes.
const maxQuotedBytes = 80
