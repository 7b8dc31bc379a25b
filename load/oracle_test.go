package load_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/caller"
	"cicadarouter/load"
	"cicadarouter/standin"
)

// TestJudge: the oracle of the runs finds each kind of broken promise, and
// nothing in a run that kept all.
func TestJudge(t *testing.T) {
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
		{"kept", []load.Result{result("1", true, caller.Done), result("2", true, caller.NotRun)},
			[]standin.Run{run("1", "k", "a", 1, 1)}, ""},
		{"ran twice", []load.Result{result("1", true, caller.Unknown, caller.Done)},
			[]standin.Run{run("1", "k", "a", 1, 1), run("1", "k", "a", 1, 2)}, load.PromiseOnce},
		{"an idempotent one may run twice", []load.Result{result("1", false, caller.Done)},
			[]standin.Run{run("1", "k", "a", 1, 1), run("1", "k", "a", 1, 2)}, ""},
		{"not run, but ran", []load.Result{result("1", true, caller.NotRun)},
			[]standin.Run{run("1", "k", "a", 1, 1)}, load.PromiseNotRun},
		{"done, but did not run", []load.Result{result("1", true, caller.Done)}, nil, load.PromiseDone},
		{"a stranger's answer", []load.Result{{ID: "1", Outcomes: []caller.Outcome{caller.Done}, Foreign: true}},
			[]standin.Run{run("1", "", "a", 0, 1)}, load.PromiseAnswer},
		{"an older token later", []load.Result{result("1", true, caller.Done), result("2", true, caller.Done)},
			[]standin.Run{run("1", "k", "a", 2, 1), run("2", "k", "b", 1, 2)}, load.PromiseOwner},
		{"one token at two servers", []load.Result{result("1", true, caller.Done), result("2", true, caller.Done)},
			[]standin.Run{run("1", "k", "a", 2, 1), run("2", "k", "b", 2, 2)}, load.PromiseOwner},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			found := load.Judge(row.results, row.runs)
			if row.want == "" {
				assert.Equal(t, len(found), 0)
				return
			}
			assert.Assert(t, len(found) > 0)
			assert.Equal(t, found[0].Promise, row.want)
		})
	}
}
