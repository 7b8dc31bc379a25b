package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"cicadarouter/host/clock"
	"cicadarouter/keyspace"
)

// Times and bounds of queries to relays.
const (
	// relayQueryInterval is the interval at which a host checks whether it has to query a
	// relay.
	relayQueryInterval = 100 * time.Millisecond
	// relayQueryTimeout bounds a query: hosts answer within milliseconds.
	relayQueryTimeout = 300 * time.Millisecond
	// maxDirectListHosts is how many hosts may read the entries of all servers from the store
	// at once.
	maxDirectListHosts = 64
	// relayQueryPause is the pause after no relay could confirm the state of the store: all of
	// them may be cut off together, or the store is unavailable for all.
	relayQueryPause = 400 * time.Millisecond
)

// sources are the hosts that this one may follow or query when the controller does not answer.
type sources struct {
	self string // this host's address
	// offset differs between hosts, so that they don't all start with the same relay.
	offset int

	mu sync.Mutex
	// fromController are the relays that a controller named last, fromAssignment the
	// controller and relays that an assignment in the store names. A host that has just
	// started knows only the latter.
	fromController, fromAssignment []string
	// assignedHosts is how many hosts an assignment names, and isRelay is set if this host is
	// a relay by that assignment or its controller.
	assignedHosts int
	isRelay       bool
	// controller is the address of the controller that an assignment names. It is not queried
	// as a relay, since all hosts report to it.
	controller string
	// followRelay is set if this host should follow a relay even while the controller answers.
	followRelay bool
	// seeds are the addresses from the settings, for a host that has just started and can't
	// reach the store.
	seeds  []string
	next   int // index of the current candidate
	misses int // consecutive candidates that could not help
}

// newSources returns the hosts that a host that has just started may ask: its seeds. While the
// whole system starts for the first time there are none: no host knows more than stale reads
// of the store return at a tenth of the cost, and hundreds of hosts would ask three seeds.
func newSources(identity Identity) *sources {
	s := &sources{self: identity.PeerAddress, offset: int(hashName(identity.Host))}
	if !identity.FirstStart {
		s.seeds = identity.Seeds
	}
	return s
}

// updateFromController sets the relays that a controller named, and whether to follow one of
// them.
func (s *sources) updateFromController(relays []string, follow bool) {
	if len(relays) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followRelay = follow && !slices.Contains(relays, s.self)
	if !slices.Equal(s.fromController, relays) {
		s.fromController, s.next, s.misses = slices.Clone(relays), 0, 0
	}
}

// upstream returns the host to follow while a controller answers: a relay in a large fleet,
// else the controller itself.
func (s *sources) upstream(controller string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relay := s.currentLocked(); s.followRelay && relay != "" {
		return relay
	}
	return controller
}

// updateFromAssignment takes the relays and the controller from an assignment.
func (s *sources) updateFromAssignment(controller keyspace.Controller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignedHosts = max(s.assignedHosts, controller.Hosts)
	s.isRelay = controller.Address == s.self || slices.Contains(controller.Relays, s.self)
	relays := slices.Clone(controller.Relays)
	if n := len(relays); n > 0 {
		relays = slices.Concat(relays[s.offset%n:], relays[:s.offset%n])
	}
	s.fromAssignment, s.controller = append(relays, controller.Address), controller.Address
}

// listsFromHosts reports whether this host should list the servers from other hosts when it
// starts: there are many hosts, and it is neither a relay nor the controller.
func (s *sources) listsFromHosts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignedHosts > maxDirectListHosts && !s.isRelay
}

func (s *sources) controllerAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller
}

// hostCount returns how many hosts an assignment names; 0 if none does.
func (s *sources) hostCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignedHosts
}

// hasCandidate reports whether there is a host to ask.
func (s *sources) hasCandidate() bool { return s.current() != "" }

// current returns the host to ask; empty if none is known.
func (s *sources) current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLocked()
}

