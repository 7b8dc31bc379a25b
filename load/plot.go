package load

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"cicadarouter/host/settings"
)

// PlotFiles reads JSON results and writes an HTML page that plots them side by side.
func PlotFiles(page string, files []string) error {
	var runs []plottedRun
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return &settings.FileError{File: file, Cause: err}
		}
		var report Report
		if err := json.Unmarshal(data, &report); err != nil {
			return &settings.FileError{File: file, Cause: err}
		}
		runs = append(runs, plot(file, report))
	}
	out, err := os.Create(page)
	if err != nil {
		return &settings.FileError{File: page, Cause: err}
	}
	if err := writePlots(out, runs); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}

// plottedRun is a report with its plots.
type plottedRun struct {
	Name       string
	Report     Report
	Latency    template.HTML
	Outcomes   template.HTML
	Moves      template.HTML
	Imbalance  template.HTML
	Servers    template.HTML
	Percentage float64
}

// series is one line of a plot.
type series struct {
	name   string
	colour string
	values []float64
}

func plot(name string, report Report) plottedRun {
	pick := func(value func(Second) float64) []float64 {
		values := make([]float64, len(report.Timeline))
		for i, second := range report.Timeline {
			values[i] = value(second)
		}
		return values
	}
	return plottedRun{
		Name:   name,
		Report: report,
		Latency: lines("latency of calls done, ms, by the second they were due in", true,
			series{"p99", "#c33", pick(func(s Second) float64 { return s.P99 })},
			series{"p50", "#36c", pick(func(s Second) float64 { return s.P50 })}),
		Outcomes: lines("requests a second by outcome", false,
			series{"done", "#393", pick(func(s Second) float64 { return float64(s.Done) })},
			series{"not run", "#c90", pick(func(s Second) float64 { return float64(s.NotRun) })},
			series{"unknown", "#c33", pick(func(s Second) float64 { return float64(s.Unknown) })}),
		Moves: lines("shards moved, by second", false,
			series{"moves", "#639", pick(func(s Second) float64 { return float64(s.Moves) })}),
		Imbalance: lines("most loaded server over the mean, first stream, by second", false,
			series{"imbalance", "#066", pick(func(s Second) float64 { return s.Imbalance })}),
		Servers:    bars("requests run by each server", report.Served),
		Percentage: 100 * float64(report.CallsDone) / float64(max(report.Calls, 1)),
	}
}

// The size of a plot, in SVG units.
const (
	plotWidth  = 560.0
	plotHeight = 180.0
	plotMargin = 46.0
)

// lines draws a line chart of series over time, optionally with a logarithmic scale.
func lines(title string, logarithmic bool, all ...series) template.HTML {
	most := 1.0
	count := 1
	for _, s := range all {
		for _, value := range s.values {
			most = max(most, value)
		}
		count = max(count, len(s.values))
	}
	scale := func(value float64) float64 {
		if logarithmic {
			return math.Log10(1+value) / math.Log10(1+most)
		}
		return value / most
	}
	var svg strings.Builder
	frame(&svg, title, most, fmt.Sprintf("%d s", count))
	for i, s := range all {
		var points []string
		for at, value := range s.values {
			x := plotMargin + plotWidth*float64(at)/float64(max(count-1, 1))
			y := plotMargin + plotHeight*(1-scale(value))
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		fmt.Fprintf(&svg, `<polyline fill="none" stroke="%s" stroke-width="1.8" points="%s"/>`, s.colour, strings.Join(points, " "))
		fmt.Fprintf(&svg, `<text x="%.0f" y="36" fill="%s">%s</text>`, plotMargin+float64(i)*90, s.colour, s.name)
	}
	svg.WriteString("</svg>")
	return template.HTML(svg.String())
}

// bars draws a bar chart with one bar for each server.
func bars(title string, served map[string]int) template.HTML {
	most := 1
	for _, count := range served {
		most = max(most, count)
	}
	var svg strings.Builder
	frame(&svg, title, float64(most), fmt.Sprintf("%d servers", len(served)))
	width := plotWidth / float64(max(len(served), 1))
	for i, name := range slices.Sorted(maps.Keys(served)) {
		height := plotHeight * float64(served[name]) / float64(most)
		fmt.Fprintf(&svg, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#36c"><title>%s: %d</title></rect>`,
			plotMargin+width*float64(i), plotMargin+plotHeight-height, width*0.8, height, template.HTMLEscapeString(name), served[name])
	}
	svg.WriteString("</svg>")
	return template.HTML(svg.String())
}

func frame(svg *strings.Builder, title string, most float64, end string) {
	fmt.Fprintf(svg, `<svg viewBox="0 0 %.0f %.0f" font-family="sans-serif" font-size="12">`, plotWidth+2*plotMargin, plotHeight+2*plotMargin)
	fmt.Fprintf(svg, `<text x="%.0f" y="18" font-weight="bold">%s</text>`, plotMargin, title)
	fmt.Fprintf(svg, `<rect x="%.0f" y="%.0f" width="%.0f" height="%.0f" fill="none" stroke="#bbb"/>`, plotMargin, plotMargin, plotWidth, plotHeight)
	fmt.Fprintf(svg, `<text x="%.0f" y="%.0f" text-anchor="end">%.4g</text>`, plotMargin-4, plotMargin+10, most)
	fmt.Fprintf(svg, `<text x="%.0f" y="%.0f" text-anchor="end">0</text>`, plotMargin-4, plotMargin+plotHeight)
	fmt.Fprintf(svg, `<text x="%.0f" y="%.0f" text-anchor="end">%s</text>`, plotMargin+plotWidth, plotMargin+plotHeight+16, end)
}

var plotPage = template.Must(template.New("plots").Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>Runs</title>
<style>body{font:15px sans-serif;margin:2em}.runs{display:grid;grid-template-columns:repeat(auto-fit,minmax(420px,1fr));gap:2em}</style>
<h1>Runs</h1><div class="runs">{{range .}}<section><h2>{{.Name}}</h2>
<p>{{.Report.Calls}} calls, {{printf "%.3f" .Percentage}}% done; {{.Report.Moves}} shards moved, {{.Report.Splits}} splits; {{len .Report.Violations}} violations</p>
{{.Latency}}{{.Outcomes}}{{.Moves}}{{.Imbalance}}{{.Servers}}</section>{{end}}</div></html>
`))

func writePlots(out io.Writer, runs []plottedRun) error { return plotPage.Execute(out, runs) }
