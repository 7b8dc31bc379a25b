// Command cicada-gateway is the one daemon of a host on a hosted platform: the
// data path, and, at one host a service, the control of keys.
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
