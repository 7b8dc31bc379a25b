// Command cicadactl is the command-line tool for operators. It reads and writes objects
// in the platform's store, and reads the logs of hosts. It doesn't contact the hosts, except that
// 'hosted --metrics' reads the metrics of one.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cicadarouter/host/program"
)

// globals are the flags that all subcommands have in common.
type globals struct {
	Store  string `long:"store" env:"CICADA_STORE" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"address of the platform's store"`
	Output string `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
}

var _ flags.Commander = (*applyCommand)(nil)

func main() {
	shared := &globals{}
	const description = "Exit codes: 0 done, 1 the store or a record's state forbids it, 2 the input is wrong."
	os.Exit(program.RunCommands(shared, description, commands(shared)...))
}
