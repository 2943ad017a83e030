//go:build review

// The harness starts small deployments of boragehub on loopback addresses with stand-ins for the platform, its engines
// and its clients, and plays the cases of this review. It exits with 0 if the rule of the case held, with 1 if it was
// broken and with 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	held = iota
	broken
	failed
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// errSetup is returned by a case that couldn't run.
var errSetup = errors.New("the case could not run")

// testCase plays a case, with its disruption if trouble is set. It reports whether the rule was broken.
type testCase func(root, dir string, rec *record, trouble bool) (ruleBroken bool, err error)

var cases = map[string]testCase{
	"shared-part":  sharedPart,
	"two-models":   twoModels,
	"deadly":       deadlyRequest,
	"deadly-query": deadlyQuery,
	"isolated":     isolated,
	"same-call":    sameCall,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE ROOT RECORD")

		return failed
	}

	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)

		return failed
	}
	defer rec.close()

	dir, err := os.MkdirTemp("", "boragehub-review-")
	if err != nil {
		fmt.Println(err)

		return failed
	}

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)

	type result struct {
		broken bool
		err    error
	}

	results := make(chan result, 1)

	go func() {
		b, err := cases[os.Args[1]](os.Args[2], dir, rec, os.Getenv("TROUBLE") != "0")
		results <- result{b, err}
	}()

	end := func() int {
		if f := running.Load(); f != nil {
			f.close()
		}

		return failed
	}

	select {
	case <-signals:
		return end()
	case <-time.After(maxDuration):
		return end()
	case r := <-results:
		switch {
		case r.err != nil:
			rec.show("%v", r.err)

			return failed
		case r.broken:
			return broken
		default:
			return held
		}
	}
}

// running is the fleet of the present case, which ends with the harness.
var running atomic.Pointer[fleet]
