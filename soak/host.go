package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopGrace is how long a host may take to stop after SIGTERM.
const stopGrace = 4 * time.Second

// host is one cicada-gateway process on a network address of its own. The faults that end
// it restart it.
type host struct {
	name           string
	program        string
	dir            string
	settings       string // format of the settings file
	callersAddress string
	readyAddress   string
	peersAddress   string
	storeProxy     *Proxy

	mu              sync.Mutex
	running         *exec.Cmd
	exited          chan struct{} // closed when running has exited
	stopRequested   bool          // this package sent SIGTERM or SIGKILL to running
	upSince         time.Time
	unexpectedExits []string
	plannedStops    []window // planned stops, from SIGTERM to the exit of the process
	overdueStops    []window // planned stops that exceeded the grace time, until the process was killed
	disturbances    []window // pauses and kills
	linkFaults      []window // faults of the link to the store
	starts          []time.Time
}

// window is a time interval.
type window struct{ from, to time.Time }

func (w window) overlaps(from, to time.Time) bool { return w.from.Before(to) && from.Before(w.to) }

func anyOverlaps(windows []window, from, to time.Time) bool {
	return slices.ContainsFunc(windows, func(w window) bool { return w.overlaps(from, to) })
}

// firstPort is the first listening port of each process. It is below the kernel's
// ephemeral port range: an outgoing connection once took the port of a host that was about
// to start.
const firstPort = 21000

func newHost(name, program, dir, ip, domain, storeAddress string, firstStart bool) (*host, error) {
	store, err := NewProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, program: program, dir: dir, storeProxy: store}
	var addresses []string
	for n := range 4 {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip, firstPort+n))
	}
	h.callersAddress, h.readyAddress, h.peersAddress = addresses[0], addresses[1], addresses[2]
	h.settings = fmt.Sprintf("[host]\nname = %s\ndomain = %s\n%%s[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[store]\naddress = %s\n[changes]\nevacuate-within = %v\n[stop]\nleave-for = 500ms\nwithin = %v\n",
		name, domain, addresses[0], addresses[1], addresses[2], addresses[3], store.Address(), evacuateWithin, stopGrace)
	return h, h.writeSettings(firstStart)
}

// writeSettings writes the settings file. firstStart is set if the whole system starts for the first
// time.
func (h *host) writeSettings(firstStart bool) error {
	first := ""
	if firstStart {
		first = "first-start = true\n"
	}
	return eris.Wrap(os.WriteFile(h.settingsFile(), fmt.Appendf(nil, h.settings, first), 0o600), "settings of a host")
}

func (h *host) settingsFile() string { return filepath.Join(h.dir, h.name+".ini") }

// start starts the process unless it is running.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "log of a host")
	}
	defer log.Close()
	command := exec.Command(h.program, "--settings", h.settingsFile())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "starting %s", h.program)
	}
	gone := make(chan struct{})
	h.running, h.exited, h.stopRequested, h.upSince = command, gone, false, time.Now()
	h.starts = append(h.starts, h.upSince)
	go h.waitForExit(command, gone)
	return nil
}

func (h *host) waitForExit(command *exec.Cmd, gone chan struct{}) {
	err := command.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopRequested {
		h.unexpectedExits = append(h.unexpectedExits, fmt.Sprintf("%s ended by itself: %v", h.name, err))
	}
	h.running = nil
	close(gone)
}

// signal sends a signal to the process if it is running, and reports whether it was sent.
// ends marks a signal that makes the process exit. The channel is closed on exit.
func (h *host) signal(signal syscall.Signal, ends bool) (gone chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == nil {
		return nil, false
	}
	h.stopRequested = h.stopRequested || ends
	return h.exited, h.running.Process.Signal(signal) == nil
}

// recordWindow appends the window from the given time until now.
func (h *host) recordWindow(windows *[]window, from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*windows = append(*windows, window{from: from, to: time.Now()})
}

// terminate stops the process as a planned stop does: with SIGTERM, and with SIGKILL one
// second after the grace time.
func (h *host) terminate() {
	from := time.Now()
	gone, ok := h.signal(syscall.SIGTERM, true)
	if !ok {
		return
	}
	select {
	case <-gone:
	case <-time.After(stopGrace + time.Second):
		h.recordWindow(&h.overdueStops, from)
		h.kill()
	}
	h.recordWindow(&h.plannedStops, from)
}

// overdueStopViolations returns a violation for each planned stop that exceeded the grace
// time although the process was neither paused nor killed during it.
func (h *host) overdueStopViolations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []string
	for _, stop := range h.overdueStops {
		if !anyOverlaps(h.disturbances, stop.from, stop.to) {
			violations = append(violations, h.name+" did not stop within the grace time")
		}
	}
	return violations
}

// disturbedBetween reports whether the host was stopped, killed or paused at any time in
// an interval.
func (h *host) disturbedBetween(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return anyOverlaps(h.plannedStops, from, to) || anyOverlaps(h.disturbances, from, to) || anyOverlaps(h.overdueStops, from, to)
}

// kill ends the process with SIGKILL and waits for its exit.
func (h *host) kill() {
	from := time.Now()
	if gone, ok := h.signal(syscall.SIGKILL, true); ok {
		<-gone
		h.recordWindow(&h.disturbances, from)
	}
}

// suspend suspends the process with SIGSTOP for a duration, like a suspended machine.
func (h *host) suspend(length time.Duration) {
	from := time.Now()
	if _, ok := h.signal(syscall.SIGSTOP, false); !ok {
		return
	}
	time.Sleep(length)
	h.signal(syscall.SIGCONT, false)
	h.recordWindow(&h.disturbances, from)
}

// isReady reports whether the host's readiness endpoint answers with status 200.
func (h *host) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + h.readyAddress + readyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startedBefore returns the last start of the process before a time.
func (h *host) startedBefore(at time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	for _, start := range h.starts {
		if start.Before(at) {
			last = start
		}
	}
	return last
}

// throttle gives the process a share of a processor as a quota: it runs for that share of each period
// and then not at all. It ends with the context, or with the process.
func (h *host) throttle(ctx context.Context, share float64) {
	const period = 100 * time.Millisecond
	for ctx.Err() == nil {
		if _, ok := h.signal(syscall.SIGSTOP, false); !ok {
			return
		}
		time.Sleep(time.Duration((1 - share) * float64(period)))
		h.signal(syscall.SIGCONT, false)
		time.Sleep(time.Duration(share * float64(period)))
	}
}

// peakResidentMB returns the peak of the process's resident memory in MB, or 0 if it is not running.
func (h *host) peakResidentMB() int {
	h.mu.Lock()
	running := h.running
	h.mu.Unlock()
	if running == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", running.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int
	if _, err := fmt.Sscan(after, &kilobytes); err != nil {
		return 0 // the process is ending: it has no memory any more
	}
	return kilobytes >> 10
}

// uptime returns the process's uptime, or 0 if it is not running.
func (h *host) uptime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == nil {
		return 0
	}
	return time.Since(h.upSince)
}

func (h *host) close() {
	h.kill()
	h.storeProxy.Close()
}
