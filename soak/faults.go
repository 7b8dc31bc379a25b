package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"cicadarouter/platform/platformtest"
)

// fault is one kind of injected fault. Its random choices are drawn before it runs, so
// that a seed always gives the same sequence of faults.
type fault struct {
	name string
	// weight is the relative probability of drawing the fault.
	weight int
	// harmless faults do not suspend the checks of time bounds. They are planned
	// operations whose own time bounds are checked; as disturbances they would suspend
	// exactly those checks.
	harmless bool
	// since is the first version of the fault list that contains the fault. A seed that
	// has failed is replayed with the version it failed with, because with more faults
	// to choose from it would draw others.
	since Series
	// plan draws the target and returns a function that injects the fault, holds it for
	// length and ends it.
	plan func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context)
}

// Series is a version of the list of faults.
type Series int

// Versions of the list of faults. Each adds to the one before it.
const (
	FirstSeries Series = 1 + iota
	// RestartSeries adds servers that restart under the same ID.
	RestartSeries
	// EvacuationSeries adds failure domains that are evacuated and returned to service.
	EvacuationSeries
	// DeadlySeries adds requests that terminate every server that runs them.
	DeadlySeries
	// LimitSeries adds servers that announce rate limits.
	LimitSeries
	// NoticeSeries adds servers that announce only in response headers that they are
	// leaving, and servers that ask hosts to back off.
	NoticeSeries
	// EraSeries adds a store that is restored from a backup.
	EraSeries
)

// CurrentSeries is the version that new seeds use.
const CurrentSeries = EraSeries

// faults returns all kinds of faults.
func faults() []fault {
	return []fault{
		{"a host is stopped and started", 3, false, FirstSeries, onHost(func(ctx context.Context, h *host, _ time.Duration) { h.terminate() })},
		{"a host is killed", 3, false, FirstSeries, onHost(func(ctx context.Context, h *host, length time.Duration) { h.kill(); pause(ctx, length/4) })},
		{"a host is paused", 3, false, FirstSeries, onHost(func(ctx context.Context, h *host, length time.Duration) { h.pause(length) })},
		{"a host reads its settings", 1, true, FirstSeries, onHost(func(ctx context.Context, h *host, _ time.Duration) { h.signal(syscall.SIGHUP, false) })},
		{"all hosts are killed", 1, false, FirstSeries, killAll},
		{"a host is cut off from the store", 2, false, FirstSeries, onStoreLink(Link{CutTo: true, CutFrom: true})},
		{"the store hears a host but its answers are lost", 2, false, FirstSeries, onStoreLink(Link{CutFrom: true})},
		{"a host's calls to the store are slow", 1, false, FirstSeries, onStoreLink(Link{Delay: 150 * time.Millisecond})},
		{"connections to the store are reset", 1, false, FirstSeries, resetStoreLinks},
		{"the store turns calls away", 2, false, FirstSeries, onStore(platformtest.Faults{Refuse: true})},
		{"the store loses answers to writes", 2, false, FirstSeries, onStore(platformtest.Faults{LoseAnswers: 5})},
		{"the store's watches are deaf", 1, false, FirstSeries, deafen},
		{"a server is cut off", 3, false, FirstSeries, onServerLink(Link{CutTo: true, CutFrom: true})},
		{"a server's answers are held up", 2, false, FirstSeries, onServerLink(Link{CutFrom: true})},
		{"what goes to a server is held up", 2, false, FirstSeries, onServerLink(Link{CutTo: true})},
		{"connections to a server are reset", 2, false, FirstSeries, resetServerLink},
		{"a server turns requests away", 1, false, FirstSeries, onServer(platformtest.ServerFaults{Shed: true})},
		{"a server loses answers", 3, false, FirstSeries, onServer(platformtest.ServerFaults{LoseAnswers: 30})},
		{"a server breaks answers off", 1, false, FirstSeries, onServer(platformtest.ServerFaults{BreakOff: 10})},
		{"a server gives other requests' answers", 1, false, FirstSeries, onServer(platformtest.ServerFaults{OtherID: true})},
		{"a server leaves grants unanswered", 2, false, FirstSeries, onServer(platformtest.ServerFaults{IgnoreGrants: true})},
		{"a server joins", 2, true, FirstSeries, joins},
		{"a server leaves", 2, true, FirstSeries, leaves},
		{"the configuration changes", 3, true, FirstSeries, configures},
		{"a server starts again under its ID", 3, false, RestartSeries, restarts},
		{"a failure domain is evacuated", 3, true, EvacuationSeries, evacuates},
		{deadlyFault, 3, true, DeadlySeries, sendsDeadly},
		{limitFault, 3, true, LimitSeries, namesLimits},
		{leavingFault, 3, false, NoticeSeries, leavesUnregistered},
		{restFault, 3, false, NoticeSeries, asksForRest},
		{eraFault, 2, true, EraSeries, returnsFromCopy},
	}
}

