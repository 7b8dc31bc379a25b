package soak

// Regression is a seed whose run once violated a guarantee.
type Regression struct {
	Seed uint64
	// FaultList is the version of the list of faults that it failed with.
	FaultList FaultListVersion
	// Cause explains the failure.
	Cause string
}

// Regressions returns the seeds that have failed. "cicada-soak --kept" replays them.
func Regressions() []Regression {
	return []Regression{
		{2651125409, InitialFaults, "after an outage of the store the followers of a host waited for a watch of 25 s at the controller; " +
			"and of the soak itself: a proxy delivered a grant whose sender had reset the connection, a paused host did not stop in time"},
		{7, DeadlyRequestFaults, "with 3 hosts, 3 servers, 6 callers, 5 s, a fault each 600 ms: a server that starts again under its ID " +
			"while the store turns all hosts away gets what a warm one does"},
		{2041386211, LimitFaults, "of the soak itself: a limit was judged by from the moment at which the server started again, " +
			"before the new process had told any host"},
		{2114909493, InitialFaults, "of the soak itself: an outgoing connection took the port of a host that was about to start"},
	}
}
