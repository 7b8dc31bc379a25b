// Command cicadactl is the operators' command line. It reads and writes records
// in the platform's store and nothing else.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"cicadarouter/host/program"
)

// globals are the flags of every subcommand.
type globals struct {
	Store  string `long:"store" env:"CICADA_STORE" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"address of the platform's store"`
	Output string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"how to print"`
}

func main() {
	os.Exit(run())
}

// command is one subcommand with its help.
type command struct {
	name, short, long string
	data              any
}

func run() int {
	shared := &globals{}
	parser := flags.NewParser(shared, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Exit codes: 0 done, 1 the store or a record's state forbids it, 2 the input is wrong."
	for _, entry := range commands(shared) {
		if _, err := parser.AddCommand(entry.name, entry.short, entry.long, entry.data); err != nil {
			return program.Fail(err)
		}
	}
	_, err := parser.Parse()
	return exitCode(err)
}

// usageError marks input that the operator must mend.
type usageError struct{ cause error }

func (e usageError) Error() string { return e.cause.Error() }
func (e usageError) Unwrap() error { return e.cause }

func exitCode(err error) int {
	var flagsErr *flags.Error
	var usage usageError
	switch {
	case err == nil:
		return program.ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return program.ExitOK
	case errors.As(err, &flagsErr), errors.As(err, &usage):
		return program.Usage(err)
	}
	return program.Fail(err)
}
