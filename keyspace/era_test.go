package keyspace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking the record in a restored store for the newest although later writes
// were lost: it names owners that have released their keys.
func TestForgottenRecordsAreNewerThanTheRestoredOnes(t *testing.T) {
	one, two := Controller{Host: "one", Incarnation: 1}, Controller{Host: "two", Incarnation: 2}
	first := NewRecord(one, 0, []Server{{ID: "a", Slots: 1}})
	m := New(first, 0, 0)
	for m.Pending() == nil {
		for _, call := range m.Step(0, []Server{{ID: "b", Slots: 1}, {ID: "a", Slots: 1, Leaving: true}}) {
			m.CallCompleted(call, CallDone, "", 0, 0)
		}
	}
	m.WriteAcknowledged(0)
	moved := m.Record()
	assert.Assert(t, first.OlderThan(moved), "each write makes a record newer")
	assert.Assert(t, !moved.OlderThan(first) && !moved.OlderThan(moved))
	successor := moved.TakeOverInEra(0, two)
	assert.Assert(t, moved.OlderThan(successor))

	m.RewriteLostRecord(1)
	m.WriteAcknowledged(0)
	again := m.Record()
	assert.Assert(t, successor.OlderThan(again), "newer than the record of a successor that the store has lost")
	assert.Assert(t, again.WrittenIn(1) && !again.WrittenIn(2) && !moved.WrittenIn(1))
	assert.Assert(t, again.LastToken >= moved.LastToken+tokensPerEra)
	assert.DeepEqual(t, again.Ranges, moved.Ranges)
}

// Guards against a controller that grants keys at once after it has taken over a record that
// is not the newest, so that it knows neither all holders nor all tokens.
func TestKeysOfAForgottenRecordWaitUntilAllLeasesHaveExpired(t *testing.T) {
	servers := []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}
	first := NewRecord(Controller{Host: "one", Incarnation: 1}, 0, servers)
	known := first.TakeOverInEra(1, Controller{Host: "two", Incarnation: 2})
	assert.Assert(t, known.LastToken > first.LastToken+tokensPerEra)
	m := Adopt(known, 0, 0)
	m.PredecessorStopped(0, first.Controller) // controllers that the store has lost may still be running
	granted := time.Duration(-1)
	for now := time.Duration(0); now < 30*time.Second && granted < 0; now += 100 * time.Millisecond {
		m.Confirm(now)
		for _, call := range m.Step(now, servers) {
			if call.Kind == GrantCall {
				granted = now
				assert.Assert(t, call.Token > first.LastToken+tokensPerEra)
			} else {
				m.CallCompleted(call, CallDone, "", now, now) // both known holders release at once
			}
		}
		if m.Pending() != nil {
			m.WriteAcknowledged(now)
		}
	}
	assert.Assert(t, granted >= AuthorityTimeout+LeaseTerm, "granted after %v", granted)
	upgraded := NewRecord(Controller{Host: "one", Incarnation: 1}, 0, servers)
	upgraded.Era = 0
	assert.Equal(t, upgraded.TakeOverInEra(7, Controller{}).LastToken, upgraded.LastToken, "written by a host that reports no era")
}
