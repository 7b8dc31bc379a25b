package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// idleTimeout is how long an upstream keeps an idle connection; its answers state it.
const idleTimeout = 10 * time.Second

// upstream is a stand-in of a backend server, on loopback and on HTTP/1.1.
type upstream struct {
	id, service, address string
	slots, queue         int
	sharded              bool
	work                 func(r *http.Request) time.Duration
	// answer writes the answer to a request that ran; nil writes a short one with a length.
	answer func(c *upstreamConn, r *http.Request) error
	// duplicates tells whether an answer to a request, and duplicatesCall whether one to a grant, is
	// followed by a late second copy; nil means never.
	duplicates     func() bool
	duplicatesCall func() bool // read and set under mu
	// onGrant is called when a grant has taken effect.
	onGrant func(u *upstream, given grant)
	record  *record

	listener net.Listener
	beats    int
	answers  atomic.Int64 // answers to requests and calls, those that say "not executed" among them
	draining atomic.Bool

	mu      sync.Mutex
	running int
	waiting int
	freed   chan struct{} // closed when a slot becomes free
	grants  []grant
	atWork  map[string]int // requests that are running, by id
	// keysAtWork are the keys of requests that are running, released the grants that were taken back.
	keysAtWork map[uint16]int
	released   []grant
	workEnded  chan struct{} // closed when a request ends its run
}

