package backend

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/ownership"
	"cicadarouter/platform/platformtest"
)

// Guards against grants that count as accepted, and probes as answered, under a malformed head.
func TestReportsWithMalformedHeads(t *testing.T) {
	for name, text := range platformtest.MalformedResponses("", `{"server":"one","generation":3}`) {
		address, err := platformtest.ServeRaw(t.Context(), func(*http.Request, int) (string, bool) { return text, false })
		assert.NilError(t, err)
		client := NewClient("one", address, &http.Transport{DisableKeepAlives: true})
		_, err = client.Grant(t.Context(), ownership.Grant{})
		assert.Check(t, errors.Is(err, ErrUnreachable), "%s: granted, %v", name, err)
		_, err = client.Report(t.Context(), "page")
		assert.Check(t, errors.Is(err, ErrUnreachable), "%s: reported, %v", name, err)
	}
}
