package ownership_test

// testingT is the part of *testing.T and *rapid.T that the invariant checks use.
type testingT interface {
	Fatalf(format string, args ...any)
}

// checkInvariants fails the test unless, at the current true time, at most one
// server holds a valid lease on each key hash and at most one router holds a valid
// lease to dispatch the page, by their own clocks. No controller may revert to an
// older generation.
func (s *simulation) checkInvariants(t testingT) {
	if s.violation != "" {
		t.Fatalf("at %v: %s", s.trueTime, s.violation)
	}
	for name, c := range s.controllers {
		generation := c.machine.Page().Generation
		if generation < s.newestKnown[name] {
			t.Fatalf("%s reverted from generation %d to %d", name, s.newestKnown[name], generation)
		}
		s.newestKnown[name] = generation
	}
	for hash := uint64(0); hash <= pageHigh; hash += 5 {
		var owners []string
		for _, name := range serverNames {
			h := s.holders[name]
			if _, held := h.holder.ShardAt(h.now(s), testPage, hash); held {
				owners = append(owners, name)
			}
		}
		if len(owners) > 1 && !s.unchecked {
			t.Fatalf("at %v: hash %d has several owners: %v", s.trueTime, hash, owners)
		}
	}
	var dispatchers []string
	for _, name := range routerNames {
		h := s.holders[name]
		if h.now(s) < h.holder.Expiry(testPage) && !h.leaving {
			dispatchers = append(dispatchers, name)
		}
	}
	if len(dispatchers) > 1 {
		t.Fatalf("at %v: the page has several dispatchers: %v", s.trueTime, dispatchers)
	}
}
