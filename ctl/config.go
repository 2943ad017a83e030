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

// ProcessVersion is the settings version of one process.
type ProcessVersion struct {
	// VM is the name of the process's VM.
	VM string `json:"vm"`
	// Version is the version in force there; zero when there is none or it is unknown.
	Version uint64 `json:"version"`
	// Fault is why the version is unknown; empty when it is known.
	Fault string `json:"fault,omitempty"`
}

// Fleet returns the settings versions of all listed processes. Those that don't respond are
// included with a Fault.
type Fleet interface {
	Versions(ctx context.Context) ([]ProcessVersion, error)
}

// ConfigOptions are what the commands for settings work with.
type ConfigOptions struct {
	// Terminal takes the output.
	Terminal Terminal
	// Log is the log service; commands that only read files need none.
	Log publication.Log
	// Fleet is used by Wait; nil makes Wait fail.
	Fleet Fleet
	// Author is the operator's name in the history.
	Author string
	// PollInterval is the pause between two polls of the fleet; zero is DefaultPollInterval.
	PollInterval time.Duration
}

// DefaultPollInterval is the pause between two polls of the fleet while waiting.
const DefaultPollInterval = time.Second

// ConfigCommands runs the commands for settings. Use NewConfigCommands.
type ConfigCommands struct {
	cfg ConfigOptions
}

// NewConfigCommands returns the commands for settings.
func NewConfigCommands(cfg ConfigOptions) *ConfigCommands {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}

	return &ConfigCommands{cfg: cfg}
}

// versionLine matches the first line that Show puts before a text, from which Publish knows
// the version that the edited file is based on.
var versionLine = regexp.MustCompile(`^# boragehub settings, version ([0-9]+)\n`)

func withVersionLine(version uint64, text []byte) []byte {
	return append(fmt.Appendf(nil, "# boragehub settings, version %d\n", version), text...)
}

// cutVersionLine returns the text without its version line, and the version in it; zero
// without such a line.
func cutVersionLine(text []byte) ([]byte, uint64) {
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

// readSettingsFile returns the text of a settings file.
func readSettingsFile(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "cannot read the settings file")
	}

	return b, nil
}

// Check parses a file and writes every fault with file, line and key. Errors: BadSettings.
func (c *ConfigCommands) Check(file string) error {
	text, err := readSettingsFile(file)
	if err != nil {
		return err
	}

	_, err = setting.Parse(file, text)

	return c.writeFaults(file, err)
}

// writeFaults writes the faults in err, if any, as a table, and returns err.
func (c *ConfigCommands) writeFaults(file string, err error) error {
	problems := setting.ProblemsOf(err)

	if err == nil && !c.cfg.Terminal.JSON {
		c.cfg.Terminal.writeMessage("%s: no faults", file)

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

	if failed := c.cfg.Terminal.writeTable(problems, []string{"WHERE", "KEY", "FAULT"}, rows); failed != nil {
		return failed
	}

	return err
}

// Diff writes the keys that differ between a file and the version in force, or another file
// when one is named. Differences are an error, with the exit status ExitDiffers.
func (c *ConfigCommands) Diff(ctx context.Context, file, other string) error {
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

	if err := c.writeChanges(changes); err != nil {
		return err
	}

	if len(changes) > 0 {
		return errDiffers
	}

	return nil
}

func (c *ConfigCommands) parse(file string) (*setting.Tree, error) {
	text, err := readSettingsFile(file)
	if err != nil {
		return nil, err
	}

	return setting.Parse(file, text)
}

// inForce returns the tree in force; nil when nothing was published yet.
func (c *ConfigCommands) inForce(ctx context.Context) (*setting.Tree, error) {
	p, _, err := publication.ReadHistory(ctx, c.cfg.Log, 1)
	if err != nil || p == nil {
		return nil, err
	}

	return p.Tree(), nil
}

func (c *ConfigCommands) writeChanges(changes []setting.Change) error {
	if changes == nil {
		changes = []setting.Change{}
	}

	rows := make([][]string, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, []string{change.Key, dashIfEmpty(change.Before), dashIfEmpty(change.After)})
	}

	return c.cfg.Terminal.writeTable(changes, []string{"KEY", "BEFORE", "AFTER"}, rows)
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}

	return s
}

// Example writes the settings of a small deployment to start from.
func (c *ConfigCommands) Example() error {
	_, err := bytes.NewBufferString(setting.Example()).WriteTo(c.cfg.Terminal.Out)

	return err
}

// NewKey is the JSON output of Key.
type NewKey struct {
	// Key is the secret to hand to callers.
	Key string `json:"key"`
	// Hash goes into the settings.
	Hash string `json:"hash"`
}

// Key writes a new key for callers and its hash for the settings.
func (c *ConfigCommands) Key() error {
	key, hash := organisation.NewKey()

	return c.cfg.Terminal.writeTable(NewKey{key, hash}, []string{"KEY", "HASH"}, [][]string{{key, hash}})
}
