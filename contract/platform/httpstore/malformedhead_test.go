package httpstore

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/platform"
	"cicadarouter/platform/platformtest"
)

// Guards against records that are read under a malformed head.
func TestResponsesWithMalformedHeads(t *testing.T) {
	for name, text := range platformtest.MalformedResponses("", `{"revision":3}`) {
		address, err := platformtest.ServeRaw(t.Context(), func(*http.Request, int) (string, bool) { return text, false })
		assert.NilError(t, err)
		_, err = New(address, "a").List(t.Context())
		assert.Check(t, err != nil, "%s: listed", name)
		var status *StatusError
		assert.Check(t, errors.Is(err, platform.ErrUnavailable) || errors.As(err, &status), "%s: %v", name, err)
	}
}
