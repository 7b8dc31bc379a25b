// Package logs sets up the structured log of a daemon: JSON lines on standard error.
package logs

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// New returns a logger that writes JSON lines. Each line contains the names of the
// program and the host.
func New(out io.Writer, program, host string, level log.Level) *log.Logger {
	logger := log.NewWithOptions(out, log.Options{
		Formatter:       log.JSONFormatter,
		Level:           level,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	return logger.With("program", program, "host", host)
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger { return log.New(io.Discard) }

// Level returns the log level of the given name, which the settings have validated. It
// returns the info level for unknown names.
func Level(name string) log.Level {
	level, err := log.ParseLevel(name)
	if err != nil {
		return log.InfoLevel
	}
	return level
}
