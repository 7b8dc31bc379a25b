package link

import "cicadarouter/link/linkpb"

// Identity says which entry host a process runs on.
type Identity struct {
	Host   string
	Domain string
}

// Peers gives the connections to the other processes of the system. Pool
// implements it.
type Peers interface {
	// Control returns the client of a controller's link address.
	Control(address string) linkpb.ControlClient
	// Dispatch returns the client of a router's link address.
	Dispatch(address string) linkpb.DispatchClient
}

var _ Peers = (*Pool)(nil)
