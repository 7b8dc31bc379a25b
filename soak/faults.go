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

// fault is one kind of trouble. do makes it, holds it for a time, and ends it.
// Its choices are drawn before it runs, so that a seed gives the same series.
type fault struct {
	name string
	// weight is how often it comes beside others.
	weight int
	// harmless kinds excuse nothing: planned work that bounds in time are judged
	// by, and that would otherwise excuse itself.
	harmless bool
	// since is the first series that has the fault. A seed that has failed once
	// is played with the series of that time: with more faults to draw from, it
	// would draw others.
	since Series
	// plan draws where it strikes.
	plan func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context)
}

// Series is a version of the list of faults.
type Series int

// The series.
const (
	FirstSeries Series = 1 + iota
	// RestartSeries has servers that start again under their IDs.
	RestartSeries
	// EvacuationSeries has failure domains that are evacuated and taken back.
	EvacuationSeries
	// DeadlySeries has requests that end the servers that run them.
	DeadlySeries
	// LimitSeries has servers that name limits.
	LimitSeries
	// NoticeSeries has servers that say in answers only that they leave, or that ask hosts
	// for rest.
	NoticeSeries
	// EraSeries has a store that comes back from a copy.
	EraSeries
)

// CurrentSeries is the one of fresh seeds.
const CurrentSeries = EraSeries

// faults lists all kinds.
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
		{"the store turns calls away", 2, false, FirstSeries, onStore(platformtest.Faults{RejectCalls: true})},
		{"the store loses answers to writes", 2, false, FirstSeries, onStore(platformtest.Faults{DropWriteResponses: 5})},
		{"the store's watches are deaf", 1, false, FirstSeries, deafen},
		{"a server is cut off", 3, false, FirstSeries, onServerLink(Link{CutTo: true, CutFrom: true})},
		{"a server's answers are held up", 2, false, FirstSeries, onServerLink(Link{CutFrom: true})},
		{"what goes to a server is held up", 2, false, FirstSeries, onServerLink(Link{CutTo: true})},
		{"connections to a server are reset", 2, false, FirstSeries, resetServerLink},
		{"a server turns requests away", 1, false, FirstSeries, onServer(platformtest.ServerFaults{RejectRequests: true})},
		{"a server loses answers", 3, false, FirstSeries, onServer(platformtest.ServerFaults{DropResponses: 30})},
		{"a server breaks answers off", 1, false, FirstSeries, onServer(platformtest.ServerFaults{TruncateResponses: 10})},
		{"a server gives other requests' answers", 1, false, FirstSeries, onServer(platformtest.ServerFaults{WrongRequestID: true})},
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

// series draws faults by a seed.
type series struct {
	random *rand.Rand
	pool   []fault // each as often as its weight says
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

// Faults last between leastLength and leastLength + spanLength: below and above
// the leases and the authority of a controller, 5 and 5.5 s.
const (
	leastLength = 300 * time.Millisecond
	spanLength  = 6 * time.Second
)

// next draws a fault and how long it lasts.
func (s *series) next() (fault, time.Duration) {
	kind := s.pool[s.random.IntN(len(s.pool))]
	return kind, leastLength + time.Duration(s.random.Int64N(int64(spanLength)))
}

// pause waits, or until the context ends.
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
	return func(context.Context) { r.site.Store.DropWatchEvents() }
}

// Faults of servers strike those that are there from the start, so that what a
// seed draws does not depend on how far others have got.

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

// restarts lets a server start again. Its connections end with its process.
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
	// One of each service stays.
	n := random.IntN(len(r.first)-2) + 2
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		if r.site.LeavingSince(server).IsZero() {
			r.fail(r.site.StartLeaving(ctx, server))
		}
	}
}

// leavingFault is the name of the fault in which a server leaves while the store is away.
const leavingFault = "a server leaves and its entry can't be written"

