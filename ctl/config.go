package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"boragehub/failure"
	"boragehub/organisation"
	"boragehub/setting"
	"boragehub/setting/publication"
)

// ProcessVersion is the version of the settings at one process.
type ProcessVersion struct {
	// VM is the name of the process's VM.
	VM string `json:"vm"`
	// Version is what is in force there; zero when it has none or didn't answer.
	Version uint64 `json:"version"`
	// Fault says why it didn't answer; empty when it did.
	Fault string `json:"fault,omitempty"`
}

// Fleet asks all live processes for their version of the settings.
type Fleet interface {
	Versions(ctx context.Context) ([]ProcessVersion, error)
}

// ConfigConfig says what the commands for settings work on.
type ConfigConfig struct {
	// Terminal is where they write.
	Terminal Terminal
	// Log is the log service; commands that only read files need none.
	Log publication.Log
	// Fleet is asked by Wait.
	Fleet Fleet
	// Author is the operator's name in the history.
	Author string
	// Pause is the time between two questions to the fleet; zero is DefaultPause.
	Pause time.Duration
}

// DefaultPause is the time between two questions to the fleet while waiting.
const DefaultPause = time.Second

// Config carries out the commands for settings.
type Config struct {
	cfg ConfigConfig
}

// NewConfig returns the commands for settings.
func NewConfig(cfg ConfigConfig) *Config {
	if cfg.Pause <= 0 {
		cfg.Pause = DefaultPause
	}

	return &Config{cfg: cfg}
}

// versionLine is how Show marks a text with the version that it is, so that
// Publish knows what the edited file was based on.
var versionLine = regexp.MustCompile(`^# boragehub settings, version ([0-9]+)\n`)

func marked(version uint64, text []byte) []byte {
	return append(fmt.Appendf(nil, "# boragehub settings, version %d\n", version), text...)
}

// unmarked returns the text without its mark, and the version in it.
func unmarked(text []byte) ([]byte, uint64) {
	m := versionLine.FindSubmatch(text)
	if m == nil {
		return text, 0
	}

	version, err := strconv.ParseUint(string(m[1]), 10, 64)
	if err != nil {
		return text, 0
	}

	return text[len(m[0]):], version
}

// read returns the text of a settings file.
func read(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "the file can't be read")
	}

	return b, nil
}

// Check checks a file and tells every fault with file, line and key.
func (c *Config) Check(file string) error {
	text, err := read(file)
	if err != nil {
		return err
	}

	_, err = setting.Parse(file, text)

	return c.faults(file, err)
}

// faults writes the faults of a file as a table.
func (c *Config) faults(file string, err error) error {
	problems := setting.ProblemsOf(err)

	if err == nil && !c.cfg.Terminal.JSON {
		c.cfg.Terminal.say("%s: no faults", file)

		return nil
	}

	if err != nil && problems == nil {
		return err
	}

	if c.cfg.Terminal.JSON && problems == nil {
		problems = setting.Problems{} // an empty list, not null
	}

	rows := make([][]string, 0, len(problems))
	for _, p := range problems {
		rows = append(rows, []string{fmt.Sprintf("%s:%d", p.File, p.Line), p.Key, p.Text})
	}

	if failed := c.cfg.Terminal.table(problems, []string{"WHERE", "KEY", "FAULT"}, rows); failed != nil {
		return failed
	}

	return err
}

// Diff compares a file with the version in force, or with another file when
// one is named.
func (c *Config) Diff(ctx context.Context, file, other string) error {
	after, err := c.parse(file)
	if err != nil {
		return err
	}

	var before *setting.Tree

	if other != "" {
		before, err = c.parse(other)
	} else {
		before, err = c.inForce(ctx)
	}

	if err != nil {
		return err
	}

	changes := setting.Diff(before, after)

	if err := c.changes(changes); err != nil {
		return err
	}

	if len(changes) > 0 {
		return errDiffers
	}

	return nil
}

func (c *Config) parse(file string) (*setting.Tree, error) {
	text, err := read(file)
	if err != nil {
		return nil, err
	}

	return setting.Parse(file, text)
}

// inForce returns the tree in force; nil when nothing was published yet.
func (c *Config) inForce(ctx context.Context) (*setting.Tree, error) {
	p, _, err := publication.Read(ctx, c.cfg.Log, 1)
	if err != nil || p == nil {
		return nil, err
	}

	return p.Tree(), nil
}

