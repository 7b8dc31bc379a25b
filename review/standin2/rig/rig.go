// Package rig runs a small deployment on loopback for the cases of a review: the platform's store,
// backend servers, and hosts that are separate cicada-gateway processes.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/platform/platformtest"
)

// Program is the path of the gateway as the deploy file builds it, relative to the repository's root.
const Program = "target/cicada-gateway"

// heartbeat is how often servers write their entries.
const heartbeat = 1500 * time.Millisecond

// Rig is a running deployment.
type Rig struct {
	dir   string
	store *platformtest.Store

	storeAddress string

	mu     sync.Mutex
	hosts  []*Host
	record *os.File
	began  time.Time
}

// New starts the store. Temporary files go to a new folder, and the record to a file.
func New(ctx context.Context, recordFile string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	r := &Rig{dir: dir, store: platformtest.NewStore(), record: record, began: time.Now()}
	r.storeAddress, err = Serve(ctx, "127.0.0.1:0", withoutEra(r.store))
	return r, err
}

// withoutEra removes the header by which a restored store tells its era: this store is never restored.
func withoutEra(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		store.ServeHTTP(eraFilter{w}, r)
	})
}

type eraFilter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (f eraFilter) WriteHeader(status int) {
	f.Header().Del(platformtest.EraHeader)
	f.ResponseWriter.WriteHeader(status)
}

// Note writes a line to the record, with the time since the start.
func (r *Rig) Note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...)) // the exit code tells the result
}

// Put writes an object of the operator or of a server.
func (r *Rig) Put(ctx context.Context, kind, name string, spec any) error {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	object := objects.Object{Kind: kind, Name: name, Spec: encoded}
	if current, err := r.store.Objects().Get(ctx, kind, name); err == nil {
		object.Revision = current.Revision
	}
	_, err = r.store.Objects().Put(ctx, object)
	return err
}

// Entry is a server's entry in the store.
type Entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    string `json:"cold-remaining"`
	Seq     int    `json:"seq"`
}

// Register keeps a server's entry in the store until the context ends.
func (r *Rig) Register(ctx context.Context, id string, entry Entry) error {
	entry.Version, entry.State, entry.Cold = "v1", "ready", "0ms"
	if err := r.Put(ctx, "servers", id, entry); err != nil {
		return err
	}
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				entry.Seq++
				_ = r.Put(ctx, "servers", id, entry) // the next heartbeat tries again
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// Serve serves a handler until the context ends, and returns its address.
func Serve(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the process ends anyway
	go func() { _ = server.Serve(listener) }()            // returns when the context ends
	return listener.Addr().String(), nil
}

// Host is one gateway process.
type Host struct {
	Name, Callers, Ready, Peers, Metrics string

	rig      *Rig
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// StartHost starts a gateway of a failure domain.
func (r *Rig) StartHost(name, domain string) (*Host, error) {
	h := &Host{Name: name, rig: r, settings: filepath.Join(r.dir, name+".ini")}
	for _, address := range []*string{&h.Callers, &h.Ready, &h.Peers, &h.Metrics} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("[host]\nname = %s\ndomain = %s\nmemory-mb = 284\nprocessor = 0.32\nlink-mbps = 1000\nfirst-start = true\n"+
		"[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[store]\naddress = %s\n"+
		"[changes]\nconfiguration-within = 2000ms\ndrain-within = 2000ms\n[retries]\nratio = 0.2\nreserve = 56\n[stop]\nwithin = 6s\n",
		name, domain, h.Callers, h.Ready, h.Peers, h.Metrics, r.storeAddress)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
	return h, h.Start()
}

// Start starts the process.
func (h *Host) Start() error {
	log, err := os.OpenFile(filepath.Join(h.rig.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.command = exec.Command(Program, "--settings", h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	command, exited := h.command, make(chan struct{})
	h.exited = exited
	go func() {
		_ = command.Wait() // the exit code doesn't matter
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) error { return h.command.Process.Signal(signal) }

// Exited returns a channel that is closed when the process has exited.
func (h *Host) Exited() <-chan struct{} { return h.exited }

// AwaitReady waits until a host is ready.
func (h *Host) AwaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + h.Ready + "/cicadarouter/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", h.Name, within)
}

// Close ends the processes and removes the temporary files.
func (r *Rig) Close() {
	r.mu.Lock()
	hosts := r.hosts
	r.mu.Unlock()
	for _, h := range hosts {
		_ = h.Signal(syscall.SIGCONT) // it may have exited
		_ = h.Signal(syscall.SIGKILL)
		<-h.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir) // a temporary folder
	} else {
		fmt.Println("kept", r.dir)
	}
	_ = r.record.Close()
}
