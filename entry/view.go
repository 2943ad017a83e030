package entry

import (
	"time"

	"boragehub/operator"
)

// targetView is a target as operators see it.
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

// fleetView is the fleet as one entry sees it.
type fleetView struct {
	VM              string       `json:"vm"`
	DataCentre      string       `json:"data_centre"`
	SettingsVersion uint64       `json:"settings_version"`
	ListVersion     uint64       `json:"list_version"`
	Requests        int64        `json:"requests"`
	Contexts        int          `json:"contexts"`
	Targets         []targetView `json:"targets"`
}

// Views returns the documents that operators may ask of an entry.
func (e *Entry) Views() []operator.View {
	return []operator.View{
		{Name: "fleet", Get: func(string) any { return e.fleet(time.Now()) }},
	}
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
			Doubted:       t.Doubted,
			Probe:         t.Probe,
			Failures:      t.Failures,
			HeardMS:       t.Heard.Milliseconds(),
		})
	}

	return v
}
