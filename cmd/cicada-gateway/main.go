// Command cicada-gateway is the only daemon of a host on a hosted platform. It forwards
// callers' requests; for each service, the daemon of one host also controls which servers
// own which keys.
package main

import (
	"os"

	"cicadarouter/gateway/daemon"
	"cicadarouter/host/program"
)

func main() {
	os.Exit(program.RunDaemon(daemon.Load, func(s daemon.Settings) (program.Daemon, error) {
		return daemon.New(s), nil
	}))
}
