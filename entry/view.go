package entry

import (
	"time"

	"boragehub/operator"
	"boragehub/prompt"
)

// targetView is a target as shown to operators.
type targetView struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	Service       string `json:"service"`
	State         string `json:"state"`
	Model         string `json:"model,omitempty"`
	WeightVersion string `json:"weight_version,omitempty"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	LoadAgeMS     int64  `json:"load_age_ms"`
	Doubted       bool   `json:"doubted"`
	Probe         bool   `json:"probe"`
	Failures      int    `json:"failures"`
	HeardMS       int64  `json:"heard_ms"`
}

// fleetView is the fleet as known to one entry.
type fleetView struct {
	VM              string       `json:"vm"`
	DataCentre      string       `json:"data_centre"`
	SettingsVersion uint64       `json:"settings_version"`
	ListVersion     uint64       `json:"list_version"`
	Requests        int64        `json:"requests"`
	Contexts        int          `json:"contexts"`
	Targets         []targetView `json:"targets"`
}

// contextDocument describes a context and the holdings recorded by this entry.
type contextDocument struct {
	Anchor   string            `json:"anchor"`
	Owner    string            `json:"owner"`
	Holdings []holdingDocument `json:"holdings"`
}

type holdingDocument struct {
	Holder        string `json:"holder"`
	Kind          string `json:"kind"`
	DataCentre    string `json:"data_centre"`
	Blocks        int    `json:"blocks"`
	WeightVersion string `json:"weight_version"`
	Copy          string `json:"copy,omitempty"`
	Bytes         int64  `json:"bytes,omitempty"`
	AgeMS         int64  `json:"age_ms"`
}

// Views returns the documents that operators may request from an entry.
func (e *Entry) Views() []operator.View { return e.cfg.Views }

func (e *Entry) ownViews() []operator.View {
	return []operator.View{
		{Name: "fleet", Get: func(string) any { return e.fleet(time.Now()) }},
		{Name: "settings", Get: func(string) any { return operator.SettingsDocument{Version: e.version()} }},
		{Name: "context", Get: func(q string) any { return e.context(time.Now(), q) }},
	}
}

// context returns the holdings that this entry has recorded for an anchor, given in
// hexadecimal.
func (e *Entry) context(now time.Time, text string) contextDocument {
	d := contextDocument{Anchor: text, Holdings: []holdingDocument{}}

	var anchor prompt.Hash

	if err := anchor.UnmarshalText([]byte(text)); err != nil {
		return d
	}

	d.Owner = e.cfg.VM
	if owner, self := e.owner(anchor); !self {
		d.Owner = owner.VM
	}

	for _, h := range e.owned.holdings(now, anchor) {
		d.Holdings = append(d.Holdings, holdingDocument{
			Holder:        h.Name,
			Kind:          h.Kind.String(),
			DataCentre:    h.DataCentre,
			Blocks:        h.Blocks,
			WeightVersion: h.Version,
			Copy:          h.Copy,
			Bytes:         h.Bytes,
			AgeMS:         h.Age(now).Milliseconds(),
		})
	}

	return d
}

func (e *Entry) fleet(now time.Time) fleetView {
	v := fleetView{
		VM:              e.cfg.VM,
		DataCentre:      e.cfg.DataCentre,
		SettingsVersion: e.version(),
		ListVersion:     e.cfg.VMs.List().Version(),
		Requests:        e.active.Load(),
		Contexts:        e.owned.contexts(),
		Targets:         []targetView{},
	}

	for _, m := range e.cfg.VMs.List().All() {
		t, ok := e.targets.Target(now, m.Name)
		if !ok || m.Service == "" {
			continue
		}

		v.Targets = append(v.Targets, targetView{
			VM:            t.VM,
			DataCentre:    t.DataCentre,
			Service:       t.Service,
			State:         t.State.String(),
			Model:         t.Model,
			WeightVersion: t.WeightVersion,
			Running:       t.Load.Running,
			Waiting:       t.Load.Waiting,
			LoadAgeMS:     t.Load.Age.Milliseconds(),
			Doubted:       t.Suspected,
			Probe:         t.Probe,
			Failures:      t.Failures,
			HeardMS:       t.SinceLastSeen.Milliseconds(),
		})
	}

	return v
}
