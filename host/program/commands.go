package program

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"
)

// Command is one subcommand: a struct of flags with an Execute method.
type Command struct {
	Name  string
	Short string
	// Long is the help text; Short is used if it is empty.
	Long string
	Data flags.Commander
}

// InputError marks an error as caused by the operator's input, so that the program exits
// with ExitUsage.
type InputError struct{ Cause error }

// Error implements error.
func (e *InputError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }

// RunCommands parses the command line, runs the subcommand that it names, and returns
// the exit code. shared holds the flags that all subcommands have in common.
func RunCommands(shared any, description string, commands ...Command) int {
	parser := flags.NewParser(shared, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	for _, command := range commands {
		long := command.Long
		if long == "" {
			long = command.Short
		}
		if _, err := parser.AddCommand(command.Name, command.Short, long, command.Data); err != nil {
			return Fail(err)
		}
	}
	_, err := parser.Parse()
	return exitCode(err)
}

func exitCode(err error) int {
	var flagsErr *flags.Error
	var input *InputError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return ExitOK
	case errors.As(err, &flagsErr), errors.As(err, &input):
		return Usage(err)
	}
	return Fail(err)
}
