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
	// File is the whole tree as it is to be.
	File string
	// Based is the version that the file was made from; zero takes it from the
	// first line that Show writes.
	Based uint64
	// Note says why.
	Note string
	// Rebase publishes the file's own changes on what came between, when both
	// touch different lines.
	Rebase bool
	// Recover publishes although the log forgot what is in force.
	Recover bool
	// Wait waits until the version is in force everywhere; zero doesn't wait.
	Wait time.Duration
}

// Published is the JSON answer of Publish.
type Published struct {
	// Version is the version in force.
	Version uint64 `json:"version"`
	// Rebased says that another's change was taken in.
	Rebased bool `json:"rebased"`
}

// maxRebases bounds how often Publish gives way to others.
const maxRebases = 5

// Publish publishes a file. When another operator came first it tells what they
// changed and how to go on.
func (c *Config) Publish(ctx context.Context, o PublishOptions) error {
	text, err := read(o.File)
	if err != nil {
		return err
	}

	// Before the mark is taken off, so that faults are told at the file's own lines.
	if _, err := setting.Parse(o.File, text); err != nil {
		return c.refused(o, err)
	}

	text, based := unmarked(text)
	if o.Based > 0 {
		based = o.Based
	}

	change := publication.Change{
		ID: uuid.NewString(), Based: based, Author: c.cfg.Author, Note: o.Note, Name: o.File,
		Text: text, Recover: o.Recover,
	}

	version, rebased, err := c.publish(ctx, change, o.Rebase)
	if err != nil {
		return c.refused(o, err)
	}

	if err := c.published(version, rebased); err != nil {
		return err
	}

	if o.Wait > 0 {
		return c.Wait(ctx, version, o.Wait)
	}

	return nil
}

// publish publishes, and gives way to others when it may.
func (c *Config) publish(ctx context.Context, change publication.Change, rebase bool) (uint64, bool, error) {
	rebased := false

	for range maxRebases {
		version, err := publication.Publish(ctx, publication.PublishConfig{Log: c.cfg.Log}, change)

		var conflict *publication.ConflictError
		if !rebase || !errors.As(err, &conflict) || conflict.BasedText == nil {
			return version, rebased, err
		}

		text, failed := publication.Rebase(conflict.BasedText, change.Text, conflict.Text)
		if failed != nil {
			return 0, false, err // the first conflict tells the operator more
		}

		change.Text = text
		change.Based = conflict.InForce
		change.ID = uuid.NewString()
		rebased = true
	}

	return 0, false, failure.New(failure.Conflict, "others published %d times meanwhile", maxRebases)
}

func (c *Config) published(version uint64, rebased bool) error {
	if c.cfg.Terminal.JSON {
		return c.cfg.Terminal.json(Published{version, rebased})
	}

	_, err := fmt.Fprintf(c.cfg.Terminal.Out, "published as version %d\n", version)

	return err
}

// refused tells an operator what came between and how to go on.
func (c *Config) refused(o PublishOptions, err error) error {
	var conflict *publication.ConflictError
	if !errors.As(err, &conflict) {
		if setting.ProblemsOf(err) != nil {
			return c.faults(o.File, err)
		}

		return err
	}

	t := c.cfg.Terminal
	t.say("not published: version %d by %s (%s) came first; yours was based on %d.",
		conflict.InForce, conflict.Author, conflict.At.UTC().Format(time.RFC3339), conflict.Based)

	if conflict.Note != "" {
		t.say("their note: %s", conflict.Note)
	}

	if conflict.BasedText == nil && conflict.Based > 0 {
		t.say("the log no longer keeps version %d, so what changed since can't be told.", conflict.Based)
	}

	t.say("To go on: boragehub ctl config publish --rebase %s, or, where both touch the same lines,\n"+
		"boragehub ctl config show > theirs.toml, put your changes in, publish theirs.toml.", o.File)

	if failed := c.changes(conflict.Changes); failed != nil {
		return failed
	}

	return err
}
