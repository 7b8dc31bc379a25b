package domain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/link/linkpb"
)

func serviceCounts(total, bad uint64) []*linkpb.ServiceCount {
	return []*linkpb.ServiceCount{{Service: "s", Total: total, Bad: bad, Causes: map[string]uint64{"overload": bad}}}
}

// Guards against counts that are lost or added twice when a router restarts or a
// report is not delivered.
func TestCountsAreReportedOnce(t *testing.T) {
	r := newReporter()
	r.addRouterCounts(1, &linkpb.CountsReply{Incarnation: 1, Revision: 5, Services: serviceCounts(10, 1)})
	r.addRouterCounts(2, &linkpb.CountsReply{Incarnation: 1, Revision: 5, Services: serviceCounts(15, 1)})
	r.addRouterCounts(3, &linkpb.CountsReply{Incarnation: 2, Revision: 5, Services: serviceCounts(4, 2)})
	r.addChildReport(4, &linkpb.DomainReport{From: "child", Daemons: 2, Revision: 4, Lagging: []string{"child"}, Services: serviceCounts(100, 0)})
	first := r.takeTotal(5, "me", 6)
	assert.Equal(t, first.GetServices()[0].GetTotal(), uint64(119))
	assert.Equal(t, first.GetServices()[0].GetBad(), uint64(3))
	r.restore(first.GetServices())
	again := r.takeTotal(6, "me", 6)
	assert.Equal(t, again.GetServices()[0].GetTotal(), uint64(119))
	assert.Equal(t, len(r.takeTotal(7, "me", 6).GetServices()), 0)
}

// The report has the lowest revision and names the daemons at it. Children that have
// stopped reporting are removed.
func TestReportHasLowestRevision(t *testing.T) {
	r := newReporter()
	r.addRouterCounts(1, &linkpb.CountsReply{Revision: 9})
	r.addChildReport(1, &linkpb.DomainReport{From: "child", Daemons: 2, Revision: 4, Lagging: []string{"child router"}})
	total := r.takeTotal(2, "me", 9)
	assert.Equal(t, total.GetRevision(), uint64(4))
	assert.Equal(t, total.GetDaemons(), uint32(4))
	assert.DeepEqual(t, total.GetLagging(), []string{"child router"})
	r.addRouterCounts(maxReportAge, &linkpb.CountsReply{Revision: 9})
	later := r.takeTotal(maxReportAge+time.Second, "me", 9)
	assert.Equal(t, later.GetRevision(), uint64(9))
	assert.Equal(t, later.GetDaemons(), uint32(2))
}
