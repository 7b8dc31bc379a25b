package load

import (
	"slices"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/standin"
)

// Second is the statistics of one second of a run.
type Second struct {
	Done    int `json:"done"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// P50 and P99 are latencies in milliseconds of requests that were due in this second
	// and have the outcome "done".
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Moves int     `json:"moves"`
	// Imbalance is the maximum number of requests per server divided by the mean, of the
	// servers of the first stream's service.
	Imbalance float64 `json:"imbalance"`
}

// timeline groups results and shard moves by second.
func timeline(results []Result, moves []time.Time, began time.Time) []Second {
	var seconds []Second
	var took [][]time.Duration
	indexAt := func(t time.Time) int {
		index := max(0, int(t.Sub(began)/time.Second))
		for len(seconds) <= index {
			seconds = append(seconds, Second{})
			took = append(took, nil)
		}
		return index
	}
	for _, result := range results {
		index := indexAt(result.Due)
		switch result.Final() {
		case caller.Done:
			seconds[index].Done++
			took[index] = append(took[index], result.Took)
		case caller.NotRun:
			seconds[index].NotRun++
		default:
			seconds[index].Unknown++
		}
	}
	for _, moved := range moves {
		if moved.After(began) {
			seconds[indexAt(moved)].Moves++
		}
	}
	for i := range seconds {
		seconds[i].P50 = quantileMillis(took[i], 0.5)
		seconds[i].P99 = quantileMillis(took[i], 0.99)
	}
	return seconds
}

func quantileMillis(times []time.Duration, fraction float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[int(fraction*float64(len(times)-1))].Microseconds()) / 1000
}

// setImbalance sets the imbalance of each second from the load on a service's servers.
func setImbalance(seconds []Second, results []Result, runs []standin.Run, began time.Time, service string) {
	ofService := map[string]bool{}
	for _, result := range results {
		ofService[result.ID] = result.Service == service
	}
	served := make([]map[string]int, len(seconds))
	servers := map[string]bool{}
	for _, run := range runs {
		index := int(run.At.Sub(began) / time.Second)
		if !ofService[run.ID] || index < 0 || index >= len(seconds) {
			continue
		}
		if served[index] == nil {
			served[index] = map[string]int{}
		}
		served[index][run.Server]++
		servers[run.Server] = true
	}
	for i, counts := range served {
		seconds[i].Imbalance = imbalance(counts) * float64(len(servers)) / float64(max(len(counts), 1))
	}
}
