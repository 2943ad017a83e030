package publication

import (
	"context"
	"fmt"
	"time"

	"boragehub/failure"
	"boragehub/pause"
	"boragehub/setting"
)

// Change is a change that an operator publishes.
type Change struct {
	// ID is the unique id of the change.
	ID string
	// BaseVersion is the version that the operator edited; 0 if none was published yet.
	BaseVersion uint64
	// Author is the name of the operator.
	Author string
	// Note is a description of the change; may be empty.
	Note string
	// Name is the file name for error messages.
	Name string
	// Text is the complete new tree.
	Text []byte
	// Recover publishes although the log no longer keeps the version in force. If
	// the log does keep it, the change is refused with Conflict.
	Recover bool
}

// PublishConfig configures Publish.
type PublishConfig struct {
	// Log is the log service.
	Log Log
	// Attempts is the maximum number of attempts to append the change; 0 means
	// DefaultAttempts.
	Attempts int
	// Wait is how long one read waits for the change to appear in the log; 0 means
	// DefaultReadWait.
	Wait time.Duration
	// partBytes is the maximum payload of one record; 0 means the constant partBytes.
	// Tests set it.
	partBytes int
}

// Defaults of PublishConfig.
const (
	DefaultAttempts = 4
	DefaultReadWait = 500 * time.Millisecond
)

// ConflictError describes the changes that came before a refused change.
type ConflictError struct {
	// BaseVersion is the version that the operator edited.
	BaseVersion uint64
	// InForce is the version in force, to rebase on.
	InForce uint64
	// Author, Note and At describe the version in force.
	Author string
	Note   string
	At     time.Time
	// Changes are the keys that differ from BaseVersion to InForce; nil if the log
	// no longer keeps BaseVersion, or this release can't parse one of the texts.
	Changes []setting.Change
	// Text is the text of InForce.
	Text []byte
	// BaseText is the text of BaseVersion; nil if the log no longer keeps it.
	BaseText []byte
}

// Error returns the message.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s is in force, the change was based on %d", e.InForce, e.Author, e.BaseVersion)
}

// Publish appends c to the log and returns its version once the order of the log
// has brought it into force. Errors: BadSettings; Conflict with a *ConflictError;
// Unavailable if the log no longer keeps the version in force; LogUnavailable if
// the log can't be read before the append, so that nothing was published;
// OutcomeUnknown if the log failed later, so that the change may still come into
// force; Internal if the change is damaged in the log.
func Publish(ctx context.Context, cfg PublishConfig, c Change) (uint64, error) {
	if cfg.Attempts <= 0 {
		cfg.Attempts = DefaultAttempts
	}

	if cfg.Wait <= 0 {
		cfg.Wait = DefaultReadWait
	}

	if cfg.partBytes <= 0 {
		cfg.partBytes = partBytes
	}

	if _, err := setting.Parse(c.Name, c.Text); err != nil {
		return 0, err
	}

	p := newPublisher(cfg, c)

	err := p.reader.readToEnd(ctx, 0)
	if c.Recover && failure.KindOf(err) == failure.Unavailable {
		p.change.BaseVersion = p.reader.replica.nextOffset() - 1

		return p.publish(ctx)
	}

	if err != nil {
		return 0, err
	}

	if p.reader.replica.head.version != c.BaseVersion || c.Recover {
		return 0, p.conflict()
	}

	if p.reader.replica.head.hash == setting.HashOf(c.Text) && c.BaseVersion > 0 {
		return c.BaseVersion, nil // the text is unchanged
	}

	return p.publish(ctx)
}

// publisher holds the state of one call of Publish.
type publisher struct {
	cfg    PublishConfig
	change Change
	reader *streamReader
	// decisions are those on the records with the change's id.
	decisions []decision
	basedText []byte
}

func newPublisher(cfg PublishConfig, c Change) *publisher {
	p := &publisher{cfg: cfg, change: c, reader: newStreamReader(cfg.Log)}

	p.reader.onDecision = func(d decision) {
		if d.id == c.ID {
			p.decisions = append(p.decisions, d)
		}
	}
	p.reader.onHead = func(h head) {
		if h.version == c.BaseVersion {
			p.basedText = h.text
		}
	}

	return p
}

// publish appends the change, again if necessary, until its outcome is decided.
func (p *publisher) publish(ctx context.Context) (uint64, error) {
	var base []byte
	if !p.change.Recover {
		base = p.reader.replica.head.text
	}

	payload := encode(newContent(base, p.change.Text))
	hash := setting.HashOf(p.change.Text)

	for attempt := range p.cfg.Attempts {
		// The parts of all attempts are identical, so parts of an earlier attempt
		// that arrive late do no harm.
		rec := record{
			Kind: changeRecord, ID: p.change.ID, Based: p.change.BaseVersion,
			Author: p.change.Author, Note: p.change.Note, Hash: hash[:], Recovers: p.change.Recover,
		}

		p.append(ctx, split(rec, payload, p.cfg.partBytes))

		err := p.awaitDecision(ctx)
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
		"it is unknown whether the change %s took effect, and it may still do so: see ctl config history", p.change.ID)
}

// append appends the parts. It returns no error: reading on shows the outcome.
func (p *publisher) append(ctx context.Context, parts [][]byte) {
	for _, part := range parts {
		if _, err := p.cfg.Log.Append(ctx, Stream, [][]byte{part}); err != nil {
			return
		}
	}
}

// awaitDecision reads on until the outcome is decided, or the change does not
// appear within a wait.
func (p *publisher) awaitDecision(ctx context.Context) error {
	if err := p.reader.readToEnd(ctx, 0); err != nil {
		return err
	}

	if _, done, _ := p.outcome(); done {
		return nil
	}

	return p.reader.readToEnd(ctx, p.cfg.Wait)
}

// outcome returns the version or the error of the change, and whether it is decided.
func (p *publisher) outcome() (uint64, bool, error) {
	conflict := false

	for _, d := range p.decisions {
		switch d.reason {
		case accepted:
			return d.offset, true, nil
		case reasonConflict:
			conflict = true
		case reasonDamaged:
			return 0, true, failure.New(failure.Internal, "the change in the log at offset %d is damaged", d.offset)
		case reasonInterrupted:
		}
	}

	if conflict || p.superseded() {
		return 0, true, p.conflict()
	}

	return 0, false, nil
}

// superseded reports whether the change can no longer be accepted, even if an append
// is still in flight.
func (p *publisher) superseded() bool {
	if p.change.Recover {
		return p.reader.replica.nextOffset() > p.change.BaseVersion+1
	}

	return p.reader.replica.head.version != p.change.BaseVersion
}

// conflict returns the Conflict error with the changes that came before.
func (p *publisher) conflict() error {
	h := p.reader.replica.head
	e := &ConflictError{
		BaseVersion: p.change.BaseVersion, InForce: h.version, Author: h.author, Note: h.note, At: h.at,
		Text: h.text, BaseText: p.basedText,
	}

	if p.basedText != nil || p.change.BaseVersion == 0 {
		e.Changes = changedKeys(p.basedText, h.text)
	}

	return failure.Wrap(failure.Conflict, e, "version %d by %s came first; rebase on it", h.version, h.author)
}

// changedKeys returns the keys that differ; nil if this release can't parse one of
// the texts.
func changedKeys(a, b []byte) []setting.Change {
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
