// Command cicadactl is the operators' command line. It reads and writes records
// in the platform's store and nothing else.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cicadarouter/host/program"
)

// globals are the flags of every subcommand.
type globals struct {
	Store  string `long:"store" env:"CICADA_STORE" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"address of the platform's store"`
	Output string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"how to print"`
}

var _ flags.Commander = (*applyCommand)(nil)

func main() {
	shared := &globals{}
	const description = "Exit codes: 0 done, 1 the store or a record's state forbids it, 2 the input is wrong."
	os.Exit(program.RunCommands(shared, description, commands(shared)...))
}
