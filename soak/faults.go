package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"cicadarouter/gateway"
	"cicadarouter/keyspace"
	"cicadarouter/platform/platformtest"
)

// fault is one kind of injected fault. Its random choices are drawn before it runs, so
// that a seed always gives the same sequence of faults.
type fault struct {
	name string
	// weight is the relative probability of drawing the fault. Faults with weight 0 are drawn only if
	// Options.Only is set.
	weight int
	// harmless faults do not suspend the checks of time bounds. They are planned
	// operations whose own time bounds are checked; as disturbances they would suspend
	// exactly those checks.
	harmless bool
	// firstVersion is the first version of the fault list that contains the fault. A seed that
	// has failed is replayed with the version it failed with, because with more faults
	// to choose from it would draw others.
	firstVersion FaultListVersion
	// plan draws the target and returns a function that injects the fault, holds it for
	// length and ends it.
	plan func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context)
}

// FaultListVersion is a version of the list of faults.
type FaultListVersion int

// Versions of the list of faults. Each adds to the one before it.
const (
	InitialFaults FaultListVersion = 1 + iota
	// RestartFaults adds servers that restart under the same ID.
	RestartFaults
	// EvacuationFaults adds failure domains that are evacuated and returned to service.
	EvacuationFaults
	// DeadlyRequestFaults adds requests that terminate every server that runs them.
	DeadlyRequestFaults
	// LimitFaults adds servers that announce rate limits.
	LimitFaults
	// NoticeFaults adds servers that announce only in response headers that they are
	// leaving, and servers that ask hosts to back off.
	NoticeFaults
	// RestoreFaults adds a store that is restored from a backup.
	RestoreFaults
	// GarbledFaults adds servers that send responses twice, and that break off long responses.
	GarbledFaults
	// StartFaults adds the first start of the system under load, with changes from the first second
	// on; stale reads that are seconds old; routes that move between services; hosts with a share of
	// a processor; a store that drops its history while hosts start; and connections to the store
	// that go silent.
	StartFaults
	// EndlessFaults adds servers that send responses without end.
	EndlessFaults
	// HistoryFaults adds a store that discards its history while routes move and, within that, a
	// controller that is paused or a store that goes silent.
	HistoryFaults
)

// CurrentFaults is the version that new seeds use.
const CurrentFaults = HistoryFaults