// currentLocked is current for callers that hold the lock.
func (s *sources) currentLocked() string {
	candidates := s.candidates()
	if len(candidates) == 0 {
		return ""
	}
	return candidates[s.next%len(candidates)]
}

// relay returns the relay to query; empty if none is known.
func (s *sources) relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := slices.DeleteFunc(s.candidates(), func(address string) bool { return address == s.controller })
	if len(candidates) == 0 {
		return ""
	}
	return candidates[s.next%len(candidates)]
}

// candidates returns the hosts to ask: those that a controller named, else those of an
// assignment, else the seeds. The caller holds the lock.
func (s *sources) candidates() []string {
	candidates := s.fromController
	if len(candidates) == 0 {
		candidates = s.fromAssignment
	}
	if len(candidates) == 0 {
		candidates = s.seeds
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(address string) bool { return address == s.self || address == "" })
}

// noteMiss records that the current host could not help and moves on to the next. It reports
// whether none of the candidates could.
func (s *sources) noteMiss() (all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.misses++
	if s.misses < len(s.candidates()) {
		return false
	}
	s.misses = 0
	return true
}

// skip moves on to the next host if the host that failed is the current one.
func (s *sources) skip(failed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentLocked() == failed {
		s.next++
	}
}

// resetMisses records that the current host confirmed the state of the store.
func (s *sources) resetMisses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misses = 0
}

// sourceRequest asks a relay how recent its view of the store is.
type sourceRequest struct {
	Host string `json:"host"`
}

// sourceResponse tells how old a host's view of the store may be.
type sourceResponse struct {
	// AgeMs is that age in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Revisions are the revisions at which each watched kind last changed.
	Revisions map[string]uint64 `json:"revisions"`
	// AgesMs holds the age of the host's copy of each kind, in milliseconds. Hosts of earlier
	// versions don't send it.
	AgesMs map[string]int64 `json:"agesMs,omitempty"`
}

// queryRelays queries relays for a confirmation of the state of the store while no
// controller sends one.
func (g *Gateway) queryRelays(ctx context.Context) {
	following := ""
	for ctx.Err() == nil {
		clock.Sleep(ctx, relayQueryInterval)
		now := g.now()
		if !g.freshness.needsRelay(now) && (following == "" || !g.freshness.renewalDue(now, following)) {
			continue
		}
		address := g.sources.relay()
		if address == "" {
			continue
		}
		answer, err := g.queryRelay(ctx, address)
		age := time.Duration(answer.AgeMs) * time.Millisecond
		if err != nil || age >= g.freshness.validFor() {
			following = ""
			if g.sources.noteMiss() {
				g.log.Info("no relay has the store's word", "last", address, "age-ms", answer.AgeMs, "error", errorText(err))
				clock.Sleep(ctx, relayQueryPause)
			}
			continue
		}
		g.sources.resetMisses()
		g.markStoreAvailable(readHost, address) // the relay passes on what this host can't read from the store
		behind := g.acceptConfirmation(g.now(), confirmation{confirmedAt: now - age, sender: address, source: address, revisions: answer.Revisions,
			askedAt: now, agesMs: answer.AgesMs})
		if following != address || len(behind) > 0 {
			g.log.Info("relay vouches for the store's state", "relay", address, "age-ms", answer.AgeMs, "behind", behind)
		}
		following = address
	}
}

func (g *Gateway) queryRelay(ctx context.Context, address string) (sourceResponse, error) {
	var answer sourceResponse
	err := g.callPeer(ctx, relayQueryTimeout, address, pathSource, sourceRequest{Host: g.identity.Host}, &answer)
	return answer, err
}

// handleSource handles a query to this host as a relay.
func (g *Gateway) handleSource(w http.ResponseWriter, r *http.Request) {
	var question sourceRequest
	if !g.decodePeerRequest(w, r, &question) {
		return
	}
	now := g.now()
	age, revisions := g.freshness.noteRelayQuery(now)
	g.writePeerResponse(w, r, sourceResponse{AgeMs: age.Milliseconds(), Revisions: revisions, AgesMs: g.freshness.copyAges(now)})
}
