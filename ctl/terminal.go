// Package ctl implements the operators' commands.
//
// # Model
//
// Each command is a method that writes a table for people, or JSON for scripts, and returns
// an error of a failure kind; ExitStatus maps that to a documented exit status. Commands change
// the fleet only by publishing settings.
//
// AttachConfig, AttachEdits, AttachFleet and AttachKeys add the commands to the program's
// command line and return menus; the Run method of a menu runs the chosen command:
//
//	menu := ctl.AttachConfig(parent)
//	flaggy.Parse()
//	ran, err := menu.Run(ctx, ctl.ConfigOptions{Log: client, Terminal: terminal})
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
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means any other error.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitInvalid means that settings are invalid; file, line and key of each fault are written.
	ExitInvalid = 3
	// ExitConflict means that another operator published first, or that the change doesn't
	// apply to the settings in force.
	ExitConflict = 4
	// ExitUnavailable means that the log or the fleet is unreachable, or that no settings have
	// been published; nothing was changed.
	ExitUnavailable = 5
	// ExitUnknown means that a change may or may not have taken effect.
	ExitUnknown = 6
	// ExitDiffers means that a comparison found differences.
	ExitDiffers = 7
	// ExitMissing means that some processes didn't have a version in time.
	ExitMissing = 8
)

var (
	// errDiffers is returned by a comparison that found differences.
	errDiffers = errors.New("settings differ")
	// errMissing is returned by a wait after which some processes lack the version.
	errMissing = errors.New("version not in force at all processes")
	// errUsage is wrapped by errors for invalid arguments.
	errUsage = errors.New("invalid usage")
)

// ExitStatus returns the exit status for a command's error; nil is ExitDone.
func ExitStatus(err error) int {
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

// Terminal takes the output of a command.
type Terminal struct {
	// Out takes results.
	Out io.Writer
	// Err takes progress and diagnostics.
	Err io.Writer
	// JSON makes commands write results as JSON, one value per command.
	JSON bool
}

// writeTable writes rows below a head, or v if the output is JSON.
func (t Terminal) writeTable(v any, head []string, rows [][]string) error {
	if t.JSON {
		return t.writeJSON(v)
	}

	w := tabwriter.NewWriter(t.Out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{head}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}

	return w.Flush()
}

func (t Terminal) writeJSON(v any) error {
	e := json.NewEncoder(t.Out)
	e.SetIndent("", "  ")

	return e.Encode(v)
}

// writeMessage writes a line of progress or diagnostics for people.
func (t Terminal) writeMessage(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Err, format+"\n", args...)
}
