package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run.
type Report struct {
	Duration   time.Duration  `json:"duration"`
	Requests   int            `json:"requests"`
	Calls      int            `json:"calls"`
	CallsDone  int            `json:"callsDone"`
	Streams    []StreamReport `json:"streams"`
	Moves      int            `json:"moves"`
	Splits     int            `json:"splits"`
	Runs       int            `json:"runs"`
	Violations []Violation    `json:"violations"`
	// Timeline has an entry for each second of the run.
	Timeline []Second `json:"timeline"`
	// Served counts the requests that each server ran.
	Served map[string]int `json:"served"`
	// Problem is the error that kept the run from being checked, or "".
	Problem string `json:"problem,omitempty"`
}

// StreamReport is the result of one stream.
type StreamReport struct {
	Name     string         `json:"name"`
	Outcomes map[string]int `json:"outcomes"`
	// P50, P99 and P999 are latencies of requests with the outcome "done", measured from
	// when their calls were due.
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	// Imbalance is the maximum number of requests per server divided by the mean.
	Imbalance float64 `json:"imbalance"`
	Servers   int     `json:"servers"`
	// Unavailable is the longest time from when a call was due to the end of one of its
	// requests, whatever the outcome.
	Unavailable time.Duration `json:"unavailable"`
}

func (r *Runner) report() Report {
	report := Report{Duration: time.Since(r.began), Served: map[string]int{}}
	report.Moves, report.Splits = r.moves.counts()
	for _, result := range r.results {
		report.Requests++
		if result.Last {
			report.Calls++
			if result.Done() {
				report.CallsDone++
			}
		}
	}
	runs, err := r.fetchRuns()
	if err != nil {
		report.Problem = "the servers' logs could not be read: " + err.Error()
	}
	report.Runs = len(runs)
	for _, run := range runs {
		report.Served[run.Server]++
	}
	report.Timeline = timeline(r.results, r.moves.times(), r.began)
	if len(r.experiment.Streams) > 0 {
		setImbalance(report.Timeline, r.results, runs, r.began, r.experiment.Streams[0].Service)
	}
	report.Violations = CheckGuarantees(r.results, runs)
	for _, stream := range r.experiment.Streams {
		report.Streams = append(report.Streams, newStreamReport(stream, r.results))
	}
	return report
}

func newStreamReport(stream Stream, results []Result) StreamReport {
	report := StreamReport{Name: stream.Name, Outcomes: map[string]int{}}
	histogram := newHistogram()
	served := map[string]int{}
	for _, result := range results {
		if result.Stream != stream.Name {
			continue
		}
		report.Outcomes[outcomeLabel(result)]++
		if result.Done() {
			_ = histogram.RecordValue(result.Took.Microseconds())
			served[result.Server]++
		}
		report.Unavailable = max(report.Unavailable, result.Took)
	}
	report.P50 = quantile(histogram, 50)
	report.P99 = quantile(histogram, 99)
	report.P999 = quantile(histogram, 99.9)
	report.Servers = len(served)
	report.Imbalance = imbalance(served)
	return report
}

func newHistogram() *hdrhistogram.Histogram {
	const (
		minMicros = 1
		maxMicros = 120_000_000
		digits    = 3
	)
	return hdrhistogram.New(minMicros, maxMicros, digits)
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtPercentile(percent)) * time.Microsecond
}

func outcomeLabel(result Result) string {
	outcome := string(result.Final())
	if outcome == "" {
		return "connection broke"
	}
	if result.Reason != "" {
		outcome += " (" + string(result.Reason) + ")"
	}
	return outcome
}

func imbalance(served map[string]int) float64 {
	total, most := 0, 0
	for _, count := range served {
		total += count
		most = max(most, count)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(served)) / float64(total)
}

// WriteText writes the report as human-readable text.
func (r Report) WriteText(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "calls\t%d, of which done %d (%.3f%%)\n", r.Calls, r.CallsDone, 100*float64(r.CallsDone)/float64(max(r.Calls, 1)))
	fmt.Fprintf(table, "requests\t%d, run by servers %d\n", r.Requests, r.Runs)
	fmt.Fprintf(table, "changes of owner\t%d shards moved, %d splits\n", r.Moves, r.Splits)
	_ = table.Flush()
	fmt.Fprintln(table, "\nSTREAM\tP50\tP99\tP99.9\tLONGEST WAIT\tMAX/MEAN LOAD\tSERVERS\tOUTCOMES")
	for _, stream := range r.Streams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.2f\t%d\t%s\n", stream.Name, formatDuration(stream.P50), formatDuration(stream.P99), formatDuration(stream.P999),
			formatDuration(stream.Unavailable), stream.Imbalance, stream.Servers, formatOutcomes(stream.Outcomes))
	}
	_ = table.Flush()
	if r.Problem != "" {
		fmt.Fprintln(out, "\nNOT JUDGED:", r.Problem)
	}
	fmt.Fprintf(out, "\noracle: %d violations\n", len(r.Violations))
	const shown = 10
	for _, violation := range r.Violations[:min(shown, len(r.Violations))] {
		fmt.Fprintf(out, "  %s: %s\n", violation.Guarantee, violation.Detail)
	}
}

func formatDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }

func formatOutcomes(count map[string]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(count)) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s %d", name, count[name])
	}
	return text
}