// series draws faults from a seeded random source.
type series struct {
	random *rand.Rand
	pool   []fault // each fault appears weight times
}

func newSeries(seed uint64, version Series, only string) *series {
	s := &series{random: rand.New(rand.NewPCG(seed, 1))}
	for _, kind := range faults() {
		if kind.since > version || !strings.Contains(kind.name, only) {
			continue
		}
		for range kind.weight {
			s.pool = append(s.pool, kind)
		}
	}
	return s
}

// The range of the durations of faults. It includes the duration of leases (5 s) and of a
// controller's authority (5.5 s).
const (
	leastLength = 300 * time.Millisecond
	spanLength  = 6 * time.Second
)

// next draws a fault and its duration.
func (s *series) next() (fault, time.Duration) {
	kind := s.pool[s.random.IntN(len(s.pool))]
	return kind, leastLength + time.Duration(s.random.Int64N(int64(spanLength)))
}

// pause sleeps for a duration or until the context is canceled.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

type plan = func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context)

func onHost(do func(ctx context.Context, h *host, length time.Duration)) plan {
	return func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
		h := r.hosts[random.IntN(len(r.hosts))]
		return func(ctx context.Context) {
			do(ctx, h, length)
			r.restart(h)
		}
	}
}

func killAll(r *run, _ *rand.Rand, length time.Duration) func(ctx context.Context) {
	return func(ctx context.Context) {
		for _, h := range r.hosts {
			h.kill()
		}
		pause(ctx, length/4)
		for _, h := range r.hosts {
			r.restart(h)
		}
	}
}

func onStoreLink(link Link) plan {
	return func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
		h := r.hosts[random.IntN(len(r.hosts))]
		return func(ctx context.Context) {
			h.store.Set(link)
			pause(ctx, length)
			h.store.Set(Link{})
		}
	}
}

func resetStoreLinks(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(context.Context) {
		for _, h := range r.hosts {
			h.store.Reset()
		}
	}
}

func onStore(faults platformtest.Faults) plan {
	return func(r *run, _ *rand.Rand, length time.Duration) func(ctx context.Context) {
		return func(ctx context.Context) {
			r.site.Store.SetFaults(faults)
			pause(ctx, length)
			r.site.Store.SetFaults(platformtest.Faults{})
		}
	}
}

func deafen(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(context.Context) { r.site.Store.Deafen() }
}

// Server faults target only the servers present from the start, so that what a seed draws
// does not depend on the progress of other faults.

func onServerLink(link Link) plan {
	return func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
		proxy := r.first[random.IntN(len(r.first))]
		return func(ctx context.Context) {
			proxy.Set(link)
			pause(ctx, length)
			proxy.Set(Link{})
		}
	}
}

func resetServerLink(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	proxy := r.first[random.IntN(len(r.first))]
	return func(context.Context) { proxy.Reset() }
}

func onServer(faults platformtest.ServerFaults) plan {
	return func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
		n := random.IntN(len(r.first))
		return func(ctx context.Context) {
			server := r.site.Servers()[n]
			server.SetFaults(faults)
			pause(ctx, length)
			server.SetFaults(platformtest.ServerFaults{})
		}
	}
}

// restarts restarts a server and resets its connections, as the end of its process would.
func restarts(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	n := random.IntN(len(r.first))
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		r.first[n].Reset()
		r.fail(r.site.Restart(ctx, server))
	}
}

func joins(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(context.Context) { r.fail(r.site.AddKeyed(r.serving)) }
}

func leaves(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	n := random.IntN(len(r.first)-2) + 2 // the first server of each service never leaves
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		if r.site.LeftAt(server).IsZero() {
			r.fail(r.site.Leave(ctx, server))
		}
	}
}

// leavingFault is the name of the fault in which a server leaves while the store rejects
// all calls.
const leavingFault = "a server leaves and its entry can't be written"

// leavesUnregistered makes a server leave while the store rejects all calls. The server's
// entry is updated once the store accepts calls again.
func leavesUnregistered(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	n := random.IntN(len(r.first)-2) + 2 // the first server of each service never leaves
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		if !r.site.LeftAt(server).IsZero() {
			return
		}
		r.site.Store.SetFaults(platformtest.Faults{Refuse: true})
		server.SetLeaving()
		pause(ctx, leaveWithin+length)
		r.site.Store.SetFaults(platformtest.Faults{})
		r.fail(r.site.Leave(ctx, server))
	}
}

