// Command trial runs one case of the review: it starts a small deployment of the project's daemon
// against stand-ins of the platform, the minions and the clients, and checks a rule by what these see.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scenarios by name. trouble tells whether the disruption is played.
var cases = map[string]func(rec *record, trouble bool) error{
	"cancel": runCancel,
	"twice":  runTwice,
	"label":  runLabel,
	"entry":  runEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", name, trouble)
	started := time.Now()
	if err := cases[name](rec, trouble); err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	broken := rec.brokenRules()
	fmt.Printf("%s: %d violations in %.0f s\n", name, len(broken), time.Since(started).Seconds())
	for i, b := range broken {
		if i == 5 {
			fmt.Println("...")
			break
		}
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
