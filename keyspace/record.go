// Package keyspace decides which backend server holds which keys of a service,
// and when they may pass to another. It is pure: time, answers and loads come
// in, calls to make come out.
//
// # Authority
//
// One record a service lies in the store. It names the controller, its term,
// and for each range of keys the owner and its fencing token. Whoever replaces
// the record under its revision has authority over what it says.
//
// # Invariants
//
//  1. A server is granted a range only with the token that an acknowledged
//     record gives it for that range.
//  2. An owner is granted a range only when every former holder has confirmed
//     its release, or the longest lease that it can hold has run out.
//  3. A controller grants only for authorityBound after the start of the last
//     call by which the store confirmed it.
//  4. A successor plans no move, and takes no release as final, before the
//     predecessor's authorityBound has run out, unless it is proven stopped.
//     Renewing an unchanged assignment with the same token harms nobody.
//  5. A later incarnation of an owner holds nothing and has forgotten the tokens
//     that it saw. It is granted the keys with a higher token. Calls that were
//     made to the earlier incarnation may have reached the later one, so both
//     are bound by them until the keys have passed to another server.
package keyspace

import (
	"fmt"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// LastKey is the highest key.
const LastKey = 65535

// Times of leases.
const (
	// LeaseTerm is how long a grant holds. It bridges a controller that is
	// lost or paused for up to 4 s, and is how long the keys of a server that
	// fell silent stay without an owner.
	LeaseTerm = 5 * time.Second
	// renewEvery lets several renewals fail before a lease runs out.
	renewEvery = 1200 * time.Millisecond
	// slowClock is the most by which a server's clock may run slow, in percent.
	slowClock = 2
	// clockMargin covers the reading of clocks and the way of a message.
	clockMargin = 250 * time.Millisecond
	// underWay is how long a grant may be on its way before its sender drops it.
	underWay = 700 * time.Millisecond
	// AuthorityBound is how long a controller goes on renewing without the
	// store. With LeaseTerm it bridges outages of the store of up to 9 s.
	AuthorityBound = 5500 * time.Millisecond
)

// lapse returns when a lease granted by a call that ended at a time has surely
// run out on the server's own clock.
func lapse(ended time.Duration) time.Duration {
	return ended + LeaseTerm*(100+slowClock)/100 + clockMargin
}

// Holder is an incarnation of a server with the token under which it holds or
// held keys.
type Holder struct {
	Server string `json:"server"`
	// Start is that of the incarnation; 0 if the server did not say.
	Start int64  `json:"start,omitempty"`
	Token uint64 `json:"token"`
}

// Incarnation returns the holder without its token.
func (h Holder) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: h.Server, Start: h.Start}
}

// Range is a range of keys, both ends included.
type Range struct {
	From uint16 `json:"from"`
	To   uint16 `json:"to"`
	Holder
	// Former lists earlier holders that may still hold the keys.
	Former []Holder `json:"former,omitempty"`
	// Answered is set if all grants to the former holders had been answered when
	// the keys were taken from them, and nobody can make another: their confirmed
	// release is all that is needed then. It lets a successor finish at once what
	// its predecessor had begun.
	Answered bool `json:"answered,omitempty"`
}

// passTo gives the keys to another holder. answered tells whether all grants to
// the one before have been answered.
func (r *Range) passTo(next Holder, answered bool) {
	r.Answered = answered && (r.Answered || !r.Moving())
	r.Former = append(r.Former, r.Holder)
	r.Holder = next
}

// Moving reports whether the keys are between owners.
func (r *Range) Moving() bool { return len(r.Former) > 0 }

// Controller identifies the process that has authority.
type Controller struct {
	Host string `json:"host"`
	// Address is where hosts report the load of keys to it.
	Address string `json:"address"`
	// Incarnation is drawn anew at each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Relays are the addresses of hosts that follow the store for others while the
	// controller does not. A host that has just started knows no other.
	Relays []string `json:"relays,omitempty"`
	// Hosts is about how many hosts there were when the record was written; 0 if nobody knew.
	Hosts int `json:"hosts,omitempty"`
	// Resigned is set by a controller that has stopped granting.
	Resigned bool `json:"resigned,omitempty"`
}

// Record is the assignment of a service's keys, as stored.
type Record struct {
	Term       uint64     `json:"term"`
	Controller Controller `json:"controller"`
	// Earlier lists controllers that were replaced without proof that they
	// have stopped. One that is cut off from the store may go on granting.
	Earlier []Controller `json:"earlier,omitempty"`
	// Writes counts the writes of the record under one term.
	Writes uint64 `json:"writes,omitempty"`
	// Era is one more than the store's era in which the record was written, which counts how
	// often the store has come back from a copy; 0 if the writer does not tell.
	Era uint64 `json:"era,omitempty"`
	// LastToken is the highest fencing token given out.
	LastToken uint64  `json:"lastToken"`
	Ranges    []Range `json:"ranges"`
	// Keyless is set in the record of a controller that assigns no keys: that of a
	// deployment without services that are divided by key.
	Keyless bool `json:"keyless,omitempty"`
	// Unassigned is set from the first claim of a service until its controller has made the
	// first assignment. The record then has no ranges.
	Unassigned bool `json:"unassigned,omitempty"`
}

