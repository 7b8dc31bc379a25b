package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// maxDelayAfterLeaving bounds how long a leaving server may still get requests. Once a host has
// forwarded a response that announces it, requests that callers send later than this must not
// reach the server.
const maxDelayAfterLeaving = 2 * time.Second

// Guards against hosts that keep sending to a server which announces in its responses that it is
// leaving while its registry entry can't be written.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for name, play := range map[string]struct {
		path    string
		leaving []string
		away    bool // the store is down, from before the servers leave
	}{
		"owner of keys, store down":              {path: "/keyed/", leaving: []string{"k1"}, away: true},
		"all owners of keys, store down":         {path: "/keyed/", leaving: []string{"k0", "k1", "k2", "k3"}, away: true},
		"one of many servers, store down":        {path: "/free/", leaving: []string{"f1"}, away: true},
		"all servers, store down":                {path: "/free/", leaving: []string{"f0", "f1", "f2", "f3"}, away: true},
		"owner of keys whose entry says ready":   {path: "/keyed/", leaving: []string{"k1"}},
		"one of many whose entry says ready":     {path: "/free/", leaving: []string{"f1"}},
		"two services at once, keys, store down": {path: "/keyed/", leaving: []string{"k2", "f2"}, away: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitSite(t, 3)
			s.store.SetFaults(platformtest.Faults{RejectCalls: play.away})
			for _, id := range play.leaving {
				s.servers[id].SetLeaving()
			}
			sent, served := s.sendLoad(limitedLoad{path: play.path, callers: 6, length: maxDelayAfterLeaving + 2*time.Second})
			t.Logf("%d of %d served", served, sent)
			for _, id := range play.leaving {
				late := s.servers[id].LateArrivals(maxDelayAfterLeaving)
				t.Logf("%s announced to %d hosts that it is leaving", id, s.servers[id].HostsNotifiedOfLeaving())
				assert.Equal(t, len(late), 0, "%s got %d, the last %+v", id, len(late), last(late))
			}
		})
	}
}

// last returns the last item, or zero if there is none.
func last[T any](items []T) T {
	var none T
	if len(items) == 0 {
		return none
	}
	return items[len(items)-1]
}

// Guards against keys staying at a server that announced that it is leaving: requests for them
// would be rejected although other servers could own the keys.
func TestKeysOfAServerThatSaysItLeavesPassOn(t *testing.T) {
	s := newLimitSite(t, 2)
	s.servers["k1"].SetLeaving()
	s.sendLoad(limitedLoad{path: "/keyed/", callers: 4, length: 2 * time.Second})
	sent, served := s.sendLoad(limitedLoad{path: "/keyed/", callers: 4, length: time.Second})
	assert.Equal(t, served, sent)
	assert.Equal(t, len(s.servers["k1"].LateArrivals(maxDelayAfterLeaving)), 0)
}

// announceLeaving makes an owner of keys announce that it is leaving, and lets one host receive that.
func (s *site) announceLeaving(h *hostUnderTest, id string) {
	s.t.Helper()
	s.servers[id].SetLeaving()
	for key := 0; s.servers[id].HostsNotifiedOfLeaving() == 0; key += 1021 {
		assert.Assert(s.t, key <= 65535, "%s owns no key of the sample", id)
		s.call(h, http.MethodGet, "/keyed/x", strconv.Itoa(key), "")
	}
}

// awaitLeavingKnown waits until each of the hosts knows of one leaving server.
func (s *site) awaitLeavingKnown(hosts ...*hostUnderTest) {
	s.t.Helper()
	for _, h := range hosts {
		s.eventually("a host knows which server is leaving", func() bool { return metric(h, "cicada_leaving_servers") == "1" })
	}
}

// Guards against a leaving server that only one host knows of: the others would keep sending to
// it until it ends, and lose those requests.
func TestHostsTellEachOtherThatAServerLeaves(t *testing.T) {
	s := newLimitSite(t, 3)
	s.announceLeaving(s.hosts[1], "k1")
	s.awaitLeavingKnown(s.hosts...)
	assert.Equal(t, s.servers["k1"].HostsNotifiedOfLeaving(), 1)
}

// Guards against a newly started host that sends to servers which all others know to be leaving.
func TestHostThatStartsIsToldWhichServersLeave(t *testing.T) {
	s := newLimitSite(t, 2)
	s.announceLeaving(s.hosts[0], "k1")
	s.awaitLeavingKnown(s.hosts...)
	s.awaitLeavingKnown(s.startHost("host-late"))
}

// Guards against a server that is never used again after it announced that it is leaving, although
// it stays and its entry says that it is ready.
func TestServerThatStaysAfterAllIsUsedAgain(t *testing.T) {
	s := newLimitSite(t, 2)
	s.announceLeaving(s.hosts[0], "k1")
	s.awaitLeavingKnown(s.hosts...)
	s.servers["k1"].ClearLeaving()
	before := len(s.servers["k1"].Runs())
	s.eventually("the server is used again", func() bool {
		for key := 0; key <= 65535; key += 4096 {
			s.call(s.hosts[0], http.MethodGet, "/keyed/x", strconv.Itoa(key), "")
		}
		return len(s.servers["k1"].Runs()) > before
	})
}
