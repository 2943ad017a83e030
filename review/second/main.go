// Command second runs the scripted cases of the second review: it starts boragehub's own processes with the
// commands of the deploy file, beside stand-ins for the platform's log, for targets and for callers.
//
// It is called from the root of the repository, after the build of the deploy file. Its exit code is 0 if the
// rule of the case held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripted cases by name. Trouble is false if the case runs without its disruption.
var cases = map[string]func(rec *record, trouble bool) error{
	"silent-log":   runSilentLog,
	"late-version": runLateVersion,
	"deadly":       runDeadly,
	"all-crash":    runAllCrash,
	"many-entries": runManyEntries,
	// These are trials, no cases.
	"two-models":      runTwoModels,
	"models-together": runModelsTogether,
}

func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	closeOnSignal()

	os.Exit(run(flag.Arg(0), *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)

		return exitFailed
	}

	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}

	err = c(rec, trouble)

	switch {
	case err == nil:
		rec.add("result: the rule held")
	case errors.Is(err, errBroken):
		rec.add("result: %v", err)
	default:
		rec.add("result: the case couldn't run: %v", err)
	}

	if closeErr := rec.close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, closeErr)

		return exitFailed
	}

	switch {
	case err == nil:
		return exitHeld
	case errors.Is(err, errBroken):
		return exitBroken
	default:
		return exitFailed
	}
}
