package soak

// Regression is a seed that broke a promise once.
type Regression struct {
	Seed uint64
	// Cause is why.
	Cause string
}

// Regressions returns the seeds that have failed. They are played by
// "cicada-soak --kept".
func Regressions() []Regression {
	return []Regression{
		{2114909493, "of the soak itself: an outgoing connection took the port of a host that was about to start"},
	}
}
