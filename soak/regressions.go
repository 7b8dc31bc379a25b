package soak

import "time"

// Regression is a seed whose run once violated a guarantee.
type Regression struct {
	Seed uint64
	// FaultList is the version of the list of faults that it failed with.
	FaultList FaultListVersion
	// Cause explains the failure.
	Cause string
	// Options replace the options of other seeds where they are set.
	Options Options
}

// Regressions returns the seeds that have failed. "cicada-soak --kept" replays them.
func Regressions() []Regression {
	return []Regression{
		{Seed: 2651125409, FaultList: InitialFaults, Cause: "after a store outage the followers of a host waited for a watch of 25 s at the controller; " +
			"two faults of the test: a proxy delivered a grant whose sender had reset the connection, and a paused host did not stop in time"},
		{Seed: 7, FaultList: DeadlyRequestFaults, Cause: "with 3 hosts, 3 servers, 6 callers, 5 s, a fault every 600 ms: a server that restarted under its ID " +
			"while the store rejected all calls got the load of a warmed-up one"},
		{Seed: 2041386211, FaultList: LimitFaults, Cause: "fault of the test: a limit was checked from the moment at which the server restarted, " +
			"before the new process had announced it to any host"},
		{Seed: 1706791354, FaultList: GarbledFaults, Cause: "fault of the test: a response that its server broke off while the host was being stopped counted as cut by the stop"},
		{Seed: 1008, FaultList: EndlessFaults, Cause: "with 5 hosts: fault of the test: responses without end withdrew the limit that their server announced"},
		{Seed: 2114909493, FaultList: InitialFaults, Cause: "fault of the test: an outgoing connection took the port of a host that was about to start"},
		{Seed: 301, FaultList: HistoryFaults, Cause: "lists that a silent store had lost were waited for, for up to 5 s after it was back",
			Options: Options{Only: repeatedSilenceFault + "responses are lost", Hosts: 8, Domains: 3, Servers: 8, Callers: 4, FaultDuration: time.Second, MeanInterval: time.Hour}},
	}
}
