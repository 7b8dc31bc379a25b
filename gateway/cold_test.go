package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// Guards against hosts that send a restarted server the load of a warm one while the registry
// can't be read.
func TestRestartedServerIsColdBeforeTheRegistrySaysSo(t *testing.T) {
	const perSecond, most = 40, 40*3/2 + 8
	s := newSite(t)
	server := &platformtest.Server{ID: "f1", Slots: 8, Work: time.Millisecond}
	process, err := platformtest.StartProcess(t.Context(), "127.0.0.1:0", server)
	assert.NilError(t, err)
	s.register("f1", "free", process.Address(), "ready")
	s.startServer("f2", "free", false)
	s.configureCold(3, perSecond)
	for i := range 3 {
		s.startHost(fmt.Sprintf("host-%d", i))
	}
	s.eventually("the hosts are counted", func() bool { return s.countsHosts(3) })
	began := time.Now()
	var restarted time.Time
	s.sendLoad(limitedLoad{path: "/free/", callers: 60, length: 4 * time.Second, during: func(ctx context.Context) {
		time.Sleep(time.Second)
		s.store.SetFaults(platformtest.Faults{RejectCalls: true})
		process.End()
		server.SetCold(time.Now().Add(3 * time.Second))
		restarted = time.Now()
		assert.Check(t, process.Start(server))
	}})
	warm, cold := platformtest.BusiestSecond(server.Runs(), began, restarted), platformtest.BusiestSecond(server.Runs(), restarted, restarted.Add(3*time.Second))
	t.Logf("at most %d requests in a second before the restart, %d after it", warm, cold)
	assert.Assert(t, warm > most, "there is too little load to show anything")
	assert.Assert(t, cold <= most, "%d requests in one second, %d may", cold, most)
}

// countsHosts reports whether all hosts know the number of hosts.
func (s *site) countsHosts(hosts int) bool {
	for _, h := range s.hosts {
		if metric(h, "cicada_hosts") != fmt.Sprint(hosts) {
			return false
		}
	}
	return true
}
