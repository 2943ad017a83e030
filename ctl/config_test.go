package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"

	"boragehub/certificate"
	"boragehub/failure"
	"boragehub/journal"
	"boragehub/setting"
)

// memoryLog is a log in memory that never fails.
type memoryLog struct{ records []journal.Record }

func (m *memoryLog) Append(_ context.Context, _ string, records [][]byte) (uint64, error) {
	first := uint64(len(m.records) + 1)
	for i, data := range records {
		m.records = append(m.records, journal.Record{Offset: first + uint64(i), Data: data})
	}

	return first, nil
}

func (m *memoryLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (journal.Batch, error) {
	n := uint64(len(m.records))
	if from > n {
		return journal.Batch{First: 1, Next: n + 1}, nil
	}

	return journal.Batch{First: 1, Next: n + 1, Records: m.records[from-1 : min(n, from-1+uint64(limit))]}, nil
}

type fixedVersions []ProcessVersion

func (v fixedVersions) Versions(context.Context) ([]ProcessVersion, error) { return v, nil }

// testShell runs command lines against a log and a fleet, and keeps the output.
type testShell struct {
	log   *memoryLog
	fleet fixedVersions
	json  bool
	out   bytes.Buffer
	err   bytes.Buffer
}

// run returns the exit status of a command line.
func (s *testShell) run(t *testing.T, args ...string) int {
	t.Helper()
	s.out.Reset()
	s.err.Reset()

	p := flaggy.NewParser("boragehub")
	parent := flaggy.NewSubcommand("ctl")
	p.AttachSubcommand(parent, 1)

	config, keys := AttachConfig(parent), AttachKeys(parent)
	if err := p.ParseArgs(append([]string{"ctl"}, args...)); err != nil {
		t.Fatal(err)
	}

	terminal := Terminal{Out: &s.out, Err: &s.err, JSON: s.json}

	ran, err := config.Run(t.Context(), ConfigOptions{
		Terminal: terminal, Log: s.log, Fleet: s.fleet, Author: "ann", PollInterval: time.Nanosecond,
	})
	if !ran {
		ran, err = keys.Run(time.Now(), terminal)
	}

	if !ran {
		t.Fatalf("%v: no command ran", args)
	}

	return ExitStatus(err)
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()

	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	return file
}

func TestConfigCommands(t *testing.T) {
	s := &testShell{log: &memoryLog{}, fleet: fixedVersions{{VM: "e1", Version: 1}, {VM: "e2", Version: 0, Fault: "silent"}}}
	example := writeFile(t, "settings.toml", setting.Example())
	bad := writeFile(t, "bad.toml", "share = 0.0\n")
	more := strings.Replace(setting.Example(), "retry_ratio = 0.2", "retry_ratio = 0.3", 1)

	steps := []struct {
		name string
		args []string
		exit int
		out  string
	}{
		{"example", []string{"config", "example"}, ExitDone, "max_attempts = 3"},
		{"show before publish", []string{"config", "show"}, ExitUnavailable, ""},
		{"check", []string{"config", "check", example}, ExitDone, ""},
		{"check invalid", []string{"config", "check", bad}, ExitInvalid, "bad.toml:1  share"},
		{"no file", []string{"config", "check", "none.toml"}, ExitInvalid, ""},
		{"publish invalid", []string{"config", "publish", bad}, ExitInvalid, "share"},
		{"publish", []string{"config", "publish", example, "--note", "first"}, ExitDone, "published as version 1"},
		{"same", []string{"config", "diff", example}, ExitDone, "KEY"},
		{"differs", []string{"config", "diff", writeFile(t, "more.toml", more)}, ExitDiffers, "retry_ratio  0.2     0.3"},
		{"publish without base", []string{"config", "publish", writeFile(t, "late.toml", more)}, ExitConflict, "KEY"},
		{"publish on 1", []string{"config", "publish", "--based", "1", writeFile(t, "more.toml", more)}, ExitDone, "version 2"},
		{"show", []string{"config", "show"}, ExitDone, "# boragehub settings, version 2\n"},
		{"show 1", []string{"config", "show", "--of", "1"}, ExitDone, "retry_ratio = 0.2"},
		{"show unknown version", []string{"config", "show", "--of", "7"}, ExitFailed, ""},
		{"effective", []string{"config", "show", "--effective", "bc-south/boragehub-llm/desk-agents/curb"}, ExitDone, "urgent"},
		{"source of values", []string{"config", "show", "--effective", "bc-south/boragehub-llm"}, ExitDone, "bc-south/boragehub-llm"},
		{"path too long", []string{"config", "show", "--effective", "a/b/c/d/e"}, ExitUsage, ""},
		{"history", []string{"config", "history"}, ExitDone, "first"},
		{"wait for 1", []string{"config", "wait", "--for", "1", "--patience", "1ns"}, ExitMissing, "e2"},
		{"no subcommand", []string{"config"}, ExitUsage, ""},
		{"keys without directory", []string{"keys"}, ExitUsage, ""},
	}

	for _, c := range steps {
		t.Run(c.name, func(t *testing.T) {
			if got := s.run(t, c.args...); got != c.exit {
				t.Errorf("exit: got %d, want %d (%s)", got, c.exit, s.err.String())
			}

			if !strings.Contains(s.out.String(), c.out) {
				t.Errorf("got %s, want %q in it", s.out.String(), c.out)
			}
		})
	}
}

// Two operators edit version 1. The second one's publish must fail with the keys that the
// first one changed, and succeed with --rebase without losing either change.
func TestSecondOperatorRebases(t *testing.T) {
	s := &testShell{log: &memoryLog{}}
	s.run(t, "config", "publish", writeFile(t, "a.toml", setting.Example()))
	s.run(t, "config", "show")

	shown := s.out.String()
	first := strings.Replace(shown, "retry_ratio = 0.2", "retry_ratio = 0.3", 1)
	second := strings.Replace(shown, "concurrent_loads = 2", "concurrent_loads = 4", 1)

	if got := s.run(t, "config", "publish", writeFile(t, "first.toml", first)); got != ExitDone {
		t.Fatalf("first: got %d (%s)", got, s.err.String())
	}

	file := writeFile(t, "second.toml", second)
	if got, want := s.run(t, "config", "publish", file), ExitConflict; got != want {
		t.Errorf("second: got %d, want %d", got, want)
	}

	for _, want := range []string{"retry_ratio", "--rebase", "version 2 by ann"} {
		if !strings.Contains(s.out.String()+s.err.String(), want) {
			t.Errorf("got %s %s, want %q in it", s.out.String(), s.err.String(), want)
		}
	}

	s.json = true
	if got, want := s.run(t, "config", "publish", "--rebase", file), ExitDone; got != want {
		t.Errorf("rebased: got %d, want %d (%s)", got, want, s.err.String())
	}

	var p PublishResult
	if err := json.Unmarshal(s.out.Bytes(), &p); err != nil || p != (PublishResult{3, true}) {
		t.Errorf("got %+v %v, want version 3, rebased", p, err)
	}

	s.run(t, "config", "show")

	bad := strings.Replace(s.out.String(), "max_attempts = 3", "max_attempts = 0", 1)
	line := strings.Count(bad[:strings.Index(bad, "max_attempts")], "\n") + 1

	s.json = false
	if got, want := s.run(t, "config", "publish", writeFile(t, "bad.toml", bad)), ExitInvalid; got != want {
		t.Errorf("bad: got %d, want %d", got, want)
	}

	if want := fmt.Sprintf("bad.toml:%d ", line); !strings.Contains(s.out.String(), want) {
		t.Errorf("got %s, want %q in it", s.out.String(), want)
	}

	s.run(t, "config", "show")

	for _, want := range []string{"retry_ratio = 0.3", "concurrent_loads = 4"} {
		if !strings.Contains(s.out.String(), want) {
			t.Errorf("got no %q in force", want)
		}
	}
}

func TestExitStatusByFailureKind(t *testing.T) {
	cases := []struct {
		kind failure.Kind
		want int
	}{
		{failure.BadSettings, ExitInvalid},
		{failure.Conflict, ExitConflict},
		{failure.LogUnavailable, ExitUnavailable},
		{failure.OutcomeUnknown, ExitUnknown},
		{failure.Internal, ExitFailed},
	}

	for _, c := range cases {
		if got := ExitStatus(failure.New(c.kind, "x")); got != c.want {
			t.Errorf("%v: got %d, want %d", c.kind, got, c.want)
		}
	}
}

func TestKeysKeepExistingAuthority(t *testing.T) {
	dir := t.TempDir()
	s := &testShell{log: &memoryLog{}}

	if got := s.run(t, "keys", "--directory", dir, "--process", "e1:entry", "--process", "s1:side"); got != ExitDone {
		t.Fatalf("got %d (%s)", got, s.err.String())
	}

	before, err := os.ReadFile(filepath.Join(dir, certificate.AuthorityFile))
	if err != nil {
		t.Fatal(err)
	}

	s.run(t, "keys", "--directory", dir, "--process", "s2:side")

	after, err := os.ReadFile(filepath.Join(dir, certificate.AuthorityFile))
	if err != nil || !bytes.Equal(before, after) {
		t.Errorf("the authority was replaced (error: %v)", err)
	}

	for _, name := range []string{"e1.pem", "s1.key", "s2.pem"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
}
