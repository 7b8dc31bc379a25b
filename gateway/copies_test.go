package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests for different resources that are taken for copies of each other, so that one
// is quarantined for what the other does.
func TestTargetsOfCopies(t *testing.T) {
	fingerprint := func(target string) any {
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: site.example\r\n\r\n")))
		assert.NilError(t, err)
		return (&request{httpRequest: received}).fingerprint()
	}
	assert.Equal(t, fingerprint("/free/a%2Fb|1"), fingerprint("/free/a%2Fb|1"))
	assert.Assert(t, fingerprint("/free/a%2Fb|1") != fingerprint("/free/a/b|1"))
	assert.Equal(t, fingerprint("http://site.example/free/a|1"), fingerprint("/free/a|1"))
}
