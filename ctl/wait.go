package ctl

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"boragehub/failure"
)

// Waited is the JSON answer of Wait.
type Waited struct {
	// Version is what was waited for.
	Version uint64 `json:"version"`
	// Processes is how many are live.
	Processes int `json:"processes"`
	// Missing are those without the version.
	Missing []ProcessVersion `json:"missing"`
}

// Wait waits until a version, or the newest for zero, is in force everywhere.
// It tells who is missing.
func (c *Config) Wait(ctx context.Context, version uint64, most time.Duration) error {
	if version == 0 {
		var err error
		if version, _, err = c.text(ctx, 0); err != nil {
			return err
		}
	}

	deadline := time.NewTimer(most)
	defer deadline.Stop()

	for {
		w, err := c.missing(ctx, version)
		if err != nil {
			return err
		}

		if len(w.Missing) == 0 {
			return c.waited(w)
		}

		c.cfg.Terminal.say("version %d: %d of %d processes", version, w.Processes-len(w.Missing), w.Processes)

		select {
		case <-time.After(c.cfg.Pause):
		case <-deadline.C:
			return errors.Join(c.waited(w), errMissing)
		case <-ctx.Done():
			return errors.Join(c.waited(w), errMissing)
		}
	}
}

// missing asks the fleet once.
func (c *Config) missing(ctx context.Context, version uint64) (Waited, error) {
	if c.cfg.Fleet == nil {
		return Waited{}, failure.New(failure.Unavailable, "the fleet can't be asked from here")
	}

	all, err := c.cfg.Fleet.Versions(ctx)
	if err != nil {
		return Waited{}, err
	}

	w := Waited{Version: version, Processes: len(all), Missing: []ProcessVersion{}}

	for _, one := range all {
		if one.Version < version {
			w.Missing = append(w.Missing, one)
		}
	}

	return w, nil
}

func (c *Config) waited(w Waited) error {
	if len(w.Missing) == 0 && !c.cfg.Terminal.JSON {
		_, err := fmt.Fprintf(c.cfg.Terminal.Out, "version %d is in force at all %d processes\n", w.Version, w.Processes)

		return err
	}

	rows := make([][]string, 0, len(w.Missing))
	for _, one := range w.Missing {
		rows = append(rows, []string{one.VM, strconv.FormatUint(one.Version, 10), dash(one.Fault)})
	}

	return c.cfg.Terminal.table(w, []string{"MISSING", "VERSION", "FAULT"}, rows)
}
