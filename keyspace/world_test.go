package keyspace

import (
	"encoding/json"
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// simulation is the actual state of a system of which state machines know only a part: a
// store, servers with the leases that they really hold, and calls in flight.
type world struct {
	t       *rapid.T
	now     time.Duration
	stored  *Record
	version int
	servers []*trueServer
	hosts   []*trueHost
	calls   []*trueCall
	term    uint64
	// era counts how often the store has been restored from its backup.
	era     uint64
	copied  *Record
	copyOf  int         // the version of that backup
	latest  *Record     // the newest record that any store has acknowledged
	granted []trueGrant // grants that took effect, for the check of tokens
}

// simServer is a backend server.
type trueServer struct {
	id    string
	start int64
	// entryStart is the start time in its entry, which is outdated for a server that is cut
	// off from the registry.
	told   int64
	lives  int            // number of starts
	starts map[int64]bool // all of its start times
	// address is where it listens, entryAddress the address in its entry. addressReused is
	// set when another server has got the address after the end of this one.
	address, toldAt int
	taken           bool
	up              bool
	registered      bool
	leaving         bool
	// clockSlowness is how much time its clock loses, in percent.
	slow  int
	holds []trueHold
}

// simLease is a lease that a server holds.
type trueHold struct {
	from, to uint16
	token    uint64
	until    time.Duration
}

// simHost is a process that may be a controller.
type trueHost struct {
	id          int
	incarnation uint64
	machine     *Machine
	version     int    // of the state machine's record
	era         uint64 // of version
	frozen      bool
	cut         bool // from the store
	write       *trueWrite
}

// simWrite is a write in flight to the store.
type trueWrite struct {
	host    *trueHost
	machine *Machine
	record  *Record
	version int
	era     uint64
	began   time.Duration
}

// simCall is a call in flight to a server.
type trueCall struct {
	host    *trueHost
	machine *Machine
	call    Call
	began   time.Duration
	arrived time.Duration
	here    bool // has arrived
	life    int  // the server's number of starts at arrival
	address int  // where it was sent
	done    bool // took effect
	told    bool // its result was passed to the state machine
	refused bool
}

// firstStart is the first start time of the servers, in Unix milliseconds.
const firstStart = 1_700_000_000_000

const tick = 50 * time.Millisecond

func newWorld(t *rapid.T) *world {
	w := newServers(t)
	w.begin(First(w.controller(w.hosts[0]), 0, w.eligible()))
	return w
}

// newUnassignedSimulation returns a simulation whose first controller has not made an
// assignment yet.
func newUnassignedWorld(t *rapid.T) *world {
	w := newServers(t)
	w.begin(FirstUnassigned(w.controller(w.hosts[0]), 0))
	return w
}

func newServers(t *rapid.T) *world {
	w := &world{t: t, now: time.Second}
	for i := range 4 {
		w.servers = append(w.servers, &trueServer{id: fmt.Sprintf("s%d", i), start: firstStart, told: firstStart, starts: map[int64]bool{firstStart: true}, up: true, registered: i < 3, slow: i % 3})
	}
	for i := range 3 {
		w.hosts = append(w.hosts, &trueHost{id: i, incarnation: uint64(i + 1)})
	}
	return w
}

// begin puts the first record into the store and makes the first host the controller.
func (w *world) begin(record *Record) {
	first := w.hosts[0]
	w.stored, w.version, w.term, w.latest = record, 1, 1, record
	w.copied, w.copyOf = record, 1
	first.machine, first.version = New(record, w.now, w.now), 1
}

func (w *world) controller(h *trueHost) Controller {
	return Controller{Host: fmt.Sprint(h.id), Incarnation: h.incarnation}
}

func (w *world) eligible() []Server {
	var servers []Server
	for _, s := range w.servers {
		if s.registered {
			servers = append(servers, Server{ID: s.id, Start: s.told, Slots: 2, Speed: 1, Leaving: s.leaving})
		}
	}
	return servers
}

func (w *world) server(id string) *trueServer {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// advance lets time pass in small steps, and checks the invariant at each.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += tick
		w.abortOld()
		w.check()
	}
}

