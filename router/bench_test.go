package router_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"cicadarouter/contract/caller"
	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/host/clock"
	"cicadarouter/host/logs"
	"cicadarouter/link"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
	"cicadarouter/router"
)

func benchRequest() *http.Request {
	request := httptest.NewRequest(http.MethodGet, "/s/split/item", nil)
	request.Header.Set(caller.HeaderKey, "k")
	request.Header.Set("Accept", "application/json")
	request.Header.Set("User-Agent", "bench")
	return request
}

func serveBench(b *testing.B, front http.Handler) {
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		front.ServeHTTP(recorder, benchRequest())
		if recorder.Code != http.StatusOK {
			b.Fatalf("status %d, reason %s", recorder.Code, recorder.Header().Get(caller.HeaderReason))
		}
	}
}

// BenchmarkDispatch measures a request to the router that dispatches its page, with a
// backend server over loopback.
func BenchmarkDispatch(b *testing.B) {
	s := startSite(b, startFakeServer(b, works).address)
	serveBench(b, router.NewFront(s.router))
}

// BenchmarkForward measures the same request to another router, which forwards it over
// gRPC.
func BenchmarkForward(b *testing.B) {
	s := startSite(b, startFakeServer(b, works).address)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := link.NewServer(insecure.NewCredentials())
	linkpb.RegisterDispatchServer(server, router.NewLinkServer(s.router))
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(server.Stop)
	dir := directory.New()
	service := record.Service{Name: "split", Keyed: true, Domains: []string{"a"}}
	envelope, err := service.Encode(record.SchemaV2)
	assert.NilError(b, err)
	dir.Apply([]platform.Object{{Envelope: envelope, Version: 1}}, 1)
	dir.SetHosts([]platform.Host{{Name: "h1", Domain: "a", RouterLink: listener.Addr().String()}, {Name: "h2", Domain: "a"}})
	dir.SetDispatcher("split.0", "h1")
	links := link.NewPool(insecure.NewCredentials())
	b.Cleanup(links.Close)
	entry := router.New(link.Identity{Host: "h2", Domain: "a"}, router.DefaultLimits(), dir, links, clock.System(), time.Now, 9, logs.Discard())
	serveBench(b, router.NewFront(entry))
}