// faults returns all kinds of faults.
func faults() []fault {
	return []fault{
		{"a host is stopped and started", 3, false, InitialFaults, onHost(func(ctx context.Context, h *host, _ time.Duration) { h.terminate() })},
		{"a host is killed", 3, false, InitialFaults, onHost(func(ctx context.Context, h *host, length time.Duration) { h.kill(); sleep(ctx, length/4) })},
		{"a host is paused", 3, false, InitialFaults, onHost(func(ctx context.Context, h *host, length time.Duration) { h.suspend(length) })},
		{"a host reads its settings", 1, true, InitialFaults, onHost(func(ctx context.Context, h *host, _ time.Duration) { h.signal(syscall.SIGHUP, false) })},
		{"all hosts are killed", 1, false, InitialFaults, killAll},
		{"a host is cut off from the store", 2, false, InitialFaults, onStoreLink(LinkCondition{CutTo: true, CutFrom: true})},
		{"the store hears a host but its answers are lost", 2, false, InitialFaults, onStoreLink(LinkCondition{CutFrom: true})},
		{"a host's calls to the store are slow", 1, false, InitialFaults, onStoreLink(LinkCondition{Delay: 150 * time.Millisecond})},
		{"connections to the store are reset", 1, false, InitialFaults, resetStoreLinks},
		{"the store turns calls away", 2, false, InitialFaults, onStore(platformtest.Faults{RejectCalls: true})},
		{"the store loses answers to writes", 2, false, InitialFaults, onStore(platformtest.Faults{DropWriteResponses: 5})},
		{"the store's watches are deaf", 1, false, InitialFaults, dropWatchEvents},
		{"a server is cut off", 3, false, InitialFaults, onServerLink(LinkCondition{CutTo: true, CutFrom: true})},
		{"a server's answers are held up", 2, false, InitialFaults, onServerLink(LinkCondition{CutFrom: true})},
		{"what goes to a server is held up", 2, false, InitialFaults, onServerLink(LinkCondition{CutTo: true})},
		{"connections to a server are reset", 2, false, InitialFaults, resetServerLink},
		{"a server turns requests away", 1, false, InitialFaults, onServer(platformtest.ServerFaults{RejectRequests: true})},
		{"a server loses answers", 3, false, InitialFaults, onServer(platformtest.ServerFaults{DropResponses: 30})},
		{"a server breaks answers off", 1, false, InitialFaults, onServer(platformtest.ServerFaults{TruncateResponses: 10})},
		{"a server gives other requests' answers", 1, false, InitialFaults, onServer(platformtest.ServerFaults{WrongRequestID: true})},
		{"a server leaves grants unanswered", 2, false, InitialFaults, onServer(platformtest.ServerFaults{IgnoreGrants: true})},
		{"a server joins", 2, true, InitialFaults, addServer},
		{"a server leaves", 2, true, InitialFaults, startLeaving},
		{"the configuration changes", 3, true, InitialFaults, changeConfiguration},
		{"a server starts again under its ID", 3, false, RestartFaults, restartServer},
		{"a failure domain is evacuated", 3, true, EvacuationFaults, evacuateDomain},
		{deadlyFault, 3, true, DeadlyRequestFaults, startDeadlyCallers},
		{limitFault, 3, true, LimitFaults, announceLimits},
		{leavingFault, 3, false, NoticeFaults, leaveDuringOutage},
		{backoffFault, 3, false, NoticeFaults, requestBackoff},
		{restoreFault, 2, true, RestoreFaults, restoreBackup},
		{repeatFault, 3, false, GarbledFaults, repeatResponses},
		{breakOffFault, 2, false, GarbledFaults, onServer(platformtest.ServerFaults{BreakOffResponses: 40})},
		{moveFault, 6, true, StartFaults, moveRoutes},
		{throttleFault, 3, true, StartFaults, throttleHost},
		{historyFault, 2, false, StartFaults, dropHistoryAtStart},
		{silenceFault, 4, false, StartFaults, silenceStoreConnection},
		{endlessFault, 4, false, EndlessFaults, sendWithoutEnd},
		{frozenSourceFault, 4, false, HistoryFaults, pauseSourceAfterLostHistory},
		{silentStoreFault, 4, false, HistoryFaults, silenceStoreAfterLostHistory},
		{repeatedSilenceFault + "responses are lost", 0, true, HistoryFaults, repeatSilence(loseResponses)},
		{repeatedSilenceFault + "responses stop in the middle", 0, true, HistoryFaults, repeatSilence(stopResponses)},
		{repeatedSilenceFault + "connections stay silent", 0, true, HistoryFaults, repeatSilence(silenceConnections)},
		{repeatedSilenceFault + "connections are not accepted", 0, true, HistoryFaults, repeatSilence(refuseConnections)},
		{repeatedSilenceFault + "data arrives late", 0, true, HistoryFaults, repeatSilence(holdData)},
	}
}

// faultSource draws faults from a seeded random source.
type faultSource struct {
	random *rand.Rand
	pool   []fault // each fault appears weight times
}

func newFaultSource(seed uint64, version FaultListVersion, only string) *faultSource {
	s := &faultSource{random: rand.New(rand.NewPCG(seed, 1))}
	for _, kind := range faults() {
		if kind.firstVersion > version || !strings.Contains(kind.name, only) {
			continue
		}
		weight := kind.weight
		if only != "" {
			weight = max(weight, 1)
		}
		for range weight {
			s.pool = append(s.pool, kind)
		}
	}
	return s
}

// The range of the durations of faults. It includes the duration of leases (5 s) and of a
// controller's authority (5.5 s).
const (
	minLength   = 300 * time.Millisecond
	lengthRange = 6 * time.Second
)

// next draws a fault and its duration.
func (s *faultSource) next() (fault, time.Duration) {
	kind := s.pool[s.random.IntN(len(s.pool))]
	return kind, minLength + time.Duration(s.random.Int64N(int64(lengthRange)))
}

// sleep sleeps for a duration or until the context is canceled.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

type planFunc = func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context)

func onHost(do func(ctx context.Context, h *host, length time.Duration)) planFunc {
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
		sleep(ctx, length/4)
		for _, h := range r.hosts {
			r.restart(h)
		}
	}
}

func onStoreLink(link LinkCondition) planFunc {
	return func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
		h := r.hosts[random.IntN(len(r.hosts))]
		return func(ctx context.Context) {
			from := time.Now()
			h.storeProxy.SetCondition(link)
			sleep(ctx, length)
			h.storeProxy.SetCondition(LinkCondition{})
			h.recordWindow(&h.linkFaults, from)
		}
	}
}

