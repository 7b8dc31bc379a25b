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

// Times of asking relays.
const (
	// askEvery is how often a host without a source's word asks a relay.
	askEvery = 100 * time.Millisecond
	// askTimeout bounds the question: hosts answer within milliseconds.
	askTimeout = 300 * time.Millisecond
	// fewHosts is how many hosts may read the entries of all servers in the store at once.
	fewHosts = 64
	// askPause is left when no relay had the store's word: all of them may be cut
	// off together, or the store is away for all.
	askPause = 400 * time.Millisecond
)

// sources are the hosts that this one may ask in a controller's place.
type sources struct {
	self string // this host's address
	// turn differs between hosts, so that they do not all begin with the same relay.
	turn int

	mu sync.Mutex
	// named are those that the last answer of a controller named, written those
	// that an assignment in the store names. A host that has just started knows
	// the latter only.
	named, written []string
	// hosts is how many hosts an assignment names, and serves is set if this one is a relay
	// by it or was its controller.
	hosts  int
	serves bool
	// controller is the one that an assignment names. All hosts report to it, so it is not
	// asked in its own place.
	controller string
	// follow is set if this host is to follow a relay in the controller's place also
	// while that vouches.
	follow bool
	// seeds are those of the settings, for a host that has just started and does not
	// reach the store.
	seeds  []string
	next   int // index of the one to ask
	missed int // that had nothing to tell, one after the other
}

// newSources returns the hosts that one which has just started may ask. While the
// whole system starts for the first time nobody knows more than the store tells
// everybody at a tenth of the price, and hundreds of hosts would ask three.
func newSources(identity Identity) *sources {
	s := &sources{self: identity.PeerAddress, turn: int(hashName(identity.Host))}
	if !identity.FirstStart {
		s.seeds = identity.Seeds
	}
	return s
}

// name takes the relays that a controller names.
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

// upstream returns whom to follow while a controller vouches: a relay in a large
// fleet, else the controller itself.
func (s *sources) upstream(controller string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relay := s.pick(); s.follow && relay != "" {
		return relay
	}
	return controller
}

// read takes the hosts that an assignment names: its controller and the relays.
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

// asksHosts reports whether this host is to learn of the servers from others when it starts:
// there are many hosts, and it is not one of those that the others ask.
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

// known reports whether there is anybody to ask.
func (s *sources) known() bool { return s.current() != "" }

// current returns whom to ask; empty if nobody is known.
func (s *sources) current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pick()
}

// pick is current for callers with the lock.
func (s *sources) pick() string {
	candidates := s.candidates()
	if len(candidates) == 0 {
		return ""
	}
	return candidates[s.next%len(candidates)]
}

// relay returns whom to ask in the controller's place; empty if nobody is known.
func (s *sources) relay() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := slices.DeleteFunc(s.candidates(), func(address string) bool { return address == s.controller })
	if len(candidates) == 0 {
		return ""
	}
	return candidates[s.next%len(candidates)]
}

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

// miss notes that a host had nothing to tell, and reports whether none has.
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

// pass goes on to the next host if a host that failed is the current one.
func (s *sources) pass(failed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pick() == failed {
		s.next++
	}
}

// found notes that the current host had the store's word.
func (s *sources) found() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missed = 0
}

// sourceQuestion asks a host whether it has the store's word.
type sourceQuestion struct {
	Host string `json:"host"`
}

// sourceAnswer tells how old a host's knowledge of the store may be.
type sourceAnswer struct {
	// AgeMs is that age in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// Revisions tells at which revision each watched kind last changed.
	Revisions map[string]uint64 `json:"revisions"`
}

// followSources asks relays for the store's word while no controller gives it.
func (g *Gateway) followSources(ctx context.Context) {
	following := ""
	for ctx.Err() == nil {
		clock.Sleep(ctx, askEvery)
		now := g.now()
		if !g.freshness.needsSource(now) && (following == "" || !g.freshness.renewal(now, following)) {
			continue
		}
		address := g.sources.relay()
		if address == "" {
			continue
		}
		answer, err := g.askSource(ctx, address)
		age := time.Duration(answer.AgeMs) * time.Millisecond
		if err != nil || age >= g.freshness.vouchedFor() {
			following = ""
			if g.sources.miss() {
				g.log.Info("no relay has the store's word", "last", address, "age-ms", answer.AgeMs, "error", errorText(err))
				clock.Sleep(ctx, askPause)
			}
			continue
		}
		g.sources.found()
		g.storeReach.back() // what this host can't read in the store it hears from the relay
		behind := g.freshness.told(g.now(), word{confirmed: now - age, teller: address, source: address, revisions: answer.Revisions})
		if following != address || len(behind) > 0 {
			g.log.Info("relay vouches for the store's state", "relay", address, "age-ms", answer.AgeMs, "behind", behind)
		}
		following = address
	}
}

func (g *Gateway) askSource(ctx context.Context, address string) (sourceAnswer, error) {
	var answer sourceAnswer
	err := g.callPeer(ctx, askTimeout, address, pathSource, sourceQuestion{Host: g.identity.Host}, &answer)
	return answer, err
}

// answerSource answers a host that asks this one in a controller's place.
func (g *Gateway) answerSource(w http.ResponseWriter, r *http.Request) {
	var question sourceQuestion
	if !g.decodePeerRequest(w, r, &question) {
		return
	}
	age, revisions := g.freshness.question(g.now())
	g.writePeerResponse(w, r, sourceAnswer{AgeMs: age.Milliseconds(), Revisions: revisions})
}
