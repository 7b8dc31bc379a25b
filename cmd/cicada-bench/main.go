// Command cicada-bench measures the cost of the control plane, the recovery time after
// failures, and other figures; see package bench.
package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"cicadarouter/bench"
	"cicadarouter/host/program"
)

func main() {
	os.Exit(program.RunCommands(&struct{}{}, "",
		program.Command{Name: "slopes", Short: "cost of control by number of hosts, pages, servers and shards", Data: &slopesCommand{}},
		program.Command{Name: "failover", Short: "time to serve again after losses", Data: &failoverCommand{}},
		program.Command{Name: "orders", Short: "orders of a server's queue, with one caller that bursts", Data: &ordersCommand{}},
		program.Command{Name: "changes", Short: "time until a changed record is in force on every daemon", Data: &changesCommand{}},
	))
}

type slopesCommand struct {
	Seconds int  `long:"seconds" default:"5" description:"duration of each measurement in seconds"`
	Large   bool `long:"large" description:"measure only the planned size of a failure domain"`
}

// sizes returns configurations that each differ from a base configuration in one number.
func (c *slopesCommand) sizes() []bench.Config {
	if c.Large {
		return []bench.Config{{Hosts: 425, Pages: 425, Servers: 2000, Shards: 8}}
	}
	base := bench.Config{Hosts: 10, Pages: 10, Servers: 50, Shards: 8}
	sizes := []bench.Config{base}
	for _, hosts := range []int{5, 20, 40} {
		size := base
		size.Hosts = hosts
		sizes = append(sizes, size)
	}
	for _, pages := range []int{5, 20, 40} {
		size := base
		size.Pages = pages
		sizes = append(sizes, size)
	}
	for _, servers := range []int{25, 100, 200} {
		size := base
		size.Servers = servers
		sizes = append(sizes, size)
	}
	for _, shards := range []int{2, 32, 128} {
		size := base
		size.Shards = shards
		sizes = append(sizes, size)
	}
	return sizes
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	const settle = 60 * time.Second
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "hosts\tpages\tservers\tshards each\tcpu %\theap KB\tB/s\tlink B/s\trelay B/s\tserver B/s\tmsg/s\tstore reads/s\twrites/s\twatches/s\twaiting\tpage B\t")
	for _, size := range c.sizes() {
		sample, err := bench.Measure(size, settle, time.Duration(c.Seconds)*time.Second)
		if err != nil {
			_ = table.Flush()
			return err
		}
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.2f\t%.1f\t%d\t%d\t\n",
			size.Hosts, size.Pages, size.Servers, size.Shards, 100*sample.CPU, sample.Heap/1024,
			sample.Bytes, sample.LinkBytes, sample.RelayBytes, sample.ServerBytes, sample.Messages,
			sample.Reads, sample.Writes, sample.Watches, sample.Waiting, sample.PageBytes)
	}
	return table.Flush()
}

type ordersCommand struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of the random arrival times"`
}

// Execute implements flags.Commander.
func (c *ordersCommand) Execute([]string) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ORDER\tGOODPUT\tCALM DONE\tBURST DONE\tCALM P50\tCALM P99")
	for _, result := range bench.CompareOrders(c.Seed) {
		fmt.Fprintf(table, "%s\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t%s\n", result.Order, 100*result.Goodput,
			100*result.CalmDone, 100*result.BurstDone, result.CalmP50.Round(10*time.Microsecond), result.CalmP99.Round(10*time.Microsecond))
	}
	return table.Flush()
}

type changesCommand struct {
	Count int `long:"count" default:"100" description:"number of changes"`
	Hosts int `long:"hosts" default:"10" description:"entry hosts of the failure domain"`
}

// Execute implements flags.Commander.
func (c *changesCommand) Execute([]string) error {
	config := bench.Config{Hosts: c.Hosts, Pages: c.Hosts, Servers: 5 * c.Hosts, Shards: 4}
	times, err := bench.Changes(config, c.Count)
	if err != nil {
		return err
	}
	slices.Sort(times)
	fmt.Printf("%d changes on %d hosts: median %d ms, worst %d ms\n", len(times), c.Hosts,
		times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds())
	return nil
}

type failoverCommand struct {
	Runs  int    `long:"runs" default:"20" description:"runs for each kind of loss, at least 1"`
	Hosts int    `long:"hosts" default:"3" description:"entry hosts of the failure domain"`
	Only  string `long:"only" description:"run only this kind of loss"`
	Port  int    `long:"base-port" default:"24000" description:"port of the first backend server"`
}

// Execute implements flags.Commander.
func (c *failoverCommand) Execute([]string) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "LOSS\tRUNS\tMEDIAN\tWORST\tMEDIAN STORE WRITES\tREADS\tWATCHES\tSHARDS MOVED")
	for _, loss := range bench.Losses() {
		if c.Only != "" && c.Only != string(loss) {
			continue
		}
		runs, err := c.repeat(loss)
		if err != nil {
			return err
		}
		times := summarize(runs, func(r bench.Recovery) int64 { return r.Unavailable.Milliseconds() })
		fmt.Fprintf(table, "%s\t%d\t%d ms\t%d ms\t%d\t%d\t%d\t%d\n", loss, len(runs), times.median, times.max,
			summarize(runs, func(r bench.Recovery) int64 { return r.Writes }).median,
			summarize(runs, func(r bench.Recovery) int64 { return r.Reads }).median,
			summarize(runs, func(r bench.Recovery) int64 { return r.Watches }).median,
			summarize(runs, func(r bench.Recovery) int64 { return int64(r.Moved) }).median)
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// medianAndMax is the median and the maximum of a set of numbers.
type medianAndMax struct{ median, max int64 }

func summarize(runs []bench.Recovery, value func(bench.Recovery) int64) medianAndMax {
	values := make([]int64, len(runs))
	for i, run := range runs {
		values[i] = value(run)
	}
	slices.Sort(values)
	return medianAndMax{median: values[len(values)/2], max: values[len(values)-1]}
}

func (c *failoverCommand) repeat(loss bench.Loss) ([]bench.Recovery, error) {
	var runs []bench.Recovery
	for range c.Runs {
		run, err := bench.FailOver(loss, bench.Config{Hosts: c.Hosts, Pages: 1, Servers: 5, Shards: 8, BasePort: c.Port})
		if err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	return runs, nil
}
