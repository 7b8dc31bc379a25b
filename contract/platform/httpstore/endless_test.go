package httpstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// Guards against calls to the store that read a response without end until their deadline.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, form := range platformtest.EndlessForms() {
		t.Run(form.String(), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			address, err := platformtest.ServeEndless(ctx, form)
			assert.NilError(t, err)
			_, err = New(address, "a").Watch(ctx, 1, time.Minute)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
		})
	}
}
