// Package program contains what the commands have in common: parsing of command lines,
// signals and exit codes.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

// Exit codes of all commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Daemon runs until its context ends.
type Daemon interface {
	Run(ctx context.Context) error
}

// daemonOptions are the flags that all daemons have in common.
type daemonOptions struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"true" description:"INI file with the daemon's settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// RunDaemon parses the command line, loads the settings, and runs the daemon
// until SIGTERM or SIGINT. It returns the exit code.
func RunDaemon[S any](load func(file string) (S, error), build func(S) (Daemon, error)) int {
	var options daemonOptions
	if code, done := Parse(&options); done {
		return code
	}
	settings, err := load(options.Settings)
	if err != nil {
		return Usage(err)
	}
	if options.Check {
		fmt.Println("settings are valid")
		return ExitOK
	}
	daemon, err := build(settings)
	if err != nil {
		return Usage(err)
	}
	ctx, stop := Signals()
	defer stop()
	if err := daemon.Run(ctx); err != nil {
		return Fail(err)
	}
	return ExitOK
}

// Parse parses the command line into options. done is set if the program must exit with
// the returned code.
func Parse(options any) (code int, done bool) {
	_, err := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash).Parse()
	return parseResult(err)
}

func parseResult(err error) (code int, done bool) {
	if err == nil {
		return ExitOK, false
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return ExitOK, true
	}
	return Usage(err), true
}

// Signals returns a context that is cancelled by SIGTERM or SIGINT.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Usage prints an error caused by the operator's input and returns ExitUsage.
func Usage(err error) int {
	fmt.Fprintln(os.Stderr, eris.ToString(err, false))
	return ExitUsage
}

// Fail prints an error that occurred while the program ran and returns ExitFailure.
func Fail(err error) int {
	fmt.Fprintln(os.Stderr, eris.ToString(err, false))
	return ExitFailure
}
