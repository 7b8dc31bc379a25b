package dispatch

import (
	"time"

	"github.com/google/uuid"

	"cicadarouter/contract/caller"
)

// Reply is a final answer to a caller's request.
type Reply struct {
	Outcome caller.Outcome
	Reason  caller.Reason
	Status  int
	Headers []Header
	Body    []byte
	Server  string
	// RetryAfter is when to come back, for requests that were refused.
	RetryAfter time.Duration
}

// Header is one header field of an answer.
type Header struct{ Name, Value string }

// Admission says what to do with a non-idempotent request.
type Admission uint8

// The admissions.
const (
	// AdmitRun: this copy runs. Finish must follow.
	AdmitRun Admission = iota + 1
	// AdmitWait: an earlier copy runs; its reply comes on the channel.
	AdmitWait
	// AdmitReplay: an earlier copy has ended; its reply stands.
	AdmitReplay
	// AdmitUnknown: an earlier copy may have run elsewhere.
	AdmitUnknown
)

// DedupPolicy bounds a Dedup.
type DedupPolicy struct {
	// Window is how long a finished request is remembered.
	Window time.Duration
	// Skew is how far callers' clocks may be ahead of this one.
	Skew time.Duration
	// MostEntries and MostBodyBytes bound the memory.
	MostEntries   int
	MostBodyBytes int
	// KeepBody is the largest body that is kept for a replay.
	KeepBody int
}

// DefaultDedupPolicy keeps the memory of one router under 64 MB.
func DefaultDedupPolicy() DedupPolicy {
	return DedupPolicy{
		Window:        time.Minute,
		Skew:          5 * time.Second,
		MostEntries:   100_000,
		MostBodyBytes: 32 << 20,
		KeepBody:      16 << 10,
	}
}

type dedupEntry struct {
	id      uuid.UUID
	done    chan struct{}
	ended   bool
	reply   Reply
	arrived time.Time
	kept    int
}

// Dedup remembers the non-idempotent requests of one page, so that a re-sent
// one does not run twice. All copies of a request meet at the page's dispatch
// router; Dedup is that router's memory. It is not safe for concurrent use.
type Dedup struct {
	policy DedupPolicy
	// covers is the time from which on every request of the page is in the
	// memory. A copy whose first attempt may be older is not run.
	covers  time.Time
	entries map[uuid.UUID]*dedupEntry
	order   []*dedupEntry
	bytes   int
}

// NewDedup returns an empty memory that covers requests from start on.
func NewDedup(policy DedupPolicy, start time.Time) *Dedup {
	return &Dedup{policy: policy, covers: start, entries: map[uuid.UUID]*dedupEntry{}}
}

// Uncover forgets the right to run re-sent requests from before now: another
// router may have dispatched the page in the meantime.
func (d *Dedup) Uncover(now time.Time) { d.covers = now }

// Begin decides about a copy of a request. wall is this router's wall clock.
func (d *Dedup) Begin(wall time.Time, id uuid.UUID, attempt int) (Admission, Reply, <-chan struct{}) {
	d.expire(wall)
	if entry, known := d.entries[id]; known {
		if entry.ended {
			return AdmitReplay, entry.reply, nil
		}
		return AdmitWait, Reply{}, entry.done
	}
	if attempt > 1 && !d.firstWouldBeHere(wall, id) {
		return AdmitUnknown, Reply{}, nil
	}
	entry := &dedupEntry{id: id, done: make(chan struct{}), arrived: wall}
	d.entries[id] = entry
	d.order = append(d.order, entry)
	return AdmitRun, Reply{}, nil
}

// firstWouldBeHere reports whether the first attempt, had it reached any
// dispatch router, would be in this memory. The birth time in the id is the
// caller's; a time that is ahead of ours proves nothing and counts against.
func (d *Dedup) firstWouldBeHere(wall time.Time, id uuid.UUID) bool {
	birth := caller.IDTime(id)
	if birth.After(wall) {
		return false
	}
	return birth.After(d.covers.Add(d.policy.Skew))
}

// Finish notes the reply of a copy that was admitted to run. A request that is
// proven not to have run is forgotten, so that a further attempt may run.
func (d *Dedup) Finish(id uuid.UUID, reply Reply) {
	entry, known := d.entries[id]
	if !known || entry.ended {
		return
	}
	entry.ended = true
	entry.reply = d.storable(reply)
	if reply.Outcome == caller.NotRun {
		delete(d.entries, id)
	} else {
		entry.kept = len(entry.reply.Body)
		d.bytes += entry.kept
	}
	close(entry.done)
}

// storable replaces an answer that is too large to keep by the word that the
// request has run.
func (d *Dedup) storable(reply Reply) Reply {
	if reply.Outcome != caller.Done || len(reply.Body) <= d.policy.KeepBody {
		return reply
	}
	return Reply{Outcome: caller.Unknown, Reason: caller.ReasonEarlierAttemptMayHaveRun, Server: reply.Server}
}

// expire forgets what is older than the window or beyond the bounds, and no
// longer covers the time of what it forgot.
func (d *Dedup) expire(wall time.Time) {
	for len(d.order) > 0 {
		oldest := d.order[0]
		crowded := len(d.entries) > d.policy.MostEntries || d.bytes > d.policy.MostBodyBytes
		if !oldest.ended || !crowded && wall.Sub(oldest.arrived) < d.policy.Window {
			return
		}
		d.order[0] = nil
		d.order = d.order[1:]
		if d.entries[oldest.id] == oldest {
			delete(d.entries, oldest.id)
			d.bytes -= oldest.kept
		}
		if oldest.arrived.After(d.covers) {
			d.covers = oldest.arrived
		}
	}
}
