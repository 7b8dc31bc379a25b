// Command cicada-load runs experiments: load, faults and the check of promises.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cicadarouter/host/program"
	"cicadarouter/load"
)

type options struct {
	Quiet bool   `short:"q" long:"quiet" description:"no live progress"`
	Plot  string `long:"plot" value-name:"HTML" description:"do not run: plot the results named, side by side, into this page"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"INI file of the experiment, or JSON results to plot"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run()) }

func run() int {
	var given options
	if code, done := program.Parse(&given); done {
		return code
	}
	if given.Plot != "" {
		if err := load.PlotFiles(given.Plot, given.Args.Files); err != nil {
			return program.Fail(err)
		}
		return program.ExitOK
	}
	experiment, err := load.ReadExperiment(given.Args.Files[0])
	if err != nil {
		return program.Usage(err)
	}
	ctx, stop := program.Signals()
	defer stop()
	report := load.NewRunner(experiment).Run(ctx, func(now load.Progress) {
		if !given.Quiet {
			fmt.Fprintf(os.Stderr, "%4s  started %d  ended %d  done %d  other %d  healthy entry hosts %d\n",
				now.Elapsed.Round(time.Second), now.Started, now.Ended, now.Done, now.Refused, now.Entries)
		}
	})
	report.WriteText(os.Stdout)
	if experiment.Output != "" {
		if err := writeJSON(experiment.Output+".json", report); err != nil {
			return program.Fail(err)
		}
	}
	if len(report.Violations) > 0 || report.Problem != "" || report.CallsDone == 0 {
		return program.ExitFailure
	}
	return program.ExitOK
}

func writeJSON(path string, report load.Report) error {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	const mode = 0o644
	return os.WriteFile(path, encoded, mode)
}
