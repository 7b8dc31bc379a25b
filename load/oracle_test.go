package load_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/caller"
	"cicadarouter/load"
	"cicadarouter/standin"
)

// TestCheckGuarantees checks that each kind of violation is found, and none in a correct run.
func TestCheckGuarantees(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	run := func(id, key, server string, token uint64, ms int) standin.Run {
		return standin.Run{ID: id, Key: key, Server: server, Token: token, At: at(ms)}
	}
	result := func(id string, writes bool, outcomes ...caller.Outcome) load.Result {
		return load.Result{ID: id, Service: "s", Key: "k", Writes: writes, Outcomes: outcomes}
	}
	rows := []struct {
		name    string
		results []load.Result
		runs    []standin.Run
		want    string
	}{
		{"no violation", []load.Result{result("1", true, caller.Done), result("2", true, caller.NotRun)},
			[]standin.Run{run("1", "k", "a", 1, 1)}, ""},
		{"non-idempotent request runs twice", []load.Result{result("1", true, caller.Unknown, caller.Done)},
			[]standin.Run{run("1", "k", "a", 1, 1), run("1", "k", "a", 1, 2)}, load.GuaranteeOnce},
		{"idempotent request runs twice", []load.Result{result("1", false, caller.Done)},
			[]standin.Run{run("1", "k", "a", 1, 1), run("1", "k", "a", 1, 2)}, ""},
		{"outcome is not run, but request ran", []load.Result{result("1", true, caller.NotRun)},
			[]standin.Run{run("1", "k", "a", 1, 1)}, load.GuaranteeNotRun},
		{"outcome is done, but request did not run", []load.Result{result("1", true, caller.Done)}, nil, load.GuaranteeDone},
		{"response to another request", []load.Result{{ID: "1", Outcomes: []caller.Outcome{caller.Done}, WrongRequest: true}},
			[]standin.Run{run("1", "", "a", 0, 1)}, load.GuaranteeAnswer},
		{"token decreases", []load.Result{result("1", true, caller.Done), result("2", true, caller.Done)},
			[]standin.Run{run("1", "k", "a", 2, 1), run("2", "k", "b", 1, 2)}, load.GuaranteeOwner},
		{"two servers use the same token", []load.Result{result("1", true, caller.Done), result("2", true, caller.Done)},
			[]standin.Run{run("1", "k", "a", 2, 1), run("2", "k", "b", 2, 2)}, load.GuaranteeOwner},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			found := load.CheckGuarantees(row.results, row.runs)
			if row.want == "" {
				assert.Equal(t, len(found), 0)
				return
			}
			assert.Assert(t, len(found) > 0)
			assert.Equal(t, found[0].Guarantee, row.want)
		})
	}
}
