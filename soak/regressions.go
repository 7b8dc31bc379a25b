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
		{2651125409, InitialFaults, "after a store outage the followers of a host waited for a watch of 25 s at the controller; " +
			"two faults of the test: a proxy delivered a grant whose sender had reset the connection, and a paused host did not stop in time"},
		{7, DeadlyRequestFaults, "with 3 hosts, 3 servers, 6 callers, 5 s, a fault every 600 ms: a server that restarted under its ID " +
			"while the store rejected all calls got the load of a warmed-up one"},
		{2041386211, LimitFaults, "fault of the test: a limit was checked from the moment at which the server restarted, " +
			"before the new process had announced it to any host"},
		{1706791354, GarbledFaults, "fault of the test: a response that its server broke off while the host was being stopped counted as cut by the stop"},
		{1008, EndlessFaults, "with 5 hosts: fault of the test: responses without end withdrew the limit that their server announced"},
		{2114909493, InitialFaults, "fault of the test: an outgoing connection took the port of a host that was about to start"},
	}
}
