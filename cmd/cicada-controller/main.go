// Command cicada-controller is the controller daemon of a host.
package main

import (
	"os"

	"cicadarouter/host"
	"cicadarouter/host/program"
)

func main() {
	os.Exit(program.RunDaemon(host.LoadController, func(s host.ControllerSettings) (program.Daemon, error) {
		return host.NewControllerDaemon(s)
	}))
}
