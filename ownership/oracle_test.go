package ownership_test

// testingT is the part of *testing.T and *rapid.T that the invariant checks use.
type testingT interface {
	Fatalf(format string, args ...any)
}

// checkInvariants fails the test unless, at the current true time, at most one
// server holds a valid lease on each key hash and at most one router holds a valid
// lease to dispatch the page, by their own clocks. No controller may revert to an
// older generation.
func (w *world) check(t testingT) {
	if w.problem != "" {
		t.Fatalf("at %v: %s", w.time, w.problem)
	}
	for name, c := range w.controllers {
		generation := c.machine.Page().Generation
		if generation < w.known[name] {
			t.Fatalf("%s reverted from generation %d to %d", name, w.known[name], generation)
		}
		w.known[name] = generation
	}
	for hash := uint64(0); hash <= pageHigh; hash += 5 {
		var owners []string
		for _, name := range serverNames {
			h := w.holders[name]
			if _, held := h.holder.HeldAt(h.now(w), testPage, hash); held {
				owners = append(owners, name)
			}
		}
		if len(owners) > 1 && !w.unchecked {
			t.Fatalf("at %v: hash %d has several owners: %v", w.time, hash, owners)
		}
	}
	var dispatchers []string
	for _, name := range routerNames {
		h := w.holders[name]
		if h.now(w) < h.holder.Expiry(testPage) && !h.leaving {
			dispatchers = append(dispatchers, name)
		}
	}
	if len(dispatchers) > 1 {
		t.Fatalf("at %v: the page has several dispatchers: %v", w.time, dispatchers)
	}
}
