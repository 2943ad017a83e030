package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"
)

// ConfigMenu is `config` with its commands on the program's command line.
type ConfigMenu struct {
	root *flaggy.Subcommand

	check, diff, publish, show, history, wait, example, key *flaggy.Subcommand

	file, other string
	options     PublishOptions
	shown       ShowOptions
	most        int
	version     uint64
	patience    time.Duration
}

// Defaults of flags.
const (
	defaultHistory  = 20
	defaultPatience = 30 * time.Second
)

// AttachConfig adds `config` and its commands below parent, at the second
// position from there.
func AttachConfig(parent *flaggy.Subcommand) *ConfigMenu {
	m := &ConfigMenu{most: defaultHistory, patience: defaultPatience}

	m.root = command(parent, "config", "Check, compare, publish and show the settings.", "")
	m.attachFiles()
	m.attachPublished()

	return m
}

// command adds a command with an example to its help.
func command(parent *flaggy.Subcommand, name, text, example string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = text

	if example != "" {
		c.AdditionalHelpAppend = "\n  Example: " + example
	}

	parent.AttachSubcommand(c, 1)

	return c
}

// attachFiles adds the commands that work on files.
func (m *ConfigMenu) attachFiles() {
	m.check = command(m.root, "check", "Check a file; tells file, line and key of each fault (exit status 3).",
		"boragehub ctl config check settings.toml")
	m.check.AddPositionalValue(&m.file, "FILE", 1, true, "The settings file.")

	m.diff = command(m.root, "diff", "Compare a file with the version in force, or with another file (exit status 7 when they differ).",
		"boragehub ctl config diff settings.toml")
	m.diff.AddPositionalValue(&m.file, "FILE", 1, true, "The newer settings file.")
	m.diff.AddPositionalValue(&m.other, "OTHER", 2, false, "The older file; the version in force by default.")

	m.example = command(m.root, "example", "Write a tree of a small deployment to start from.",
		"boragehub ctl config example > settings.toml")
	m.key = command(m.root, "key", "Make a key for callers and its hash for the settings.",
		"boragehub ctl config key")
}

// attachPublished adds the commands that work on what was published.
func (m *ConfigMenu) attachPublished() {
	m.publish = command(m.root, "publish", "Publish a file. When another operator came first, tells what they changed (exit status 4).",
		`boragehub ctl config publish settings.toml --note "more room for the kiosk" --wait 30s`)
	m.publish.AddPositionalValue(&m.options.File, "FILE", 1, true, "The whole tree as it is to be.")
	m.publish.UInt64(&m.options.Based, "b", "based", "The version that FILE was made from; by default the one in its first line.")
	m.publish.String(&m.options.Note, "n", "note", "Why; shown in the history.")
	m.publish.Bool(&m.options.Rebase, "r", "rebase", "Take in what others published meanwhile, when it touches other lines.")
	m.publish.Bool(&m.options.Recover, "", "recover", "Publish although the log forgot what is in force.")
	m.publish.Duration(&m.options.Wait, "w", "wait", "Wait so long for all processes to follow.")

	m.show = command(m.root, "show", "Write the text in force, or the values in force for a path.",
		"boragehub ctl config show --effective bc-south/boragehub-llm/desk-agents/curb")
	m.show.String(&m.shown.Effective, "e", "effective", "SITE/SERVICE/ORGANISATION/WORKLOAD; later levels may be left out.")
	m.show.UInt64(&m.shown.Version, "", "of", "An older version that the log still keeps.")

	m.history = command(m.root, "history", "List the newest changes, also refused ones.",
		"boragehub ctl config history --most 50")
	m.history.Int(&m.most, "m", "most", "How many.")

	m.wait = command(m.root, "wait", "Wait until a version is in force everywhere; tells who is missing (exit status 8).",
		"boragehub ctl config wait --for 128 --patience 30s")
	m.wait.UInt64(&m.version, "", "for", "The version; the newest by default.")
	m.wait.Duration(&m.patience, "", "patience", "How long to wait.")
}

// NeedsLog says whether the chosen command works on published settings.
func (m *ConfigMenu) NeedsLog() bool {
	return m.publish.Used || m.show.Used || m.history.Used || m.wait.Used || m.diff.Used && m.other == ""
}

// NeedsFleet says whether the chosen command asks the fleet.
func (m *ConfigMenu) NeedsFleet() bool {
	return m.wait.Used || m.publish.Used && m.options.Wait > 0
}

// Run carries out the chosen command; false says that it was none of these.
func (m *ConfigMenu) Run(ctx context.Context, cfg ConfigConfig) (bool, error) {
	c := NewConfig(cfg)

	switch {
	case !m.root.Used:
		return false, nil
	case m.check.Used:
		return true, c.Check(m.file)
	case m.diff.Used:
		return true, c.Diff(ctx, m.file, m.other)
	case m.publish.Used:
		return true, c.Publish(ctx, m.options)
	case m.show.Used:
		return true, c.Show(ctx, m.shown)
	case m.history.Used:
		return true, c.History(ctx, m.most)
	case m.wait.Used:
		return true, c.Wait(ctx, m.version, m.patience)
	case m.example.Used:
		return true, c.Example()
	case m.key.Used:
		return true, c.Key()
	default:
		return true, fmt.Errorf("%w: ctl config needs one of check, diff, publish, show, history, wait, example, key", errUsage)
	}
}
