package keyspace

import "slices"

// Patch is the difference between two records of a service. A move changes a
// few ranges of hundreds, and every host is told of it.
type Patch struct {
	Term       uint64       `json:"term"`
	Controller Controller   `json:"controller"`
	Earlier    []Controller `json:"earlier,omitempty"`
	LastToken  uint64       `json:"lastToken"`
	// Runs replace all ranges of the keys that they cover.
	Runs [][]Range `json:"runs,omitempty"`
}

// Diff returns the patch that makes one record into another. Both must cover
// all keys.
func Diff(old, fresh *Record) *Patch {
	patch := &Patch{Term: fresh.Term, Controller: fresh.Controller, Earlier: fresh.Earlier, LastToken: fresh.LastToken}
	i, j := 0, 0
	for j < len(fresh.Ranges) {
		if same(&old.Ranges[i], &fresh.Ranges[j]) {
			i, j = i+1, j+1
			continue
		}
		// Both begin at the same key here; the run ends where both end at the
		// same key again.
		first := j
		for old.Ranges[i].To != fresh.Ranges[j].To {
			if old.Ranges[i].To < fresh.Ranges[j].To {
				i++
			} else {
				j++
			}
		}
		i, j = i+1, j+1
		patch.Runs = append(patch.Runs, fresh.Ranges[first:j])
	}
	return patch
}

func same(a, b *Range) bool {
	return a.From == b.From && a.To == b.To && a.Holder == b.Holder && slices.Equal(a.Former, b.Former)
}

// Apply returns the record that the patch makes of one. It fails with an
// *InvariantError if the patch is not one of that record.
func (p *Patch) Apply(old *Record) (*Record, error) {
	fresh := &Record{Term: p.Term, Controller: p.Controller, Earlier: p.Earlier, LastToken: p.LastToken}
	rest := old.Ranges
	for _, run := range p.Runs {
		if len(run) == 0 {
			return nil, &InvariantError{What: "a patch has a run without ranges"}
		}
		from, to := run[0].From, run[len(run)-1].To
		kept := slices.IndexFunc(rest, func(r Range) bool { return r.From >= from })
		if kept < 0 {
			kept = len(rest)
		}
		fresh.Ranges = append(append(fresh.Ranges, rest[:kept]...), run...)
		rest = rest[kept:]
		next := slices.IndexFunc(rest, func(r Range) bool { return r.From > to })
		if next < 0 {
			next = len(rest)
		}
		rest = rest[next:]
	}
	fresh.Ranges = append(fresh.Ranges, rest...)
	return fresh, fresh.Check()
}
