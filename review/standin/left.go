package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Case "left": clients that have sent a second request behind the first one close their connection.

const (
	// formClients clients come, formInterval apart. Every second one sends formRequests without
	// waiting for answers, the others send one.
	formClients  = 100
	formInterval = 55 * time.Millisecond
	formRequests = 2
	// Of leavingOf clients that come, leavingFirst leave.
	leavingFirst, leavingOf = 3, 10
	// sendPause is the time between the requests on one connection.
	sendPause = 100 * time.Millisecond
	// leaveAfter is when a client leaves: within half of the objective.
	leaveAfter = 300 * time.Millisecond
	// formWork is how long a request would run.
	formWork = 1200 * time.Millisecond
	// goneSlack is how long after the close no request may reach an upstream any more.
	goneSlack = 500 * time.Millisecond
	// maxLateArrivals and maxLateShare are the bounds of the rule: "a few" and a quarter.
	maxLateArrivals = 5
	maxLateShare    = 0.25
)

// departure is what is known of one client that left.
type departure struct {
	ids       []string
	closedAt  time.Time
	pipelined bool
}

// playLeft checks the rule GONE.
func playLeft(r *record, trouble bool) (verdict, error) {
	s := &site{record: r, routes: []route{{prefix: "/form/", kind: "safe", service: "formview", timeout: "5000ms", target: "1200ms", maxAttempts: 2}}}
	for i := range 10 {
		s.upstreams = append(s.upstreams, &upstream{id: fmt.Sprintf("i-%d", i+1), service: "formview", slots: 4, queue: 16, work: func(*http.Request) time.Duration { return formWork }})
	}
	defer s.end()
	if err := s.start(2); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	stillAtWork, wouldLast := map[bool]int{}, map[bool]int{} // by whether the client sent more than one request
	var departures []departure
	var clients sync.WaitGroup
	failed := 0
	for n := range formClients {
		clients.Go(func() {
			d := departure{pipelined: n%2 == 0}
			for i := range formRequests {
				if i == 0 || d.pipelined {
					d.ids = append(d.ids, fmt.Sprintf("c%dr%d", n, i))
				}
			}
			conn, err := sendForms(s.daemons[n%len(s.daemons)].front, d.ids)
			if err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
				return
			}
			r.line("client: sends %s on one connection", strings.Join(d.ids, " and "))
			if !trouble || n/2%leavingOf >= leavingFirst {
				defer conn.Close()
				if err := readForms(r, conn, d.ids); err != nil {
					mu.Lock()
					failed++
					mu.Unlock()
				}
				return
			}
			time.Sleep(leaveAfter)
			running := s.runningOf(d.ids)
			_ = conn.Close()
			d.closedAt = time.Now()
			r.line("client: leaves, %s", strings.Join(d.ids, " and "))
			time.Sleep(goneSlack)
			mu.Lock()
			defer mu.Unlock()
			departures = append(departures, d)
			for _, id := range running {
				wouldLast[d.pipelined]++
				if s.isAtWork(id) {
					stillAtWork[d.pipelined]++
					r.line("%s is still at work %d ms after its client has left", id, goneSlack.Milliseconds())
				}
			}
		})
		time.Sleep(formInterval)
	}
	clients.Wait()
	time.Sleep(2 * formWork) // what was sent behind a first request arrives
	if failed > formClients/10 {
		return verdict{}, fmt.Errorf("%d of %d clients failed", failed, formClients)
	}
	late := 0
	for _, d := range departures {
		for _, id := range d.ids {
			if at := r.firstRun(id); at.After(d.closedAt.Add(goneSlack)) {
				late++
				r.line("broken: %s reached an upstream %d ms after its client had left", id, at.Sub(d.closedAt).Milliseconds())
			}
		}
	}
	all, atWork := wouldLast[true]+wouldLast[false], stillAtWork[true]+stillAtWork[false]
	broken := late > maxLateArrivals || all > 0 && float64(atWork) > maxLateShare*float64(all)
	return verdict{broken: broken, summary: fmt.Sprintf("GONE: %d requests reached an upstream over %v after their clients had left; upstreams were still at work then on %d of %d requests (of clients that had sent two: %d of %d; of clients that had sent one: %d of %d)",
		late, goneSlack, atWork, all, stillAtWork[true], wouldLast[true], stillAtWork[false], wouldLast[false])}, nil
}

// runningOf returns those of the requests at which an upstream is at work.
func (s *site) runningOf(ids []string) []string {
	var running []string
	for _, id := range ids {
		if s.isAtWork(id) {
			running = append(running, id)
		}
	}
	return running
}

func (s *site) isAtWork(id string) bool {
	for _, u := range s.upstreams {
		if u.isAtWork(id) {
			return true
		}
	}
	return false
}

// sendForms opens a connection and sends requests, each some time after the one before.
func sendForms(front string, ids []string) (net.Conn, error) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return nil, err
	}
	for i, id := range ids {
		if i > 0 {
			time.Sleep(sendPause)
		}
		if _, err := fmt.Fprintf(conn, "GET /form/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", id, host, id); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	return conn, nil
}

// readForms reads the answers to requests in their order.
func readForms(r *record, conn net.Conn, ids []string) error {
	if err := conn.SetDeadline(time.Now().Add(12 * time.Second)); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		r.line("client: %s ends with status %d, answer for %s", id, response.StatusCode, response.Header.Get("X-Request-Id"))
	}
	return nil
}
