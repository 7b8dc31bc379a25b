package ownership_test

// testingT is what the oracle needs of a test.
type testingT interface {
	Fatalf(format string, args ...any)
}

// check is the oracle: at this moment of true time, each hash has at most one
// server that believes it owns it, and the page at most one router that
// believes it may dispatch it.
func (w *world) check(t testingT) {
	if w.problem != "" {
		t.Fatalf("at %v: %s", w.time, w.problem)
	}
	for name, c := range w.controllers {
		generation := c.machine.Page().Generation
		if generation < w.known[name] {
			t.Fatalf("%s went back from generation %d to %d", name, w.known[name], generation)
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
			t.Fatalf("at %v: hash %d has owners %v", w.time, hash, owners)
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
		t.Fatalf("at %v: dispatchers %v", w.time, dispatchers)
	}
}