// abortOld aborts calls that have been in flight for maxCallTime. A call that has not arrived
// by then never does.
func (w *world) abortOld() {
	kept := w.calls[:0]
	for _, c := range w.calls {
		if w.now-c.began < underWay || c.told && c.done {
			if !(c.told && c.done) {
				kept = append(kept, c)
			}
			continue
		}
		if !c.told {
			c.told = true
			w.tell(c, CallUnanswered, "")
		}
		if c.here && !c.done {
			kept = append(kept, c) // it may still take effect
		}
	}
	w.calls = kept
}

func (w *world) tell(c *trueCall, result CallResult, handoff string) {
	if c.host.machine == c.machine {
		c.machine.Answered(c.call, result, handoff, c.began, w.now)
	}
}

// step steps a host's state machine.
func (w *world) step(h *trueHost) {
	if h.machine == nil || h.frozen {
		return
	}
	h.machine.AssignFirst(w.now, w.eligible())
	for _, call := range h.machine.Step(w.now, w.eligible()) {
		if w.server(call.Server) == nil {
			h.machine.Answered(call, CallUnanswered, "", w.now, w.now) // its address is unknown
			continue
		}
		w.calls = append(w.calls, &trueCall{host: h, machine: h.machine, call: call, began: w.now, address: w.server(call.Server).toldAt})
	}
	if pending := h.machine.Pending(); pending != nil && h.write == nil {
		h.write = &trueWrite{host: h, machine: h.machine, record: pending.Clone(), version: h.version, era: h.era, began: w.now}
	}
}

// effect lets an arrived call take effect.
func (w *world) effect(c *trueCall) {
	c.done = true
	s := w.server(c.call.Server)
	if !s.up || s.lives != c.life {
		c.refused = true
		return
	}
	switch c.call.Kind {
	case GrantCall:
		for _, hold := range s.holds {
			if hold.from <= c.call.To && hold.to >= c.call.From && hold.token > c.call.Token {
				c.refused = true
				return
			}
		}
		w.checkToken(c)
		until := c.arrived + LeaseTerm*time.Duration(100+s.slow)/100
		s.holds = append(s.holds, trueHold{from: c.call.From, to: c.call.To, token: c.call.Token, until: until})
	case ReleaseCall:
		s.drop(c.call.From, c.call.To)
	}
}

// arrive lets a call reach the current process of the server if it listens at the address to
// which the call was sent.
func (w *world) arrive(c *trueCall) {
	s := w.server(c.call.Server)
	if c.address == s.address {
		c.here, c.arrived, c.life = true, w.now, s.lives
	}
}

// updateEntry brings the entry of a server up to date.
func (s *trueServer) tells() { s.told, s.toldAt = s.start, s.address }

// restart restarts a server under its ID. It holds nothing, has lost the tokens that it had
// seen, and does not answer earlier calls.
func (s *trueServer) restart(start int64) {
	for s.starts[start] {
		start++ // no two starts are within the same millisecond
	}
	s.starts[start] = true
	if s.taken {
		s.address++
		s.taken = false
	}
	s.start, s.up, s.holds = start, true, nil
	s.lives++
}

// drop removes a range from the leases of a server.
func (s *trueServer) drop(from, to uint16) {
	var kept []trueHold
	for _, hold := range s.holds {
		if hold.to < from || hold.from > to {
			kept = append(kept, hold)
			continue
		}
		if hold.from < from {
			left := hold
			left.to = from - 1
			kept = append(kept, left)
		}
		if hold.to > to {
			right := hold
			right.from = to + 1
			kept = append(kept, right)
		}
	}
	s.holds = kept
}

// check fails if two servers that are up hold the same key.
func (w *world) check() {
	for _, s := range w.servers {
		live := s.holds[:0]
		for _, hold := range s.holds {
			if hold.until > w.now {
				live = append(live, hold)
			}
		}
		s.holds = live
	}
	for i, a := range w.servers {
		for _, b := range w.servers[i+1:] {
			if a.up && b.up {
				w.apart(a, b)
			}
		}
	}
}

