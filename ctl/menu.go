package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"
)

// ConfigMenu holds the subcommand `config` with its subcommands, arguments and flags.
type ConfigMenu struct {
	root *flaggy.Subcommand

	check, diff, publish, show, history, wait, example, key *flaggy.Subcommand

	file, olderFile string
	publishOptions  PublishOptions
	showOptions     ShowOptions
	historyEntries  int
	waitVersion     uint64
	waitTimeout     time.Duration
}

// Defaults of flags.
const (
	defaultHistoryEntries = 20
	defaultWaitTimeout    = 30 * time.Second
)

// AttachConfig adds `config` and its subcommands to parent.
func AttachConfig(parent *flaggy.Subcommand) *ConfigMenu {
	m := &ConfigMenu{historyEntries: defaultHistoryEntries, waitTimeout: defaultWaitTimeout}

	m.root = addCommand(parent, "config", "Check, compare, publish and show the settings.", "")
	m.attachFileCommands()
	m.attachLogCommands()

	return m
}

// addCommand adds a subcommand to parent, with an example in its help unless that is empty.
func addCommand(parent *flaggy.Subcommand, name, text, example string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = text

	if example != "" {
		c.AdditionalHelpAppend = "\n  Example: " + example
	}

	parent.AttachSubcommand(c, 1)

	return c
}

// attachFileCommands adds the subcommands that work on files.
func (m *ConfigMenu) attachFileCommands() {
	m.check = addCommand(m.root, "check", "Check a file; prints file, line and key of each fault (exit status 3).",
		"boragehub ctl config check settings.toml")
	m.check.AddPositionalValue(&m.file, "FILE", 1, true, "The settings file.")

	m.diff = addCommand(m.root, "diff", "Compare a file with the version in force, or with another file (exit status 7 when they differ).",
		"boragehub ctl config diff settings.toml")
	m.diff.AddPositionalValue(&m.file, "FILE", 1, true, "The newer settings file.")
	m.diff.AddPositionalValue(&m.olderFile, "OTHER", 2, false, "The older file; the version in force by default.")

	m.example = addCommand(m.root, "example", "Write the settings of a small deployment to start from.",
		"boragehub ctl config example > settings.toml")
	m.key = addCommand(m.root, "key", "Make a key for callers and its hash for the settings.",
		"boragehub ctl config key")
}

// attachLogCommands adds the subcommands that work on published settings.
func (m *ConfigMenu) attachLogCommands() {
	m.publish = addCommand(m.root, "publish", "Publish a file. If another operator published first, prints what they changed (exit status 4).",
		`boragehub ctl config publish settings.toml --note "more room for the kiosk" --wait 30s`)
	m.publish.AddPositionalValue(&m.publishOptions.File, "FILE", 1, true, "The complete settings to publish.")
	m.publish.UInt64(&m.publishOptions.Based, "b", "based", "The version that FILE is based on; by default the one in its first line.")
	m.publish.String(&m.publishOptions.Note, "n", "note", "The reason, shown in the history.")
	m.publish.Bool(&m.publishOptions.Rebase, "r", "rebase", "Merge what others published meanwhile, if it changes other lines.")
	m.publish.Bool(&m.publishOptions.Recover, "", "recover", "Publish although the log no longer keeps the settings in force.")
	m.publish.Duration(&m.publishOptions.Wait, "w", "wait", "Maximum wait until the version is in force at all processes.")

	m.show = addCommand(m.root, "show", "Write the settings in force, or the values in force for a path.",
		"boragehub ctl config show --effective bc-south/boragehub-llm/desk-agents/curb")
	m.show.String(&m.showOptions.Effective, "e", "effective", "SITE/SERVICE/ORGANISATION/WORKLOAD; later levels may be left out.")
	m.show.UInt64(&m.showOptions.Version, "", "of", "An older version that the log still keeps.")

	m.history = addCommand(m.root, "history", "List the newest changes, including refused ones.",
		"boragehub ctl config history --most 50")
	m.history.Int(&m.historyEntries, "m", "most", "Maximum number of changes.")

	m.wait = addCommand(m.root, "wait", "Wait until a version is in force everywhere; lists the processes without it (exit status 8).",
		"boragehub ctl config wait --for 128 --patience 30s")
	m.wait.UInt64(&m.waitVersion, "", "for", "The version; the newest by default.")
	m.wait.Duration(&m.waitTimeout, "", "patience", "Maximum wait.")
}

// NeedsLog reports whether the chosen command works on published settings.
func (m *ConfigMenu) NeedsLog() bool {
	return m.publish.Used || m.show.Used || m.history.Used || m.wait.Used || m.diff.Used && m.olderFile == ""
}

// NeedsFleet reports whether the chosen command polls the fleet.
func (m *ConfigMenu) NeedsFleet() bool {
	return m.wait.Used || m.publish.Used && m.publishOptions.Wait > 0
}

// Run runs the chosen command; false means that it is none of `config`.
func (m *ConfigMenu) Run(ctx context.Context, cfg ConfigOptions) (bool, error) {
	c := NewConfigCommands(cfg)

	switch {
	case !m.root.Used:
		return false, nil
	case m.check.Used:
		return true, c.Check(m.file)
	case m.diff.Used:
		return true, c.Diff(ctx, m.file, m.olderFile)
	case m.publish.Used:
		return true, c.Publish(ctx, m.publishOptions)
	case m.show.Used:
		return true, c.Show(ctx, m.showOptions)
	case m.history.Used:
		return true, c.History(ctx, m.historyEntries)
	case m.wait.Used:
		return true, c.Wait(ctx, m.waitVersion, m.waitTimeout)
	case m.example.Used:
		return true, c.Example()
	case m.key.Used:
		return true, c.Key()
	default:
		return true, fmt.Errorf("%w: ctl config needs one of check, diff, publish, show, history, wait, example, key", errUsage)
	}
}
