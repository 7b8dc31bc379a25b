package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Case "repeated": an upstream sends a second copy of some answers, late. Some of these are
// rejections of a request that the daemon sends once more on the same connection.

const (
	// duplicateShare is the share of answers that the faulty upstream sends twice.
	duplicateShare = 0.03
	// assignDaemons daemons have one client each, which sends one request after the other. Together
	// they sometimes send an upstream more than its slots and its queue take.
	assignDaemons = 8
	assignFor     = 75 * time.Second
)

// playRepeated checks the rule REFUSED: a request that isn't idempotent and is answered 503 never
// runs; and the rule TWICE: none runs more than once.
func playRepeated(r *record, trouble bool) (verdict, error) {
	s := &site{record: r, routes: []route{{prefix: "/assign/", kind: "unsafe", service: "entrydesk", timeout: "3000ms", target: "800ms", maxAttempts: 2}}}
	for i := range 2 {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: "entrydesk", sharded: true, slots: 2, queue: 2,
			work: func(*http.Request) time.Duration { return time.Duration(15+rand.IntN(30)) * time.Millisecond }}
		if trouble && i == 0 {
			u.duplicates = func() bool { return r.isFaultyNow() && rand.Float64() < duplicateShare }
		}
		s.upstreams = append(s.upstreams, u)
	}
	defer s.end()
	if err := s.start(assignDaemons); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second) // the keys are assigned
	var mu sync.Mutex
	counts := map[int]int{}
	refused := map[string]int{} // the status with which requests were rejected, by id
	until := time.Now().Add(assignFor)
	var clients sync.WaitGroup
	for n, each := range s.daemons {
		clients.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("c%dr%d", n, i)
				status := assign(each.front, id)
				r.line("client: %s ends with status %d", id, status)
				mu.Lock()
				counts[status]++
				if saysNotRun(status) {
					refused[id] = status
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second) // what may still run, runs
	if counts[http.StatusOK] < 100 {
		return verdict{}, fmt.Errorf("only %d requests were served: %v", counts[http.StatusOK], counts)
	}
	broken, twice := 0, 0
	for id, status := range refused {
		if r.runCount(id) > 0 {
			broken++
			r.line("broken: %s was answered %d and has run", id, status)
		}
	}
	r.mu.Lock()
	for _, runs := range r.runs {
		if runs > 1 {
			twice++
		}
	}
	r.mu.Unlock()
	return verdict{broken: broken+twice > 0, summary: fmt.Sprintf("REFUSED: answers by status %v, answers of the faulty upstream %d, rejected requests that have run %d; TWICE: %d",
		counts, s.upstreams[0].answers.Load(), broken, twice)}, nil
}

// saysNotRun reports whether a status promises that the request has not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// assign sends one request on a new connection and returns the status of its answer, 0 if there is none.
func assign(front, id string) int {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return 0
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return 0
	}
	request := fmt.Sprintf("POST /assign/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Shard-Key: %d\r\nContent-Length: 4\r\n\r\nchip", id, host, id, rand.IntN(65536))
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
