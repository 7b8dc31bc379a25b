package gateway

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"cicadarouter/link/backendlink"
)

// peerList lists hosts that handle forwarded requests. Addresses of the receiving host's own
// failure domain come first; Local is their number.
type peerList struct {
	Addresses []string `json:"addresses"`
	Local     int      `json:"local"`
}

// checksum identifies the list's content; it is 0 for an empty list.
func (l peerList) checksum() uint64 {
	if len(l.Addresses) == 0 {
		return 0
	}
	hash := fnv.New64a()
	for _, address := range l.Addresses {
		_, _ = hash.Write([]byte(address + ",")) // never fails
	}
	_, _ = hash.Write([]byte{byte(l.Local)})
	return hash.Sum64()
}

const (
	// crossDomainForwards is how many more forwarded requests a peer of the host's own failure
	// domain takes before one of another domain is preferred: bytes between domains are billed.
	crossDomainForwards = 3
	// failedPeerPause is how long a peer that can't be reached, or is shutting down, gets no
	// requests; declinedPeerPause how long one that has lost its links too.
	failedPeerPause   = time.Second
	declinedPeerPause = 400 * time.Millisecond
	// maxIdleConnsPerPeer bounds the idle connections for forwarded requests to one peer.
	maxIdleConnsPerPeer = 16
)

// forwardPeers are the hosts to which this one forwards requests.
type forwardPeers struct {
	mu    sync.Mutex
	list  peerList
	peers map[string]*forwardPeer
}

// forwardPeer is the state of one host.
type forwardPeer struct {
	conns      *backendlink.Pool
	inFlight   int
	avoidUntil time.Duration
	// withoutLinksUntil is, by service, until when the peer is assumed to have no links either.
	withoutLinksUntil map[string]time.Duration
}

func newForwardPeers() *forwardPeers { return &forwardPeers{peers: map[string]*forwardPeer{}} }

// update replaces the list, and closes the idle connections to hosts that it no longer names.
func (p *forwardPeers) update(list peerList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	for address, peer := range p.peers {
		if peer.inFlight == 0 && !slices.Contains(list.Addresses, address) {
			peer.conns.Close()
			delete(p.peers, address)
		}
	}
}

// count returns the number of peers that the list names.
func (p *forwardPeers) count() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(len(p.list.Addresses))
}

// checksum returns the checksum of the list.
func (p *forwardPeers) checksum() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.checksum()
}

// acquire returns the address and the connections of the peer for a service's request with the fewest
// requests of this host, and counts one more. If there is none, or as many are excluded as a request may
// be offered to, conns is nil and wait the time until a peer may be used again, 0 if unknown.
func (p *forwardPeers) acquire(now time.Duration, service string, excluded []string) (address string, conns *backendlink.Pool, wait time.Duration) {
	if len(excluded) >= maxForwardTries {
		return "", nil, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *forwardPeer
	minCost := 0
	for i, each := range p.list.Addresses {
		if slices.Contains(excluded, each) {
			continue
		}
		peer := p.peer(each)
		if left := max(peer.avoidUntil, peer.withoutLinksUntil[service]) - now; left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		cost := peer.inFlight
		if i >= p.list.Local {
			cost += crossDomainForwards
		}
		if best == nil || cost < minCost {
			best, minCost, address = peer, cost, each
		}
	}
	if best == nil {
		return "", nil, wait
	}
	best.inFlight++
	return address, best.conns, 0
}

func (p *forwardPeers) peer(address string) *forwardPeer {
	peer := p.peers[address]
	if peer == nil {
		peer = &forwardPeer{conns: backendlink.NewPool(address, maxIdleConnsPerPeer, maxWholeResponseBytes), withoutLinksUntil: map[string]time.Duration{}}
		p.peers[address] = peer
	}
	return peer
}

// release ends a request at a peer. The peer gets no more requests for the given time.
func (p *forwardPeers) release(now time.Duration, address string, pause time.Duration) {
	p.releaseForService(now, address, "", pause)
}

// releaseForService ends a request at a peer, which gets no more of the service's requests for the
// given time; an empty name stands for all services.
func (p *forwardPeers) releaseForService(now time.Duration, address, service string, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[address]
	if peer == nil {
		return
	}
	peer.inFlight--
	switch {
	case pause <= 0:
	case service == "":
		peer.avoidUntil = now + pause
	default:
		peer.withoutLinksUntil[service] = now + pause
	}
}