func resetStoreLinks(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(context.Context) {
		for _, h := range r.hosts {
			from := time.Now()
			h.storeProxy.Reset()
			h.recordWindow(&h.linkFaults, from)
		}
	}
}

func onStore(faults platformtest.Faults) planFunc {
	return func(r *run, _ *rand.Rand, length time.Duration) func(ctx context.Context) {
		return func(ctx context.Context) {
			defer r.recordStoreFault(time.Now())
			r.site.Store.SetFaults(faults)
			sleep(ctx, length)
			r.site.Store.SetFaults(platformtest.Faults{})
		}
	}
}

func dropWatchEvents(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(context.Context) {
		defer r.recordStoreFault(time.Now())
		r.site.Store.DropWatchEvents()
	}
}

// recordStoreFault records a fault of the store from the given time until now.
func (r *run) recordStoreFault(from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFaults = append(r.storeFaults, window{from: from, to: time.Now()})
}

// Server faults target only the servers present from the start, so that what a seed draws
// does not depend on the progress of other faults.

func onServerLink(link LinkCondition) planFunc {
	return func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
		proxy := r.initialProxies[random.IntN(len(r.initialProxies))]
		return func(ctx context.Context) {
			proxy.SetCondition(link)
			sleep(ctx, length)
			proxy.SetCondition(LinkCondition{})
		}
	}
}

func resetServerLink(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	proxy := r.initialProxies[random.IntN(len(r.initialProxies))]
	return func(context.Context) { proxy.Reset() }
}

func onServer(faults platformtest.ServerFaults) planFunc {
	return func(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
		n := random.IntN(len(r.initialProxies))
		return func(ctx context.Context) {
			server := r.site.Servers()[n]
			server.SetFaults(faults)
			sleep(ctx, length)
			server.SetFaults(platformtest.ServerFaults{})
		}
	}
}

// restartServer restarts a server and resets its connections, as the end of its process would.
func restartServer(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	n := random.IntN(len(r.initialProxies))
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		r.initialProxies[n].Reset()
		r.recordError(r.site.Restart(ctx, server))
	}
}

func addServer(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(context.Context) { r.recordError(r.site.AddKeyed(r.servingCtx)) }
}

func startLeaving(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	n := random.IntN(len(r.initialProxies)-2) + 2 // the first server of each service never leaves
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		if r.site.LeavingSince(server).IsZero() {
			r.recordError(r.site.StartLeaving(ctx, server))
		}
	}
}

// leavingFault is the name of the fault in which a server leaves while the store rejects
// all calls.
const leavingFault = "a server leaves and its entry can't be written"

// leaveDuringOutage makes a server leave while the store rejects all calls. The server's
// entry is updated once the store accepts calls again.
func leaveDuringOutage(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	n := random.IntN(len(r.initialProxies)-2) + 2 // the first server of each service never leaves
	return func(ctx context.Context) {
		server := r.site.Servers()[n]
		if !r.site.LeavingSince(server).IsZero() {
			return
		}
		defer r.recordStoreFault(time.Now())
		r.site.Store.SetFaults(platformtest.Faults{RejectCalls: true})
		server.SetLeaving()
		sleep(ctx, leaveWithin+length)
		r.site.Store.SetFaults(platformtest.Faults{})
		r.recordError(r.site.StartLeaving(ctx, server))
	}
}

// backoffFault is the name of the fault in which servers reject requests and ask hosts to
// back off.
const backoffFault = "servers turn requests away and ask for rest"

// requestBackoff makes some servers reject all requests and ask the hosts to back off.
func requestBackoff(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const minBackoff, backoffRange = time.Second, 3 * time.Second
	first, count := random.IntN(len(r.initialProxies)), 1+random.IntN(len(r.initialProxies)/2)
	backoff := minBackoff + time.Duration(random.Int64N(int64(backoffRange)))
	return func(ctx context.Context) {
		servers := r.site.Servers()
		for i := range count {
			servers[(first+i)%len(r.initialProxies)].SetFaults(platformtest.ServerFaults{RejectRequests: true, Backoff: backoff})
		}
		sleep(ctx, backoff+length)
		for i := range count {
			servers[(first+i)%len(r.initialProxies)].SetFaults(platformtest.ServerFaults{})
		}
	}
}

// Names of the faults in which servers garble responses.
const (
	repeatFault   = "a server sends responses a second time, late"
	breakOffFault = "a server breaks off long responses in chunks"
)

// repeatResponses makes a server repeat its responses and reject some requests, with or without their
// IDs.
func repeatResponses(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	faults := platformtest.ServerFaults{RepeatResponses: 500, RejectEvery: 2 + random.IntN(3), OmitRequestID: random.IntN(2) == 0}
	return onServer(faults)(r, random, length)
}

