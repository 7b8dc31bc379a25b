package bench

import (
	"context"
	"time"

	"cicadarouter/record"
)

// Changes starts a site, changes a record count times, and returns how long each change
// took until every daemon had it in force. Halfway through it kills a controller, and with
// it the record streams that the controller served.
func Changes(config Config, count int) ([]time.Duration, error) {
	site, err := Start(config)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	const settle = 20 * time.Second
	if err := site.Settle(settle); err != nil {
		return nil, err
	}
	killed := -1
	var times []time.Duration
	for i := range count {
		if i == count/2 {
			killed = config.Hosts - 1
			site.killController(site.hosts[killed])
		}
		took, err := site.change(i, killed)
		if err != nil {
			return times, err
		}
		times = append(times, took)
	}
	return times, nil
}

// change writes a new number of slots for a server and waits until it is in force. killed is
// the index of the host whose controller was killed, or -1.
func (s *Site) change(number, killed int) (time.Duration, error) {
	ctx := context.Background()
	ref := record.Ref{Kind: record.KindServer, Name: s.fleetConfig().ServerName(0)}
	object, err := s.store.Store.Get(ctx, ref)
	if err != nil {
		return 0, err
	}
	server, err := record.DecodeServer(object.Envelope)
	if err != nil {
		return 0, err
	}
	server.Slots = slots + 1 + number%10
	envelope, err := server.Encode(record.SchemaV2)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if _, err := s.store.Store.Update(ctx, envelope, object.Version); err != nil {
		return 0, err
	}
	return s.waitInForce(ref.Name, server.Slots, killed, began)
}

// NotInForceError reports a change that did not reach every daemon in time.
type NotInForceError struct{}

// Error implements error.
func (e *NotInForceError) Error() string { return "a change is not in force after 30 s" }

func (s *Site) waitInForce(server string, slots, killed int, began time.Time) (time.Duration, error) {
	const (
		pollInterval = time.Millisecond
		timeout      = 30 * time.Second
	)
	for time.Since(began) < timeout {
		missing := 0
		for i, h := range s.hosts {
			if !h.hasSlots(server, slots, i != killed) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began), nil
		}
		time.Sleep(pollInterval)
	}
	return 0, &NotInForceError{}
}

// hasSlots reports whether the host's router, and its controller if checkController is set,
// have the server's new record.
func (h *siteHost) hasSlots(server string, slots int, checkController bool) bool {
	found, ok := h.routerDirectory.Server(server)
	if !ok || found.Slots != slots {
		return false
	}
	if !checkController {
		return true
	}
	found, ok = h.controllerDirectory.Server(server)
	return ok && found.Slots == slots
}
