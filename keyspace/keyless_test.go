package keyspace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A controller without keys has nothing to grant or move, and marks its record as keyless.
func TestControllerWithoutKeys(t *testing.T) {
	one, two := Controller{Host: "one", Incarnation: 1}, Controller{Host: "two", Incarnation: 2}
	first := NewKeylessRecord(one, 0)
	assert.NilError(t, first.Validate())
	m := New(first, 0, 0)
	for now := time.Duration(0); now < 10*time.Second; now += time.Second {
		m.Confirm(now)
		assert.Equal(t, len(m.Step(now, nil)), 0)
		assert.Assert(t, m.Pending() == nil)
	}
	next := first.TakeOver(two)
	assert.Assert(t, next.Keyless)
	assert.NilError(t, next.Validate())
	adopted := Adopt(next, 0, 0)
	assert.DeepEqual(t, adopted.UnfencedPredecessors(0), []Controller{one})
	adopted.PredecessorStopped(time.Second, one)
	assert.Equal(t, len(adopted.UnfencedPredecessors(time.Second)), 0)
	next.Ranges = NewRecord(two, 0, []Server{{ID: "a", Slots: 1}}).Ranges
	assert.Assert(t, next.Validate() != nil, "ranges in a record without keys")
	assert.Assert(t, (&Record{}).Validate() != nil, "a record with keys but no ranges")
}
