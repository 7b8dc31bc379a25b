package keyspace

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Loads decay with their time constant whenever reports come, and are dropped in the end.
func TestKeyLoadsDecay(t *testing.T) {
	loads := NewKeyLoads()
	loads.Add(0, map[uint16]time.Duration{1: loadTimeConstant}, time.Millisecond)
	want := 1.0
	const step = 400 * time.Millisecond
	for now := step; now <= 12*time.Second; now += step {
		loads.Add(now, map[uint16]time.Duration{2: loadTimeConstant / 10}, time.Millisecond)
		want *= math.Exp(-float64(step) / float64(loadTimeConstant))
		got := map[uint16]float64{}
		loads.forEach(func(k keyRate) { got[k.key] = k.rate })
		if want >= minRate {
			assert.Assert(t, math.Abs(got[1]-want) < 1e-9, "%v after %v, want %v", got[1], now, want)
		} else {
			assert.Equal(t, got[1], 0.0)
		}
		assert.Assert(t, got[2] >= 0.1 && got[2] < 0.5, "%v", got[2])
	}
	loads.Add(30*time.Second, nil, time.Millisecond)
	assert.Equal(t, len(loads.rates), 0, "keys without requests take memory")
}

// The record names live relays. Because writes are costly, the relays alone cause a write
// only when none of those in the record is a relay any more.
func TestRecordNamesRelays(t *testing.T) {
	servers := []Server{{ID: "a", Slots: 2, Speed: 1}}
	b := newHarness(t, New(NewRecord(Controller{Host: "one"}, 0, servers), 0, 0), 0)
	b.servers = servers
	written := func() []string { return b.m.Record().Controller.Relays }
	b.run(time.Second)
	assert.Equal(t, len(written()), 0)
	b.m.Advertise([]string{"x", "y"}, 3)
	b.run(2 * time.Second)
	assert.DeepEqual(t, written(), []string{"x", "y"})
	b.m.Advertise([]string{"y", "z"}, 3)
	b.run(3 * time.Second)
	assert.DeepEqual(t, written(), []string{"x", "y"})
	b.m.Advertise([]string{"z", "w"}, 3)
	b.run(4 * time.Second)
	assert.DeepEqual(t, written(), []string{"z", "w"})
	next := b.m.Record().TakeOver(Controller{Host: "two"})
	assert.DeepEqual(t, next.Controller.Relays, []string{"z", "w"})
	assert.Equal(t, len(next.Predecessors[0].Relays), 0)
}
