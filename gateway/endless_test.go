package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// Guards against servers that end a host by answers without end: the caller is not told that its
// request has not run, gets no part for a whole answer, and the server's slot and the host's memory
// are free again.
func TestServerSendsWithoutEnd(t *testing.T) {
	for _, form := range platformtest.EndlessForms() {
		t.Run(form.String(), func(t *testing.T) {
			s, h := newSmallSite(t)
			setFaults := func(faults platformtest.ServerFaults, ids ...string) {
				for _, id := range ids {
					s.servers[id].SetFaults(faults)
				}
			}
			setFaults(platformtest.ServerFaults{Endless: form}, "f1", "f2") // all servers of the service
			for _, path := range []string{"/once/", "/free/"} {
				status, err := s.callEndless(h, path)
				assert.Assert(t, err != nil || status == http.StatusBadGateway, "%s: status %d", path, status)
			}
			s.eventually("all slots are free", func() bool { return metric(h, "cicada_in_flight") == "0" })
			s.eventually("the memory for large heads is free", func() bool { return metric(h, "cicada_large_head_bytes") == "0" })
			served := func() bool {
				got := s.call(h, http.MethodGet, "/free/", "", "")
				return got.err == nil && got.status == http.StatusOK
			}
			setFaults(platformtest.ServerFaults{}, "f2")
			s.eventually("the other server is used", served)
			setFaults(platformtest.ServerFaults{}, "f1")
			setFaults(platformtest.ServerFaults{RejectRequests: true}, "f2")
			s.eventually("the server is used again", served)
			s.noRequestRanTwice()
		})
	}
}

// callEndless sends a request with a deadline far before the time that its caller waits, and reads the
// whole response.
func (s *site) callEndless(h *hostUnderTest, path string) (status int, err error) {
	id := platformtest.RequestID(h.callers.URL[len("http://"):], time.Now(), requests.Add(1))
	request, err := http.NewRequest(http.MethodPost, h.callers.URL+path, nil)
	assert.NilError(s.t, err)
	request.Host = "site.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "500")
	if path == "/once/" {
		s.runOnce.Store(id, true)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return response.StatusCode, fmt.Errorf("incomplete response: %w", err)
	}
	return response.StatusCode, nil
}
