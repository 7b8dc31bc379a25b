package httpstore

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/platform"
	"cicadarouter/platform/platformtest"
	"cicadarouter/record"
)

// Guards against a deeply nested record that makes a list of all records unreadable, so that a controller
// or a router stops following the store.
func TestNestedRecordDoesNotAffectOthers(t *testing.T) {
	serve := func(status int, body string) *Client {
		text := fmt.Sprintf("HTTP/1.1 %d Text\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		address, err := platformtest.ServeRaw(t.Context(), func(*http.Request, int) (string, bool) { return text, false })
		assert.NilError(t, err)
		return New(address, "a")
	}
	ref := record.Ref{Kind: "server", Name: "odd"}
	for _, levels := range []int{2_000, 9_997, 9_999, 10_001, 500_000} {
		odd := `{"kind":"server","name":"odd","schema":"v1","version":3,"spec":{"address":` + platformtest.Nested(levels) + `}}`
		body := `{"revision":4,"objects":[` + odd + `,{"kind":"server","name":"good","schema":"v1","version":4,"spec":{"address":"x"}}]}`
		listed, err := serve(http.StatusOK, body).List(t.Context())
		assert.Check(t, err, "%d levels", levels)
		watched, err := serve(http.StatusOK, body).Watch(t.Context(), 1, time.Second)
		assert.Check(t, err, "%d levels", levels)
		for _, snapshot := range []platform.Snapshot{listed, watched} {
			if assert.Check(t, len(snapshot.Objects) == 2, "%d levels: %d objects", levels, len(snapshot.Objects)) {
				_, err := record.DecodeServer(snapshot.Objects[0].Envelope)
				assert.Check(t, err != nil && len(snapshot.Objects[0].Spec) < 100, "%d levels", levels)
				assert.Check(t, string(snapshot.Objects[1].Spec) == `{"address":"x"}`, "%d levels", levels)
			}
		}
		_, err = serve(http.StatusOK, odd).Get(t.Context(), ref)
		assert.Check(t, err, "%d levels", levels)
		err = serve(http.StatusConflict, odd).Delete(t.Context(), ref, 1)
		var conflict *platform.ConflictError
		assert.Check(t, errors.As(err, &conflict), "%d levels: %v", levels, err)
	}
}
