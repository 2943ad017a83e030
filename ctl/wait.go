package ctl

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"boragehub/failure"
)

// WaitResult is the JSON output of Wait.
type WaitResult struct {
	// Version is the version that was waited for.
	Version uint64 `json:"version"`
	// Processes is the number of listed processes.
	Processes int `json:"processes"`
	// Missing are the processes that lack the version, or didn't respond.
	Missing []ProcessVersion `json:"missing"`
}

// Wait polls the fleet until a version, or the version in force for zero, is in force at all
// processes, or a newer one is. After timeout it writes the processes that lack it and returns
// an error with the exit status ExitMissing.
func (c *ConfigCommands) Wait(ctx context.Context, version uint64, timeout time.Duration) error {
	if version == 0 {
		var err error
		if version, _, err = c.versionText(ctx, 0); err != nil {
			return err
		}
	}

	deadline := time.NewTimer(timeout)
	defer deadline.Stop()

	for {
		w, err := c.findMissing(ctx, version)
		if err != nil {
			return err
		}

		if len(w.Missing) == 0 {
			return c.writeWaitResult(w)
		}

		c.cfg.Terminal.writeMessage("version %d: %d of %d processes", version, w.Processes-len(w.Missing), w.Processes)

		select {
		case <-time.After(c.cfg.PollInterval):
		case <-deadline.C:
			return errors.Join(c.writeWaitResult(w), errMissing)
		case <-ctx.Done():
			return errors.Join(c.writeWaitResult(w), errMissing)
		}
	}
}

// findMissing polls the fleet once.
func (c *ConfigCommands) findMissing(ctx context.Context, version uint64) (WaitResult, error) {
	if c.cfg.Fleet == nil {
		return WaitResult{}, failure.New(failure.Unavailable, "the fleet is unreachable: ctl has no client for it")
	}

	all, err := c.cfg.Fleet.Versions(ctx)
	if err != nil {
		return WaitResult{}, err
	}

	w := WaitResult{Version: version, Processes: len(all), Missing: []ProcessVersion{}}

	for _, process := range all {
		if process.Version < version {
			w.Missing = append(w.Missing, process)
		}
	}

	return w, nil
}

func (c *ConfigCommands) writeWaitResult(w WaitResult) error {
	if len(w.Missing) == 0 && !c.cfg.Terminal.JSON {
		_, err := fmt.Fprintf(c.cfg.Terminal.Out, "version %d is in force at all %d processes\n", w.Version, w.Processes)

		return err
	}

	rows := make([][]string, 0, len(w.Missing))
	for _, process := range w.Missing {
		rows = append(rows, []string{process.VM, strconv.FormatUint(process.Version, 10), dashIfEmpty(process.Fault)})
	}

	return c.cfg.Terminal.writeTable(w, []string{"MISSING", "VERSION", "FAULT"}, rows)
}
