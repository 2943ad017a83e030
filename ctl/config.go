package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"time"

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