// restFault is the name of the fault in which servers reject requests and ask hosts to
// back off.
const restFault = "servers turn requests away and ask for rest"

// asksForRest makes some servers reject all requests and ask the hosts to back off.
func asksForRest(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const minBackoff, backoffRange = time.Second, 3 * time.Second
	first, count := random.IntN(len(r.first)), 1+random.IntN(len(r.first)/2)
	backoff := minBackoff + time.Duration(random.Int64N(int64(backoffRange)))
	return func(ctx context.Context) {
		servers := r.site.Servers()
		for i := range count {
			servers[(first+i)%len(r.first)].SetFaults(platformtest.ServerFaults{Shed: true, Rest: backoff})
		}
		pause(ctx, backoff+length)
		for i := range count {
			servers[(first+i)%len(r.first)].SetFaults(platformtest.ServerFaults{})
		}
	}
}

// eraFault is the name of the fault in which the store loses acknowledged writes because
// it is restored from a backup.
const eraFault = "the store comes back from a copy"

// returnsFromCopy makes the store unavailable and then restores it from a backup that is
// some seconds old. It changes the configuration once the store has been available for
// long enough that time bounds are checked again.
func returnsFromCopy(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const minAge, ageRange, outageDivisor = time.Second, 4 * time.Second, 3
	age := minAge + time.Duration(random.Int64N(int64(ageRange)))
	return func(ctx context.Context) {
		r.trouble(1)
		r.site.Store.Copy()
		r.fail(r.site.AddKeyed(r.serving)) // written after the backup, so lost by the restore
		pause(ctx, age)
		r.site.Store.SetFaults(platformtest.Faults{Refuse: true})
		pause(ctx, length/outageDivisor)
		r.fail(r.site.ReturnFromCopy(ctx))
		r.site.Store.SetFaults(platformtest.Faults{})
		r.trouble(-1)
		pause(ctx, calm+margin)
		configures(r, nil, 0)(ctx)
	}
}

func configures(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(ctx context.Context) {
		version, err := r.site.Configure(ctx)
		r.fail(err)
		r.configured(version)
	}
}

// evacuates evacuates a failure domain and returns it to service. The first server of each
// service, which never leaves, is in the other domain.
func evacuates(r *run, _ *rand.Rand, length time.Duration) func(ctx context.Context) {
	const domain = "b"
	return func(ctx context.Context) {
		r.fail(r.site.Evacuate(ctx, domain))
		pause(ctx, length+evacuateWithin)
		r.fail(r.site.TakeBack(ctx, domain))
	}
}

// limitFault is the name of the fault in which servers announce rate limits.
const limitFault = "servers name limits"

// namesLimits makes one or more servers of a service announce a rate limit, change it and
// withdraw it. Each limit lasts long enough for the check of it to apply.
func namesLimits(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	// Servers of the two services alternate.
	const services, minDuration = 2, 8 * time.Second
	service, count := random.IntN(services), 1+random.IntN(len(r.first)/services)
	limits := []float64{1 + 5*random.Float64(), 1 + 5*random.Float64()}
	return func(ctx context.Context) {
		servers := r.site.Servers()
		for _, limit := range append(limits, 0) {
			for i := range count {
				servers[service+services*i].SetLimit(limit)
			}
			if limit > 0 {
				pause(ctx, minDuration+length)
			}
		}
	}
}

// deadlyFault is the name of the fault that sends a request which terminates servers.
const deadlyFault = "a request ends every server that runs it"

// sendsDeadly starts callers that send copies of a deadly request to all hosts until the
// load ends.
func sendsDeadly(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	keyed, callers := random.IntN(2) == 0, 1+random.IntN(3)
	return func(context.Context) {
		deadly := r.site.AddDeadly(keyed)
		for range callers {
			r.deadlyCallers.Go(func() { r.sendCopies(deadly) })
		}
	}
}

// sendCopies sends copies of a deadly request to the hosts in turn until the load ends.
func (r *run) sendCopies(deadly *platformtest.Deadly) {
	const interval, key = 50 * time.Millisecond, 700
	client := &http.Client{Timeout: 2 * time.Second}
	for n := rand.IntN(len(r.hosts)); r.loading.Err() == nil; n++ {
		ask(client, r.hosts[n%len(r.hosts)], deadly.Path, key)
		pause(r.loading, interval)
	}
}