// restoreFault is the name of the fault in which the store loses acknowledged writes because
// it is restored from a backup.
const restoreFault = "the store comes back from a copy"

// restoreBackup makes the store unavailable and then restores it from a backup that is
// some seconds old. It changes the configuration once the store has been available for
// long enough that time bounds are checked again.
func restoreBackup(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const minAge, ageRange, outageDivisor = time.Second, 4 * time.Second, 3
	age := minAge + time.Duration(random.Int64N(int64(ageRange)))
	return func(ctx context.Context) {
		r.addActiveFaults(1)
		from := time.Now()
		r.site.Store.Backup()
		r.recordError(r.site.AddKeyed(r.servingCtx)) // written after the backup, so lost by the restore
		sleep(ctx, age)
		r.site.Store.SetFaults(platformtest.Faults{RejectCalls: true})
		sleep(ctx, length/outageDivisor)
		r.recordError(r.site.RestoreBackup(ctx))
		r.site.Store.SetFaults(platformtest.Faults{})
		r.addActiveFaults(-1)
		r.recordStoreFault(from)
		sleep(ctx, quietPeriod+margin)
		changeConfiguration(r, nil, 0)(ctx)
	}
}

func changeConfiguration(r *run, _ *rand.Rand, _ time.Duration) func(ctx context.Context) {
	return func(ctx context.Context) { r.changeVersion(ctx, r.site.Configure) }
}

// Names of the faults that come with StartFaults.
const (
	moveFault     = "routes move between services"
	throttleFault = "a host gets a share of a processor"
	historyFault  = "the store drops its history while a host starts"
	silenceFault  = "a connection to the store goes silent"
)

// endlessFault is the name of the fault in which servers send responses without end.
const endlessFault = "servers send without end"

// sendWithoutEnd makes one or all servers of a service send responses without end, in one form.
func sendWithoutEnd(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const services = 2 // servers of the two services alternate
	forms := platformtest.EndlessForms()
	form, first, all := forms[random.IntN(len(forms))], random.IntN(len(r.initialProxies)), random.IntN(2) == 0
	return func(ctx context.Context) {
		servers := r.site.Servers()[:len(r.initialProxies)]
		setFaults := func(faults platformtest.ServerFaults) {
			for i, server := range servers {
				if i == first || all && i%services == first%services {
					server.SetFaults(faults)
				}
			}
		}
		setFaults(platformtest.ServerFaults{Endless: form})
		sleep(ctx, length)
		setFaults(platformtest.ServerFaults{})
	}
}

// staleness is the age of stale reads.
const staleness = 3 * time.Second

// playsStarts reports whether the run begins with the first start of the system under load.
func (r *run) playsStarts() bool {
	return cmp.Or(r.options.FaultList, CurrentFaults) >= StartFaults
}

// moveRoutesAtStart moves routes at random intervals while the hosts start, and then tells the
// hosts that later starts are not the first of the system.
func (r *run) moveRoutesAtStart() {
	const during, meanInterval = 9 * time.Second, 700 * time.Millisecond
	random := rand.New(rand.NewPCG(r.options.Seed, 2))
	for end := time.Now().Add(during); time.Now().Before(end) && r.servingCtx.Err() == nil; {
		sleep(r.servingCtx, time.Duration(random.ExpFloat64()*float64(meanInterval)))
		r.changeVersion(r.servingCtx, r.site.MoveRoute)
	}
	for _, h := range r.hosts {
		r.recordError(h.writeSettings(false))
	}
}

// moveRoutes moves routes a few times in a row, the first times within milliseconds.
func moveRoutes(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	const maxPause = 1500 * time.Millisecond
	pauses := []time.Duration{time.Duration(random.Int64N(int64(10 * time.Millisecond))), time.Duration(random.Int64N(int64(maxPause))), time.Duration(random.Int64N(int64(maxPause)))}
	return func(ctx context.Context) {
		for _, pause := range pauses {
			r.changeVersion(ctx, r.site.MoveRoute)
			sleep(ctx, pause)
		}
	}
}

// throttleHost gives a host a third of a processor or less as a quota.
func throttleHost(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	const minShare, shareRange = 0.15, 0.2
	h, share := r.hosts[random.IntN(len(r.hosts))], minShare+shareRange*random.Float64()
	return func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, length)
		defer cancel()
		h.throttle(ctx, share)
	}
}

