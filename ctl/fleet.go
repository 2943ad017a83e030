package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"boragehub/failure"
	"boragehub/vm"
)

// FleetCommands runs the commands that read from the fleet and change nothing.
type FleetCommands struct {
	// Terminal takes the output.
	Terminal Terminal
	// Client reads the views of the processes.
	Client Client
}

// targetView is the state of a target as one entry sees it. LastSeenMS is the time since the
// entry last saw the target, in ms; negative means never.
type targetView struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	Service       string `json:"service"`
	State         string `json:"state"`
	WeightVersion string `json:"weight_version,omitempty"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	LoadAgeMS     int64  `json:"load_age_ms"`
	Suspected     bool   `json:"doubted"`
	Failures      int    `json:"failures"`
	LastSeenMS    int64  `json:"heard_ms"`
}

// fleetView is the fleet as one entry sees it; Fault is why the entry returned no view.
type fleetView struct {
	VM              string       `json:"vm"`
	DataCentre      string       `json:"data_centre"`
	SettingsVersion uint64       `json:"settings_version"`
	Requests        int64        `json:"requests"`
	Contexts        int          `json:"contexts"`
	Targets         []targetView `json:"targets"`
	Fault           string       `json:"fault,omitempty"`
}

// fleetViews returns the view of every listed entry.
func (f FleetCommands) fleetViews(ctx context.Context) ([]fleetView, error) {
	results := f.Client.ViewAll(ctx, "fleet", "", vm.Entry)
	if len(results) == 0 {
		return nil, failure.New(failure.Unavailable, "the platform lists no entry")
	}

	all := make([]fleetView, len(results))

	for i, a := range results {
		err := a.Err
		if err == nil {
			err = json.Unmarshal(a.JSON, &all[i])
		}

		if err != nil {
			all[i] = fleetView{VM: a.VM.Name, DataCentre: a.VM.DataCentre, Fault: err.Error()}
		}
	}

	return all, nil
}

// Fleet writes the entries, and the targets with the entries that suspect them.
func (f FleetCommands) Fleet(ctx context.Context) error {
	all, err := f.fleetViews(ctx)
	if err != nil {
		return err
	}

	if f.Terminal.JSON {
		return f.Terminal.writeJSON(all)
	}

	var entries [][]string
	for _, e := range all {
		entries = append(entries, []string{e.VM, e.DataCentre, fmt.Sprint(e.SettingsVersion), fmt.Sprint(e.Requests), fmt.Sprint(e.Contexts), e.Fault})
	}

	if err := f.Terminal.writeTable(nil, []string{"ENTRY", "DATA CENTRE", "SETTINGS", "REQUESTS", "CONTEXTS", "FAULT"}, entries); err != nil {
		return err
	}

	_, _ = fmt.Fprintln(f.Terminal.Out)

	return f.Terminal.writeTable(nil, []string{"TARGET", "DATA CENTRE", "SERVICE", "STATE", "VERSION", "RUNNING", "WAITING", "HEARD", "DOUBTED BY"}, targetRows(all))
}

// targetRows merges the views of the entries: for each target, the state from the entry that
// saw it last, and the entries that suspect it.
func targetRows(all []fleetView) [][]string {
	latest := map[string]targetView{}
	suspectedBy := map[string][]string{}

	for _, e := range all {
		for _, t := range e.Targets {
			if b, ok := latest[t.VM]; !ok || (t.LastSeenMS >= 0 && (b.LastSeenMS < 0 || t.LastSeenMS < b.LastSeenMS)) {
				latest[t.VM] = t
			}

			if t.Suspected {
				suspectedBy[t.VM] = append(suspectedBy[t.VM], e.VM)
			}
		}
	}

	var rows [][]string

	for _, t := range latest {
		lastSeen := "never"
		if t.LastSeenMS >= 0 {
			lastSeen = (time.Duration(t.LastSeenMS) * time.Millisecond).Round(time.Second / 10).String()
		}

		rows = append(rows, []string{
			t.VM, t.DataCentre, t.Service, t.State, t.WeightVersion, fmt.Sprint(t.Running), fmt.Sprint(t.Waiting), lastSeen, strings.Join(suspectedBy[t.VM], " "),
		})
	}

	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })

	return rows
}

// logLine is one log line about a request, from any process.
type logLine struct {
	At     time.Time      `json:"at"`
	Self   string         `json:"self"`
	Name   string         `json:"name"`
	Error  string         `json:"error,omitempty"`
	Fields map[string]any `json:"fields"`
}

// Explain writes what the processes logged about a request, in order of time.
func (f FleetCommands) Explain(ctx context.Context, request string) error {
	var lines []logLine

	failed := 0

	for _, a := range f.Client.ViewAll(ctx, "explain", request) {
		var reported []logLine

		if a.Err != nil || json.Unmarshal(a.JSON, &reported) != nil {
			failed++

			continue
		}

		lines = append(lines, reported...)
	}

	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })

	if failed > 0 {
		f.Terminal.writeMessage("%d processes did not respond; their log lines are missing", failed)
	}

	if len(lines) == 0 {
		return failure.New(failure.Unavailable, "no process has log lines for request %s", request)
	}

	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{l.At.Format("15:04:05.000"), l.Self, l.Name, formatFields(l)})
	}

	return f.Terminal.writeTable(lines, []string{"AT", "VM", "EVENT", "WHAT"}, rows)
}

// formatFields returns the error and the other fields of a line, in order of name.
func formatFields(l logLine) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "event" {
			names = append(names, name)
		}
	}

	slices.Sort(names)

	var b strings.Builder

	if l.Error != "" {
		fmt.Fprintf(&b, "error=%q ", l.Error)
	}

	for _, name := range names {
		fmt.Fprintf(&b, "%s=%v ", name, l.Fields[name])
	}

	return strings.TrimSpace(b.String())
}

// Context writes the recorded holders of the contexts under an anchor.
func (f FleetCommands) Context(ctx context.Context, anchor string) error {
	type contextView struct {
		Owner    string `json:"owner"`
		Holdings []struct {
			Holder        string `json:"holder"`
			Kind          string `json:"kind"`
			DataCentre    string `json:"data_centre"`
			Blocks        int    `json:"blocks"`
			WeightVersion string `json:"weight_version"`
			Copy          string `json:"copy,omitempty"`
			Bytes         int64  `json:"bytes,omitempty"`
			AgeMS         int64  `json:"age_ms"`
		} `json:"holdings"`
	}

	var (
		found contextView
		rows  [][]string
	)

	for _, a := range f.Client.ViewAll(ctx, "context", anchor, vm.Entry) {
		var h contextView

		if a.Err == nil && json.Unmarshal(a.JSON, &h) == nil && len(h.Holdings) > 0 {
			found = h
		}
	}

	for _, h := range found.Holdings {
		age := (time.Duration(h.AgeMS) * time.Millisecond).Round(time.Second).String()
		rows = append(rows, []string{h.Holder, h.Kind, h.DataCentre, fmt.Sprint(h.Blocks), h.WeightVersion, h.Copy, fmt.Sprint(h.Bytes), age})
	}

	if len(rows) == 0 {
		return failure.New(failure.Unavailable, "no entry has a record of a context with anchor %s", anchor)
	}

	return f.Terminal.writeTable(found, []string{"HOLDER", "KIND", "DATA CENTRE", "BLOCKS", "VERSION", "COPY", "BYTES", "AGE"}, rows)
}

// Weights writes the progress of rollouts by data centre.
func (f FleetCommands) Weights(ctx context.Context) error {
	type progress struct {
		DataCentre string `json:"data_centre"`
		Model      string `json:"model"`
		Version    string `json:"weight_version"`
		FellBack   bool   `json:"fell_back"`
		Done       int    `json:"done"`
		Loading    int    `json:"loading"`
		Left       int    `json:"left"`
		Ready      int    `json:"ready"`
		Halt       string `json:"halt"`
	}

	all := []progress{}

	var rows [][]string

	for _, a := range f.Client.ViewAll(ctx, "weights", "", vm.Entry) {
		var reported []progress

		if a.Err != nil || json.Unmarshal(a.JSON, &reported) != nil {
			continue
		}

		for _, p := range reported {
			p.DataCentre = a.VM.DataCentre
			all = append(all, p)
			rows = append(rows, []string{p.DataCentre, p.Model, p.Version, fmt.Sprint(p.Done), fmt.Sprint(p.Loading), fmt.Sprint(p.Left), fmt.Sprint(p.Ready), p.Halt})
		}
	}

	return f.Terminal.writeTable(all, []string{"DATA CENTRE", "MODEL", "VERSION", "DONE", "LOADING", "LEFT", "READY", "HALT"}, rows)
}

// FleetMenu holds the subcommands and arguments of FleetCommands.
type FleetMenu struct {
	fleet, explain, context *flaggy.Subcommand

	request, anchor string
}

// AttachFleet adds the subcommands to parent.
func AttachFleet(parent *flaggy.Subcommand) *FleetMenu {
	m := &FleetMenu{}

	m.fleet = addCommand(parent, "fleet", "Show the entries, and the targets as they see them.", "boragehub ctl fleet")
	m.explain = addCommand(parent, "explain", "Show what all processes logged about a request.",
		"boragehub ctl explain 0b133cad-311e-4275-8cb4-4e38c85d2d7f")
	m.explain.AddPositionalValue(&m.request, "REQUEST_ID", 1, true, "The request's id, from its X-Request-Id.")
	m.context = addCommand(parent, "context", "Show where a context is held.", "boragehub ctl context 6f1c…")
	m.context.AddPositionalValue(&m.anchor, "ANCHOR", 1, true, "The context's anchor, from the line request_answered.")

	return m
}

// Chosen reports whether one of the commands was chosen.
func (m *FleetMenu) Chosen() bool {
	return m.fleet.Used || m.explain.Used || m.context.Used
}

// Run runs the chosen command.
func (m *FleetMenu) Run(ctx context.Context, f FleetCommands) error {
	switch {
	case m.explain.Used:
		return f.Explain(ctx, m.request)
	case m.context.Used:
		return f.Context(ctx, m.anchor)
	default:
		return f.Fleet(ctx)
	}
}
