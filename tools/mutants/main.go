// Command mutants runs mutation tests. It breaks one rule of the code at a time, in a build
// overlay that leaves the source files unchanged, and expects the tests of the package to
// fail. It exits non-zero if a mutant survives.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"cicadarouter/host/program"
)

// stateful has the packages whose tests accept the flags of rapid.
var stateful = map[string]bool{"ownership": true, "dispatch": true, "directory": true, "keyspace": true, "poison": true, "balance": true, "ratelimit": true, "notice": true, "connectivity": true, "admission": true, "internal/nesting": true}

// mutant is a change to the source that breaks one rule.
type mutant struct {
	name string
	file string
	old  string
	new  string
	// pkg is the package whose tests must fail, and run the pattern of the tests to run.
	pkg string
	run string
}

// breaking returns a constructor for the mutants of a package. run is the pattern of the
// tests that must fail.
func breaking(pkg, run string) func(file, name, old, replacement string) mutant {
	return func(file, name, old, replacement string) mutant {
		return mutant{name: pkg + ": " + name, file: pkg + "/" + file, old: old, new: replacement, pkg: pkg, run: run}
	}
}

type options struct {
	Only   string `long:"only" description:"run mutants whose name contains this"`
	Jobs   int    `long:"jobs" default:"4" description:"mutants at a time"`
	Checks int    `long:"checks" default:"3000" description:"cases of each stateful test"`
	Steps  int    `long:"steps" default:"60" description:"actions of each case"`
}

// allMutants returns the mutants of all packages.
func allMutants() []mutant {
	return slices.Concat(ownershipMutants(), pathMutants(), keyspaceMutants(), balanceMutants(), entryMutants(), gatewayMutants(), currencyMutants(), listMutants(), targetMutants(), headMutants(), malformedMutants(), otherReaderMutants(), resetMutants(), writeMutants(), stopMutants(), nestingMutants(), poisonMutants(), limitMutants(), noticeMutants(), eraMutants(), scaleMutants(), linkMutants(), admissionMutants(), priorityMutants(), grantMutants())
}

func main() { os.Exit(run()) }

func run() int {
	var flags options
	if code, done := program.Parse(&flags); done {
		return code
	}
	var selected []mutant
	for _, m := range allMutants() {
		if strings.Contains(m.name, flags.Only) {
			selected = append(selected, m)
		}
	}
	results := runAll(selected, flags)
	survivors := 0
	for i, result := range results {
		fmt.Printf("%-9s %6.1fs  %s\n", result.verdict, result.took.Seconds(), selected[i].name)
		if result.verdict != caught {
			survivors++
			fmt.Print(result.detail)
		}
	}
	fmt.Printf("%d mutants, %d caught\n", len(results), len(results)-survivors)
	if survivors > 0 {
		return program.ExitFailure
	}
	return program.ExitOK
}

func runAll(mutants []mutant, flags options) []result {
	results := make([]result, len(mutants))
	slots := make(chan struct{}, flags.Jobs)
	var running sync.WaitGroup
	for i, m := range mutants {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = testMutant(m, flags)
		})
	}
	running.Wait()
	return results
}

// verdict is the result of testing a mutant. BROKEN means that the mutant could not be
// tested, for example because it does not compile.
type verdict string

const (
	caught   verdict = "caught"
	survived verdict = "SURVIVED"
	broken   verdict = "BROKEN"
)

type result struct {
	verdict verdict
	took    time.Duration
	detail  string
}

// testMutant runs the tests against one mutant.
func testMutant(m mutant, flags options) result {
	began := time.Now()
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return result{verdict: broken, detail: err.Error() + "\n"}
	}
	defer os.RemoveAll(dir)
	overlay, err := writeOverlay(dir, m)
	if err != nil {
		return result{verdict: broken, detail: err.Error() + "\n"}
	}
	args := []string{"test", "-overlay", overlay, "-count=1", "-run", m.run, "./" + m.pkg}
	if stateful[m.pkg] {
		args = append(args, fmt.Sprintf("-rapid.checks=%d", flags.Checks), fmt.Sprintf("-rapid.steps=%d", flags.Steps),
			"-rapid.nofailfile", "-rapid.shrinktime=1ms")
	}
	output, err := exec.Command("go", args...).CombinedOutput()
	took := time.Since(began)
	switch {
	case bytes.Contains(output, []byte("[build failed]")) || bytes.Contains(output, []byte("[setup failed]")):
		return result{verdict: broken, took: took, detail: string(output)}
	case err == nil:
		return result{verdict: survived, took: took}
	case !bytes.Contains(output, []byte("--- FAIL")):
		return result{verdict: broken, took: took, detail: string(output)}
	}
	return result{verdict: caught, took: took}
}

// writeOverlay writes the mutated file and the build overlay that replaces the original
// file with it. It returns the path of the overlay.
func writeOverlay(dir string, m mutant) (string, error) {
	source, err := filepath.Abs(m.file)
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(source)
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(text), m.old); count != 1 {
		return "", fmt.Errorf("%s: the text to replace occurs %d times, not once: %q", m.file, count, m.old)
	}
	const mode = 0o600
	mutated := filepath.Join(dir, "mutated.go")
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(text), m.old, m.new, 1)), mode); err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{source: mutated}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, overlay, mode)
}
