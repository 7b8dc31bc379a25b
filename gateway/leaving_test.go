package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// drain is the users' bound: what a caller sends to a host later than this after the host has
// passed on an answer that says so must not reach a server that leaves.
const drain = 2 * time.Second

// Guards against hosts that go on sending to a server which says in its answers that it
// leaves, while its entry can't be written.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for name, play := range map[string]struct {
		path    string
		leaving []string
		away    bool // the store, from before the servers leave on
	}{
		"owner of keys, store away":              {path: "/keyed/", leaving: []string{"k1"}, away: true},
		"all owners of keys, store away":         {path: "/keyed/", leaving: []string{"k0", "k1", "k2", "k3"}, away: true},
		"one of many servers, store away":        {path: "/free/", leaving: []string{"f1"}, away: true},
		"all servers, store away":                {path: "/free/", leaving: []string{"f0", "f1", "f2", "f3"}, away: true},
		"owner of keys whose entry says ready":   {path: "/keyed/", leaving: []string{"k1"}},
		"one of many whose entry says ready":     {path: "/free/", leaving: []string{"f1"}},
		"two services at once, keys, store away": {path: "/keyed/", leaving: []string{"k2", "f2"}, away: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := limitSite(t, 3)
			s.store.SetFaults(platformtest.Faults{Refuse: play.away})
			for _, id := range play.leaving {
				s.servers[id].SetLeaving()
			}
			sent, served := s.play(limitedLoad{path: play.path, callers: 6, length: drain + 2*time.Second})
			t.Logf("%d of %d served", served, sent)
			for _, id := range play.leaving {
				late := s.servers[id].LateToLeaving(drain)
				t.Logf("%s told %d hosts that it leaves", id, s.servers[id].ToldLeaving())
				assert.Equal(t, len(late), 0, "%s got %d, the last %+v", id, len(late), last(late))
			}
		})
	}
}

func last[T any](of []T) T {
	var none T
	if len(of) == 0 {
		return none
	}
	return of[len(of)-1]
}

// Guards against the keys of a server that says that it leaves staying there: its callers
// would be turned away although other servers could own them.
func TestKeysOfAServerThatSaysItLeavesPassOn(t *testing.T) {
	s := limitSite(t, 2)
	s.servers["k1"].SetLeaving()
	s.play(limitedLoad{path: "/keyed/", callers: 4, length: 2 * time.Second})
	sent, served := s.play(limitedLoad{path: "/keyed/", callers: 4, length: time.Second})
	assert.Equal(t, served, sent)
	assert.Equal(t, len(s.servers["k1"].LateToLeaving(drain)), 0)
}

// leave lets an owner of keys say that it leaves, and has one host hear it.
func (s *site) leave(h *hostUnderTest, id string) {
	s.t.Helper()
	s.servers[id].SetLeaving()
	for key := 0; s.servers[id].ToldLeaving() == 0; key += 1021 {
		assert.Assert(s.t, key <= 65535, "%s owns no key of the sample", id)
		s.call(h, http.MethodGet, "/keyed/x", strconv.Itoa(key), "")
	}
}

// knowsLeaving waits until a host knows of one server that leaves.
func (s *site) knowsLeaving(hosts ...*hostUnderTest) {
	s.t.Helper()
	for _, h := range hosts {
		s.eventually("a host knows which server leaves", func() bool { return metric(h, "cicada_leaving_servers") == "1" })
	}
}

// Guards against a server that only one host has heard leave: the others would go on sending
// to it until it is gone, and lose what they sent.
func TestHostsTellEachOtherThatAServerLeaves(t *testing.T) {
	s := limitSite(t, 3)
	s.leave(s.hosts[1], "k1")
	s.knowsLeaving(s.hosts...)
	assert.Equal(t, s.servers["k1"].ToldLeaving(), 1)
}

// Guards against a host that starts and sends to servers which all others know to leave.
func TestHostThatStartsIsToldWhichServersLeave(t *testing.T) {
	s := limitSite(t, 2)
	s.leave(s.hosts[0], "k1")
	s.knowsLeaving(s.hosts...)
	s.knowsLeaving(s.startHost("host-late"))
}

// Guards against a server that is lost to a wrong word: it said that it leaves, stays, and its
// entry says that it is ready.
func TestServerThatStaysAfterAllIsUsedAgain(t *testing.T) {
	s := limitSite(t, 2)
	s.leave(s.hosts[0], "k1")
	s.knowsLeaving(s.hosts...)
	s.servers["k1"].TakeBackLeaving()
	before := len(s.servers["k1"].Runs())
	s.eventually("it is used again", func() bool {
		for key := 0; key <= 65535; key += 4096 {
			s.call(s.hosts[0], http.MethodGet, "/keyed/x", strconv.Itoa(key), "")
		}
		return len(s.servers["k1"].Runs()) > before
	})
}
