// Package keyspace assigns ranges of a service's keys to backend servers and decides when a
// range may move to another server. It performs no I/O: the time, the results of calls and
// load measurements are passed in, and it returns the calls to make.
//
// # Authority
//
// The store holds one record per service. The record names the controller, its term, and
// the owner and fencing token of each key range. A process that replaces the record with a
// compare-and-swap on its revision has authority over what the record says.
//
// # Invariants
//
//  1. A server is granted a range only with the token that a record acknowledged by the
//     store gives it for that range.
//  2. An owner is granted a range only when every former holder has confirmed its release
//     or the longest lease that the holder can have has expired.
//  3. A controller grants only for AuthorityTimeout after the start of the last call by
//     which the store confirmed it.
//  4. A successor plans no move, and treats no release as final, before the predecessor's
//     AuthorityTimeout has expired, unless the predecessor is proven stopped. Renewing an
//     unchanged assignment with the same token is always safe.
//  5. A server that has restarted under its ID (a later incarnation) holds no keys and has
//     lost the tokens that it had seen. It is granted the keys with a higher token. Calls
//     made to the earlier incarnation may have reached the later one, so the leases of both
//     count until the keys have moved to another server.
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
	// LeaseTerm is how long a grant is valid. It bridges a controller that is lost or paused
	// for up to 4 s. It is also how long the keys of an unresponsive server have no owner.
	LeaseTerm = 5 * time.Second
	// renewInterval leaves room for several failed renewals before a lease expires.
	renewInterval = 1200 * time.Millisecond
	// maxClockSlownessPercent is the most by which a server's clock may run slow.
	maxClockSlownessPercent = 2
	// clockMargin covers clock resolution and message transit time.
	clockMargin = 250 * time.Millisecond
	// maxCallTime is how long a call may be in transit before its sender aborts it.
	maxCallTime = 700 * time.Millisecond
	// AuthorityTimeout is how long a controller keeps renewing without contact to the store.
	// Together with LeaseTerm it bridges store outages of up to 9 s.
	AuthorityTimeout = 5500 * time.Millisecond
)

// leaseExpiry returns when a lease granted by a call that ended at the given time has
// certainly expired on the server's own clock.
func leaseExpiry(ended time.Duration) time.Duration {
	return ended + LeaseTerm*(100+maxClockSlownessPercent)/100 + clockMargin
}

// Holder is an incarnation of a server with the token under which it holds or held keys.
type Holder struct {
	Server string `json:"server"`
	// Start is the incarnation's start time; 0 if the server did not report one.
	Start int64  `json:"start,omitempty"`
	Token uint64 `json:"token"`
}

// Incarnation returns the holder without its token.
func (h Holder) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: h.Server, Start: h.Start}
}

// Range is a range of keys; both ends are included.
type Range struct {
	From uint16 `json:"from"`
	To   uint16 `json:"to"`
	Holder
	// FormerHolders lists earlier holders that may still hold the keys.
	FormerHolders []Holder `json:"former,omitempty"`
	// GrantsAnswered is set if every grant to the former holders had been answered when the
	// keys were taken from them and no one can make another. Their confirmed release then
	// suffices, so a successor can finish the predecessor's move at once.
	GrantsAnswered bool `json:"answered,omitempty"`
}

// reassign makes next the holder of the keys. answered reports whether all grants to the
// current holder have been answered.
func (r *Range) reassign(next Holder, answered bool) {
	r.GrantsAnswered = answered && (r.GrantsAnswered || !r.Moving())
	r.FormerHolders = append(r.FormerHolders, r.Holder)
	r.Holder = next
}

// Moving reports whether the keys have been reassigned and a former holder may still hold them.
func (r *Range) Moving() bool { return len(r.FormerHolders) > 0 }

// Controller identifies the process that has authority.
type Controller struct {
	Host string `json:"host"`
	// Address is where hosts report key loads to it.
	Address string `json:"address"`
	// Incarnation is drawn at random at each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Relays are the addresses of hosts that follow the store on behalf of others while the
	// controller does not. A host that has just started knows no other addresses.
	Relays []string `json:"relays,omitempty"`
	// Hosts is the approximate number of hosts when the record was written; 0 if unknown.
	Hosts int `json:"hosts,omitempty"`
	// Resigned is set by a controller that has stopped granting.
	Resigned bool `json:"resigned,omitempty"`
}

// Record is the assignment of a service's keys, as stored.
type Record struct {
	Term       uint64     `json:"term"`
	Controller Controller `json:"controller"`
	// Predecessors lists replaced controllers that are not proven stopped. One that is cut
	// off from the store may still be granting.
	Predecessors []Controller `json:"earlier,omitempty"`
	// Writes counts the writes of the record within one term.
	Writes uint64 `json:"writes,omitempty"`
	// Era is one more than the store's era in which the record was written; 0 if the writer
	// does not report it. The store's era counts how often the store has been restored from a
	// backup.
	Era uint64 `json:"era,omitempty"`
	// LastToken is the highest fencing token issued.
	LastToken uint64  `json:"lastToken"`
	Ranges    []Range `json:"ranges"`
	// Keyless is set in the record of a controller that assigns no keys, in a deployment
	// without services that are sharded by key.
	Keyless bool `json:"keyless,omitempty"`
	// Unassigned is set from the first claim of a service until its controller has made the
	// first assignment. The record has no ranges until then.
	Unassigned bool `json:"unassigned,omitempty"`
}

