package dispatch

import (
	"time"

	"github.com/google/uuid"

	"cicadarouter/contract/caller"
)

// Reply is the final reply to a caller's request.
type Reply struct {
	Outcome caller.Outcome
	Reason  caller.Reason
	Status  int
	Headers []Header
	Body    []byte
	Server  string
	// RetryAfter is when the caller may retry a request that was rejected.
	RetryAfter time.Duration
}

// Header is one header field of a request or reply.
type Header struct{ Name, Value string }

// Admission is the decision on a copy of a non-idempotent request.
type Admission uint8

// The possible decisions.
const (
	// AdmitRun: this copy is to run. Finish must be called afterwards.
	AdmitRun Admission = iota + 1
	// AdmitWait: an earlier copy is running. The channel is closed when it has
	// finished.
	AdmitWait
	// AdmitReplay: an earlier copy has finished; its reply is the reply to this
	// copy.
	AdmitReplay
	// AdmitUnknown: an earlier copy may have run, but its state is not known here.
	AdmitUnknown
)

// DedupPolicy configures a Deduplicator.
type DedupPolicy struct {
	// Window is how long a finished request is remembered, counted from its
	// arrival.
	Window time.Duration
	// MaxClockSkew is how far callers' clocks may be ahead of the local one.
	MaxClockSkew time.Duration
	// MaxEntries and MaxBodyBytes limit the remembered requests and reply bodies.
	MaxEntries   int
	MaxBodyBytes int
	// MaxReplayBodyBytes is the largest reply body that is kept for a replay.
	MaxReplayBodyBytes int
}

// DefaultDedupPolicy returns a policy that keeps the memory for one page's requests
// under 64 MB.
func DefaultDedupPolicy() DedupPolicy {
	return DedupPolicy{
		Window:             time.Minute,
		MaxClockSkew:       5 * time.Second,
		MaxEntries:         100_000,
		MaxBodyBytes:       32 << 20,
		MaxReplayBodyBytes: 16 << 10,
	}
}

type dedupEntry struct {
	id        uuid.UUID
	done      chan struct{}
	finished  bool
	reply     Reply
	arrivedAt time.Time
	bodyBytes int
}

// Deduplicator remembers the non-idempotent requests of one page, so that a request
// that is sent again does not run twice. It belongs to the page's dispatch router,
// which every copy of a request passes through. It is not safe for concurrent use.
type Deduplicator struct {
	policy DedupPolicy
	// coveredSince is the time since which every request of the page is in entries.
	// A further attempt at a request that may be older is not run.
	coveredSince time.Time
	entries      map[uuid.UUID]*dedupEntry
	order        []*dedupEntry
	bodyBytes    int
}

// NewDeduplicator returns an empty Deduplicator that covers requests from start on.
func NewDeduplicator(policy DedupPolicy, start time.Time) *Deduplicator {
	return &Deduplicator{policy: policy, coveredSince: start, entries: map[uuid.UUID]*dedupEntry{}}
}

// ResetCoverage declares that only requests from now on are covered, since another
// router may have dispatched the page in the meantime. Earlier requests that are
// sent again and are not in entries will not run.
func (d *Deduplicator) ResetCoverage(now time.Time) { d.coveredSince = now }

// Begin decides on a copy of a request, which is its caller's attempt-th. wall is
// the time on this router's wall clock.
func (d *Deduplicator) Begin(wall time.Time, id uuid.UUID, attempt int) (Admission, Reply, <-chan struct{}) {
	d.expire(wall)
	if entry, known := d.entries[id]; known {
		if entry.finished {
			return AdmitReplay, entry.reply, nil
		}
		return AdmitWait, Reply{}, entry.done
	}
	if attempt > 1 && !d.firstAttemptCovered(wall, id) {
		return AdmitUnknown, Reply{}, nil
	}
	entry := &dedupEntry{id: id, done: make(chan struct{}), arrivedAt: wall}
	d.entries[id] = entry
	d.order = append(d.order, entry)
	return AdmitRun, Reply{}, nil
}

// firstAttemptCovered reports whether the first attempt would be in entries if it
// had reached any dispatch router. The creation time in the id is from the caller's
// clock; a time ahead of the local clock proves nothing and counts as not covered.
func (d *Deduplicator) firstAttemptCovered(wall time.Time, id uuid.UUID) bool {
	createdAt := caller.IDTime(id)
	if createdAt.After(wall) {
		return false
	}
	return createdAt.After(d.coveredSince.Add(d.policy.MaxClockSkew))
}

// Finish records the reply to a copy that was admitted to run. A request that is
// proven not to have run is removed, so that a further attempt may run.
func (d *Deduplicator) Finish(id uuid.UUID, reply Reply) {
	entry, known := d.entries[id]
	if !known || entry.finished {
		return
	}
	entry.finished = true
	entry.reply = d.replayable(reply)
	if reply.Outcome == caller.NotRun {
		delete(d.entries, id)
	} else {
		entry.bodyBytes = len(entry.reply.Body)
		d.bodyBytes += entry.bodyBytes
	}
	close(entry.done)
}

// replayable returns the reply to keep for replays. A reply with too large a body
// is replaced by one that says only that the request may have run.
func (d *Deduplicator) replayable(reply Reply) Reply {
	if reply.Outcome != caller.Done || len(reply.Body) <= d.policy.MaxReplayBodyBytes {
		return reply
	}
	return Reply{Outcome: caller.Unknown, Reason: caller.ReasonEarlierAttemptMayHaveRun, Server: reply.Server}
}

// expire removes the oldest requests that are past the window or exceed the limits,
// and moves coveredSince past the removed ones. It stops at a request that has not
// finished.
func (d *Deduplicator) expire(wall time.Time) {
	for len(d.order) > 0 {
		oldest := d.order[0]
		overLimit := len(d.entries) > d.policy.MaxEntries || d.bodyBytes > d.policy.MaxBodyBytes
		if !oldest.finished || !overLimit && wall.Sub(oldest.arrivedAt) < d.policy.Window {
			return
		}
		d.order[0] = nil
		d.order = d.order[1:]
		if d.entries[oldest.id] == oldest {
			delete(d.entries, oldest.id)
			d.bodyBytes -= oldest.bodyBytes
		}
		if oldest.arrivedAt.After(d.coveredSince) {
			d.coveredSince = oldest.arrivedAt
		}
	}
}
