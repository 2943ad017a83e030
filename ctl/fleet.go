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

// Fleets carries out the commands that ask the fleet and change nothing.
type Fleets struct {
	// Terminal is where they write.
	Terminal Terminal
	// Client asks the processes.
	Client Client
}

// seenTarget is what one entry believes of a target.
type seenTarget struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	Service       string `json:"service"`
	State         string `json:"state"`
	WeightVersion string `json:"weight_version,omitempty"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	LoadAgeMS     int64  `json:"load_age_ms"`
	Doubted       bool   `json:"doubted"`
	Failures      int    `json:"failures"`
	HeardMS       int64  `json:"heard_ms"`
}

// seenFleet is the fleet as one entry sees it.
type seenFleet struct {
	VM              string       `json:"vm"`
	DataCentre      string       `json:"data_centre"`
	SettingsVersion uint64       `json:"settings_version"`
	Requests        int64        `json:"requests"`
	Contexts        int          `json:"contexts"`
	Targets         []seenTarget `json:"targets"`
	Fault           string       `json:"fault,omitempty"`
}

// fleets asks every entry how it sees the fleet.
func (f Fleets) fleets(ctx context.Context) ([]seenFleet, error) {
	answers := f.Client.All(ctx, "fleet", "", vm.Entry)
	if len(answers) == 0 {
		return nil, failure.New(failure.Unavailable, "the platform lists no entry")
	}

	all := make([]seenFleet, len(answers))

	for i, a := range answers {
		err := a.Err
		if err == nil {
			err = json.Unmarshal(a.JSON, &all[i])
		}

		if err != nil {
			all[i] = seenFleet{VM: a.VM.Name, DataCentre: a.VM.DataCentre, Fault: err.Error()}
		}
	}

	return all, nil
}

// Fleet shows the entries, and the targets with the opinions of those entries
// that doubt them.
func (f Fleets) Fleet(ctx context.Context) error {
	all, err := f.fleets(ctx)
	if err != nil {
		return err
	}

	if f.Terminal.JSON {
		return f.Terminal.json(all)
	}

	var entries [][]string
	for _, e := range all {
		entries = append(entries, []string{e.VM, e.DataCentre, fmt.Sprint(e.SettingsVersion), fmt.Sprint(e.Requests), fmt.Sprint(e.Contexts), e.Fault})
	}

	if err := f.Terminal.table(nil, []string{"ENTRY", "DATA CENTRE", "SETTINGS", "REQUESTS", "CONTEXTS", "FAULT"}, entries); err != nil {
		return err
	}

	_, _ = fmt.Fprintln(f.Terminal.Out)

	return f.Terminal.table(nil, []string{"TARGET", "DATA CENTRE", "SERVICE", "STATE", "VERSION", "RUNNING", "WAITING", "HEARD", "DOUBTED BY"}, targetRows(all))
}

// targetRows merges what the entries say: of each target the youngest report,
// and who doubts it.
func targetRows(all []seenFleet) [][]string {
	best := map[string]seenTarget{}
	doubts := map[string][]string{}

	for _, e := range all {
		for _, t := range e.Targets {
			if b, ok := best[t.VM]; !ok || (t.HeardMS >= 0 && (b.HeardMS < 0 || t.HeardMS < b.HeardMS)) {
				best[t.VM] = t
			}

			if t.Doubted {
				doubts[t.VM] = append(doubts[t.VM], e.VM)
			}
		}
	}

	var rows [][]string

	for _, t := range best {
		heard := "never"
		if t.HeardMS >= 0 {
			heard = (time.Duration(t.HeardMS) * time.Millisecond).Round(time.Second / 10).String()
		}

		rows = append(rows, []string{
			t.VM, t.DataCentre, t.Service, t.State, t.WeightVersion, fmt.Sprint(t.Running), fmt.Sprint(t.Waiting), heard, strings.Join(doubts[t.VM], " "),
		})
	}

	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })

	return rows
}

// explained is one line about a request, from any process.
type explained struct {
	At     time.Time      `json:"at"`
	Self   string         `json:"self"`
	Name   string         `json:"name"`
	Error  string         `json:"error,omitempty"`
	Fields map[string]any `json:"fields"`
}

// Explain shows what the processes logged about a request, in order of time.
func (f Fleets) Explain(ctx context.Context, request string) error {
	var lines []explained

	silent := 0

	for _, a := range f.Client.All(ctx, "explain", request) {
		var some []explained

		if a.Err != nil || json.Unmarshal(a.JSON, &some) != nil {
			silent++

			continue
		}

		lines = append(lines, some...)
	}

	slices.SortStableFunc(lines, func(a, b explained) int { return a.At.Compare(b.At) })

	if silent > 0 {
		f.Terminal.say("%d processes did not answer; what they logged is missing", silent)
	}

	if len(lines) == 0 {
		return failure.New(failure.Unavailable, "no process remembers request %s", request)
	}

	var rows [][]string
	for _, l := range lines {
		rows = append(rows, []string{l.At.Format("15:04:05.000"), l.Self, l.Name, fieldText(l)})
	}

	return f.Terminal.table(lines, []string{"AT", "VM", "EVENT", "WHAT"}, rows)
}

// fieldText writes a line's fields in order of name.
func fieldText(l explained) string {
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

// Context shows who is said to hold the contexts under an anchor.
func (f Fleets) Context(ctx context.Context, anchor string) error {
	type held struct {
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
		found held
		rows  [][]string
	)

	for _, a := range f.Client.All(ctx, "context", anchor, vm.Entry) {
		var h held

		if a.Err == nil && json.Unmarshal(a.JSON, &h) == nil && len(h.Holdings) > 0 {
			found = h
		}
	}

	for _, h := range found.Holdings {
		age := (time.Duration(h.AgeMS) * time.Millisecond).Round(time.Second).String()
		rows = append(rows, []string{h.Holder, h.Kind, h.DataCentre, fmt.Sprint(h.Blocks), h.WeightVersion, h.Copy, fmt.Sprint(h.Bytes), age})
	}

	if len(rows) == 0 {
		return failure.New(failure.Unavailable, "no entry knows a context with the anchor %s", anchor)
	}

	return f.Terminal.table(found, []string{"HOLDER", "KIND", "DATA CENTRE", "BLOCKS", "VERSION", "COPY", "BYTES", "AGE"}, rows)
}

// Weights shows how far the rolls are, by data centre.
func (f Fleets) Weights(ctx context.Context) error {
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

	for _, a := range f.Client.All(ctx, "weights", "", vm.Entry) {
		var some []progress

		if a.Err != nil || json.Unmarshal(a.JSON, &some) != nil {
			continue
		}

		for _, p := range some {
			p.DataCentre = a.VM.DataCentre
			all = append(all, p)
			rows = append(rows, []string{p.DataCentre, p.Model, p.Version, fmt.Sprint(p.Done), fmt.Sprint(p.Loading), fmt.Sprint(p.Left), fmt.Sprint(p.Ready), p.Halt})
		}
	}

	return f.Terminal.table(all, []string{"DATA CENTRE", "MODEL", "VERSION", "DONE", "LOADING", "LEFT", "READY", "HALT"}, rows)
}

// FleetMenu is the commands of Fleets on the program's command line.
type FleetMenu struct {
	fleet, explain, context *flaggy.Subcommand

	request, anchor string
}

// AttachFleet adds the commands below parent.
func AttachFleet(parent *flaggy.Subcommand) *FleetMenu {
	m := &FleetMenu{}

	m.fleet = command(parent, "fleet", "Show the entries and what they know of the targets.", "boragehub ctl fleet")
	m.explain = command(parent, "explain", "Show how a request was decided, from all processes.",
		"boragehub ctl explain 0b133cad-311e-4275-8cb4-4e38c85d2d7f")
	m.explain.AddPositionalValue(&m.request, "REQUEST_ID", 1, true, "The request's id, from its X-Request-Id.")
	m.context = command(parent, "context", "Show where a context is held.", "boragehub ctl context 6f1c…")
	m.context.AddPositionalValue(&m.anchor, "ANCHOR", 1, true, "The context's anchor, from the line request_answered.")

	return m
}

// Chosen says whether one of the commands was chosen.
func (m *FleetMenu) Chosen() bool {
	return m.fleet.Used || m.explain.Used || m.context.Used
}

// Run carries out the chosen command.
func (m *FleetMenu) Run(ctx context.Context, f Fleets) error {
	switch {
	case m.explain.Used:
		return f.Explain(ctx, m.request)
	case m.context.Used:
		return f.Context(ctx, m.anchor)
	default:
		return f.Fleet(ctx)
	}
}
