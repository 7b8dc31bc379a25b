package notice

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/fleet"
)

var (
	first  = fleet.Incarnation{ID: "a", Start: 1}
	second = fleet.Incarnation{ID: "a", Start: 2}
)

// limitUpdate returns the update in the response to a request, with the times in seconds at which
// the request was sent and the response arrived.
func limitUpdate(perSecond float64, sent, received time.Duration) Update[float64] {
	return Update[float64]{Value: perSecond, SentAt: sent * time.Second, ReceivedAt: received * time.Second}
}

// Guards against losing a limit to a response that was overtaken by a later one.
func TestLedgerAppliesUpdatesInOrder(t *testing.T) {
	for name, test := range map[string]struct {
		updates []Update[float64]
		want    float64
	}{
		"no limit":                  {[]Update[float64]{limitUpdate(0, 1, 2)}, 0},
		"limit":                     {[]Update[float64]{limitUpdate(3, 1, 2)}, 3},
		"limit falls":               {[]Update[float64]{limitUpdate(3, 1, 2), limitUpdate(1, 1, 3)}, 1},
		"limit rises":               {[]Update[float64]{limitUpdate(3, 1, 2), limitUpdate(9, 2, 3)}, 9},
		"older value arrives later": {[]Update[float64]{limitUpdate(3, 1, 4), limitUpdate(9, 2, 3)}, 3},
		"limit ends":                {[]Update[float64]{limitUpdate(3, 1, 2), limitUpdate(0, 2, 3)}, 0},
		"response without limit to an earlier request": {[]Update[float64]{limitUpdate(3, 1, 4), limitUpdate(0, 3, 5)}, 3},
		"limit returns":             {[]Update[float64]{limitUpdate(3, 1, 2), limitUpdate(0, 2, 3), limitUpdate(3, 3, 4)}, 3},
		"older limit after the end": {[]Update[float64]{limitUpdate(3, 1, 2), limitUpdate(0, 3, 4), limitUpdate(3, 1, 3)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var ledger Ledger[float64]
			for _, update := range test.updates {
				ledger.Apply(first, update)
			}
			assert.Equal(t, ledger.Value(first), test.want)
			assert.Equal(t, ledger.Value(second), 0.0, "another incarnation")
		})
	}
}

// Guards against hosts that disagree permanently because they received the same updates in a
// different order: a host that knows of a limit gets no permits from one that does not.
func TestOrderOfUpdatesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []Update[float64]
		for range 3 {
			sent := rapid.IntRange(1, 9).Draw(t, "sent")
			received := rapid.IntRange(sent, 10).Draw(t, "received")
			// No two updates arrive at exactly the same time.
			at := time.Duration(received)*time.Second + time.Duration(len(updates))
			updates = append(updates, Update[float64]{Value: float64(rapid.IntRange(0, 2).Draw(t, "limit")), SentAt: time.Duration(sent) * time.Second, ReceivedAt: at})
		}
		limit := func(order ...int) float64 {
			ledger := Ledger[float64]{}
			ledger.Apply(first, limitUpdate(9, 0, 0))
			for _, i := range order {
				ledger.Apply(first, updates[i])
			}
			return ledger.Value(first)
		}
		assert.Equal(t, limit(0, 1), limit(1, 0))
	})
}

// Hosts send each other only what has changed.
func TestLedgerReturnsChanges(t *testing.T) {
	var sender, receiver Ledger[float64]
	assert.Assert(t, sender.Apply(first, limitUpdate(3, 1, 2)))
	assert.Assert(t, !sender.Apply(first, limitUpdate(3, 2, 3)), "the same limit again")
	assert.Assert(t, sender.Apply(second, limitUpdate(5, 1, 2)))
	now := 10 * time.Second
	messages, upTo := sender.ChangesSince(now, 0, 1)
	assert.Equal(t, len(messages), 1)
	rest, all := sender.ChangesSince(now, upTo, 10)
	assert.Equal(t, len(rest), 1)
	assert.Equal(t, all, sender.ChangeCount())
	none, _ := sender.ChangesSince(now, all, 10)
	assert.Equal(t, len(none), 0)
	later := time.Minute // on another host's clock
	for _, each := range append(messages, rest...) {
		assert.Assert(t, receiver.Apply(each.Server, each.ToUpdate(later)))
	}
	assert.Equal(t, receiver.Value(first), 3.0)
	assert.Equal(t, receiver.Value(second), 5.0)
	latest, _ := receiver.Latest(first)
	assert.Equal(t, later-latest.ReceivedAt, 7*time.Second, "messages preserve the age of updates")
}

func TestLedgerIsBounded(t *testing.T) {
	var ledger Ledger[float64]
	for i := range 2 * maxServers {
		ledger.Apply(fleet.Incarnation{ID: fmt.Sprint(i)}, limitUpdate(3, 1, 2))
	}
	assert.Equal(t, len(ledger.Values()), maxServers)
	present := func(server fleet.Incarnation) bool { return server.ID == "7" }
	ledger.RemoveStale(2*time.Second+staleAfter, present)
	assert.Equal(t, len(ledger.Values()), maxServers, "their servers may be registered again")
	ledger.RemoveStale(3*time.Second+staleAfter, present)
	assert.Equal(t, len(ledger.Values()), 1)
	assert.Assert(t, !ledger.Empty())
}
