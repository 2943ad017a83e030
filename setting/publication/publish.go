package publication

import (
	"context"
	"fmt"
	"time"

	"boragehub/failure"
	"boragehub/pause"
	"boragehub/setting"
)

// Change is what an operator publishes.
type Change struct {
	// ID is unique to the change.
	ID string
	// Based is the version that the operator started from; zero when none was published yet.
	Based uint64
	// Author is the operator.
	Author string
	// Note says why; may be empty.
	Note string
	// Name is the file that errors name.
	Name string
	// Text is the whole tree as it is to be.
	Text []byte
	// Recover publishes although the log no longer tells what is in force.
	// Where it does tell, the change is refused with Conflict.
	Recover bool
}

// PublishConfig says how Publish reaches the log.
type PublishConfig struct {
	// Log is the log service.
	Log Log
	// Attempts is how often an append is tried; zero is DefaultAttempts.
	Attempts int
	// Wait is how long one read waits for the change to show; zero is DefaultShowWait.
	Wait time.Duration
	// partBytes bounds one record; zero is the package's bound. Tests set it.
	partBytes int
}

// Defaults of PublishConfig.
const (
	DefaultAttempts = 4
	DefaultShowWait = 500 * time.Millisecond
)

// ConflictError tells an operator what came between.
type ConflictError struct {
	// Based is the version that the operator started from.
	Based uint64
	// InForce is the version to rebase on.
	InForce uint64
	// Author, Note and At are those of the version in force.
	Author string
	Note   string
	At     time.Time
	// Changes are the keys that differ from Based to InForce; nil when the log
	// no longer keeps Based.
	Changes []setting.Change
	// Text is the text in force.
	Text []byte
	// BasedText is the text of Based; nil when the log no longer keeps it.
	BasedText []byte
}

// Error returns the message.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s is in force, the change was based on %d", e.InForce, e.Author, e.Based)
}

// Publish puts c into the log and returns its version once it is in force by
// the log's order. Errors: BadSettings; Conflict with a *ConflictError;
// LogUnavailable when nothing was published; OutcomeUnknown when the log went
// away before it told, so that the change may still come into force.
func Publish(ctx context.Context, cfg PublishConfig, c Change) (uint64, error) {
	if cfg.Attempts <= 0 {
		cfg.Attempts = DefaultAttempts
	}

	if cfg.Wait <= 0 {
		cfg.Wait = DefaultShowWait
	}

	if cfg.partBytes <= 0 {
		cfg.partBytes = partBytes
	}

	if _, err := setting.Parse(c.Name, c.Text); err != nil {
		return 0, err
	}

	p := newPublisher(cfg, c)

	err := p.reader.catchUp(ctx, 0)
	if c.Recover && failure.KindOf(err) == failure.Unavailable {
		p.change.Based = p.reader.replica.from() - 1

		return p.publish(ctx)
	}

	if err != nil {
		return 0, err
	}

	if p.reader.replica.head.version != c.Based || c.Recover {
		return 0, p.conflict()
	}

	if p.reader.replica.head.hash == setting.HashOf(c.Text) && c.Based > 0 {
		return c.Based, nil // nothing changes
	}

	return p.publish(ctx)
}

// publisher is one try to publish.
type publisher struct {
	cfg    PublishConfig
	change Change
	reader *history
	// verdicts are those of the records that bear the change's id.
	verdicts  []verdict
	basedText []byte
}

func newPublisher(cfg PublishConfig, c Change) *publisher {
	p := &publisher{cfg: cfg, change: c, reader: newHistory(cfg.Log)}

	p.reader.seen = func(v verdict) {
		if v.id == c.ID {
			p.verdicts = append(p.verdicts, v)
		}
	}
	p.reader.advanced = func(h head) {
		if h.version == c.Based {
			p.basedText = h.text
		}
	}

	return p
}

// publish appends until the log's order has decided.
func (p *publisher) publish(ctx context.Context) (uint64, error) {
	var base []byte
	if !p.change.Recover {
		base = p.reader.replica.head.text
	}

	payload := encode(newContent(base, p.change.Text))
	hash := setting.HashOf(p.change.Text)

	for attempt := range p.cfg.Attempts {
		// Sent again, the parts are the same to the byte, so it does no harm when
		// late ones of an earlier attempt mix with them.
		one := record{
			Kind: changeRecord, ID: p.change.ID, Based: p.change.Based,
			Author: p.change.Author, Note: p.change.Note, Hash: hash[:], Recovers: p.change.Recover,
		}

		p.append(ctx, split(one, payload, p.cfg.partBytes))

		err := p.settle(ctx)
		if version, done, outcome := p.outcome(); done {
			return version, outcome
		}

		if ctx.Err() != nil {
			break
		}

		if err != nil {
			pause.For(ctx, p.cfg.Wait<<attempt)
		}
	}

	return 0, failure.New(failure.OutcomeUnknown,
		"the log did not tell whether the change %s took effect; it may still do so: see ctl config history", p.change.ID)
}

// append writes the parts; what came of it is told by reading on.
func (p *publisher) append(ctx context.Context, parts [][]byte) {
	for _, part := range parts {
		if _, err := p.cfg.Log.Append(ctx, Stream, [][]byte{part}); err != nil {
			return
		}
	}
}

// settle reads on until the change has been decided or doesn't show.
func (p *publisher) settle(ctx context.Context) error {
	if err := p.reader.catchUp(ctx, 0); err != nil {
		return err
	}

	if _, done, _ := p.outcome(); done {
		return nil
	}

	return p.reader.catchUp(ctx, p.cfg.Wait)
}

// outcome returns what the log's order decided, if it has.
func (p *publisher) outcome() (uint64, bool, error) {
	conflict := false

	for _, v := range p.verdicts {
		switch v.reason {
		case accepted:
			return v.offset, true, nil
		case reasonConflict:
			conflict = true
		case reasonDamaged:
			return 0, true, failure.New(failure.Internal, "the change arrived damaged in the log at offset %d", v.offset)
		case reasonInterrupted:
		}
	}

	if conflict || p.passed() {
		return 0, true, p.conflict()
	}

	return 0, false, nil
}

// passed says that the change can't be accepted any more, also if it is still
// under way.
func (p *publisher) passed() bool {
	if p.change.Recover {
		return p.reader.replica.from() > p.change.Based+1
	}

	return p.reader.replica.head.version != p.change.Based
}

// conflict returns what came between.
func (p *publisher) conflict() error {
	h := p.reader.replica.head
	e := &ConflictError{
		Based: p.change.Based, InForce: h.version, Author: h.author, Note: h.note, At: h.at,
		Text: h.text, BasedText: p.basedText,
	}

	if p.basedText != nil || p.change.Based == 0 {
		e.Changes = differences(p.basedText, h.text)
	}

	return failure.Wrap(failure.Conflict, e, "version %d by %s came first; rebase on it", h.version, h.author)
}

// differences returns the keys that differ; nil when a text is from another
// release and can't be read.
func differences(a, b []byte) []setting.Change {
	before, err := setting.Parse("before", a)
	if err != nil {
		return nil
	}

	after, err := setting.Parse("after", b)
	if err != nil {
		return nil
	}

	return setting.Diff(before, after)
}
