package ctl

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"boragehub/failure"
	"boragehub/setting"
	"boragehub/setting/publication"
)

// EditCommands runs the commands that change the fleet. Each edits the settings in force and
// publishes them like any other change.
type EditCommands struct {
	// Terminal takes the output.
	Terminal Terminal
	// Log is the log service.
	Log publication.Log
	// Author is the operator's name in the history.
	Author string
}

// maxEditAttempts limits the attempts of an edit when other operators publish first.
const maxEditAttempts = 5

// Drain makes a target finish its work and take no new work. Errors: Conflict if it is drained
// already.
func (w EditCommands) Drain(ctx context.Context, target, reason string) error {
	return w.publish(ctx, "drain "+target, func(t *setting.Tree) ([]byte, error) {
		if _, ok := t.Drain(target); ok {
			return nil, failure.New(failure.Conflict, "%s is already drained", target)
		}

		return fmt.Appendf(bytes.Clone(t.Text()), "\n[[drain]]\ntarget = %q\nreason = %q\n", target, reason), nil
	})
}

// Undrain revokes Drain for a target, which then takes new work again.
func (w EditCommands) Undrain(ctx context.Context, target string) error {
	return w.publish(ctx, "undrain "+target, func(t *setting.Tree) ([]byte, error) {
		return removeTable(t.Text(), "[[drain]]", fmt.Sprintf("target = %q", target))
	})
}

// Evacuate makes all targets of a data centre finish their work and take no new work. Errors:
// Conflict if it is evacuated already.
func (w EditCommands) Evacuate(ctx context.Context, dataCentre, reason string) error {
	return w.publish(ctx, "evacuate "+dataCentre, func(t *setting.Tree) ([]byte, error) {
		if _, ok := t.Evacuation(dataCentre); ok {
			return nil, failure.New(failure.Conflict, "%s is already evacuated", dataCentre)
		}

		return fmt.Appendf(bytes.Clone(t.Text()), "\n[[evacuation]]\ndata_centre = %q\nreason = %q\n", dataCentre, reason), nil
	})
}

// Repopulate revokes Evacuate for a data centre, whose targets then take new work again.
func (w EditCommands) Repopulate(ctx context.Context, dataCentre string) error {
	return w.publish(ctx, "repopulate "+dataCentre, func(t *setting.Tree) ([]byte, error) {
		return removeTable(t.Text(), "[[evacuation]]", fmt.Sprintf("data_centre = %q", dataCentre))
	})
}

// Evacuations writes the evacuated data centres with the reasons.
func (w EditCommands) Evacuations(ctx context.Context) error {
	inForce, _, err := publication.ReadHistory(ctx, w.Log, 1)
	if err != nil {
		return err
	}

	if inForce == nil {
		return failure.New(failure.NotReady, "no settings were published yet")
	}

	all := inForce.Tree().Evacuations()

	rows := make([][]string, len(all))
	for i, e := range all {
		rows[i] = []string{e.DataCentre, e.Reason}
	}

	return w.Terminal.writeTable(all, []string{"DATA CENTRE", "REASON"}, rows)
}

// Roll starts a rollout of a weight version to a service's engines, in place of the present
// rollout, if any.
func (w EditCommands) Roll(ctx context.Context, service, version string) error {
	return w.publish(ctx, "roll "+service+" to "+version, func(t *setting.Tree) ([]byte, error) {
		text := t.Text()

		for _, r := range t.WeightRollouts() {
			if r.Service != service {
				continue
			}

			var err error
			if text, err = removeTable(text, "[[weight_roll]]", fmt.Sprintf("service = %q", service)); err != nil {
				return nil, err
			}
		}

		return fmt.Appendf(bytes.Clone(text), "\n[[weight_roll]]\nservice = %q\nweight_version = %q\n", service, version), nil
	})
}

// Unroll cancels a rollout: the engines return to the service's configured version.
func (w EditCommands) Unroll(ctx context.Context, service string) error {
	return w.publish(ctx, "unroll "+service, func(t *setting.Tree) ([]byte, error) {
		return removeTable(t.Text(), "[[weight_roll]]", fmt.Sprintf("service = %q", service))
	})
}

// publish applies an edit to the settings in force and publishes the result. When another
// operator publishes in between, it applies the edit to their version.
func (w EditCommands) publish(ctx context.Context, note string, edit func(*setting.Tree) ([]byte, error)) error {
	var conflict error

	for range maxEditAttempts {
		inForce, _, err := publication.ReadHistory(ctx, w.Log, 1)
		if err != nil {
			return err
		}

		if inForce == nil {
			return failure.New(failure.NotReady, "no settings were published yet")
		}

		text, err := edit(inForce.Tree())
		if err != nil {
			return err
		}

		version, err := publication.Publish(ctx, publication.PublishConfig{Log: w.Log}, publication.Change{
			ID: uuid.NewString(), BaseVersion: inForce.Version(), Author: w.Author, Note: note, Name: "settings", Text: text,
		})
		if err == nil {
			return w.writeChange(version, note)
		}

		if failure.KindOf(err) != failure.Conflict {
			return err
		}

		conflict = err
	}

	return conflict
}

