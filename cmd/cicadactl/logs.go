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

// logsCommand reads the hosts' logs.
type logsCommand struct {
	globals *globals
	Request string   `long:"request" value-name:"ID" description:"tell the story of this request in place of a summary"`
	Quiet   bool     `long:"quiet" description:"show no progress"`
	Args    fileArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *logsCommand) Execute([]string) error {
	files, err := logFiles(c.Args.Files)
	if err != nil {
		return err
	}
	if c.Request != "" {
		teller := logread.NewStoryteller(c.Request)
		if err := c.scan(files, teller.Take); err != nil {
			return err
		}
		story := teller.Story()
		return c.globals.print(story, story.Table)
	}
	summarizer := logread.NewSummarizer()
	if err := c.scan(files, summarizer.Take); err != nil {
		return err
	}
	summary := summarizer.Summary()
	return c.globals.print(summary, summary.Table)
}

// standardInput is how a command line names it.
const standardInput = "-"

// logFiles returns the files named, and those below the folders named, in order.
func logFiles(named []string) ([]string, error) {
	var files []string
	for _, name := range named {
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
			return nil, eris.Wrap(err, "looking for logs")
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
			return 0, eris.Wrap(err, "opening a log")
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
