package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
)

func TestServicesAreContendedWhereTargetsOrSettingsSaySo(t *testing.T) {
	tests := []struct {
		name     string
		mode     Contention
		pressure bool
		slowdown int
		want     bool
	}{
		{"neither", ContentionAuto, false, 0, false},
		{"memory pressure", ContentionAuto, true, 0, true},
		{"shared host", ContentionAuto, false, 100, true},
		{"forced", ContentionOn, false, 0, true},
		{"switched off", ContentionOff, true, 250, false},
	}

	for _, tt := range tests {
		now := time.Unix(100, 0)
		r := New(Config{Contention: tt.mode, MemoryPressure: tt.pressure, HasEngines: func(s string) bool { return s == "llm" }})
		r.ObserveListing(now, Listing{ID: "a", Service: "llm", Address: "10.0.0.1:80", Slots: 1})
		r.ObserveReport(now, pulse.Report{Engine: "10.0.0.1:80", Slowdown: tt.slowdown})

		if got := r.Contended("llm"); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestContentionNames(t *testing.T) {
	for _, c := range []Contention{ContentionAuto, ContentionOn, ContentionOff} {
		if got, err := ParseContention(c.String()); err != nil || got != c {
			t.Errorf("%v: got %v, %v", c, got, err)
		}
	}

	if _, err := ParseContention("sometimes"); err == nil {
		t.Error("an unknown name was accepted")
	}
}
