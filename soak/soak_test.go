package soak

import (
	"bytes"
	"context"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// built builds cicada-gateway from this tree and returns its path.
func built(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cicada-gateway")
	output, err := exec.Command("go", "build", "-o", program, "cicadarouter/cmd/cicada-gateway").CombinedOutput()
	assert.NilError(t, err, string(output))
	return program
}

// Runs the faults of one seed for a short time. A failure means that a guarantee was
// violated while faults were active, or that not all keys were served again after the last
// fault.
func TestShortSoak(t *testing.T) {
	shortSoak(t, EvacuationSeries)
}

// Guards against a restarted server that gets the load of a warmed-up one. It came about
// when a server restarted under its ID while the store rejected all calls: the server
// tolerates 40 requests per second, 68 in any one second.
func TestShortSoakWithDeadlyRequests(t *testing.T) {
	shortSoak(t, DeadlySeries)
}

func shortSoak(t *testing.T, series Series) {
	t.Helper()
	result, err := Run(context.Background(), Options{Program: built(t), Dir: t.TempDir(), Seed: 7, Series: series, Hosts: 3, Servers: 3, Callers: 6,
		Length: 5 * time.Second, Every: 600 * time.Millisecond, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Broken), 0, "%v", result.Broken)
	assert.Assert(t, result.Statuses[200] > 0)
}

// Guards against hosts that keep sending requests known to terminate servers. The copies
// that reach servers are counted over all hosts, under ordinary load.
func TestShortSoakOfDeadlyRequests(t *testing.T) {
	result, err := Run(context.Background(), Options{Program: built(t), Dir: t.TempDir(), Seed: 3, Only: deadlyFault, Hosts: 3, Servers: 4, Callers: 6,
		Length: 3 * time.Second, Every: time.Second, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Broken), 0, "%v", result.Broken)
	assert.Assert(t, result.EndedServers >= 3, "%d servers ended", result.EndedServers)
}

// Guards against hosts that together exceed the rate limit that a server announces.
func TestShortSoakOfLimits(t *testing.T) {
	result, err := Run(context.Background(), Options{Program: built(t), Dir: t.TempDir(), Seed: 5, Only: limitFault, Hosts: 3, Servers: 4, Callers: 6,
		Length: time.Second, Every: time.Second, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Broken), 0, "%v", result.Broken)
}

// Guards against hosts that send to a server after it has announced in responses that it
// is leaving, while the store rejects all calls.
func TestShortSoakOfLeavingServers(t *testing.T) { soakOf(t, leavingFault, 6) }

// Guards against hosts that send to a server which has asked them to back off.
func TestShortSoakOfRests(t *testing.T) { soakOf(t, restFault, 8) }

// Guards against hosts that keep using data which the store lost when it was restored from
// a backup, and so miss what the store acknowledges after the restore.
func TestShortSoakOfAStoreThatForgets(t *testing.T) { soakOf(t, eraFault, 4) }

func soakOf(t *testing.T, fault string, seed uint64) {
	t.Helper()
	result, err := Run(context.Background(), Options{Program: built(t), Dir: t.TempDir(), Seed: seed, Only: fault, Hosts: 3, Servers: 4, Callers: 6,
		Length: time.Second, Every: 500 * time.Millisecond, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Broken), 0, "%v", result.Broken)
	assert.Assert(t, result.Statuses[200] > 0)
}

// Guards against a seed that draws different faults when it is run again.
func TestSeedGivesTheSameSeries(t *testing.T) {
	draw := func() []string {
		var names []string
		drawn := newSeries(9, CurrentSeries, "")
		for range 50 {
			kind, length := drawn.next()
			names = append(names, kind.name+length.String())
		}
		return names
	}
	assert.DeepEqual(t, draw(), draw())
}

// Guards against new kinds of faults that change what an older version of the fault list
// draws: a seed that failed could not be replayed.
func TestSeriesDoNotChange(t *testing.T) {
	drawn := newSeries(2651125409, FirstSeries, "")
	var names []string
	for range 4 {
		kind, _ := drawn.next()
		names = append(names, kind.name)
	}
	assert.DeepEqual(t, names, []string{"a server leaves grants unanswered", "a host is killed", "a server leaves", "the configuration changes"})
}

// echo starts a TCP echo server on a free port and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// Data that a cut holds back is delivered when the cut ends, and a reset closes connections.
func TestProxy(t *testing.T) {
	proxy, err := NewProxy(echo(t))
	assert.NilError(t, err)
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	defer conn.Close()
	responses := make(chan []byte, 1)
	read := func() {
		got := make([]byte, 2)
		if _, err := io.ReadFull(conn, got); err != nil {
			got = nil
		}
		responses <- got
	}
	_, err = conn.Write([]byte("ab"))
	assert.NilError(t, err)
	read()
	assert.Assert(t, bytes.Equal(<-responses, []byte("ab")))

	proxy.Set(Link{CutFrom: true})
	_, err = conn.Write([]byte("cd"))
	assert.NilError(t, err)
	go read()
	assert.Equal(t, len(responses), 0)
	proxy.Set(Link{})
	assert.Assert(t, bytes.Equal(<-responses, []byte("cd")))

	proxy.Reset()
	read()
	assert.Assert(t, <-responses == nil)
}

// Data that a cut holds back is lost if its sender resets the connection. A proxy that
// delivered it let a grant arrive whose sender had abandoned the call.
func TestProxyDropsWhatWasReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	proxy, err := NewProxy(listener.Addr().String())
	assert.NilError(t, err)
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	target, err := listener.Accept()
	assert.NilError(t, err)
	defer target.Close()
	proxy.Set(Link{CutTo: true})
	_, err = conn.Write([]byte("late"))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, conn.Close())
	// The proxy closes both sides after the reset, so reading ends without any data.
	got, _ := io.ReadAll(target)
	assert.Equal(t, string(got), "")
}
