// Command cicada-soak runs cicada-gateway processes, injects a random sequence of faults
// and checks the system's guarantees; see package soak.
package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"cicadarouter/host/program"
	"cicadarouter/soak"
)

type options struct {
	Program string        `long:"program" default:"bin/cicada-gateway" description:"path of the cicada-gateway binary"`
	Dir     string        `long:"dir" default:"run/soak" description:"directory in which the logs of failed seeds are kept"`
	Seeds   []uint64      `long:"seed" description:"seed to run; may be given more than once"`
	Series  int           `long:"series" description:"version of the list of faults with which the seeds were drawn; default is the current one"`
	Fresh   int           `long:"fresh" description:"number of additional random seeds"`
	Kept    bool          `long:"kept" description:"run the regression seeds, which have failed before"`
	Hosts   int           `long:"hosts" default:"4" description:"number of hosts"`
	Domains int           `long:"domains" default:"1" description:"number of failure domains of the hosts"`
	Servers int           `long:"servers" default:"4" description:"number of backend servers of each of the two services"`
	Callers int           `long:"callers" default:"12" description:"number of callers"`
	Length  time.Duration `long:"length" default:"15s" description:"time during which faults are started"`
	Every   time.Duration `long:"every" default:"700ms" description:"mean time between the starts of two faults"`
	Only    string        `long:"only" description:"inject only faults whose names contain this text"`
	Share   float64       `long:"processor-share" description:"share of a processor that each host gets; default is no quota"`
	Repeat  int           `long:"repetitions" description:"how often the faults that repeat themselves do so; default is 5"`
	Quiet   bool          `long:"quiet" description:"don't print each fault"`
	Logs    bool          `long:"keep-logs" description:"keep the logs of seeds that passed, too"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(program.ExitUsage)
	}
	failed, err := runSeeds(opts)
	if err != nil {
		os.Exit(program.Fail(err))
	}
	if failed > 0 {
		os.Exit(program.Fail(eris.Errorf("%d seeds violated a guarantee", failed)))
	}
}

// runSeeds runs all seeds and returns how many of them violated a guarantee.
func runSeeds(opts options) (failed int, err error) {
	ctx, stop := program.Signals()
	defer stop()
	var runs []soak.Regression
	for _, seed := range opts.Seeds {
		runs = append(runs, soak.Regression{Seed: seed, FaultList: soak.FaultListVersion(opts.Series)})
	}
	if opts.Kept {
		runs = append(runs, soak.Regressions()...)
	}
	for range opts.Fresh {
		runs = append(runs, soak.Regression{Seed: rand.Uint64() >> 32, FaultList: soak.CurrentFaults})
	}
	for _, run := range runs {
		seed := run.Seed
		dir := filepath.Join(opts.Dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return failed, eris.Wrap(err, "creating the directory for logs")
		}
		print := func(line string) { fmt.Println(line) }
		if opts.Quiet {
			print = func(string) {}
		}
		kept := run.Options
		result, err := soak.Run(ctx, soak.Options{Program: opts.Program, Dir: dir, Seed: seed, FaultList: run.FaultList, Only: cmp.Or(kept.Only, opts.Only),
			Hosts: cmp.Or(kept.Hosts, opts.Hosts), Domains: cmp.Or(kept.Domains, opts.Domains), Servers: cmp.Or(kept.Servers, opts.Servers),
			Callers: cmp.Or(kept.Callers, opts.Callers), ProcessorShare: opts.Share, Repetitions: cmp.Or(kept.Repetitions, opts.Repeat),
			FaultDuration: cmp.Or(kept.FaultDuration, opts.Length), MeanInterval: cmp.Or(kept.MeanInterval, opts.Every), Print: print})
		if err != nil {
			return failed, eris.Wrapf(err, "seed %d; logs in %s", seed, dir)
		}
		fmt.Printf("seed %d: %d faults, %d requests, answers by status %v, %d servers ended by requests, configurations %d ms late at most, margin %d ms (%s at %.1f s), %d broken\n", seed, result.Faults, result.Requests, result.Statuses, result.TerminatedServers,
			result.Lateness.AfterAcknowledgement.Milliseconds(), result.Lateness.Margin.Milliseconds(), result.Lateness.Host, result.Lateness.At.Seconds(), len(result.Violations))
		for _, violation := range result.Violations {
			fmt.Println("  BROKEN", violation)
		}
		if len(result.Violations) > 0 {
			failed++
			continue
		}
		if opts.Logs {
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return failed, eris.Wrap(err, "removing the logs of a seed that passed")
		}
	}
	return failed, nil
}