// silenceStoreConnection makes one open connection of a controller to the store go silent for good,
// and moves routes right after.
func silenceStoreConnection(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	const maxPause = 200 * time.Millisecond
	other, pick, pause := r.hosts[random.IntN(len(r.hosts))], random.Float64(), time.Duration(random.Int64N(int64(maxPause)))
	return func(ctx context.Context) {
		h := cmp.Or(r.controller(ctx), other)
		from := time.Now()
		h.storeProxy.Silence(pick)
		h.recordWindow(&h.linkFaults, from)
		sleep(ctx, pause)
		r.changeVersion(ctx, r.site.MoveRoute)
	}
}

// controller returns the host that controls the service with keys, or nil.
func (r *run) controller(ctx context.Context) *host {
	listing, err := r.site.Store.Objects().List(ctx, gateway.Assignments)
	r.recordError(err)
	for _, object := range listing.Objects {
		var record keyspace.Record
		if json.Unmarshal(object.Spec, &record) != nil || record.Keyless {
			continue
		}
		for _, h := range r.hosts {
			if h.peersAddress == record.Controller.Address {
				return h
			}
		}
	}
	return nil
}

// dropHistoryAtStart starts some or all hosts again and makes the store drop its history within their
// first second, so that no watch of theirs hears of changes. Routes move once the hosts are held to
// their bounds again.
func dropHistoryAtStart(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	first, count := random.IntN(len(r.hosts)), 1+random.IntN(len(r.hosts))
	after, moveAfter := time.Duration(random.Int64N(int64(time.Second))), time.Duration(random.Int64N(int64(2*time.Second)))
	return func(ctx context.Context) {
		for i := range count {
			r.hosts[(first+i)%len(r.hosts)].kill()
		}
		for i := range count {
			r.restart(r.hosts[(first+i)%len(r.hosts)])
		}
		sleep(ctx, after)
		from := time.Now()
		r.recordError(r.site.Store.DropHistory(ctx))
		r.recordStoreFault(from)
		sleep(ctx, moveAfter)
		r.changeVersion(ctx, r.site.MoveRoute)
	}
}

// evacuateDomain evacuates a failure domain and returns it to service. The first server of each
// service, which never leaves, is in the other domain.
func evacuateDomain(r *run, _ *rand.Rand, length time.Duration) func(ctx context.Context) {
	const domain = "b"
	return func(ctx context.Context) {
		r.recordError(r.site.Evacuate(ctx, domain))
		sleep(ctx, length+evacuateWithin)
		r.recordError(r.site.EndEvacuation(ctx, domain))
	}
}

// limitFault is the name of the fault in which servers announce rate limits.
const limitFault = "servers name limits"

// announceLimits makes one or more servers of a service announce a rate limit, change it and
// withdraw it. Each limit lasts long enough for the check of it to apply.
func announceLimits(r *run, random *rand.Rand, length time.Duration) func(ctx context.Context) {
	// Servers of the two services alternate.
	const services, minDuration = 2, 8 * time.Second
	service, count := random.IntN(services), 1+random.IntN(len(r.initialProxies)/services)
	limits := []float64{1 + 5*random.Float64(), 1 + 5*random.Float64()}
	return func(ctx context.Context) {
		servers := r.site.Servers()
		for _, limit := range append(limits, 0) {
			for i := range count {
				servers[service+services*i].SetLimit(limit)
			}
			if limit > 0 {
				sleep(ctx, minDuration+length)
			}
		}
	}
}

// deadlyFault is the name of the fault that sends a request which terminates servers.
const deadlyFault = "a request ends every server that runs it"

// startDeadlyCallers starts callers that send copies of a deadly request to all hosts until the
// load ends.
func startDeadlyCallers(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	keyed, callers := random.IntN(2) == 0, 1+random.IntN(3)
	return func(context.Context) {
		deadly := r.site.AddDeadlyRequest(keyed)
		for range callers {
			r.deadlyCallers.Go(func() { r.sendDeadlyCopies(deadly) })
		}
	}
}

// sendDeadlyCopies sends copies of a deadly request to the hosts in turn until the load ends.
func (r *run) sendDeadlyCopies(deadly *platformtest.DeadlyRequest) {
	const interval, key = 50 * time.Millisecond, 700
	client := &http.Client{Timeout: 2 * time.Second}
	for n := rand.IntN(len(r.hosts)); r.loadCtx.Err() == nil; n++ {
		sendRequest(client, r.hosts[n%len(r.hosts)], deadly.PathPrefix, key)
		sleep(r.loadCtx, interval)
	}
}
