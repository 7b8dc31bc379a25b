// Command cicada-soak runs cicada-gateway processes under a random series of
// faults and checks the promises; see package soak.
package main

import (
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
	Program string        `long:"program" default:"bin/cicada-gateway" description:"the built daemon"`
	Dir     string        `long:"dir" default:"run/soak" description:"where logs of failed seeds are left"`
	Seeds   []uint64      `long:"seed" description:"seed to play; may be given more than once"`
	Series  int           `long:"series" description:"version of the list of faults that the seeds were drawn with; the current one if not given"`
	Fresh   int           `long:"fresh" description:"further seeds drawn now"`
	Kept    bool          `long:"kept" description:"play the seeds that have failed once"`
	Hosts   int           `long:"hosts" default:"4" description:"hosts"`
	Servers int           `long:"servers" default:"4" description:"backend servers of each of two services"`
	Callers int           `long:"callers" default:"12" description:"callers"`
	Length  time.Duration `long:"length" default:"15s" description:"for how long faults begin"`
	Every   time.Duration `long:"every" default:"700ms" description:"mean time between two faults"`
	Only    string        `long:"only" description:"play only faults whose names contain this"`
	Quiet   bool          `long:"quiet" description:"do not print each fault"`
}

func main() {
	var given options
	if _, err := flags.Parse(&given); err != nil {
		os.Exit(program.ExitUsage)
	}
	failed, err := play(given)
	if err != nil {
		os.Exit(program.Fail(err))
	}
	if failed > 0 {
		os.Exit(program.Fail(eris.Errorf("%d seeds broke a promise", failed)))
	}
}

// play plays all seeds and returns how many broke a promise.
func play(given options) (failed int, err error) {
	ctx, stop := program.Signals()
	defer stop()
	var chosen []soak.Regression
	for _, seed := range given.Seeds {
		chosen = append(chosen, soak.Regression{Seed: seed, FaultList: soak.FaultListVersion(given.Series)})
	}
	if given.Kept {
		chosen = append(chosen, soak.Regressions()...)
	}
	for range given.Fresh {
		chosen = append(chosen, soak.Regression{Seed: rand.Uint64() >> 32, FaultList: soak.CurrentFaults})
	}
	for _, each := range chosen {
		seed := each.Seed
		dir := filepath.Join(given.Dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return failed, eris.Wrap(err, "folder for logs")
		}
		print := func(line string) { fmt.Println(line) }
		if given.Quiet {
			print = func(string) {}
		}
		result, err := soak.Run(ctx, soak.Options{Program: given.Program, Dir: dir, Seed: seed, FaultList: each.FaultList, Only: given.Only, Hosts: given.Hosts, Servers: given.Servers,
			Callers: given.Callers, FaultDuration: given.Length, MeanInterval: given.Every, Print: print})
		if err != nil {
			return failed, eris.Wrapf(err, "seed %d; logs in %s", seed, dir)
		}
		fmt.Printf("seed %d: %d faults, %d requests, answers by status %v, %d servers ended by requests, %d broken\n", seed, result.Faults, result.Requests, result.Statuses, result.TerminatedServers, len(result.Violations))
		for _, broken := range result.Violations {
			fmt.Println("  BROKEN", broken)
		}
		if len(result.Violations) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return failed, eris.Wrap(err, "removing logs of a seed without findings")
		}
	}
	return failed, nil
}
