// Command standin plays the cases of the review: it starts cicada-gateway processes, stands in for
// the platform, the upstreams and the clients, and checks one rule from what they see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// verdict is the result of a case: what broke the rule, if anything did.
type verdict struct {
	broken  bool
	summary string
}

// cases are the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"truncated": playTruncated,
	"repeated":  playRepeated,
	"left":      playLeft,
	"owner":     playOwner,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		return exitCannotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	r.line("%s", result.summary)
	fmt.Println(result.summary)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}
