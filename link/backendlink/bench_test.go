package backendlink

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"
)

// benchmarkExchange measures requests whose answers have a body of the given size, one after the other on
// one connection.
func benchmarkExchange(b *testing.B, size int) {
	body := strings.Repeat("x", size)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body) // fails only if the benchmark has ended
	}))
	defer server.Close()
	pool := NewPool(strings.TrimPrefix(server.URL, "http://"), 4, 1<<10)
	defer pool.Close()
	request, err := http.NewRequest(http.MethodGet, "http://server/", nil)
	if err != nil {
		b.Fatal(err)
	}
	took := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		exchange, err := pool.Begin(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		if err := exchange.Send(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, exchange.Response.Body); err != nil {
			b.Fatal(err)
		}
		exchange.Keep()
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Nanoseconds()), "p50-ns")
	b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
}

func BenchmarkShortAnswer(b *testing.B) { benchmarkExchange(b, 500) }

func BenchmarkLongAnswer(b *testing.B) { benchmarkExchange(b, 4<<20) }
