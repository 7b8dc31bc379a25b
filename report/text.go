package report

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the lines as a plain text table.
func WriteText(out io.Writer, lines []ServiceBurn) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tDOMAIN\tREQUESTS\tAVAILABILITY BURN 5m/1h/6h/72h\tLATENCY BURN 5m/1h/6h/72h\tBUDGET LEFT\tALARM\tCAUSES")
	for _, line := range lines {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%.1f%%\t%s\t%s\n", line.Service, line.Domain, line.Requests,
			formatRates(line.Availability), formatRates(line.Latency), 100*line.BudgetLeft, line.Alarm, formatCauses(line.Causes))
	}
	return table.Flush()
}

func formatRates(burn []float64) string {
	parts := make([]string, len(burn))
	for i, rate := range burn {
		parts[i] = fmt.Sprintf("%.2f", rate)
	}
	return strings.Join(parts, "/")
}

func formatCauses(list []Cause) string {
	parts := make([]string, len(list))
	for i, cause := range list {
		parts[i] = fmt.Sprintf("%s %d", cause.Reason, cause.Count)
	}
	return strings.Join(parts, ", ")
}

var htmlTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"rates": formatRates, "causes": formatCauses, "percent": func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
}).Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:15px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.4em .8em;text-align:left;border-bottom:1px solid #ccc}
.page{background:#fbb}.ticket{background:#fec}</style>
<h1>Service-level burn</h1>
<p>A rate of 1 spends the budget just as fast as the objective allows. Windows: 5 minutes, 1 hour, 6 hours, 72 hours.</p>
<table><tr><th>Service<th>Failure domain<th>Requests<th>Availability burn<th>Latency burn<th>Budget left<th>Alarm<th>Top causes</tr>
{{range .}}<tr class="{{.Alarm}}"><td>{{.Service}}<td>{{.Domain}}<td>{{.Requests}}<td>{{rates .Availability}}<td>{{rates .Latency}}<td>{{percent .BudgetLeft}}<td>{{.Alarm}}<td>{{causes .Causes}}</tr>
{{end}}</table></html>
`))

// WriteHTML writes the lines as an HTML page.
func WriteHTML(out io.Writer, lines []ServiceBurn) error { return htmlTemplate.Execute(out, lines) }
