package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"slices"

	"cicadarouter/contract/caller"
	"cicadarouter/standin"
)

// Violation is a violation of a guarantee.
type Violation struct {
	Guarantee string `json:"promise"`
	Detail    string `json:"detail"`
}

// The system's guarantees. All but the last are checked.
const (
	GuaranteeOnce    = "a non-idempotent request runs at most once"
	GuaranteeNotRun  = "a request that was told not run did not run"
	GuaranteeDone    = "a request that was told done ran"
	GuaranteeAnswer  = "every caller gets the whole answer to its own request"
	GuaranteeOwner   = "a key has at most one owning server at any moment"
	GuaranteeOutcome = "every answer tells an outcome"
)

// fetchRuns reads from the fleets which requests took effect on the servers.
func (r *Runner) fetchRuns() ([]standin.Run, error) {
	var runs []standin.Run
	for _, fleet := range r.experiment.Fleets {
		response, err := r.client.Get("http://" + fleet + "/standin/runs")
		if err != nil {
			return nil, err
		}
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			var run standin.Run
			if err := json.Unmarshal(scanner.Bytes(), &run); err != nil {
				_ = response.Body.Close()
				return nil, err
			}
			runs = append(runs, run)
		}
		_ = response.Body.Close()
	}
	return runs, nil
}

// CheckGuarantees checks the outcomes that callers got against the requests that took effect on the
// servers, and returns all violations.
func CheckGuarantees(results []Result, runs []standin.Run) []Violation {
	count := map[string]int{}
	for _, run := range runs {
		count[run.ID]++
	}
	var found []Violation
	for _, result := range results {
		found = append(found, checkResult(result, count[result.ID])...)
	}
	return append(found, checkOwners(results, runs)...)
}

func checkResult(result Result, runCount int) []Violation {
	var found []Violation
	add := func(promise string) {
		detail := fmt.Sprintf("request %s (key %q, writes %t) ran %d times, was told %v", result.ID, result.Key, result.Writes, runCount, result.Outcomes)
		found = append(found, Violation{Guarantee: promise, Detail: detail})
	}
	if result.Writes && runCount > 1 {
		add(GuaranteeOnce)
	}
	if slices.Contains(result.Outcomes, caller.NotRun) && runCount > 0 {
		add(GuaranteeNotRun)
	}
	if result.Done() && runCount == 0 {
		add(GuaranteeDone)
	}
	if result.WrongRequest || result.Partial {
		add(GuaranteeAnswer)
	}
	return found
}

// checkOwners checks that the fencing tokens under which a key's requests ran never
// decrease, and that no two servers use the same token in succession. The fake servers share
// one clock, so their times can be compared.
func checkOwners(results []Result, runs []standin.Run) []Violation {
	service := map[string]string{}
	for _, result := range results {
		service[result.ID] = result.Service
	}
	slices.SortStableFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	last := map[string]standin.Run{}
	var found []Violation
	for _, run := range runs {
		if run.Token == 0 {
			continue
		}
		key := service[run.ID] + "/" + run.Key
		before, seen := last[key]
		if seen && (run.Token < before.Token || run.Token == before.Token && run.Server != before.Server) {
			detail := fmt.Sprintf("key %s ran at %s under token %d after %s under token %d", key, run.Server, run.Token, before.Server, before.Token)
			found = append(found, Violation{Guarantee: GuaranteeOwner, Detail: detail})
		}
		last[key] = run
	}
	return found
}