// Clone returns a deep copy.
func (r *Record) Clone() *Record {
	copied := *r
	copied.Earlier = slices.Clone(r.Earlier)
	copied.Controller.Relays = slices.Clone(r.Controller.Relays)
	copied.Ranges = slices.Clone(r.Ranges)
	for i := range copied.Ranges {
		copied.Ranges[i].Former = slices.Clone(copied.Ranges[i].Former)
	}
	return &copied
}

// Succeed returns the record under a new controller.
func (r *Record) Succeed(controller Controller) *Record {
	next := r.Clone()
	next.Term++
	if len(r.Earlier) > 0 {
		// Those know an older record, by which they may grant to former holders.
		for i := range next.Ranges {
			next.Ranges[i].Answered = false
		}
	}
	if !r.Controller.Resigned {
		replaced := r.Controller
		replaced.Relays = nil
		next.Earlier = append(next.Earlier, replaced)
	}
	relays, hosts := r.Controller.Relays, r.Controller.Hosts
	next.Controller = controller
	next.Controller.Relays, next.Controller.Hosts = relays, hosts // until the successor names its own
	return next
}

// At returns the range that holds a key, or nil. Ranges are in order.
func (r *Record) At(key uint16) *Range {
	i, found := slices.BinarySearchFunc(r.Ranges, key, func(have Range, want uint16) int {
		switch {
		case have.To < want:
			return -1
		case have.From > want:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &r.Ranges[i]
}

const (
	// slicesPerSlot is into how many ranges a first assignment divides the keys,
	// for each slot. Busy keys lie close together, nobody knows where yet, and a
	// server that owned a tenth of all keys in one piece could own half of the
	// load.
	slicesPerSlot = 2
	// mostSlices bounds them, beyond one a server: each costs a call for every
	// renewal, and with hundreds of servers a tenth is nobody's anyway.
	mostSlices = 128
)

// First returns a first assignment.
func First(controller Controller, era uint64, servers []Server) *Record {
	record := &Record{Term: 1, Controller: controller, Era: era + 1}
	record.assign(servers)
	return record
}

// FirstUnassigned returns the record of a controller that has yet to make the first
// assignment. Other hosts learn of the servers through it in the meantime.
func FirstUnassigned(controller Controller, era uint64) *Record {
	return &Record{Term: 1, Controller: controller, Era: era + 1, Unassigned: true}
}

// assign deals all keys out to servers in turn, in proportion to their slots.
func (r *Record) assign(servers []Server) {
	turns := deal(servers)
	for i, server := range turns {
		r.LastToken++
		r.Ranges = append(r.Ranges, Range{
			From: uint16((LastKey + 1) * i / len(turns)), To: uint16((LastKey+1)*(i+1)/len(turns) - 1),
			Holder: Holder{Server: server.ID, Start: server.Start, Token: r.LastToken}})
	}
}

// FirstKeyless returns the first record of a controller that assigns no keys.
func FirstKeyless(controller Controller, era uint64) *Record {
	return &Record{Term: 1, Controller: controller, Era: era + 1, Keyless: true}
}

// deal returns the owners of the slices in order.
func deal(servers []Server) []Server {
	var turns []Server
	for round := 0; ; round++ {
		before := len(turns)
		for _, server := range servers {
			enough := round >= server.Slots*slicesPerSlot || round > 0 && len(turns) >= mostSlices
			if !enough {
				turns = append(turns, server)
			}
		}
		if len(turns) == before {
			return turns
		}
	}
}

// InvariantError reports a record that breaks the form of records.
type InvariantError struct{ What string }

// Error implements error.
func (e *InvariantError) Error() string { return "assignment: " + e.What }

// Check returns an *InvariantError unless the ranges cover all keys, each once, or there
// are none in a record that assigns none.
func (r *Record) Check() error {
	if r.Keyless || r.Unassigned {
		return r.checkEmpty()
	}
	want := 0
	for _, have := range r.Ranges {
		if int(have.From) != want || have.To < have.From {
			return &InvariantError{What: fmt.Sprintf("range %d-%d where one from %d was due", have.From, have.To, want)}
		}
		want = int(have.To) + 1
	}
	if want != LastKey+1 {
		return &InvariantError{What: fmt.Sprintf("keys from %d have no range", want)}
	}
	return nil
}

func (r *Record) checkEmpty() error {
	if len(r.Ranges) > 0 {
		return &InvariantError{What: fmt.Sprintf("%d ranges in a record that assigns no keys", len(r.Ranges))}
	}
	return nil
}
