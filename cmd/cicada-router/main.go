// Command cicada-router is the data path of an entry host.
package main

import (
	"os"

	"cicadarouter/host"
	"cicadarouter/host/program"
)

func main() {
	os.Exit(program.RunDaemon(host.LoadRouter, func(s host.RouterSettings) (program.Daemon, error) {
		return host.NewRouterDaemon(s)
	}))
}
