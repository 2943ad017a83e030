// Package ctl is what operators do from a shell.
//
// # Model
//
// Each command is a method that writes a table for people, or JSON for scripts,
// and returns an error of a failure kind; Exit turns that into a documented exit
// status. What changes the fleet is a published change of the settings and
// nothing else.
//
// Attach adds the commands to the program's command line; Run carries out the
// one that was chosen:
//
//	menu := ctl.AttachConfig(parent)
//	flaggy.Parse()
//	ran, err := menu.Run(ctx, ctl.ConfigConfig{Log: client, Terminal: terminal})
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"boragehub/failure"
)

// The exit statuses of every command.
const (
	// ExitDone means that the command did what it was asked to.
	ExitDone = 0
	// ExitFailed is any fault that has no status of its own.
	ExitFailed = 1
	// ExitUsage is a wrong command line.
	ExitUsage = 2
	// ExitInvalid means that settings are wrong; file, line and key are told.
	ExitInvalid = 3
	// ExitConflict means that another operator's change came first.
	ExitConflict = 4
	// ExitUnavailable means that the log or the fleet can't be reached; nothing was changed.
	ExitUnavailable = 5
	// ExitUnknown means that a change may have taken effect.
	ExitUnknown = 6
	// ExitDiffers means that a comparison found differences.
	ExitDiffers = 7
	// ExitMissing means that some processes don't have a version in time.
	ExitMissing = 8
)

var (
	// errDiffers ends a comparison that found differences.
	errDiffers = errors.New("they differ")
	// errMissing ends a wait in which not all processes got a version.
	errMissing = errors.New("not in force everywhere")
	// errUsage ends a command whose arguments don't fit.
	errUsage = errors.New("wrong usage")
)

// Exit returns the exit status for what a command returned.
func Exit(err error) int {
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, errDiffers):
		return ExitDiffers
	case errors.Is(err, errMissing):
		return ExitMissing
	case errors.Is(err, errUsage):
		return ExitUsage
	}

	switch failure.KindOf(err) {
	case failure.BadSettings:
		return ExitInvalid
	case failure.Conflict:
		return ExitConflict
	case failure.LogUnavailable, failure.Unavailable, failure.NotReady:
		return ExitUnavailable
	case failure.OutcomeUnknown:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// Terminal is where a command writes.
type Terminal struct {
	// Out takes results.
	Out io.Writer
	// Err takes progress and what went wrong.
	Err io.Writer
	// JSON writes results as JSON, one value a command.
	JSON bool
}

// table writes rows under a head, or v as JSON.
func (t Terminal) table(v any, head []string, rows [][]string) error {
	if t.JSON {
		return t.json(v)
	}

	w := tabwriter.NewWriter(t.Out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{head}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}

	return w.Flush()
}

func (t Terminal) json(v any) error {
	e := json.NewEncoder(t.Out)
	e.SetIndent("", "  ")

	return e.Encode(v)
}

// say writes a line of progress for people.
func (t Terminal) say(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Err, format+"\n", args...)
}
