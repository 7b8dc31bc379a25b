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

// said returns the news in the response to a request, with the times in seconds at which the
// request was sent and the response arrived.
func said(perSecond float64, sent, heard time.Duration) News[float64] {
	return News[float64]{Value: perSecond, Sent: sent * time.Second, Heard: heard * time.Second}
}

// Guards against losing a limit to a response that was overtaken by a later one.
func TestLedgerTakesNewsInOrder(t *testing.T) {
	for name, test := range map[string]struct {
		news []News[float64]
		want float64
	}{
		"no limit":                  {[]News[float64]{said(0, 1, 2)}, 0},
		"limit":                     {[]News[float64]{said(3, 1, 2)}, 3},
		"limit falls":               {[]News[float64]{said(3, 1, 2), said(1, 1, 3)}, 1},
		"limit rises":               {[]News[float64]{said(3, 1, 2), said(9, 2, 3)}, 9},
		"older value arrives later": {[]News[float64]{said(3, 1, 4), said(9, 2, 3)}, 3},
		"limit ends":                {[]News[float64]{said(3, 1, 2), said(0, 2, 3)}, 0},
		"response without limit to an earlier request": {[]News[float64]{said(3, 1, 4), said(0, 3, 5)}, 3},
		"limit returns":             {[]News[float64]{said(3, 1, 2), said(0, 2, 3), said(3, 3, 4)}, 3},
		"older limit after the end": {[]News[float64]{said(3, 1, 2), said(0, 3, 4), said(3, 1, 3)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var ledger Ledger[float64]
			for _, news := range test.news {
				ledger.Take(first, news)
			}
			assert.Equal(t, ledger.Value(first), test.want)
			assert.Equal(t, ledger.Value(second), 0.0, "another incarnation")
		})
	}
}

// Guards against hosts that disagree permanently because they received the same news in a different
// order: a host that knows of a limit gets no permits from one that does not.
func TestHostsAgreeWhateverTheyHearFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []News[float64]
		for range 3 {
			sent := rapid.IntRange(1, 9).Draw(t, "sent")
			heard := rapid.IntRange(sent, 10).Draw(t, "heard")
			// No two news arrive at exactly the same time.
			at := time.Duration(heard)*time.Second + time.Duration(len(news))
			news = append(news, News[float64]{Value: float64(rapid.IntRange(0, 2).Draw(t, "limit")), Sent: time.Duration(sent) * time.Second, Heard: at})
		}
		limit := func(order ...int) float64 {
			ledger := Ledger[float64]{}
			ledger.Take(first, said(9, 0, 0))
			for _, i := range order {
				ledger.Take(first, news[i])
			}
			return ledger.Value(first)
		}
		assert.Equal(t, limit(0, 1), limit(1, 0))
	})
}

// Hosts send each other only what has changed.
func TestLedgerTellsChanges(t *testing.T) {
	var sender, receiver Ledger[float64]
	assert.Assert(t, sender.Take(first, said(3, 1, 2)))
	assert.Assert(t, !sender.Take(first, said(3, 2, 3)), "the same limit again")
	assert.Assert(t, sender.Take(second, said(5, 1, 2)))
	now := 10 * time.Second
	messages, upTo := sender.Tell(now, 0, 1)
	assert.Equal(t, len(messages), 1)
	rest, all := sender.Tell(now, upTo, 10)
	assert.Equal(t, len(rest), 1)
	assert.Equal(t, all, sender.Changes())
	none, _ := sender.Tell(now, all, 10)
	assert.Equal(t, len(none), 0)
	later := time.Minute // on another host's clock
	for _, each := range append(messages, rest...) {
		assert.Assert(t, receiver.Take(each.Server, each.News(later)))
	}
	assert.Equal(t, receiver.Value(first), 3.0)
	assert.Equal(t, receiver.Value(second), 5.0)
	latest, _ := receiver.Known(first)
	assert.Equal(t, later-latest.Heard, 7*time.Second, "messages preserve the age of news")
}

func TestLedgerIsBounded(t *testing.T) {
	var ledger Ledger[float64]
	for i := range 2 * mostServers {
		ledger.Take(fleet.Incarnation{ID: fmt.Sprint(i)}, said(3, 1, 2))
	}
	assert.Equal(t, len(ledger.Values()), mostServers)
	present := func(server fleet.Incarnation) bool { return server.ID == "7" }
	ledger.Retain(2*time.Second+keptFor, present)
	assert.Equal(t, len(ledger.Values()), mostServers, "their servers may be registered again")
	ledger.Retain(3*time.Second+keptFor, present)
	assert.Equal(t, len(ledger.Values()), 1)
	assert.Assert(t, !ledger.Empty())
}
