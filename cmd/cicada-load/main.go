// Command cicada-load runs experiments: it generates load, injects faults and checks the
// system's guarantees.
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
	Quiet bool   `short:"q" long:"quiet" description:"don't print progress"`
	Plot  string `long:"plot" value-name:"HTML" description:"don't run an experiment, but plot the given results side by side into this HTML file"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"INI file of the experiment, or JSON results to plot"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run()) }

func run() int {
	var opts options
	if code, done := program.Parse(&opts); done {
		return code
	}
	if opts.Plot != "" {
		if err := load.PlotFiles(opts.Plot, opts.Args.Files); err != nil {
			return program.Fail(err)
		}
		return program.ExitOK
	}
	experiment, err := load.ReadExperiment(opts.Args.Files[0])
	if err != nil {
		return program.Usage(err)
	}
	ctx, stop := program.Signals()
	defer stop()
	report := load.NewRunner(experiment).Run(ctx, func(progress load.Progress) {
		if !opts.Quiet {
			fmt.Fprintf(os.Stderr, "%4s  started %d  ended %d  done %d  other %d  healthy entry hosts %d\n",
				progress.Elapsed.Round(time.Second), progress.Started, progress.Ended, progress.Done, progress.Refused, progress.Entries)
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