func (w EditCommands) writeChange(version uint64, note string) error {
	v := struct {
		Version uint64    `json:"version"`
		Note    string    `json:"note"`
		At      time.Time `json:"at"`
	}{version, note, time.Now()}

	return w.Terminal.writeTable(v, []string{"VERSION", "CHANGE"}, [][]string{{fmt.Sprint(version), note}})
}

// removeTable returns text without the first table that starts with the line head and has the
// line key. The table ends before the next one. Errors: Conflict if there is no such table.
func removeTable(text []byte, head, key string) ([]byte, error) {
	lines := bytes.SplitAfter(text, []byte("\n"))

	for from := range lines {
		if string(bytes.TrimSpace(lines[from])) != head {
			continue
		}

		to, found := from+1, false
		for to < len(lines) && !bytes.HasPrefix(bytes.TrimSpace(lines[to]), []byte("[")) {
			found = found || string(bytes.TrimSpace(lines[to])) == key
			to++
		}

		if found {
			return bytes.Join(append(append([][]byte{}, lines[:from]...), lines[to:]...), nil), nil
		}
	}

	return nil, failure.New(failure.Conflict, "the settings have no %s table with %s", head, key)
}

// EditMenu holds the subcommands and flags of EditCommands.
type EditMenu struct {
	drain, undrain, roll, unroll      *flaggy.Subcommand
	evacuate, repopulate, evacuations *flaggy.Subcommand

	target, reason, service, version, dataCentre string
}

// WeightsMenu is the subcommand `weights status`, which reads from the fleet and changes
// nothing.
type WeightsMenu struct {
	status *flaggy.Subcommand
}

// Chosen reports whether it was chosen.
func (m *WeightsMenu) Chosen() bool { return m.status.Used }

// AttachEdits adds the subcommands to parent.
func AttachEdits(parent *flaggy.Subcommand) (*EditMenu, *WeightsMenu) {
	m := &EditMenu{reason: "drained by hand"}

	m.drain = addCommand(parent, "drain", "Let a target finish its work and take no new work.",
		`boragehub ctl drain engine-7 --reason "new host"`)
	m.drain.AddPositionalValue(&m.target, "TARGET", 1, true, "The target's VM.")
	m.drain.String(&m.reason, "", "reason", "The reason, shown to other operators.")

	m.undrain = addCommand(parent, "undrain", "Let a drained target take work again.", "boragehub ctl undrain engine-7")
	m.undrain.AddPositionalValue(&m.target, "TARGET", 1, true, "The target's VM.")

	m.evacuate = addCommand(parent, "evacuate", "Let all targets of a data centre finish their work and take no new work.",
		`boragehub ctl evacuate yvr-east --reason "cooling fails"`)
	m.evacuate.AddPositionalValue(&m.dataCentre, "DATA_CENTRE", 1, true, "The data centre.")
	m.evacuate.String(&m.reason, "", "reason", "The reason, shown to other operators.")

	m.repopulate = addCommand(parent, "repopulate", "Let the targets of an evacuated data centre take work again.", "boragehub ctl repopulate yvr-east")
	m.repopulate.AddPositionalValue(&m.dataCentre, "DATA_CENTRE", 1, true, "The data centre.")

	m.evacuations = addCommand(parent, "evacuations", "Show the data centres that are evacuated.", "boragehub ctl evacuations")

	weights := addCommand(parent, "weights", "Roll out weight versions.", "")

	m.roll = addCommand(weights, "roll", "Roll out a weight version to a service's engines.",
		"boragehub ctl weights roll boragehub-llm v2")
	m.roll.AddPositionalValue(&m.service, "SERVICE", 1, true, "The service.")
	m.roll.AddPositionalValue(&m.version, "VERSION", 2, true, "The weight version.")

	m.unroll = addCommand(weights, "unroll", "Cancel a rollout.", "boragehub ctl weights unroll boragehub-llm")
	m.unroll.AddPositionalValue(&m.service, "SERVICE", 1, true, "The service.")

	status := addCommand(weights, "status", "Show the progress of rollouts.", "boragehub ctl weights status")

	return m, &WeightsMenu{status: status}
}

// Chosen reports whether one of the commands was chosen.
func (m *EditMenu) Chosen() bool {
	return m.drain.Used || m.undrain.Used || m.roll.Used || m.unroll.Used || m.evacuate.Used || m.repopulate.Used || m.evacuations.Used
}

// Run runs the chosen command.
func (m *EditMenu) Run(ctx context.Context, w EditCommands) error {
	switch {
	case m.drain.Used:
		return w.Drain(ctx, m.target, m.reason)
	case m.undrain.Used:
		return w.Undrain(ctx, m.target)
	case m.evacuate.Used:
		return w.Evacuate(ctx, m.dataCentre, m.reason)
	case m.repopulate.Used:
		return w.Repopulate(ctx, m.dataCentre)
	case m.evacuations.Used:
		return w.Evacuations(ctx)
	case m.roll.Used:
		return w.Roll(ctx, m.service, m.version)
	default:
		return w.Unroll(ctx, m.service)
	}
}
