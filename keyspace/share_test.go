package keyspace

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A key with more demand than its owner's capacity is listed with the share that fits; random
// variation in the demand for an ordinary key does not list it.
func TestShares(t *testing.T) {
	servers := []Server{{ID: "a", Slots: 4, Speed: 1}, {ID: "b", Slots: 4, Speed: 0.5}}
	m := New(NewRecord(Controller{}, 0, servers), 0, 0)
	const work = 400 * time.Millisecond
	asked := map[uint16]time.Duration{}
	var hot, busy uint16 = m.Record().Ranges[0].From, m.Record().Ranges[1].From
	assert.Equal(t, m.Record().RangeOf(hot).Server, "a")
	assert.Equal(t, m.Record().RangeOf(busy).Server, "b")
	for key := uint16(100); key < 200; key++ {
		asked[key] = work
	}
	asked[hot] = 40 * loadTimeConstant       // demand of 40 slots, capacity of 4
	asked[busy] = 25 * loadTimeConstant / 10 // demand of 2.5 slots, capacity of 2
	m.Loads().Add(0, asked, work)
	shares := m.AdmissionShares(servers)
	assert.Equal(t, len(shares), 1, "%v", shares)
	assert.Assert(t, math.Abs(shares[hot]-admissionMargin*4/40) < 1e-9, "%v", shares[hot])
	asked[hot] = 0
	m.Loads().Add(5*loadTimeConstant, asked, work)
	_, named := m.AdmissionShares(servers)[hot]
	assert.Assert(t, !named, "the load has decayed")
}