func (w *world) apart(a, b *trueServer) {
	for _, x := range a.holds {
		for _, y := range b.holds {
			if x.from <= y.to && y.from <= x.to {
				record, _ := json.Marshal(w.stored)
				w.t.Fatalf("at %v both %s (token %d, %d-%d, until %v) and %s (token %d, %d-%d, until %v) hold keys; stored: %s",
					w.now, a.id, x.token, x.from, x.to, x.until, b.id, y.token, y.from, y.to, y.until, record)
			}
		}
	}
}

// land lets a write reach the store, and reports whether it took effect. A write in flight
// during a restore may take effect in another era; its writer does not trust it then.
func (w *world) land(write *trueWrite) bool {
	if write.version != w.version {
		return false
	}
	w.store(write.record.Clone())
	return write.era == w.era
}

// store replaces the record in the store.
func (w *world) store(record *Record) {
	w.stored, w.version = record, w.version+1
	if w.latest.OlderThan(record) {
		w.latest = record.Clone()
	}
}

// restoreBackup restores the store from its backup.
func (w *world) comeBack() {
	w.stored, w.version = w.copied.Clone(), w.copyOf
	w.era++
}

// rewriteIfLost makes a controller write its record again if the store has lost it, and
// reports whether it was lost.
func (w *world) restore(h *trueHost) bool {
	if w.era <= h.era || h.machine.Record().OlderThan(w.stored) {
		return false
	}
	if h.write != nil {
		return true
	}
	h.version, h.era = w.version, w.era
	if !h.machine.Authority(w.now) {
		h.machine = nil
		return true
	}
	h.machine.Forgotten(w.era)
	return true
}

// confirm lets a controller read the record in the store.
func (w *world) confirm(h *trueHost) {
	switch {
	case w.restore(h):
	case w.stored.Controller.Incarnation != h.incarnation:
		h.machine, h.write = nil, nil
	case w.era == h.era:
		h.machine.Confirm(w.now)
	}
}

// simGrant is a grant that took effect.
type trueGrant struct {
	Call
	at time.Duration
}

// checkToken fails if a server is granted keys by a call that was sent after another server
// had been granted some of them with the same or a higher token.
func (w *world) checkToken(c *trueCall) {
	for _, earlier := range w.granted {
		overlap := earlier.From <= c.call.To && c.call.From <= earlier.To
		if earlier.at <= c.began && earlier.Server != c.call.Server && overlap && earlier.Token >= c.call.Token {
			w.t.Fatalf("at %v %s is granted keys %d-%d with token %d; at %v %s was granted some of them with token %d",
				w.now, c.call.Server, c.call.From, c.call.To, c.call.Token, earlier.at, earlier.Server, earlier.Token)
		}
	}
	w.granted = append(w.granted, trueGrant{Call: c.call, at: w.now})
}

// settleWrite tells a controller how its write ended.
func (w *world) settleWrite(write *trueWrite, took bool) {
	h := write.host
	h.write = nil
	if h.machine != write.machine {
		return
	}
	if !took && (write.era != w.era || !sameAs(w.stored, write.record)) {
		if !w.restore(h) {
			h.machine = nil
		}
		return
	}
	h.machine.Written(write.began)
	h.version, h.era = w.version, w.era
}

func sameAs(a, b *Record) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return string(x) == string(y)
}

// claim makes a host the controller, as if its write had taken effect at once. It takes over
// the newest record or the one that the store holds.
func (w *world) claim(h *trueHost, known *Record) {
	h.incarnation += 100
	w.store(known.SucceedIn(w.era, w.controller(h)))
	h.machine, h.version, h.era, h.write = Adopt(w.stored, w.now, w.now), w.version, w.era, nil
	h.frozen, h.cut = false, false
}

// resign stops the controller, which records it in the store.
func (w *world) resign() {
	for _, h := range w.hosts {
		if h.machine != nil && h.incarnation == w.stored.Controller.Incarnation {
			h.machine, h.write = nil, nil
			w.stored = w.stored.Clone()
			w.stored.Controller.Resigned = true
			w.version++
		}
	}
}
