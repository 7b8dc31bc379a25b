// Command cicada-router is the daemon of a host that forwards callers' requests.
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
