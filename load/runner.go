package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadarouter/contract/platform/httpstore"
	"cicadarouter/record"
)

// Runner runs one experiment.
type Runner struct {
	experiment Experiment
	client     *http.Client
	balancer   *balancer
	began      time.Time
	results    []Result
	mu         sync.Mutex
	tasks      sync.WaitGroup
	started    atomic.Int64
	ended      atomic.Int64
	moves      moveCounter
}

// maxConnections is the maximum number of connections to each entry host.
const maxConnections = 4096

// NewRunner returns a runner.
func NewRunner(experiment Experiment) *Runner {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	return &Runner{
		experiment: experiment,
		client:     client,
		balancer:   newBalancer(experiment.Entries, client),
	}
}

// Run runs the experiment, waits until all calls have ended and returns the report. It
// calls progress every second until the duration of the run has passed.
func (r *Runner) Run(ctx context.Context, progress func(Progress)) Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.balancer.run(ctx)
	go r.moves.follow(ctx, r.experiment.Store)
	r.balancer.waitUntilHealthy(ctx)
	r.began = time.Now()
	for i, stream := range r.experiment.Streams {
		r.tasks.Add(1)
		go r.runStream(ctx, stream, rand.New(rand.NewPCG(uint64(r.experiment.Seed), uint64(i))))
	}
	for _, fault := range r.experiment.Faults {
		r.tasks.Add(1)
		go r.injectFault(ctx, fault)
	}
	r.reportProgress(ctx, progress)
	r.tasks.Wait()
	time.Sleep(settleTime)
	return r.report()
}

// settleTime is the delay before the servers' records are read, so that the last requests
// are in them.
const settleTime = 300 * time.Millisecond

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed        time.Duration
	Started, Ended int64
	Done, Refused  int64
	Entries        int
}

// reportProgress reports progress every second until the duration of the run has passed.
func (r *Runner) reportProgress(ctx context.Context, progress func(Progress)) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	end := time.NewTimer(r.experiment.Duration)
	defer end.Stop()
	for {
		select {
		case <-ticker.C:
			progress(r.progress())
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *Runner) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := Progress{
		Elapsed: time.Since(r.began),
		Started: r.started.Load(),
		Ended:   r.ended.Load(),
		Entries: r.balancer.healthyCount(),
	}
	for _, result := range r.results {
		if result.Done() {
			now.Done++
		} else {
			now.Refused++
		}
	}
	return now
}

// runStream starts one stream's calls as a Poisson process with the stream's rate.
func (r *Runner) runStream(ctx context.Context, stream Stream, random *rand.Rand) {
	defer r.tasks.Done()
	keys := newKeyChooser(stream, random)
	end := r.experiment.Duration
	if stream.Until > 0 {
		end = min(end, stream.Until)
	}
	next := stream.From
	for {
		next += time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second))
		if next >= end || ctx.Err() != nil {
			return
		}
		call := &call{
			stream:   stream,
			due:      r.began.Add(next),
			key:      keys.choose(next),
			caller:   fmt.Sprintf("%s-%d", stream.Name, random.IntN(stream.Callers)),
			writes:   random.Float64() < stream.Writes,
			attempts: 0,
		}
		time.Sleep(time.Until(call.due))
		r.started.Add(1)
		r.tasks.Add(1)
		go r.perform(ctx, call)
	}
}

func (r *Runner) perform(ctx context.Context, call *call) {
	defer r.tasks.Done()
	results := call.perform(ctx, r)
	r.ended.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, results...)
}

// moveCounter counts the shards that changed owner or were split, from the page records in
// the store.
type moveCounter struct {
	mu      sync.Mutex
	owners  map[string]map[uint64]string
	moves   int
	splits  int
	movedAt []time.Time
}

// follow watches the store and counts changes until the context is canceled.
func (m *moveCounter) follow(ctx context.Context, address string) {
	if address == "" {
		return
	}
	const wait = 5 * time.Second
	store := httpstore.New(address, "load")
	var revision uint64
	for ctx.Err() == nil {
		snapshot, err := store.Watch(ctx, revision, wait)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		revision = snapshot.Revision
		for _, object := range snapshot.Objects {
			if page, err := record.DecodePage(object.Envelope); err == nil && object.Kind == record.KindPage {
				m.countChanges(page)
			}
		}
	}
}

// countChanges compares a page with its previous version and counts the changes.
func (m *moveCounter) countChanges(page record.Page) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.owners == nil {
		m.owners = map[string]map[uint64]string{}
	}
	oldOwners := m.owners[page.Name]
	newOwners := map[uint64]string{}
	for _, shard := range page.Shards {
		owner := shard.Owner
		newOwners[shard.Low] = owner
		oldOwner, existed := oldOwners[shard.Low]
		switch {
		case !existed && oldOwners != nil:
			m.splits++
		case existed && oldOwner != "" && oldOwner != owner:
			m.moves++
			m.movedAt = append(m.movedAt, time.Now())
		}
	}
	m.owners[page.Name] = newOwners
}

func (m *moveCounter) counts() (moves, splits int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moves, m.splits
}

// times returns the times at which shards moved.
func (m *moveCounter) times() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.movedAt)
}
