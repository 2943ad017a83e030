package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"boragehub/failure"
	"boragehub/setting"
	"boragehub/setting/publication"
)

// PublishOptions are the flags of Publish.
type PublishOptions struct {
	// File is the file with the complete settings to publish.
	File string
	// Based is the version that the file is based on; zero takes it from the version line that
	// Show writes.
	Based uint64
	// Note is the reason, shown in the history.
	Note string
	// Rebase merges the file's changes into versions that others published since Based, if the
	// changes touch different lines.
	Rebase bool
	// Recover publishes although the log no longer keeps the settings in force.
	Recover bool
	// Wait is the maximum wait until the version is in force everywhere; zero doesn't wait.
	Wait time.Duration
}

// PublishResult is the JSON output of Publish.
type PublishResult struct {
	// Version is the published version, which is in force.
	Version uint64 `json:"version"`
	// Rebased means that changes of other operators were merged.
	Rebased bool `json:"rebased"`
}

// maxRebases limits the attempts of one Publish when other operators publish first.
const maxRebases = 5

// Publish publishes a file. If another operator published first, it writes what they changed
// and how to resolve the conflict. Errors: BadSettings, Conflict, LogUnavailable and
// OutcomeUnknown.
func (c *ConfigCommands) Publish(ctx context.Context, o PublishOptions) error {
	text, err := readSettingsFile(o.File)
	if err != nil {
		return err
	}

	// Parsed with the version line, so that faults have the file's line numbers.
	if _, err := setting.Parse(o.File, text); err != nil {
		return c.reportRefusal(o, err)
	}

	text, based := cutVersionLine(text)
	if o.Based > 0 {
		based = o.Based
	}

	change := publication.Change{
		ID: uuid.NewString(), BaseVersion: based, Author: c.cfg.Author, Note: o.Note, Name: o.File,
		Text: text, Recover: o.Recover,
	}

	version, rebased, err := c.publishOrRebase(ctx, change, o.Rebase)
	if err != nil {
		return c.reportRefusal(o, err)
	}

	if err := c.writePublished(version, rebased); err != nil {
		return err
	}

	if o.Wait > 0 {
		return c.Wait(ctx, version, o.Wait)
	}

	return nil
}

// publishOrRebase publishes a change. If rebase is set, it rebases the change on versions that
// others published first, and reports whether it did.
func (c *ConfigCommands) publishOrRebase(ctx context.Context, change publication.Change, rebase bool) (uint64, bool, error) {
	rebased := false

	for range maxRebases {
		version, err := publication.Publish(ctx, publication.PublishConfig{Log: c.cfg.Log}, change)

		var conflict *publication.ConflictError
		if !rebase || !errors.As(err, &conflict) || conflict.BaseText == nil {
			return version, rebased, err
		}

		text, rebaseErr := publication.Rebase(conflict.BaseText, change.Text, conflict.Text)
		if rebaseErr != nil {
			return 0, false, err // the conflict has more details than the failed rebase
		}

		change.Text = text
		change.BaseVersion = conflict.InForce
		change.ID = uuid.NewString()
		rebased = true
	}

	return 0, false, failure.New(failure.Conflict, "other operators published first in each of %d attempts", maxRebases)
}

func (c *ConfigCommands) writePublished(version uint64, rebased bool) error {
	if c.cfg.Terminal.JSON {
		return c.cfg.Terminal.writeJSON(PublishResult{version, rebased})
	}

	_, err := fmt.Fprintf(c.cfg.Terminal.Out, "published as version %d\n", version)

	return err
}

// reportRefusal writes why a file was not published: its faults, or the conflicting changes and
// how to resolve the conflict. It returns err.
func (c *ConfigCommands) reportRefusal(o PublishOptions, err error) error {
	var conflict *publication.ConflictError
	if !errors.As(err, &conflict) {
		if setting.ProblemsOf(err) != nil {
			return c.writeFaults(o.File, err)
		}

		return err
	}

	t := c.cfg.Terminal
	t.writeMessage("not published: version %d by %s (%s) was published first; the file is based on %d.",
		conflict.InForce, conflict.Author, conflict.At.UTC().Format(time.RFC3339), conflict.BaseVersion)

	if conflict.Note != "" {
		t.writeMessage("note of that version: %s", conflict.Note)
	}

	if conflict.BaseText == nil && conflict.BaseVersion > 0 {
		t.writeMessage("the log no longer keeps version %d, so the changes since then are unknown.", conflict.BaseVersion)
	}

	t.writeMessage("To resolve: boragehub ctl config publish --rebase %s, or, if both change the same lines,\n"+
		"boragehub ctl config show > theirs.toml, apply your changes to it, publish theirs.toml.", o.File)

	if failed := c.writeChanges(conflict.Changes); failed != nil {
		return failed
	}

	return err
}
