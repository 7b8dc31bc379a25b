package ownership

import (
	"fmt"
	"slices"
	"time"
)

// HeldShard is a range of key hashes that a lease covers, with its fencing token.
type HeldShard struct {
	Low   uint64 `json:"low"`
	High  uint64 `json:"high"` // inclusive
	Token uint64 `json:"token"`
}

// Grant is a lease on the shards that a generation of a page assigns to one holder.
type Grant struct {
	Page       string `json:"page"`
	Generation uint64 `json:"generation"`
	// Incarnation identifies the holder's current process lifetime. The holder
	// chooses it. A grant for an earlier incarnation is refused, since that
	// incarnation's state is lost.
	Incarnation uint64 `json:"incarnation"`
	// Expiry is when the lease ends, on the holder's clock.
	Expiry time.Duration `json:"expiry"`
	// Shards lists the holder's shards. It is sent until the holder has accepted
	// the generation; later renewals leave it out.
	Shards []HeldShard `json:"shards,omitempty"`
	// Complete is set when Shards is given, even if it is empty.
	Complete bool `json:"complete,omitempty"`
}

// RefusalReason is why a holder refused a grant.
type RefusalReason string

// The reasons for refusing a grant.
const (
	RefusedGeneration  RefusalReason = "stale-generation"
	RefusedIncarnation RefusalReason = "other-incarnation"
	RefusedIncomplete  RefusalReason = "shards-needed"
)

// GrantRefusal is the error for a refused grant.
type GrantRefusal struct {
	Reason RefusalReason
	// KnownGeneration is the newest generation that the holder has accepted.
	KnownGeneration uint64
}

// Error implements the error interface.
func (r *GrantRefusal) Error() string {
	return fmt.Sprintf("grant refused: %s (holder knows generation %d)", r.Reason, r.KnownGeneration)
}

type heldPage struct {
	generation uint64
	expiry     time.Duration
	shards     []HeldShard
}

// Holder is a lease holder's state of its own leases. It is not safe for concurrent
// use.
type Holder struct {
	incarnation uint64
	pages       map[string]*heldPage
}

// NewHolder returns a holder without leases.
func NewHolder(incarnation uint64) *Holder {
	return &Holder{incarnation: incarnation, pages: map[string]*heldPage{}}
}

// Incarnation returns the id of the holder's current process lifetime.
func (h *Holder) Incarnation() uint64 { return h.incarnation }

// Accept applies a grant or returns a *GrantRefusal. An accepted generation is
// never replaced by an older one, not even after its lease has expired.
func (h *Holder) Accept(grant Grant) error {
	held, known := h.pages[grant.Page]
	if !known {
		held = &heldPage{}
	}
	switch {
	case grant.Incarnation != h.incarnation:
		return &GrantRefusal{Reason: RefusedIncarnation, KnownGeneration: held.generation}
	case grant.Generation < held.generation:
		return &GrantRefusal{Reason: RefusedGeneration, KnownGeneration: held.generation}
	case grant.Generation > held.generation && !grant.Complete:
		return &GrantRefusal{Reason: RefusedIncomplete, KnownGeneration: held.generation}
	}
	if grant.Complete {
		held.shards = slices.Clone(grant.Shards)
	}
	if grant.Generation > held.generation {
		held.generation = grant.Generation
		held.expiry = grant.Expiry
	}
	held.expiry = max(held.expiry, grant.Expiry)
	h.pages[grant.Page] = held
	return nil
}

// Generation returns the newest accepted generation of the page, or 0.
func (h *Holder) Generation(page string) uint64 {
	if held, ok := h.pages[page]; ok {
		return held.generation
	}
	return 0
}

// Expiry returns when the lease on the page ends, or 0 without a lease.
func (h *Holder) Expiry(page string) time.Duration {
	if held, ok := h.pages[page]; ok {
		return held.expiry
	}
	return 0
}

// Holds reports whether, at the time now on its own clock, the holder has a valid
// lease on the hash under exactly this token.
func (h *Holder) Holds(now time.Duration, page string, hash, token uint64) bool {
	held, ok := h.ShardAt(now, page, hash)
	return ok && held.Token == token
}

// ShardAt returns the shard with the hash, if the holder has a valid lease on it at
// the time now.
func (h *Holder) ShardAt(now time.Duration, page string, hash uint64) (HeldShard, bool) {
	held, ok := h.pages[page]
	if !ok || now >= held.expiry {
		return HeldShard{}, false
	}
	for _, shard := range held.shards {
		if hash >= shard.Low && hash <= shard.High {
			return shard, true
		}
	}
	return HeldShard{}, false
}
