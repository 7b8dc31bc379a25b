package main

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"cicadarouter/logread"
)

// logsCommand analyzes the hosts' logs.
type logsCommand struct {
	globals *globals
	Request string   `long:"request" value-name:"ID" description:"show the log lines of this request instead of a summary"`
	Quiet   bool     `long:"quiet" description:"don't print progress"`
	Args    fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *logsCommand) Execute([]string) error {
	files, err := logFiles(c.Args.Files)
	if err != nil {
		return err
	}
	if c.Request != "" {
		collector := logread.NewTraceCollector(c.Request)
		if err := c.scan(files, collector.Add); err != nil {
			return err
		}
		trace := collector.Trace()
		return c.globals.print(trace, trace.WriteTable)
	}
	summarizer := logread.NewSummarizer()
	if err := c.scan(files, summarizer.Add); err != nil {
		return err
	}
	summary := summarizer.Summary()
	return c.globals.print(summary, summary.WriteTable)
}

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// logFiles returns the named files and all files in the named directories, in order.
func logFiles(names []string) ([]string, error) {
	var files []string
	for _, name := range names {
		if name == standardInput {
			files = append(files, name)
			continue
		}
		err := filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() {
				files = append(files, path)
			}
			return err
		})
		if err != nil {
			return nil, eris.Wrap(err, "listing log files")
		}
	}
	return slices.Compact(files), nil
}

func (c *logsCommand) scan(files []string, visit func(logread.Line)) error {
	var unreadable int64
	for _, name := range files {
		n, err := c.scanFile(name, visit)
		unreadable += n
		if err != nil {
			return err
		}
	}
	if unreadable > 0 {
		fmt.Fprintf(os.Stderr, "%d lines could not be read: cut off, too long, or no JSON\n", unreadable)
	}
	return nil
}

func (c *logsCommand) scanFile(name string, visit func(logread.Line)) (unreadable int64, err error) {
	in := io.Reader(os.Stdin)
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return 0, eris.Wrap(err, "opening a log file")
		}
		defer file.Close()
		in = file
	}
	var progress logread.Progress
	if !c.Quiet {
		progress = func(lines, bytes int64) {
			fmt.Fprintf(os.Stderr, "%s: %d lines, %d MB\n", name, lines, bytes>>20)
		}
	}
	unreadable, err = logread.Scan(in, visit, progress)
	return unreadable, eris.Wrapf(err, "%s", name)
}
