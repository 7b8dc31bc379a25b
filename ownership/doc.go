// Package ownership decides which lease holder may hold which keys. It is pure:
// the caller passes the monotonic time with every input, every output is a value,
// and nothing here reads a clock, does I/O or starts a goroutine.
//
// A page (record.Page) is a contiguous range of a service's key hashes. It is
// divided into shards that one backend server each owns, and every change of it is
// a new generation.
//
// The package consists of three state machines:
//
//   - Voter runs in every controller. It agrees to lease renewals for a page's
//     generation, and it promises to stop agreeing to a generation.
//   - StateMachine runs in a controller for each page in whose renewal group the
//     controller is. It collects agreement from a majority, turns it into leases
//     and writes the page's next generation once that is proven safe.
//   - Holder runs where leases are held: in backend servers that check fencing
//     tokens and in routers.
//
// # Invariants
//
// I1. A lease on generation g expires at the holder's clock reading plus
// LeaseDuration. That reading was taken before a majority of g's group agreed.
//
// I2. A voter that promised to stop g never agrees to g or an older generation
// again. A voter that restarted agrees to nothing before it has read the store.
//
// I3. A shard gets a new owner only in a generation after the one in which it
// became releasing, and only once no lease on an older generation can be valid: a
// majority stopped, and either the leases that it agreed to have expired or the
// old owner has confirmed the release.
//
// From these follows that at most one server holds a key at any moment: a lease
// that names the old owner is on a generation older than the releasing one, as
// releasing generations name no owner. Such a lease needs a majority, and every
// majority shares a voter with the majority that stopped, which has accounted for
// the lease.
package ownership

import "time"

// Terms are the durations and the clock bound that the safety of leases depends on.
// All processes of a deployment must use the same Terms.
type Terms struct {
	// LeaseDuration is how long a lease is valid from the holder's clock reading
	// that it is based on, on that clock.
	LeaseDuration time.Duration
	// MaxClockDrift is the maximum difference of a clock's rate from the true rate,
	// as a fraction.
	MaxClockDrift float64
	// MaxStoreOutage is how long leases are renewed without contact to the store,
	// for pages that another failure domain takes over when theirs is cut off.
	MaxStoreOutage time.Duration
}

// DefaultTerms returns terms under which a key is served again within 2 s of the
// loss of its owner; docs/design/ownership.md has the calculation.
func DefaultTerms() Terms {
	const (
		lease     = 750 * time.Millisecond
		drift     = 0.01
		storeAway = 10 * time.Second
	)
	return Terms{LeaseDuration: lease, MaxClockDrift: drift, MaxStoreOutage: storeAway}
}

// SafeWait returns how long a process must wait on its own clock to be sure that d
// has passed on any other. Without the margin a fast local clock would end the wait
// while a lease is still valid on a holder's slow clock.
func (t Terms) SafeWait(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + 1
}
