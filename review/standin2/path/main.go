// Command path sends requests whose paths hold a vertical bar, which browsers send as it is, and
// compares what the servers run with what was sent. It exits with 1 if the rule was broken.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"cicadarouter/review/standin2/rig"
)

const (
	siteHost        = "site.example"
	requestsPerHost = 10
	answerTimeout   = 5 * time.Second
	startTimeout    = 15 * time.Second
)

// run is a request that a server ran.
type run struct{ service, method, target string }

// runs holds the runs by request ID.
type runs struct {
	mu   sync.Mutex
	byID map[string]run
}

// server is a backend server of a service. It runs every request that is meant for it.
type server struct {
	id, service string
	rig         *rig.Rig
	runs        *runs
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if r.URL.Path == "/healthz" {
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.rig.Note("%s of %s runs %s: %s %s", s.id, s.service, id, r.Method, r.RequestURI)
	s.runs.mu.Lock()
	s.runs.byID[id] = run{service: s.service, method: r.Method, target: r.RequestURI}
	s.runs.mu.Unlock()
	w.Header().Set("X-Upstream-Signature", "signed by "+s.id)
	_, _ = io.WriteString(w, s.service) // the caller may have gone
}

type route struct {
	Name     string `json:"name"`
	Prefix   string `json:"path-prefix"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	Latency  string `json:"target-latency"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max-attempts"`
}

func newRoute(name, prefix, service string) route {
	return route{Name: name, Prefix: prefix, Kind: "safe", Timeout: "2000ms", Latency: "300ms", Priority: 1, Service: service, Attempts: 2}
}

// manifest sends requests below /files/private/ to the service vault, all others below /files/ to
// the service pages.
func manifest() map[string]any {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/healthz", "max-conns": 100}
	}
	return map[string]any{"version": "r3", "services": []any{service("pages"), service("vault")},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout": "3s", "idle-timeout": "15s"},
		"virtual-hosts": []any{map[string]any{"host": siteHost, "paths": []route{
			newRoute("files", "/files/", "pages"), newRoute("private", "/files/private/", "vault")}}}}
}

// target returns the path of the nth request. Its second segment is "private/plan|n" or, without
// the disruption, "private/plan-n"; both begin with /files/ and not with /files/private/.
func target(n int, disrupted bool) string {
	if disrupted {
		return fmt.Sprintf("/files/private%%2Fplan|%d", n)
	}
	return fmt.Sprintf("/files/private%%2Fplan-%d", n)
}

// ask sends one request on a connection of its own and returns the status.
func ask(address, id, target string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n", target, siteHost, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func startServers(ctx context.Context, r *rig.Rig, all *runs) error {
	zones := []string{"a", "b", "c"}
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: []string{"pages", "vault"}[i%2], rig: r, runs: all}
		address, err := rig.Serve(ctx, "127.0.0.1:0", s)
		if err != nil {
			return err
		}
		entry := rig.Entry{Service: s.service, Address: address, Zone: zones[i/2], Slots: 4}
		if err := r.Register(ctx, s.id, entry); err != nil {
			return err
		}
	}
	return nil
}

func startHosts(r *rig.Rig) ([]*rig.Host, error) {
	var hosts []*rig.Host
	for _, zone := range []string{"a", "b", "c"} {
		h, err := r.StartHost("front-"+zone, zone)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.AwaitReady(startTimeout); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

var errNothingRan = errors.New("no server ran any request")

// play runs the case and reports whether the rule was broken.
func play(ctx context.Context, recordFile string, disrupted bool) (broken bool, err error) {
	r, err := rig.New(ctx, recordFile)
	if err != nil {
		return false, err
	}
	defer r.Close()
	if err := r.Put(ctx, "config", "main", manifest()); err != nil {
		return false, err
	}
	all := &runs{byID: map[string]run{}}
	if err := startServers(ctx, r, all); err != nil {
		return false, err
	}
	hosts, err := startHosts(r)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second) // all hosts know all servers
	sent := map[string]string{}
	for n := range requestsPerHost * len(hosts) {
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		host, id := hosts[n%len(hosts)], fmt.Sprintf("request-%d", n)
		sent[id] = target(n, disrupted)
		r.Note("sent to %s as %s: GET %s", host.Name, id, sent[id])
		status, err := ask(host.Callers, id, sent[id])
		r.Note("%s is answered %d, error %v", id, status, err)
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	if len(all.byID) == 0 {
		return false, errNothingRan
	}
	changed, misrouted := 0, 0
	for id, each := range all.byID {
		if each.method != http.MethodGet || each.target != sent[id] {
			changed++
		}
		if each.service != "pages" {
			misrouted++
		}
	}
	r.Note("UNASKED: %d of %d runs with a path other than sent", changed, len(all.byID))
	r.Note("ROUTE: %d of %d runs at a service that the manifest gives another prefix", misrouted, len(all.byID))
	fmt.Printf("%d sent, %d run, %d with another path, %d at another service\n", len(sent), len(all.byID), changed, misrouted)
	return changed > 0 || misrouted > 0, nil
}

func main() {
	const held, brokenRule, notRun = 0, 1, 2
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	broken, err := play(ctx, os.Args[1], os.Getenv("TROUBLE") != "0")
	stop()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(notRun)
	case broken:
		os.Exit(brokenRule)
	}
	os.Exit(held)
}
