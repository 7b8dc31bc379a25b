package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/platform/platformtest"
)

// privateRoute is a route below the prefix of another one. Its service has no other routes.
const privateRoute = `,{"name":"private","path-prefix":"/free/private/","kind":"safe","timeout":"5000ms","target-latency":"1000ms","priority":1,"service":"owned","max-attempts":2}`

// addPrivateRoute adds the route and waits until all hosts know it.
func (s *site) addPrivateRoute() {
	s.t.Helper()
	s.configure(5, privateRoute)
	for _, h := range s.hosts {
		s.eventually("the route is known", func() bool {
			status, id := s.sendTarget(h, http.MethodGet, "/free/private/x")
			_, service := s.runOf(id)
			return status == http.StatusOK && service == "owned"
		})
	}
}

// sendTarget sends a request whose line holds a target as it is, and returns the status and the ID.
func (s *site) sendTarget(h *hostUnderTest, method, target string) (status int, id string) {
	s.t.Helper()
	id = platformtest.RequestID(h.callers.URL[len("http://"):], time.Now(), requests.Add(1))
	conn, err := net.Dial("tcp", h.callers.Listener.Addr().String())
	assert.NilError(s.t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nX-Shard-Key: 7\r\nConnection: close\r\n\r\n", method, target, id)
	assert.NilError(s.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	assert.NilError(s.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(s.t, err)
	return response.StatusCode, id
}

// runOf returns the run of a request, and the name of the service of the server that ran it.
func (s *site) runOf(id string) (run platformtest.Run, service string) {
	for _, server := range s.servers {
		for _, each := range server.Runs() {
			if each.RequestID == id {
				return each, map[bool]string{false: "free", true: "owned"}[server.Keyed]
			}
		}
	}
	return platformtest.Run{}, ""
}

// checkTarget sends a request with a target in origin form, and checks that it is rejected, or run by
// the service of the longest prefix with its method and target as they were sent.
func (s *site) checkTarget(t rapid.TB, h *hostUnderTest, method, target string) {
	status, id := s.sendTarget(h, method, target)
	run, service := s.runOf(id)
	switch status {
	case http.StatusOK:
		want := "free"
		if strings.HasPrefix(target, "/free/private/") {
			want = "owned"
		}
		if run.Target != target || run.Method != method || service != want {
			t.Errorf("%s %q was run as %s %q by service %q, want %q", method, target, run.Method, run.Target, service, want)
		}
	case http.StatusBadRequest, http.StatusNotFound:
		if service != "" || strings.HasPrefix(target, "/free/") && status == http.StatusNotFound {
			t.Errorf("%s %q was answered %d, run by %q", method, target, status, service)
		}
	default:
		t.Errorf("%s %q was answered %d", method, target, status)
	}
}

// unusualTargets are targets of requests that net/url would encode in another way, or that proxies
// tend to normalize.
var unusualTargets = []string{
	"/free/private%2Fplan|1", "/free/private%2fplan", "/free/%70rivate/x", "/free/a^b", "/free/{a}", "/free/é", "/free/\xff",
	"/free/a//b", "/free//private/x", "/free/./b", "/free/../free/b", "/free/%2e%2e/b", "/free/a;b=c", "/free/a?", "/free/a??b",
	"/free/a?b|c=%2F;d", "/free/a#b", "/free/a%00b|", "/free/a\"<>`\\", "/free/private/|%2F", "/free/a%7C|%25", "/free/?x=http://y/", "/free/[a]", "/free/a!$&'()*+,;=:@~",
}

// Guards against paths that are decoded and encoded anew: an encoded slash becomes a real one, and
// the request names another resource and goes to another service.
func TestTargetIsPassedOnAsSent(t *testing.T) {
	s := newLimitSite(t, 1)
	s.addPrivateRoute()
	for _, target := range unusualTargets {
		s.checkTarget(t, s.hosts[0], http.MethodGet, target)
	}
	if t.Failed() {
		return // rapid requires a test that has not failed
	}
	bytesOfTargets := rapid.Custom(func(t *rapid.T) string {
		part := rapid.OneOf(rapid.SampledFrom([]string{"%2F", "%2f", "%7C", "%25", "private/", "private", "/", "//", ".", "..", "?", "|", ";", "a"}),
			rapid.Map(rapid.ByteRange('!', 0xff).Filter(func(char byte) bool { return char != 0x7f }), func(char byte) string { return string([]byte{char}) }))
		return "/free/" + strings.Join(rapid.SliceOfN(part, 0, 12).Draw(t, "parts"), "")
	})
	rapid.Check(t, func(t *rapid.T) {
		s.checkTarget(t, s.hosts[0], rapid.SampledFrom([]string{http.MethodGet, http.MethodHead, http.MethodPut}).Draw(t, "method"), bytesOfTargets.Draw(t, "target"))
	})
}

// Checks that an absolute target reaches the server in origin form with its path as it was sent.
func TestAbsoluteTargetIsPassedOnInOriginForm(t *testing.T) {
	s := newLimitSite(t, 1)
	status, id := s.sendTarget(s.hosts[0], http.MethodGet, "http://site.example/free/a%2Fb|c?d|e")
	assert.Equal(t, status, http.StatusOK)
	run, _ := s.runOf(id)
	assert.Equal(t, run.Target, "/free/a%2Fb|c?d|e")
}

// Guards against targets that are changed on the way to another host.
func TestTargetIsForwardedAsSent(t *testing.T) {
	s := newSiteOfHosts(t, 3)
	s.addPrivateRoute()
	cut := s.hosts[0]
	s.loseLinks(cut)
	for _, target := range unusualTargets {
		s.checkTarget(t, cut, http.MethodGet, target)
	}
}
