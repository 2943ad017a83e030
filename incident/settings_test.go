package incident

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// fleet is what an entry shows to operators.
type fleet struct {
	SettingsVersion uint64 `json:"settings_version"`
	Targets         []struct {
		VM            string `json:"vm"`
		State         string `json:"state"`
		WeightVersion string `json:"weight_version"`
	} `json:"targets"`
}

func (s *system) fleet(entry string) fleet {
	var f fleet

	resp, err := http.Get(s.operator[entry] + "/debug/fleet")
	if err != nil {
		return f
	}

	defer func() { _ = resp.Body.Close() }()

	_ = json.NewDecoder(resp.Body).Decode(&f)

	return f
}

// The log is out, and all entries are replaced meanwhile. They would start with
// nothing to go by and refuse everybody, or with an older version.
func TestEntriesStartInALogOutage(t *testing.T) {
	s := start(t, shape{engines: 2, decode: 1000})
	want := s.publish("# second")

	for _, e := range []string{"entry-1", "entry-2"} {
		s.eventually(e+" has the second version", func() bool { return s.fleet(e).SettingsVersion == want })
	}

	s.faults(s.log, map[string]any{"down": true})

	for _, e := range []string{"entry-1", "entry-2"} {
		s.kill(e)
	}

	for _, e := range []string{"entry-1", "entry-2"} {
		s.startOne(e)
		s.ready(s.operator[e] + "/readyz")

		if got := s.fleet(e).SettingsVersion; got != want {
			t.Errorf("%s: got version %d, want %d", e, got, want)
		}
	}

	s.during(4, func() {})

	s.faults(s.log, map[string]any{"down": false})

	want = s.publish("# third")

	for _, e := range []string{"entry-1", "entry-2"} {
		s.eventually(e+" has the third version", func() bool { return s.fleet(e).SettingsVersion == want })
	}
}

// An operator drains a target by publishing it. New work that still went there
// would be cut off when the VM goes.
func TestPublishedDrainKeepsNewWorkAway(t *testing.T) {
	s := start(t, shape{engines: 2, decode: 1000})
	s.publish("[[drain]]\ntarget = \"engine-1\"\n")

	for _, e := range []string{"entry-1", "entry-2"} {
		s.eventually(e+" shows the drain", func() bool {
			for _, t := range s.fleet(e).Targets {
				if t.VM == "engine-1" {
					return t.State == "draining"
				}
			}

			return false
		})
	}

	before := s.count("engine-1")
	s.during(6, func() {})

	if got := s.count("engine-1"); got != before {
		t.Errorf("runs at the drained engine: got %d, want %d", got, before)
	}
}

// count returns how many runs an engine stand-in has had.
func (s *system) count(engine string) int {
	s.t.Helper()

	resp, err := http.Get(s.engines[engine] + "/runs")
	if err != nil {
		s.t.Fatal(err)
	}

	defer func() { _ = resp.Body.Close() }()

	var got []json.RawMessage

	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		s.t.Fatal(err)
	}

	return len(got)
}

// New weights are rolled out while callers go on. If all engines loaded at once,
// everybody would wait; if none did, the roll would never end.
func TestRollServesAllTheWhile(t *testing.T) {
	s := start(t, shape{engines: 3, decode: 1000})

	var (
		all  sync.WaitGroup
		stop atomic.Bool
	)

	failed := atomic.Int64{}

	for i := range 4 {
		all.Go(func() {
			for n := 0; !stop.Load(); n++ {
				if a := s.prompt(s.entries[i%2], fmt.Sprintf("%s %d %d", promptOf(i), i, n), 20, nil); !a.finished {
					failed.Add(1)
					t.Logf("prompt: %d %s %s", a.status, a.code, a.body)
				}
			}
		})
	}

	s.publish("[[weight_roll]]\nservice = \"boragehub-llm\"\nweight_version = \"v2\"\n")
	s.eventually("all engines have v2", func() bool {
		done := 0

		for _, t := range s.fleet("entry-1").Targets {
			if t.WeightVersion == "v2" {
				done++
			}
		}

		return done == 3
	})
	stop.Store(true)
	all.Wait()

	if got := failed.Load(); got != 0 {
		t.Errorf("prompts that failed during the roll: got %d, want none", got)
	}
}