// leavesUnregistered lets a server leave while the store turns all calls away. Its entry is
// written when the store is back.
func leavesUnregistered(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	n := random.IntN(len(r.first)-2) + 2 // one of each service stays
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		if !r.site.LeavingSince(server).IsZero() {
			return
		}
		r.site.Store.SetFaults(platformtest.Faults{RejectCalls: true})
		server.SetLeaving()
		pause(ctx, leaveWithin+length)
		r.site.Store.SetFaults(platformtest.Faults{})
		r.fail(r.site.StartLeaving(ctx, server))
	}
}

// restFault is the name of the fault in which servers turn requests away and ask for rest.
const restFault = "servers turn requests away and ask for rest"

// asksForRest lets some servers turn all requests away and ask the hosts for rest.
func asksForRest(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const least, span = time.Second, 3 * time.Second
	first, count := random.IntN(len(r.first)), 1+random.IntN(len(r.first)/2)
	rest := least + time.Duration(random.Int64N(int64(span)))
	return func(ctx context.Context) {
		servers := r.site.Servers()
		for i := range count {
			servers[(first+i)%len(r.first)].SetFaults(platformtest.ServerFaults{RejectRequests: true, Backoff: rest})
		}
		pause(ctx, rest+length)
		for i := range count {
			servers[(first+i)%len(r.first)].SetFaults(platformtest.ServerFaults{})
		}
	}
}

// eraFault is the name of the fault in which the store forgets what it acknowledged.
const eraFault = "the store comes back from a copy"

// returnsFromCopy lets the store be away and come back from a copy some seconds old. Once it
// has been back for long enough the configuration changes.
func returnsFromCopy(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const least, span, down = time.Second, 4 * time.Second, 3
	age := least + time.Duration(random.Int64N(int64(span)))
	return func(ctx context.Context) {
		r.trouble(1)
		r.site.Store.Backup()
		r.fail(r.site.AddKeyed(r.serving)) // what is written for it is lost
		pause(ctx, age)
		r.site.Store.SetFaults(platformtest.Faults{RejectCalls: true})
		pause(ctx, length/down)
		r.fail(r.site.RestoreBackup(ctx))
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

// evacuates has a domain evacuated and taken back. The first servers of each service,
// which never leave, lie in the other domain.
func evacuates(r *run, _ *rand.Rand, length time.Duration) func(ctx context.Context) {
	const domain = "b"
	return func(ctx context.Context) {
		r.fail(r.site.Evacuate(ctx, domain))
		pause(ctx, length+evacuateWithin)
		r.fail(r.site.EndEvacuation(ctx, domain))
	}
}

// limitFault is the name of the fault in which servers name limits.
const limitFault = "servers name limits"

// namesLimits lets one, some or all servers of a service name a limit, change it and stop
// naming it. Each value lasts long enough to be judged by.
func namesLimits(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const services, least = 2, 8 * time.Second // servers of the services alternate
	service, count := random.IntN(services), 1+random.IntN(len(r.first)/services)
	limits := []float64{1 + 5*random.Float64(), 1 + 5*random.Float64()}
	return func(ctx context.Context) {
		servers := r.site.Servers()
		for _, limit := range append(limits, 0) {
			for i := range count {
				servers[service+services*i].SetLimit(limit)
			}
			if limit > 0 {
				pause(ctx, least+length)
			}
		}
	}
}

// deadlyFault is the name of the fault that sends a request which ends servers.
const deadlyFault = "a request ends every server that runs it"

// sendsDeadly sends copies of a deadly request to all hosts, from now until the load ends.
func sendsDeadly(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	keyed, callers := random.IntN(2) == 0, 1+random.IntN(3)
	return func(context.Context) {
		deadly := r.site.AddDeadlyRequest(keyed)
		for range callers {
			r.deadlyCallers.Go(func() { r.sendCopies(deadly) })
		}
	}
}

// sendCopies sends copies of a deadly request until the load ends.
func (r *run) sendCopies(deadly *platformtest.DeadlyRequest) {
	const every, key = 50 * time.Millisecond, 700
	client := &http.Client{Timeout: 2 * time.Second}
	for n := rand.IntN(len(r.hosts)); r.loading.Err() == nil; n++ {
		ask(client, r.hosts[n%len(r.hosts)], deadly.PathPrefix, key)
		pause(r.loading, every)
	}
}
