package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/host/settings"
	"cicadarouter/platform"
	"cicadarouter/platform/platformtest"
	"cicadarouter/routing"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func settingsText(addresses [4]string, store string) string {
	return fmt.Sprintf("[host]\nname = one\ndomain = a\n[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[store]\naddress = %s\n[stop]\nleave-for = 0s\nwithin = 2s\n",
		addresses[0], addresses[1], addresses[2], addresses[3], store)
}

func TestBadSettingsNameTheOption(t *testing.T) {
	good := settingsText([4]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"}, "127.0.0.1:5")
	_, err := Load(writeSettings(t, good))
	assert.NilError(t, err)
	for broken, option := range map[string]string{
		strings.Replace(good, "name = one", "name = ", 1):                 "name",
		strings.Replace(good, "callers = 127.0.0.1:1", "callers = x", 1):  "callers",
		strings.Replace(good, "within = 2s", "within = soon", 1):          "within",
		strings.Replace(good, "domain = a", "domain = a\nregion = b", 1):  "region",
		good + "\n[admission]\nby-priority = sometimes\n":                 "by-priority",
		strings.Replace(good, "address = 127.0.0.1:5", "# address = ", 1): "address",
	} {
		_, err := Load(writeSettings(t, broken))
		var invalid *settings.Error
		assert.Assert(t, errors.As(err, &invalid), "got %v", err)
		assert.Equal(t, invalid.Option, option)
	}
}

// A daemon starts, becomes ready once it knows the configuration, and stops when its context is
// done.
func TestDaemonRunsAndStops(t *testing.T) {
	site := platformtest.NewSite("127.0.0.1", 0)
	store := freeAddress(t)
	siteCtx, stopSite := context.WithCancel(context.Background())
	defer stopSite()
	assert.NilError(t, site.Start(siteCtx, store, 0))
	addresses := [4]string{freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)}
	s, err := Load(writeSettings(t, settingsText(addresses, store)))
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- New(s).Run(ctx) }()
	const timeout = 10 * time.Second
	for begin := time.Now(); !respondsOK(addresses[1], platform.ReadyPath); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(begin) < timeout, "the daemon did not become ready")
	}
	assert.Assert(t, respondsOK(addresses[3], "/metrics"))
	checkOptionsNotAnswered(t, addresses[0])
	stop()
	select {
	case err := <-result:
		assert.NilError(t, err)
	case <-time.After(timeout):
		t.Fatal("the daemon did not stop")
	}
}

// checkOptionsNotAnswered guards against successes that the daemon gives in place of a server.
func checkOptionsNotAnswered(t *testing.T, address string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodOptions, "http://"+address, nil)
	assert.NilError(t, err)
	request.URL.Opaque = "*"
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
}

func respondsOK(address, path string) bool {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// A change of the store's address takes effect; an invalid file changes nothing.
func TestReload(t *testing.T) {
	first, second := platformtest.NewStore(), platformtest.NewStore()
	one, two := httptest.NewServer(first), httptest.NewServer(second)
	defer one.Close()
	defer two.Close()
	address := func(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
	addresses := [4]string{freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)}
	name := writeSettings(t, settingsText(addresses, address(one)))
	s, err := Load(name)
	assert.NilError(t, err)
	d := New(s)
	call := func() {
		_, _ = d.store.List(context.Background(), "things") // only the number of calls matters
	}
	assert.NilError(t, os.WriteFile(name, []byte("nonsense"), 0o600))
	d.reload()
	call()
	assert.Equal(t, first.Calls(), 1)
	assert.NilError(t, os.WriteFile(name, []byte(settingsText(addresses, address(two))), 0o600))
	d.reload()
	call()
	assert.Equal(t, first.Calls(), 1)
	assert.Equal(t, second.Calls(), 1)
}

// The limits in force apply to callers' connections and may change.
func TestLimitsApplyToCallerConnections(t *testing.T) {
	limits := routing.Limits{HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	recorded := &deadlineRecorder{Conn: local}
	conn := &callerConn{Conn: recorded, limits: func() routing.Limits { return limits }}
	within := func(lower, upper time.Duration) {
		t.Helper()
		left := time.Until(recorded.last)
		assert.Assert(t, left > lower && left <= upper, "%v is left", left)
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Hour)))
	within(0, time.Second)
	updateConnState(conn, http.StateIdle)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Hour)))
	within(time.Second, 10*time.Second)
	limits = routing.Limits{}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Hour)))
	within(10*time.Second, defaultIdleTimeout)
	assert.NilError(t, conn.SetReadDeadline(time.Time{}))
	assert.Assert(t, recorded.last.IsZero())
}

// Callers' connections can be reset: the host finds the TCP connection.
func TestCallerConnectionsAreTCP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	conn, err := callerListener{Listener: listener}.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	wrapper, ok := conn.(interface{ NetConn() net.Conn })
	assert.Assert(t, ok)
	_, ok = wrapper.NetConn().(*net.TCPConn)
	assert.Assert(t, ok)
}

// deadlineRecorder records the last read deadline set on a connection.
type deadlineRecorder struct {
	net.Conn
	last time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.last = t
	return nil
}