// grant is a range of keys that the upstream holds until a point in time.
type grant struct {
	From     uint16 `json:"from"`
	Target   uint16 `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
	until    time.Time
}

// upstreamConn is a connection to the upstream.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	// late is a second copy of the last answer, which is sent where the next answer is expected.
	late []byte
}

func (u *upstream) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.listener, u.address = listener, listener.Addr().String()
	u.freed, u.atWork, u.keysAtWork, u.workEnded = make(chan struct{}), map[string]int{}, map[uint16]int{}, make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(&upstreamConn{Conn: conn, reader: bufio.NewReader(conn)})
		}
	}()
	return nil
}

// beat returns the upstream's entry in the store.
func (u *upstream) beat() map[string]any {
	u.beats++
	state := "ready"
	if u.draining.Load() {
		state = "draining"
	}
	return map[string]any{"service": u.service, "address": u.address, "zone": "a", "version": "v1", "slots": u.slots,
		"state": state, "cold-remaining": "0ms", "seq": u.beats}
}

func (u *upstream) serve(c *upstreamConn) {
	defer c.Close()
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late := c.late; late != nil {
			c.late = nil
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		switch r.URL.Path {
		case "/healthz":
			err = u.send(c, 200, "", "", nil, "X-Instance-Id: "+u.id)
		case "/cicadarouter/grant", "/cicadarouter/release":
			err = u.changeGrants(c, r, body)
		default:
			err = u.handle(c, r)
		}
		if err != nil {
			return
		}
	}
}

// head returns the head of an answer.
func (u *upstream) head(status int, requestID, signature string, fields ...string) string {
	u.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
	u.mu.Unlock()
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nKeep-Alive: timeout=%d\r\nX-Upstream-Load: %s\r\n", status, http.StatusText(status), int(idleTimeout.Seconds()), load)
	if requestID != "" {
		text += "X-Request-Id: " + requestID + "\r\n"
	}
	if signature != "" {
		text += "X-Upstream-Signature: " + signature + "\r\n"
	}
	for _, field := range fields {
		text += field + "\r\n"
	}
	return text
}

// send sends an answer whose length is stated. The answer to a request may be followed by a second
// copy, late.
func (u *upstream) send(c *upstreamConn, status int, requestID, signature string, body []byte, fields ...string) error {
	answer := u.answerText(status, requestID, signature, body, fields...)
	u.answers.Add(1)
	if requestID != "" {
		if u.duplicates != nil && u.duplicates() {
			c.late = answer
			u.record.line("upstream %s: the answer %d to %s will be followed by a second copy where the next answer is expected", u.id, status, requestID)
		}
	}
	_, err := c.Write(answer)
	return err
}

// answerText returns a whole answer.
func (u *upstream) answerText(status int, requestID, signature string, body []byte, fields ...string) []byte {
	return []byte(u.head(status, requestID, signature, fields...) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body))
}

// notRun rejects a request that the upstream does not run.
func (u *upstream) notRun(c *upstreamConn, status int, requestID string, why string) error {
	u.record.line("upstream %s: answers %s with %d, not executed (%s)", u.id, requestID, status, why)
	return u.send(c, status, requestID, "", nil, "X-Not-Executed: 1", "X-Instance-Id: "+u.id)
}

// handle runs a request of a client, or rejects it.
func (u *upstream) handle(c *upstreamConn, r *http.Request) error {
	id := r.Header.Get("X-Request-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != u.id {
		return u.notRun(c, http.StatusMisdirectedRequest, id, "another instance is meant")
	}
	if id == "" {
		return u.notRun(c, http.StatusBadRequest, id, "no id")
	}
	if u.sharded && !u.holds(r.Header.Get("X-Shard-Key")) {
		return u.notRun(c, http.StatusMisdirectedRequest, id, "does not hold the key")
	}
	left := time.Hour
	if millis, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(millis) * time.Millisecond
	}
	u.record.line("upstream %s: %s %s %s arrives", u.id, id, r.Method, r.URL.RequestURI())
	closed := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.reader.Peek(1); err != nil {
			close(closed)
		}
	}()
	deadline := time.After(left)
	if status, why := u.begin(id, r.Header.Get("X-Shard-Key"), closed, deadline); status != 0 {
		err := u.notRun(c, status, id, why)
		if err == nil {
			<-watched
		}
		return err
	}
	u.record.ran(id)
	u.record.line("upstream %s: %s runs", u.id, id)
	started := time.Now()
	end := "whole"
	select {
	case <-time.After(u.work(r)):
	case <-closed:
		end = "cut, the connection was closed"
	case <-deadline:
		end = "cut, the deadline has passed"
	}
	u.leave(id, r.Header.Get("X-Shard-Key"))
	u.record.line("upstream %s: %s ends its run after %d ms: %s", u.id, id, time.Since(started).Milliseconds(), end)
	signature := "sig-" + u.id + "-" + id
	var err error
	switch {
	case end == "whole" && u.answer != nil:
		u.answers.Add(1)
		err = u.answer(c, r)
	case end == "whole":
		err = u.send(c, 200, id, signature, []byte("done "+id))
	default:
		err = u.send(c, http.StatusGatewayTimeout, id, signature, nil)
	}
	if err == nil {
		<-watched // the next request begins, or the connection has ended
	}
	return err
}

// begin waits for a slot and begins a request, or returns the status with which it is rejected.
func (u *upstream) begin(id, key string, closed <-chan struct{}, deadline <-chan time.Time) (status int, why string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots && u.waiting >= u.queue {
		return http.StatusServiceUnavailable, "full"
	}
	u.waiting++
	defer func() { u.waiting-- }()
	for u.running >= u.slots {
		freed := u.freed
		u.mu.Unlock()
		gone := false
		select {
		case <-freed:
		case <-closed:
			gone = true
		case <-deadline:
			gone = true
		}
		u.mu.Lock()
		if gone {
			return http.StatusServiceUnavailable, "deadline passed or caller left in the queue"
		}
	}
	// The key may have been released while the request waited.
	if u.sharded && !u.holdsLocked(key) {
		return http.StatusMisdirectedRequest, "does not hold the key any more"
	}
	u.running++
	u.atWork[id]++
	if number, ok := parseKey(key); ok {
		u.keysAtWork[number]++
	}
	return 0, ""
}

func (u *upstream) leave(id, key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	if u.atWork[id]--; u.atWork[id] == 0 {
		delete(u.atWork, id)
	}
	if number, ok := parseKey(key); ok {
		if u.keysAtWork[number]--; u.keysAtWork[number] == 0 {
			delete(u.keysAtWork, number)
		}
	}
	close(u.freed)
	close(u.workEnded)
	u.freed, u.workEnded = make(chan struct{}), make(chan struct{})
}

func parseKey(text string) (key uint16, ok bool) {
	number, err := strconv.ParseUint(text, 10, 16)
	return uint16(number), err == nil
}

// contains reports whether the grant covers a key.
func (g *grant) contains(key uint16) bool { return g.From <= key && key <= g.Target }

// atWorkWithin returns a key of a range at which the upstream is at work although its hold on the
// key would not have run out yet.
func (u *upstream) atWorkWithin(given grant) (key uint16, left time.Duration, found bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for key := range u.keysAtWork {
		if !given.contains(key) {
			continue
		}
		for _, each := range append(append([]grant(nil), u.grants...), u.released...) {
			if left := time.Until(each.until); each.contains(key) && left > 0 {
				return key, left, true
			}
		}
	}
	return 0, 0, false
}

// awaitWork waits until no request on the keys of a range is running.
func (u *upstream) awaitWork(given grant) {
	for {
		u.mu.Lock()
		busy, ended := false, u.workEnded
		for key := range u.keysAtWork {
			busy = busy || given.contains(key)
		}
		u.mu.Unlock()
		if !busy {
			return
		}
		<-ended
	}
}

// isAtWork reports whether a request is running here.
func (u *upstream) isAtWork(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.atWork[id] > 0
}

// holds reports whether the upstream holds a key.
func (u *upstream) holds(text string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holdsLocked(text)
}

// holdsLocked is holds for callers that hold the lock.
func (u *upstream) holdsLocked(text string) bool {
	key, ok := parseKey(text)
	if !ok {
		return false
	}
	for _, each := range u.grants {
		if each.contains(key) && time.Now().Before(each.until) {
			return true
		}
	}
	return false
}

// changeGrants handles a grant or a release. A release takes effect at once and is answered when
// the work on its keys has ended.
func (u *upstream) changeGrants(c *upstreamConn, r *http.Request, body []byte) error {
	requestID := r.Header.Get("X-Request-Id") // echoed, if the system sends one
	fields := []string{"X-Instance-Id: " + u.id}
	if requestID != "" {
		fields = append(fields, "X-Request-Id: "+requestID)
	}
	var given grant
	if err := json.Unmarshal(body, &given); err != nil {
		return u.send(c, http.StatusBadRequest, "", "", nil, fields...)
	}
	hold, _ := time.ParseDuration(given.HoldTime)
	given.until = time.Now().Add(hold)
	release := r.URL.Path == "/cicadarouter/release"
	if !u.replaceGrants(given, release) {
		return u.send(c, http.StatusConflict, "", "", nil, fields...)
	}
	if release {
		u.record.line("upstream %s: release of %d to %d, fence %d", u.id, given.From, given.Target, given.Fence)
		u.awaitWork(given)
		u.record.line("upstream %s: answers the release of %d to %d, fence %d", u.id, given.From, given.Target, given.Fence)
		return u.send(c, http.StatusOK, "", "", nil, append(fields, "X-Handoff: "+u.id+"-"+strconv.FormatUint(given.Fence, 10))...)
	}
	if u.onGrant != nil {
		u.onGrant(u, given)
	}
	if u.copiesCall() {
		u.record.line("upstream %s: the answer to the grant of %d to %d, fence %d, will be followed by a second copy where the next answer is expected", u.id, given.From, given.Target, given.Fence)
		c.late = u.answerText(http.StatusOK, "", "", nil, fields...)
	}
	return u.send(c, http.StatusOK, "", "", nil, fields...)
}

// setDuplicatesCall sets which answers to grants are sent twice.
func (u *upstream) setDuplicatesCall(choose func() bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.duplicatesCall = choose
}

func (u *upstream) copiesCall() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.duplicatesCall != nil && u.duplicatesCall()
}

// replaceGrants grants or releases a range. It returns false if a grant is refused because of a higher
// fence.
func (u *upstream) replaceGrants(given grant, release bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var kept, taken []grant
	for _, each := range u.grants {
		if each.Target < given.From || given.Target < each.From {
			kept = append(kept, each)
			continue
		}
		if each.Fence > given.Fence && !release {
			return false
		}
		taken = append(taken, each)
		if left := each; left.From < given.From {
			left.Target = given.From - 1
			kept = append(kept, left)
		}
		if right := each; right.Target > given.Target {
			right.From = given.Target + 1
			kept = append(kept, right)
		}
	}
	if release {
		u.grants, u.released = kept, append(u.released, taken...)
	} else {
		u.grants = append(kept, given)
	}
	return true
}
