package soak

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// LinkCondition is the network condition that a proxy simulates.
type LinkCondition struct {
	// Delay is added to each chunk in both directions.
	Delay time.Duration
	// CutTo and CutFrom hold back data to or from the target, like a network partition:
	// connections stay open, and the data is delivered when the cut ends.
	CutTo, CutFrom bool
	// Lost discards data in both directions. A connection on which some was discarded passes on
	// nothing further, also when the condition has ended.
	Lost bool
}

// Proxy is a TCP proxy on loopback that injects network faults. It is safe for concurrent
// use.
type Proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	condition LinkCondition
	changed   chan struct{} // closed when link changes
	openConns map[net.Conn]bool
	accepted  []net.Conn        // the open connections of clients, the earliest first
	silent    map[net.Conn]bool // connections of clients on which nothing is passed on
	paused    chan struct{}     // closed by ResumeAccepting; nil unless StopAccepting was called
	fillers   []net.Conn        // fill the queue of connections meanwhile
}

// NewProxy returns a proxy on a free port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listening for a proxy")
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), openConns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the proxy's listening address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetCondition changes the network condition of all connections.
func (p *Proxy) SetCondition(link LinkCondition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = link
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.openConns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it is being closed anyway
		}
		_ = conn.Close()
	}
}

// Silence makes one of the open connections silent for good: it stays open and nothing is passed on.
// pick, from 0 to 1, selects it.
func (p *Proxy) Silence(pick float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.accepted); n > 0 {
		p.silent[p.accepted[min(int(pick*float64(n)), n-1)]] = true
	}
}

// SilenceAll makes all open connections silent for good.
func (p *Proxy) SilenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.accepted {
		p.silent[client] = true
	}
}

// losesData reports whether data on a client's connection is discarded. From then on it always is.
func (p *Proxy) losesData(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.condition.Lost {
		p.silent[client] = true
	}
	return p.silent[client]
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResumeAccepting()
	p.SetCondition(LinkCondition{})
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.mu.Lock()
		paused := p.paused
		p.mu.Unlock()
		if paused != nil {
			<-paused
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, target)
	defer p.closeAndUntrack(client, target)
	lost := func() bool { return p.losesData(client) }
	var copying sync.WaitGroup
	copying.Go(func() { p.copyDirection(target, client, lost, func(l LinkCondition) bool { return l.CutTo }) })
	copying.Go(func() { p.copyDirection(client, target, lost, func(l LinkCondition) bool { return l.CutFrom }) })
	copying.Wait()
}

func (p *Proxy) track(client, target net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns[client], p.openConns[target] = true, true
	p.accepted = append(p.accepted, client)
}

func (p *Proxy) closeAndUntrack(client, target net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range []net.Conn{client, target} {
		delete(p.openConns, conn)
		_ = conn.Close()
	}
	delete(p.silent, client)
	p.accepted = slices.DeleteFunc(p.accepted, func(conn net.Conn) bool { return conn == client })
}

// copyDirection copies one direction until it ends and then closes both connections. Data that a
// cut holds back is lost if its sender resets the connection meanwhile, as on a real link:
// a client that has abandoned a call relies on the call not arriving later.
func (p *Proxy) copyDirection(to, from net.Conn, lost func() bool, cut func(LinkCondition) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	chunks, reset := make(chan []byte, maxBufferedChunks), make(chan struct{})
	go readChunks(from, chunks, reset)
	for chunk := range chunks {
		if !p.waitForLink(cut, reset) {
			return
		}
		if lost() {
			continue
		}
		if _, err := to.Write(chunk); err != nil {
			return
		}
	}
	p.waitForLink(cut, reset) // a cut holds back the end of the connection too
}

// maxBufferedChunks is the maximum number of chunks buffered while a cut holds them back.
const maxBufferedChunks = 64

// readChunks reads chunks until the connection ends. It closes reset if the connection ended
// with an error other than io.EOF.
func readChunks(from net.Conn, chunks chan<- []byte, reset chan<- struct{}) {
	defer close(chunks)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- buffer[:n]
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			close(reset)
		}
		return
	}
}

// waitForLink waits until the link lets a chunk through. It returns false if the sender reset the
// connection while a cut held the chunk back.
func (p *Proxy) waitForLink(cut func(LinkCondition) bool, reset <-chan struct{}) bool {
	p.mu.Lock()
	delay := p.condition.Delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		link, changed := p.condition, p.changed
		p.mu.Unlock()
		if !cut(link) {
			return true
		}
		select {
		case <-changed:
		case <-reset:
			return false
		}
	}
}

// StopAccepting leaves the opening packets of new connections unanswered, until ResumeAccepting.
func (p *Proxy) StopAccepting() error {
	p.mu.Lock()
	p.paused = make(chan struct{})
	p.mu.Unlock()
	if err := p.setBacklog(0); err != nil {
		return err
	}
	// The kernel drops opening packets while the queue of connections is full. accept may still take one
	// from the queue after that, so two in a row have to be dropped.
	const maxFillers, unansweredAfter = 8, 150 * time.Millisecond
	for dropped := 0; dropped < 2; {
		conn, err := net.DialTimeout("tcp", p.Address(), unansweredAfter)
		if err != nil {
			dropped++
			continue
		}
		dropped = 0
		p.fillers = append(p.fillers, conn)
		if len(p.fillers) > maxFillers {
			return eris.Errorf("proxy %s still accepts connections", p.Address())
		}
	}
	return nil
}

// ResumeAccepting ends StopAccepting.
func (p *Proxy) ResumeAccepting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		return
	}
	_ = p.setBacklog(defaultBacklog) // the smaller one works too
	for _, conn := range p.fillers {
		_ = conn.Close()
	}
	close(p.paused)
	p.paused, p.fillers = nil, nil
}

// defaultBacklog is the length of the queue of connections that are not accepted yet.
const defaultBacklog = 128

func (p *Proxy) setBacklog(length int) error {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return eris.Wrap(err, "listener of a proxy")
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) })
	return eris.Wrap(errors.Join(err, listenErr), "changing the backlog of a proxy")
}