func (c *Config) changes(changes []setting.Change) error {
	if changes == nil {
		changes = []setting.Change{}
	}

	rows := make([][]string, 0, len(changes))
	for _, one := range changes {
		rows = append(rows, []string{one.Key, dash(one.Before), dash(one.After)})
	}

	return c.cfg.Terminal.table(changes, []string{"KEY", "BEFORE", "AFTER"}, rows)
}

func dash(s string) string {
	if s == "" {
		return "-"
	}

	return s
}

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

// ShowOptions are the flags of Show.
type ShowOptions struct {
	// Effective is SITE/SERVICE/ORGANISATION/WORKLOAD, of which later parts may
	// be left out; empty shows the whole text.
	Effective string
	// Version shows an older version; zero shows the one in force.
	Version uint64
}

// EffectiveValue is one line of Show with a path.
type EffectiveValue struct {
	// Key is the key in the tree.
	Key string `json:"key"`
	// Value is what is in force.
	Value string `json:"value"`
	// From is the level that names it: a path, root or default.
	From string `json:"from"`
}

// Show writes the text in force, or the values in force for a path and which
// level names each.
func (c *Config) Show(ctx context.Context, o ShowOptions) error {
	version, text, err := c.text(ctx, o.Version)
	if err != nil {
		return err
	}

	if o.Effective == "" {
		_, err := c.cfg.Terminal.Out.Write(marked(version, text))

		return err
	}

	path, err := parsePath(o.Effective)
	if err != nil {
		return err
	}

	tree, err := setting.Parse("settings", text)
	if err != nil {
		return err
	}

	return c.effective(tree, path)
}

// text returns a version's text; that in force for zero.
func (c *Config) text(ctx context.Context, version uint64) (uint64, []byte, error) {
	if version > 0 {
		text, err := publication.TextAt(ctx, c.cfg.Log, version)

		return version, text, err
	}

	version, text, err := publication.Text(ctx, c.cfg.Log)
	if err != nil {
		return 0, nil, err
	}

	if version == 0 {
		return 0, nil, failure.New(failure.NotReady, "nothing was published yet; see ctl config example")
	}

	return version, text, nil
}

// parsePath reads SITE/SERVICE/ORGANISATION/WORKLOAD.
func parsePath(s string) (setting.Path, error) {
	const levels = 4

	parts := strings.Split(s, "/")
	if len(parts) > levels {
		return setting.Path{}, fmt.Errorf("%w: %q has more levels than SITE/SERVICE/ORGANISATION/WORKLOAD", errUsage, s)
	}

	parts = append(parts, make([]string, levels-len(parts))...)

	return setting.Path{Site: parts[0], Service: parts[1], Organisation: parts[2], Workload: parts[3]}, nil
}

func (c *Config) effective(tree *setting.Tree, path setting.Path) error {
	v := reflect.ValueOf(tree.Effective(path))
	keys := setting.Keys()
	values := make([]EffectiveValue, 0, len(keys))
	rows := make([][]string, 0, len(keys))

	for i, key := range keys {
		one := EffectiveValue{key, fmt.Sprint(v.Field(i).Interface()), tree.Source(path, key)}
		values = append(values, one)
		rows = append(rows, []string{one.Key, one.Value, one.From})
	}

	return c.cfg.Terminal.table(values, []string{"KEY", "VALUE", "FROM"}, rows)
}

// History writes the newest most changes, also those that were refused.
func (c *Config) History(ctx context.Context, most int) error {
	_, entries, err := publication.Read(ctx, c.cfg.Log, most)
	if err != nil && failure.KindOf(err) != failure.BadSettings { // the newest may be of another release
		return err
	}

	if entries == nil {
		entries = []publication.Entry{}
	}

	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, []string{
			strconv.FormatUint(e.Offset, 10), e.Reason, strconv.FormatUint(e.Based, 10),
			e.At.UTC().Format(time.RFC3339), dash(e.Author), dash(e.Note),
		})
	}

	return c.cfg.Terminal.table(entries, []string{"VERSION", "RESULT", "BASED", "AT", "AUTHOR", "NOTE"}, rows)
}

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

// Example writes a tree of a small deployment to start from.
func (c *Config) Example() error {
	_, err := bytes.NewBufferString(setting.Example()).WriteTo(c.cfg.Terminal.Out)

	return err
}

// NewKey is the JSON answer of Key.
type NewKey struct {
	// Key is the secret to hand to callers.
	Key string `json:"key"`
	// Hash goes into the settings.
	Hash string `json:"hash"`
}

// Key writes a new key for callers and its hash for the settings.
func (c *Config) Key() error {
	key, hash := organisation.NewKey()

	return c.cfg.Terminal.table(NewKey{key, hash}, []string{"KEY", "HASH"}, [][]string{{key, hash}})
}
