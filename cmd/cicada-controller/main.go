// Command cicada-controller is the control part of an entry host.
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
