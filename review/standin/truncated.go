package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Case "truncated": upstreams break off long answers that they send in chunks.

const (
	// exportBytes is the length of an answer: a large response of a download route.
	exportBytes = 200_000
	// exportChunk is the length of a chunk.
	exportChunk = 8_000
	// brokenShare is the share of answers that a faulty upstream breaks off; half of the upstreams
	// are faulty.
	brokenShare = 0.02
	// exportClients send exportRequests each, one after the other.
	exportClients  = 8
	exportRequests = 300
)

// exportBody returns the whole body of the answer to a request.
func exportBody(id string) []byte {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	random := rand.New(rand.NewPCG(hash.Sum64(), 1))
	body := make([]byte, exportBytes)
	for i := range body {
		body[i] = byte('a' + random.IntN(26))
	}
	return body
}

// playTruncated checks the rule MIXED: no client gets a success with a body that isn't the
// upstream's whole body and that looks complete.
func playTruncated(r *record, trouble bool) (verdict, error) {
	s := &site{record: r, routes: []route{{prefix: "/export/", kind: "download", service: "tallyout", timeout: "5000ms", target: "1500ms", maxAttempts: 2}}}
	for i := range 4 {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: "tallyout", slots: 4, queue: 16, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
		faulty := trouble && i%2 == 0
		u.answer = func(c *upstreamConn, request *http.Request) error { return u.sendExport(c, request, faulty) }
		s.upstreams = append(s.upstreams, u)
	}
	defer s.end()
	if err := s.start(2); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	answered, truncated, unanswered := 0, 0, 0
	var clients sync.WaitGroup
	for n := range exportClients {
		clients.Go(func() {
			front := s.daemons[n%len(s.daemons)].front
			for i := range exportRequests {
				id := fmt.Sprintf("c%dr%d", n, i)
				status, body, err := fetchExport(front, id)
				mu.Lock()
				switch {
				case err != nil || status != http.StatusOK:
					unanswered++
					r.line("client: %s ends with status %d, error %v", id, status, err)
				case bytes.Equal(body, exportBody(id)):
					answered++
				default:
					truncated++
					r.line("client: %s gets 200 and a complete answer, whose body has %d bytes of the upstream's %d", id, len(body), exportBytes)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if answered < exportClients*exportRequests/2 {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", answered, exportClients*exportRequests)
	}
	return verdict{broken: truncated > 0, summary: fmt.Sprintf("MIXED: %d whole answers, %d failures, %d truncated answers that look complete", answered, unanswered, truncated)}, nil
}

// sendExport sends the answer to a request in chunks. A faulty upstream breaks some of them off.
func (u *upstream) sendExport(c *upstreamConn, request *http.Request, faulty bool) error {
	id := request.Header.Get("X-Request-Id")
	body := exportBody(id)
	breakOffAfter := len(body)
	breaksOff := faulty && u.record.isFaultyNow() && rand.Float64() < brokenShare
	if breaksOff {
		breakOffAfter = rand.IntN(len(body)/exportChunk) * exportChunk
	}
	if _, err := io.WriteString(c, u.head(200, id, "sig-"+u.id+"-"+id, "Transfer-Encoding: chunked")+"\r\n"); err != nil {
		return err
	}
	for at := 0; at < breakOffAfter; at += exportChunk {
		chunk := body[at:min(at+exportChunk, len(body))]
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return err
		}
	}
	if breaksOff {
		u.record.line("upstream %s: breaks off the answer to %s after %d bytes and closes the connection", u.id, id, breakOffAfter)
		return net.ErrClosed
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// fetchExport sends one request on a new connection. The error is nil only if the answer is complete.
func fetchExport(front, id string) (status int, body []byte, err error) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		return 0, nil, err
	}
	request := fmt.Sprintf("GET /export/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\n\r\n", id, host, id)
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
