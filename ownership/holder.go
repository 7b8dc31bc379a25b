package ownership

import (
	"fmt"
	"slices"
	"time"
)

// HeldShard is a range of hashes that a lease covers.
type HeldShard struct {
	Low   uint64 `json:"low"`
	High  uint64 `json:"high"` // inclusive
	Token uint64 `json:"token"`
}

// Grant is a lease on what a generation of a page gives to one holder.
type Grant struct {
	Page       string `json:"page"`
	Generation uint64 `json:"generation"`
	// Incarnation is the holder's own name for its present run. A grant meant
	// for an earlier run is refused, since that run's memory is gone.
	Incarnation uint64 `json:"incarnation"`
	// Expiry is the end of the lease on the holder's clock.
	Expiry time.Duration `json:"expiry"`
	// Shards lists what the holder holds; it is sent once for each generation.
	Shards []HeldShard `json:"shards,omitempty"`
	// Complete is set when Shards is given, even if it is empty.
	Complete bool `json:"complete,omitempty"`
}

// RefusalReason says why a holder refused a grant.
type RefusalReason string

// The reasons.
const (
	RefusedGeneration  RefusalReason = "stale-generation"
	RefusedIncarnation RefusalReason = "other-incarnation"
	RefusedIncomplete  RefusalReason = "shards-needed"
)

// GrantRefusal is the typed error of a refused grant.
type GrantRefusal struct {
	Reason RefusalReason
	// Known is the newest generation that the holder has accepted.
	Known uint64
}

// Error implements error.
func (r *GrantRefusal) Error() string {
	return fmt.Sprintf("grant refused: %s (holder knows generation %d)", r.Reason, r.Known)
}

type heldPage struct {
	generation uint64
	expiry     time.Duration
	shards     []HeldShard
}

// Holder is what a lease holder knows of its own leases. It is not safe for
// concurrent use.
type Holder struct {
	incarnation uint64
	pages       map[string]*heldPage
}

// NewHolder returns a holder that holds nothing.
func NewHolder(incarnation uint64) *Holder {
	return &Holder{incarnation: incarnation, pages: map[string]*heldPage{}}
}

// Incarnation returns the holder's name for its present run.
func (h *Holder) Incarnation() uint64 { return h.incarnation }

// Accept takes a grant or returns a *GrantRefusal. A generation once accepted
// is never replaced by an older one, not even after its lease has lapsed.
func (h *Holder) Accept(grant Grant) error {
	held, known := h.pages[grant.Page]
	if !known {
		held = &heldPage{}
	}
	switch {
	case grant.Incarnation != h.incarnation:
		return &GrantRefusal{Reason: RefusedIncarnation, Known: held.generation}
	case grant.Generation < held.generation:
		return &GrantRefusal{Reason: RefusedGeneration, Known: held.generation}
	case grant.Generation > held.generation && !grant.Complete:
		return &GrantRefusal{Reason: RefusedIncomplete, Known: held.generation}
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

// Generation returns the newest generation of the page that was accepted, or 0.
func (h *Holder) Generation(page string) uint64 {
	if held, ok := h.pages[page]; ok {
		return held.generation
	}
	return 0
}

// Expiry returns the end of the lease on the page.
func (h *Holder) Expiry(page string) time.Duration {
	if held, ok := h.pages[page]; ok {
		return held.expiry
	}
	return 0
}

// Holds reports whether the holder owns the hash under exactly this token, by
// its own clock, at now.
func (h *Holder) Holds(now time.Duration, page string, hash, token uint64) bool {
	held, ok := h.HeldAt(now, page, hash)
	return ok && held.Token == token
}

// HeldAt returns the shard that the holder owns at the hash, at now.
func (h *Holder) HeldAt(now time.Duration, page string, hash uint64) (HeldShard, bool) {
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
