package soak

import (
	"slices"
	"time"
)

// Lateness is how late versions of the configuration took effect at hosts to which nothing but faults of
// the store was done.
type Lateness struct {
	// AfterAcknowledgement is the longest time from the acknowledgement of a version, or from the end
	// of a fault of the store after that, until the last request that a host handled without it.
	AfterAcknowledgement time.Duration
	// Margin is the shortest time from such a request until the version had to be in force, Host the
	// host that handled it, and At when it was sent, since the start of the run.
	Margin time.Duration
	Host   string
	At     time.Duration
}

// lateness returns how late versions took effect.
func (r *run) lateness() Lateness {
	services, versions := r.servicesByRequest(), r.knownVersions()
	latest := Lateness{Margin: configureWithin}
	for i := range r.probes {
		p := &r.probes[i]
		missing, found := p.firstMissing(versions, services[p.id])
		if !found || !p.host.undisturbed(p.sent.Add(-quietPeriod), p.answered) || anyOverlaps(r.storeFaults, p.sent, p.answered) {
			continue
		}
		since, due := r.dueSince(missing, p.sent)
		latest.AfterAcknowledgement = max(latest.AfterAcknowledgement, p.sent.Sub(since))
		if margin := due.Sub(p.sent); margin < latest.Margin {
			latest.Margin, latest.Host, latest.At = margin, p.host.name, p.sent.Sub(r.began)
		}
	}
	return latest
}

// firstMissing returns the first version that was acknowledged before the probe was sent and without
// which it was handled.
func (p *probe) firstMissing(versions []version, ranBy []string) (missing version, found bool) {
	for i := range versions {
		if versions[i].at.Before(p.sent) && p.outdated(versions[i:], ranBy) != "" {
			return versions[i], true
		}
	}
	return version{}, false
}

// dueSince returns when a version was acknowledged, or a fault of the store after that ended, and when
// the version had to be in force, as of a time at which the store had no fault.
func (r *run) dueSince(missing version, at time.Time) (since, due time.Time) {
	since, due = missing.at, missing.at.Add(configureWithin)
	for _, fault := range r.storeFaults {
		if fault.to.Before(at) {
			since, due = latestOf(since, fault.to), latestOf(due, fault.to.Add(quietPeriod))
		}
	}
	return since, due
}

func latestOf(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }
