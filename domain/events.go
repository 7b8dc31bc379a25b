package domain

import (
	"time"

	"cicadarouter/contract/backend"
	"cicadarouter/link/linkpb"
	"cicadarouter/ownership"
	"cicadarouter/placement"
	"cicadarouter/record"
)

type pageChanged struct{ page record.Page }

func (e pageChanged) apply(l *loop, now time.Duration) { l.updatePage(now, e.page) }

// rescanRequested makes the next tick scan all known pages and services.
type rescanRequested struct{}

func (rescanRequested) apply(l *loop, now time.Duration) { l.nextRescan = now }

type renewalsAnswered struct {
	host      string
	renewals  []ownership.RenewalMessage
	responses []*linkpb.Answer
}

func (e renewalsAnswered) apply(l *loop, now time.Duration) {
	for i, renewal := range e.renewals {
		state, known := l.pages[renewal.Request.Page]
		if !known {
			continue
		}
		answer := ownership.RenewalResponse{
			Verdict:         ownership.Verdict(e.responses[i].GetVerdict()),
			KnownGeneration: e.responses[i].GetKnown(),
			Dispatcher:      e.responses[i].GetDispatcher(),
			BusyFor:         time.Duration(e.responses[i].GetBusyForNanos()),
		}
		state.machine.HandleRenewalResponse(now, renewal.Round, e.host, answer)
		l.processOutput(now, state)
	}
}

type stopsPromised struct {
	host      string
	stops     []ownership.StopMessage
	remaining []int64
}

func (e stopsPromised) apply(l *loop, now time.Duration) {
	for i, stop := range e.stops {
		state, known := l.pages[stop.Page]
		if !known {
			continue
		}
		promise := ownership.Promise{Remaining: time.Duration(e.remaining[i])}
		state.machine.HandlePromise(now, stop.Generation, e.host, promise)
		l.processOutput(now, state)
	}
}

type serverAnswered struct {
	message ownership.GrantMessage
	report  backend.Report
}

func (e serverAnswered) apply(l *loop, now time.Duration) {
	health := l.server(e.message.Holder.Name)
	health.recordAnswer(now, e.report.Incarnation, e.report.Draining)
	state, known := l.pages[e.message.Page]
	if !known {
		return
	}
	state.machine.HandleAck(now, e.message.Holder, ownership.HolderAck{
		SentAt:      e.message.SentAt,
		HolderTime:  e.report.Clock,
		Incarnation: e.report.Incarnation,
		Generation:  e.report.Generation,
		Busy:        e.report.Busy,
	})
	l.processOutput(now, state)
}

type serverCallFailed struct{ server string }

func (e serverCallFailed) apply(l *loop, now time.Duration) {
	l.probeFromPeers(now, e.server)
}

type probeSucceeded struct{ server string }

func (e probeSucceeded) apply(l *loop, now time.Duration) { l.server(e.server).recordObservation(now) }

type leaseAnswered struct {
	host   string
	sentAt time.Duration
	reply  *linkpb.LeaseReply
}

func (e leaseAnswered) apply(l *loop, now time.Duration) {
	l.router(e.host).recordAnswer(now, e.reply.GetLeaving())
	for _, status := range e.reply.GetPages() {
		state, known := l.pages[status.GetPage()]
		if !known {
			continue
		}
		id := ownership.HolderID{Kind: ownership.Router, Name: e.host}
		state.machine.HandleAck(now, id, ownership.HolderAck{
			SentAt:      e.sentAt,
			HolderTime:  time.Duration(e.reply.GetClockNanos()),
			Incarnation: e.reply.GetIncarnation(),
			Generation:  status.GetGeneration(),
			Leaving:     e.reply.GetLeaving(),
		})
		l.recordObservations(now, status)
		if e.reply.GetLeaving() {
			l.tickPage(now, state) // choose another dispatcher without waiting for the next tick
		}
		if status.GetMeasured() {
			state.planner.Observe(now, shardLoads(status))
		}
		l.processOutput(now, state)
	}
}

func (l *loop) recordObservations(now time.Duration, status *linkpb.PageStatus) {
	for _, sign := range status.GetSigns() {
		if sign.GetAnswered() {
			l.server(sign.GetServer()).recordObservation(now)
		}
	}
}

func shardLoads(status *linkpb.PageStatus) []placement.ShardLoad {
	loads := make([]placement.ShardLoad, 0, len(status.GetLoads()))
	for _, load := range status.GetLoads() {
		shard := placement.ShardLoad{Low: load.GetLow(), Rate: load.GetRate()}
		for _, hot := range load.GetHot() {
			shard.Hot = append(shard.Hot, placement.HotHash{Hash: hot.GetHash(), Rate: hot.GetRate()})
		}
		loads = append(loads, shard)
	}
	return loads
}

type writeFinished struct {
	page    string
	attempt string
	result  ownership.WriteResult
}

func (e writeFinished) apply(l *loop, now time.Duration) {
	state, known := l.pages[e.page]
	if !known {
		return
	}
	state.machine.HandleWriteResult(now, e.attempt, e.result)
	l.processOutput(now, state)
}

type rereadFinished struct{ page string }

func (e rereadFinished) apply(l *loop, _ time.Duration) {
	if state, known := l.pages[e.page]; known {
		state.rereading = false
	}
}

// probeFromPeers queues probes of a silent server by other hosts of the domain.
func (l *loop) probeFromPeers(now time.Duration, server string) {
	health := l.server(server)
	if !health.shouldProbeFromPeers(now) {
		return
	}
	health.lastPeerProbe = now
	hosts := liveHosts(l.c.directory.Hosts(), l.c.identity.Domain)
	const observers = 2
	asked := 0
	for _, host := range rendezvousOrder("observe\x00"+server, hosts) {
		if host == l.c.identity.Host || asked == observers {
			continue
		}
		asked++
		l.out.probes = append(l.out.probes, peerProbe{server: server, peer: host})
	}
}
