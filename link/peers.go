package link

import "cicadarouter/link/linkpb"

// Identity is the host that a process runs on and its failure domain.
type Identity struct {
	Host   string
	Domain string
}

// Peers returns clients for the other processes of the system. Pool implements it.
type Peers interface {
	// Control returns the client of a controller's link address.
	Control(address string) linkpb.ControlClient
	// Dispatch returns the client of a router's link address.
	Dispatch(address string) linkpb.DispatchClient
}

var _ Peers = (*Pool)(nil)
