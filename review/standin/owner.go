package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Case "owner": upstreams of a sharded service are replaced one after the other. Each that leaves
// sends a second copy of some of its answers to grants, late, in the seconds before.

const (
	shardedUpstreams  = 12
	replacedUpstreams = 6
	shardClients      = 72
	// copyWindow is how long before it drains an upstream is faulty, copyShare the share of all its
	// answers in that time that it sends twice.
	copyWindow = 5 * time.Second
	copyShare  = 0.03
	// drainFor is how long an upstream goes on serving after it has reported that it is draining.
	drainFor = 3500 * time.Millisecond
)

// playOwner checks the rule OWNER: no upstream is given a key on which another one is still at work,
// before that one's hold would have run out.
func playOwner(r *record, trouble bool) (verdict, error) {
	s := &site{record: r, routes: []route{{prefix: "/split/", kind: "safe", service: "splitfeed", timeout: "1200ms", target: "300ms", maxAttempts: 2}}}
	var broken atomic.Int64
	check := func(to *upstream, given grant) {
		for _, other := range s.current() {
			if other == to {
				continue
			}
			if key, left, found := other.atWorkWithin(given); found {
				broken.Add(1)
				r.line("broken: %s is given %d to %d, fence %d, while %s is at work on key %d, whose hold would have lasted %d ms more",
					to.id, given.From, given.Target, given.Fence, other.id, key, left.Milliseconds())
			}
		}
	}
	next := 0
	newUpstream := func() *upstream {
		next++
		return &upstream{id: fmt.Sprintf("i-%d", next), service: "splitfeed", sharded: true, slots: 4, queue: 16, onGrant: check,
			work: func(*http.Request) time.Duration { return time.Duration(100+rand.IntN(200)) * time.Millisecond }}
	}
	for range shardedUpstreams {
		s.upstreams = append(s.upstreams, newUpstream())
	}
	defer s.end()
	if err := s.start(4); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second) // the keys are assigned
	stop := make(chan struct{})
	var served atomic.Int64
	var clients sync.WaitGroup
	for n := range shardClients {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if id := fmt.Sprintf("c%dr%d", n, i); fetchSplit(s.daemons[n%len(s.daemons)].front, id) == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	copies := int64(0)
	for _, leaving := range s.current()[:replacedUpstreams] {
		if err := s.join(newUpstream()); err != nil {
			return verdict{}, err
		}
		copies += leaving.replaceAfter(s, trouble)
	}
	close(stop)
	clients.Wait()
	if served.Load() < 1000 {
		return verdict{}, fmt.Errorf("only %d requests were served", served.Load())
	}
	return verdict{broken: broken.Load() > 0, summary: fmt.Sprintf("OWNER: %d requests served, %d upstreams replaced, %d answers to grants sent twice; a key given to an upstream while another was at work on it: %d",
		served.Load(), replacedUpstreams, copies, broken.Load())}, nil
}

// replaceAfter lets an upstream be faulty for a while, drain and leave. It returns how many answers it
// sent twice.
func (u *upstream) replaceAfter(s *site, trouble bool) int64 {
	// A daemon renews all of its grants within renewal, one upstream's together; the first calls of
	// such a group are passed over, because the others would use their connections.
	const renewal, passedOver = 1100 * time.Millisecond, 4
	var copies, allowed, calls atomic.Int64
	before := u.answers.Load()
	time.Sleep(copyWindow - renewal)
	if trouble {
		allowed.Store(int64(copyShare * float64(u.answers.Load()-before)))
	}
	u.setDuplicatesCall(func() bool {
		if calls.Add(1) <= passedOver || copies.Load() >= allowed.Load() {
			return false
		}
		copies.Add(1)
		return true
	})
	time.Sleep(renewal)
	u.record.line("upstream %s: has sent %d answers in %v, and %d of them twice", u.id, u.answers.Load()-before, copyWindow, copies.Load())
	u.setDuplicatesCall(nil)
	s.drain(u)
	time.Sleep(drainFor)
	s.leave(u)
	return copies.Load()
}

// fetchSplit sends one request on a new connection and returns the status of its answer, 0 if there is none.
func fetchSplit(front, id string) int {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return 0
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0
	}
	request := fmt.Sprintf("GET /split/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\nX-Shard-Key: %d\r\n\r\n", id, host, id, rand.IntN(65536))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
