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
	// askEvery is the interval at which a host checks whether it has to query a relay.
	askEvery = 100 * time.Millisecond
	// askTimeout bounds a query: hosts answer within milliseconds.
	askTimeout = 300 * time.Millisecond
	// fewHosts is how many hosts may read the entries of all servers from the store at once.
	fewHosts = 64
	// askPause is the pause after no relay could confirm the state of the store: all of them
	// may be cut off together, or the store is unavailable for all.
	askPause = 400 * time.Millisecond
)

// sources are the hosts that this one may follow or query when the controller does not answer.
type sources struct {
	self string // this host's address
	// turn differs between hosts, so that they don't all start with the same relay.
	turn int

	mu sync.Mutex
	// named are the relays that a controller named last, written the controller and relays
	// that an assignment in the store names. A host that has just started knows only the
	// latter.
	named, written []string
	// hosts is how many hosts an assignment names, and serves is set if this host is a relay
	// by that assignment or its controller.
	hosts  int
	serves bool
	// controller is the address of the controller that an assignment names. It is not queried
	// as a relay, since all hosts report to it.
	controller string
	// follow is set if this host should follow a relay even while the controller answers.
	follow bool
	// seeds are the addresses from the settings, for a host that has just started and can't
	// reach the store.
	seeds  []string
	next   int // index of the current candidate
	missed int // consecutive candidates that could not help
}

// newSources returns the hosts that a host that has just started may ask: its seeds. While the
// whole system starts for the first time there are none: no host knows more than stale reads
// of the store return at a tenth of the cost, and hundreds of hosts would ask three seeds.
func newSources(identity Identity) *sources {
	s := &sources{self: identity.Peers, turn: int(hashOf(identity.Host))}
	if !identity.FirstStart {
		s.seeds = identity.Seeds
	}
	return s
}

// name sets the relays that a controller named, and whether to follow one of them.
func (s *sources) name(relays []string, follow bool) {
	if len(relays) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow = follow && !slices.Contains(relays, s.self)
	if !slices.Equal(s.named, relays) {
		s.named, s.next, s.missed = slices.Clone(relays), 0, 0
	}
}

// upstream returns the host to follow while a controller answers: a relay in a large fleet,
// else the controller itself.
func (s *sources) upstream(controller string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relay := s.pick(); s.follow && relay != "" {
		return relay
	}
	return controller
}

// read takes the relays and the controller from an assignment.
func (s *sources) read(controller keyspace.Controller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = max(s.hosts, controller.Hosts)
	s.serves = controller.Address == s.self || slices.Contains(controller.Relays, s.self)
	relays := slices.Clone(controller.Relays)
	if n := len(relays); n > 0 {
		relays = slices.Concat(relays[s.turn%n:], relays[:s.turn%n])
	}
	s.written, s.controller = append(relays, controller.Address), controller.Address
}

// asksHosts reports whether this host should list the servers from other hosts when it starts:
// there are many hosts, and it is neither a relay nor the controller.
func (s *sources) asksHosts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts > fewHosts && !s.serves
}

func (s *sources) controllerAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller
}

// hostsNamed returns how many hosts an assignment names; 0 if none does.
func (s *sources) hostsNamed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}

// known reports whether there is a host to ask.
func (s *sources) known() bool { return s.current() != "" }

// current returns the host to ask; empty if none is known.
func (s *sources) current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pick()
}

// pick is current for callers that hold the lock.
func (s *sources) pick() string {
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
	candidates := s.named
	if len(candidates) == 0 {
		candidates = s.written
	}
	if len(candidates) == 0 {
		candidates = s.seeds
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(address string) bool { return address == s.self || address == "" })
}

// miss records that the current host could not help and moves on to the next. It reports
// whether none of the candidates could.
func (s *sources) miss() (all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.missed++
	if s.missed < len(s.candidates()) {
		return false
	}
	s.missed = 0
	return true
}

// pass moves on to the next host if the host that failed is the current one.
func (s *sources) pass(failed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pick() == failed {
		s.next++
	}
}

// found records that the current host confirmed the state of the store.
func (s *sources) found() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missed = 0
}

// sourceQuestion asks a relay how recent its view of the store is.
type sourceQuestion struct {
	Host string `json:"host"`
}

// sourceAnswer tells how old a host's view of the store may be.
type sourceAnswer struct {
	// AgeMs is that age in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Revisions are the revisions at which each watched kind last changed.
	Revisions map[string]uint64 `json:"revisions"`
}

// followSources queries relays for a confirmation of the state of the store while no
// controller sends one.
func (g *Gateway) followSources(ctx context.Context) {
	following := ""
	for ctx.Err() == nil {
		clock.Sleep(ctx, askEvery)
		now := g.now()
		if !g.fresh.needsSource(now) && (following == "" || !g.fresh.renewal(now, following)) {
			continue
		}
		address := g.sources.relay()
		if address == "" {
			continue
		}
		answer, err := g.askSource(ctx, address)
		age := time.Duration(answer.AgeMs) * time.Millisecond
		if err != nil || age >= g.fresh.vouchedFor() {
			following = ""
			if g.sources.miss() {
				g.log.Info("no relay has the store's word", "last", address, "age-ms", answer.AgeMs, "error", errorText(err))
				clock.Sleep(ctx, askPause)
			}
			continue
		}
		g.sources.found()
		g.reach.back() // the relay passes on what this host can't read from the store
		behind := g.fresh.told(g.now(), word{confirmed: now - age, teller: address, source: address, revisions: answer.Revisions})
		if following != address || len(behind) > 0 {
			g.log.Info("relay vouches for the store's state", "relay", address, "age-ms", answer.AgeMs, "behind", behind)
		}
		following = address
	}
}

func (g *Gateway) askSource(ctx context.Context, address string) (sourceAnswer, error) {
	var answer sourceAnswer
	err := g.askPeer(ctx, askTimeout, address, pathSource, sourceQuestion{Host: g.identity.Host}, &answer)
	return answer, err
}

// answerSource handles a query to this host as a relay.
func (g *Gateway) answerSource(w http.ResponseWriter, r *http.Request) {
	var question sourceQuestion
	if !g.readPeer(w, r, &question) {
		return
	}
	age, revisions := g.fresh.question(g.now())
	g.writePeer(w, r, sourceAnswer{AgeMs: age.Milliseconds(), Revisions: revisions})
}