// Clone returns a deep copy.
func (r *Record) Clone() *Record {
	copied := *r
	copied.Predecessors = slices.Clone(r.Predecessors)
	copied.Controller.Relays = slices.Clone(r.Controller.Relays)
	copied.Ranges = slices.Clone(r.Ranges)
	for i := range copied.Ranges {
		copied.Ranges[i].FormerHolders = slices.Clone(copied.Ranges[i].FormerHolders)
	}
	return &copied
}

// TakeOver returns the record with a new controller.
func (r *Record) TakeOver(controller Controller) *Record {
	next := r.Clone()
	next.Term++
	if len(r.Predecessors) > 0 {
		// Earlier predecessors only know an older record and may still grant keys to former
		// holders.
		for i := range next.Ranges {
			next.Ranges[i].GrantsAnswered = false
		}
	}
	if !r.Controller.Resigned {
		replaced := r.Controller
		replaced.Relays = nil
		next.Predecessors = append(next.Predecessors, replaced)
	}
	relays, hosts := r.Controller.Relays, r.Controller.Hosts
	next.Controller = controller
	next.Controller.Relays, next.Controller.Hosts = relays, hosts // until the successor sets its own
	return next
}

// RangeOf returns the range that contains a key, or nil. Ranges are sorted.
func (r *Record) RangeOf(key uint16) *Range {
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
	// initialRangesPerSlot is the number of ranges per slot in a first assignment. Busy keys
	// are close together at unknown places: a server that owned a tenth of all keys in one
	// range could own half of the load.
	initialRangesPerSlot = 2
	// maxInitialRanges bounds the ranges of a first assignment beyond one per server. Each
	// range costs a call per renewal, and with hundreds of servers none owns a tenth of the
	// keys anyway.
	maxInitialRanges = 128
)

// NewRecord returns a record with a first assignment.
func NewRecord(controller Controller, era uint64, servers []Server) *Record {
	record := &Record{Term: 1, Controller: controller, Era: era + 1}
	record.assignRoundRobin(servers)
	return record
}

// NewUnassignedRecord returns the record of a controller that has not made the first
// assignment yet. Other hosts learn of the servers through it in the meantime.
func NewUnassignedRecord(controller Controller, era uint64) *Record {
	return &Record{Term: 1, Controller: controller, Era: era + 1, Unassigned: true}
}

// assignRoundRobin distributes all keys over the servers, in proportion to their slots.
func (r *Record) assignRoundRobin(servers []Server) {
	owners := roundRobinOwners(servers)
	for i, server := range owners {
		r.LastToken++
		r.Ranges = append(r.Ranges, Range{
			From: uint16((LastKey + 1) * i / len(owners)), To: uint16((LastKey+1)*(i+1)/len(owners) - 1),
			Holder: Holder{Server: server.ID, Start: server.Start, Token: r.LastToken}})
	}
}

// NewKeylessRecord returns the first record of a controller that assigns no keys.
func NewKeylessRecord(controller Controller, era uint64) *Record {
	return &Record{Term: 1, Controller: controller, Era: era + 1, Keyless: true}
}

// roundRobinOwners returns the owners of the initial ranges in key order.
func roundRobinOwners(servers []Server) []Server {
	var owners []Server
	for round := 0; ; round++ {
		before := len(owners)
		for _, server := range servers {
			enough := round >= server.Slots*initialRangesPerSlot || round > 0 && len(owners) >= maxInitialRanges
			if !enough {
				owners = append(owners, server)
			}
		}
		if len(owners) == before {
			return owners
		}
	}
}

// InvariantError reports a malformed record.
type InvariantError struct{ Detail string }

// Error implements error.
func (e *InvariantError) Error() string { return "malformed key assignment: " + e.Detail }

// Validate returns an *InvariantError unless the ranges cover every key exactly once, or the
// record assigns no keys and has no ranges.
func (r *Record) Validate() error {
	if r.Keyless || r.Unassigned {
		return r.validateEmpty()
	}
	want := 0
	for _, have := range r.Ranges {
		if int(have.From) != want || have.To < have.From {
			return &InvariantError{Detail: fmt.Sprintf("range %d-%d is empty or does not start at key %d", have.From, have.To, want)}
		}
		want = int(have.To) + 1
	}
	if want != LastKey+1 {
		return &InvariantError{Detail: fmt.Sprintf("no range contains keys from %d on", want)}
	}
	return nil
}

func (r *Record) validateEmpty() error {
	if len(r.Ranges) > 0 {
		return &InvariantError{Detail: fmt.Sprintf("%d ranges in a record that assigns no keys", len(r.Ranges))}
	}
	return nil
}
