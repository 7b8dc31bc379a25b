// Package ownership decides who may hold which keys. It is pure: every input
// comes with the caller's monotonic time, every output is a value, and nothing
// here reads a clock, opens a connection or starts a goroutine.
//
// Three state machines share the work:
//
//   - Voter runs in every controller. It agrees to renewals of a page's
//     generation and promises to stop agreeing.
//   - Machine runs in a controller for each page of whose renewal group it is
//     a member. It gathers agreement, turns it into leases and writes the next
//     generation of the page when that is proven safe.
//   - Holder runs where leases are held: in backend servers that check tokens
//     and in routers.
//
// # Invariants
//
// I1. A lease on generation g runs until stamp+Lease on its holder's clock, and
// the stamp was taken from that clock before a majority of g's group agreed.
//
// I2. A voter that promised to stop g never agrees to g or an older generation
// again. A voter that restarted agrees to nothing before it has read the store.
//
// I3. A shard gets a new owner only in a generation after the one in which it
// became releasing, and only once no lease on an older generation can run: a
// majority stopped, and either what they agreed to has lapsed or the old owner
// has confirmed the release.
//
// At most one server holds a key at any moment follows: a lease that names the
// old owner is on a generation older than the releasing one (releasing
// generations name nobody), it needs a majority, and any majority meets the
// stopped one in a voter that accounted for it.
package ownership

import "time"

// Terms are the times that the safety of leases rests on. All processes of a
// deployment must use the same Terms.
type Terms struct {
	// Lease is how long a lease runs from its stamp, on the holder's clock.
	Lease time.Duration
	// Drift is the most by which two clocks' rates differ, as a share.
	Drift float64
	// StoreAway bounds renewal without contact to the store, for pages whose
	// service moves when cut off.
	StoreAway time.Duration
}

// DefaultTerms serve a key again within 2 s of a loss; docs/design/ownership.md
// has the sum.
func DefaultTerms() Terms {
	const (
		lease     = 750 * time.Millisecond
		drift     = 0.01
		storeAway = 10 * time.Second
	)
	return Terms{Lease: lease, Drift: drift, StoreAway: storeAway}
}

// Guard returns how long a process must wait on its own clock to be sure that d
// has passed on any other. A fast own clock would otherwise end the wait while
// a slow holder's lease still runs.
func (t Terms) Guard(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)/(1-t.Drift)) + 1
}
