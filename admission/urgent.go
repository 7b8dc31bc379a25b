package admission

const (
	// minUrgentShare is the part of the work from which on requests of the most urgent priority count.
	// Operators also have routes of that priority for checks of the configuration, which may get 2% of
	// all requests; dividing a service for their sake would reject others for nothing.
	minUrgentShare = 0.05
	// urgentShareWeight is the weight of a new sample in the smoothed share.
	urgentShareWeight = 0.005
)

// UrgentShare is the smoothed share of the work that requests of priority 0 ask for. The zero value
// is a share of 0.
type UrgentShare struct{ share float64 }

// Add adds a sample: the work of priority 0 and that of all priorities, in the same unit.
func (u *UrgentShare) Add(urgent, all float64) {
	if all > 0 {
		u.share += urgentShareWeight * (urgent/all - u.share)
	}
}

// Significant reports whether there are enough requests of priority 0 to divide a service for them.
func (u *UrgentShare) Significant() bool { return u.share >= minUrgentShare }
