package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Link says how a proxy treats what passes through it.
type Link struct {
	// Delay is added to each piece that passes, each way.
	Delay time.Duration
	// CutTo and CutFrom hold back what goes to the target, or comes from it, as a
	// partition does: silently, and it arrives when the cut has healed.
	CutTo, CutFrom bool
}

// Proxy passes connections on to a target on loopback. It is safe for concurrent
// use.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	link    Link
	changed chan struct{} // closed when link changes
	open    map[net.Conn]bool
}

// NewProxy returns a proxy on a free port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listening for a proxy")
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy takes connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes how the proxy treats all its connections.
func (p *Proxy) Set(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it is being closed anyway
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Link{})
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close() // the caller finds the connection closed
		return
	}
	p.keep(near, far)
	defer p.drop(near, far)
	var passing sync.WaitGroup
	passing.Go(func() { p.pass(far, near, func(l Link) bool { return l.CutTo }) })
	passing.Go(func() { p.pass(near, far, func(l Link) bool { return l.CutFrom }) })
	passing.Wait()
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = true
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.open, conn)
		_ = conn.Close()
	}
}

// pass copies one direction until it ends, and then ends both. What a cut holds
// back is lost if its sender resets the connection meanwhile, as on a real link:
// a caller that has given up a call relies on that.
func (p *Proxy) pass(to, from net.Conn, cut func(Link) bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	pieces, reset := make(chan []byte, piecesHeld), make(chan struct{})
	go read(from, pieces, reset)
	for piece := range pieces {
		if !p.hold(cut, reset) {
			return
		}
		if _, err := to.Write(piece); err != nil {
			return
		}
	}
	p.hold(cut, reset) // the end of a connection does not pass a cut either
}

// piecesHeld is how many pieces are read ahead of a cut.
const piecesHeld = 64

// read reads pieces until the connection ends; reset is closed if that was no
// orderly end.
func read(from net.Conn, pieces chan<- []byte, reset chan<- struct{}) {
	defer close(pieces)
	for {
		buffer := make([]byte, 16<<10)
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- buffer[:n]
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

// hold returns when the link lets a piece pass; false if its sender has reset
// the connection.
func (p *Proxy) hold(cut func(Link) bool, reset <-chan struct{}) bool {
	p.mu.Lock()
	delay := p.link.Delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		link, changed := p.link, p.changed
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
