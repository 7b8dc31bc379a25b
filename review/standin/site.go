package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    map[string]int       // by request id
	first   map[string]time.Time // when a request first ran
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now(), runs: map[string]int{}, first: map[string]time.Time{}}, err
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// ran records that an upstream began to work on a request.
func (r *record) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	if r.runs[id] == 1 {
		r.first[id] = time.Now()
	}
}

// firstRun returns when a request first ran; zero if it has not run.
func (r *record) firstRun(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first[id]
}

// runCount returns how often a request has run.
func (r *record) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Faulty upstreams are faulty for faultyFor, again and again, faultyEvery apart.
const (
	faultyFor   = 5 * time.Second
	faultyEvery = 6500 * time.Millisecond
)

// isFaultyNow reports whether faulty upstreams are faulty now.
func (r *record) isFaultyNow() bool { return time.Since(r.started)%faultyEvery < faultyFor }

// route is a route of the manifest.
type route struct {
	prefix, kind, service string
	timeout, target       string
	maxAttempts           int
}

// host is the name under which all routes are.
const host = "site.example"

// site is a small installation on loopback: the store, upstreams and daemons.
type site struct {
	record    *record
	store     *store
	mu        sync.Mutex
	upstreams []*upstream
	routes    []route
	folder    string
	storeAt   string
	daemons   []*daemon
	stop      context.CancelFunc
}

// daemon is a process of cicada-gateway.
type daemon struct {
	front, ready string
	command      *exec.Cmd
}

// usedPorts are the ports that freeAddress has returned.
var usedPorts = map[int]bool{}

// freeAddress returns a loopback address on which nothing listens. Its port is below those that the
// system usually gives to outgoing connections.
func freeAddress() (string, error) {
	const first, count, tries = 20000, 12000, 100
	var err error
	for range tries {
		port := first + rand.IntN(count)
		if usedPorts[port] {
			continue
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err != nil {
			continue
		}
		usedPorts[port] = true
		return listener.Addr().String(), listener.Close()
	}
	return "", err
}

// manifest returns the operator's configuration.
func (s *site) manifest() map[string]any {
	var services, paths []map[string]any
	seen := map[string]bool{}
	for _, u := range s.upstreams {
		if seen[u.service] {
			continue
		}
		seen[u.service] = true
		service := map[string]any{"name": u.service, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false}
		if u.sharded {
			service["sharded"], service["warmup"], service["grants"] = true, "5s", "request"
		}
		services = append(services, service)
	}
	for i, r := range s.routes {
		paths = append(paths, map[string]any{"name": fmt.Sprintf("r-%d", i), "path-prefix": r.prefix, "kind": r.kind, "timeout": r.timeout,
			"target-latency": r.target, "priority": 1, "service": r.service, "max-attempts": r.maxAttempts})
	}
	return map[string]any{"version": "r7", "services": services, "virtual-hosts": []any{map[string]any{"host": host, "paths": paths}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"}}
}

// start starts the store, the upstreams and a number of daemons, and waits until the daemons are ready.
func (s *site) start(daemons int) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.store = newStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	s.store.put("config", "main", s.manifest())
	first := s.upstreams
	s.upstreams = nil
	for _, u := range first {
		if err := s.join(u); err != nil {
			return err
		}
	}
	go s.heartbeats(ctx)
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	for i := range daemons {
		if err := s.startDaemon(i + 1); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// join starts an upstream and registers it.
func (s *site) join(u *upstream) error {
	u.record = s.record
	if err := u.start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, u)
	s.beat(u)
	s.record.line("upstream %s joins, address %s", u.id, u.address)
	return nil
}

// beat writes an upstream's entry. s.mu must be held.
func (s *site) beat(u *upstream) { s.store.put("servers", u.id, u.beat()) }

// drain makes an upstream report that it is draining.
func (s *site) drain(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.draining.Store(true)
	s.beat(u)
	s.record.line("upstream %s: the store has accepted that it is draining", u.id)
}

// leave removes the entry of an upstream and ends it.
func (s *site) leave(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = slices.DeleteFunc(s.upstreams, func(each *upstream) bool { return each == u })
	s.store.remove("servers", u.id)
	_ = u.listener.Close()
	s.record.line("upstream %s has left", u.id)
}

// current returns the upstreams that are up.
func (s *site) current() []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.upstreams)
}

// heartbeats writes the upstreams' entries again and again.
func (s *site) heartbeats(ctx context.Context) {
	const interval = 1500 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.mu.Lock()
			for _, u := range s.upstreams {
				s.beat(u)
			}
			s.mu.Unlock()
		}
	}
}

// settingsTemplate is deploy/settings.ini as it is filled in for a small installation.
const settingsTemplate = `[host]
name = front-a-%d
domain = a
memory-mb = 284
processor = 0.32
link-mbps = 1000.0
first-start = true

[listen]
callers = %s
ready = %s
peers = %s
metrics = %s

[store]
address = %s

[changes]
configuration-within = 2000ms
drain-within = 2000ms

[retries]
ratio = 0.2
reserve = 56

[stop]
within = 6s
`

func (s *site) startDaemon(number int) error {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	file := filepath.Join(s.folder, fmt.Sprintf("settings-%d.ini", number))
	text := fmt.Sprintf(settingsTemplate, number, addresses[0], addresses[1], addresses[2], addresses[3], s.storeAt)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, fmt.Sprintf("daemon-%d.log", number)))
	if err != nil {
		return err
	}
	defer log.Close()
	d := &daemon{front: addresses[0], ready: addresses[1], command: exec.Command("target/cicada-gateway", "--settings", file)}
	d.command.Stdout, d.command.Stderr = log, log
	// If this process is killed, the daemon ends too.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	s.record.line("daemon %d started, front %s", number, d.front)
	return nil
}

var errNotReady = errors.New("a daemon did not become ready")

// awaitReady waits until every daemon has answered a readiness check with 200.
func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, d := range s.daemons {
		until := time.Now().Add(20 * time.Second)
		for {
			response, err := client.Get("http://" + d.ready + "/cicadarouter/readyz")
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.line("all daemons are ready")
	return nil
}

// end ends the daemons and removes the folder.
func (s *site) end() {
	for _, d := range s.daemons {
		_ = d.command.Process.Signal(syscall.SIGTERM)
	}
	for _, d := range s.daemons {
		kill := time.AfterFunc(6*time.Second, func() { _ = d.command.Process.Kill() })
		_ = d.command.Wait()
		kill.Stop()
	}
	if s.stop != nil {
		s.stop()
	}
	for _, u := range s.upstreams {
		if u.listener != nil {
			_ = u.listener.Close()
		}
	}
	if s.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}
