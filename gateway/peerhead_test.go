package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// Guards against what another host sends being read under a malformed head: lists, reports, confirmations.
func TestPeerResponsesWithMalformedHeads(t *testing.T) {
	g := &Gateway{peerClient: newPeerClient()}
	for name, text := range platformtest.MalformedResponses("", `{"hosts":3}`) {
		address, err := platformtest.ServeRaw(t.Context(), func(*http.Request, int) (string, bool) { return text, false })
		assert.NilError(t, err)
		var answer loadAnswer
		err = g.callPeer(t.Context(), peerTimeout, address, pathLoad, loadReport{}, &answer)
		assert.Check(t, err != nil, "%s: answered with %d hosts", name, answer.Hosts)
	}
}
