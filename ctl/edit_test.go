package ctl

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"boragehub/setting/publication"
)

const testSettings = `class = "standard"

[[data_centre]]
name = "yvr-east"
site = "bc-south"
region = "lower-mainland"

[[service]]
name = "boragehub-llm"
kind = "engine"
models = ["m"]
weight_version = "v1"
`

// newEdits returns the commands on a log that has testSettings.
func newEdits(t *testing.T) (EditCommands, *bytes.Buffer) {
	t.Helper()

	log := &memoryLog{}

	if _, err := publication.Publish(context.Background(), publication.PublishConfig{Log: log}, publication.Change{
		ID: "first", Author: "test", Name: "settings.toml", Text: []byte(testSettings),
	}); err != nil {
		t.Fatal(err)
	}

	var out bytes.Buffer

	return EditCommands{Terminal: Terminal{Out: &out, Err: io.Discard}, Log: log, Author: "ada"}, &out
}

func settingsInForce(t *testing.T, w EditCommands) *publication.Published {
	t.Helper()

	p, _, err := publication.ReadHistory(context.Background(), w.Log, 1)
	if err != nil {
		t.Fatal(err)
	}

	return p
}

func TestDrainAndUndrain(t *testing.T) {
	w, out := newEdits(t)
	ctx := context.Background()

	for _, target := range []string{"engine-1", "engine-2"} {
		if err := w.Drain(ctx, target, "new host"); err != nil {
			t.Fatal(err)
		}
	}

	if err := w.Drain(ctx, "engine-1", "again"); ExitStatus(err) != ExitConflict {
		t.Errorf("second drain: got %v, want a conflict", err)
	}

	if err := w.Undrain(ctx, "engine-1"); err != nil {
		t.Fatal(err)
	}

	p := settingsInForce(t, w)
	if _, ok := p.Tree().Drain("engine-1"); ok {
		t.Error("engine-1: got drained, want not drained")
	}

	if d, ok := p.Tree().Drain("engine-2"); !ok || d.Reason != "new host" {
		t.Errorf("engine-2: got %+v %v, want drained for the new host", d, ok)
	}

	if got, want := p.Author(), "ada"; got != want {
		t.Errorf("author: got %q, want %q", got, want)
	}

	if !strings.Contains(out.String(), "undrain engine-1") {
		t.Errorf("output: got %q, want the change", out)
	}
}

func TestRolloutIsReplacedAndCancelled(t *testing.T) {
	w, _ := newEdits(t)
	ctx := context.Background()

	for _, version := range []string{"v2", "v3"} {
		if err := w.Roll(ctx, "boragehub-llm", version); err != nil {
			t.Fatal(err)
		}
	}

	rollouts := settingsInForce(t, w).Tree().WeightRollouts()
	if len(rollouts) != 1 || rollouts[0].WeightVersion != "v3" {
		t.Errorf("got %+v, want one rollout to v3", rollouts)
	}

	if err := w.Unroll(ctx, "boragehub-llm"); err != nil {
		t.Fatal(err)
	}

	if got := settingsInForce(t, w).Tree().WeightRollouts(); len(got) != 0 {
		t.Errorf("after unroll: got %+v, want none", got)
	}

	if err := w.Unroll(ctx, "boragehub-llm"); ExitStatus(err) != ExitConflict {
		t.Errorf("second unroll: got %v, want a conflict", err)
	}
}

func TestDataCentreIsEvacuatedAndRepopulated(t *testing.T) {
	w, out := newEdits(t)
	ctx := context.Background()

	if err := w.Evacuate(ctx, "yvr-east", "cooling fails"); err != nil {
		t.Fatal(err)
	}

	if err := w.Evacuate(ctx, "yvr-east", "again"); ExitStatus(err) != ExitConflict {
		t.Errorf("second evacuation: got %v, want a conflict", err)
	}

	if err := w.Evacuate(ctx, "nowhere", "typing error"); err == nil {
		t.Error("an unknown data centre: got no error")
	}

	if err := w.Evacuations(ctx); err != nil || !strings.Contains(out.String(), "cooling fails") {
		t.Errorf("got %q, %v; want the data centre and the reason", out, err)
	}

	if err := w.Repopulate(ctx, "yvr-east"); err != nil {
		t.Fatal(err)
	}

	if _, ok := settingsInForce(t, w).Tree().Evacuation("yvr-east"); ok {
		t.Error("yvr-east: got evacuated, want not evacuated")
	}
}
