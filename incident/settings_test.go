package incident

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// fleet is the part of an entry's /debug/fleet page that the tests use.
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

	resp, err := http.Get(s.operatorURLs[entry] + "/debug/fleet")
	if err != nil {
		return f
	}

	defer func() { _ = resp.Body.Close() }()

	_ = json.NewDecoder(resp.Body).Decode(&f)

	return f
}

// The log service is down, and all entries are restarted meanwhile. Without a copy of the
// settings, they would refuse every request or use an older version.
func TestEntriesStartInALogOutage(t *testing.T) {
	s := start(t, systemConfig{engines: 2, decodeTokensPerSecond: 1000})
	want := s.publish("# second")

	for _, e := range []string{"entry-1", "entry-2"} {
		s.eventually(e+" has the second version", func() bool { return s.fleet(e).SettingsVersion == want })
	}

	s.setFaults(s.logURL, map[string]any{"down": true})

	for _, e := range []string{"entry-1", "entry-2"} {
		s.kill(e)
	}

	for _, e := range []string{"entry-1", "entry-2"} {
		s.startSystemProcess(e)
		s.waitReady(s.operatorURLs[e] + "/readyz")

		if got := s.fleet(e).SettingsVersion; got != want {
			t.Errorf("%s: got version %d, want %d", e, got, want)
		}
	}

	s.duringResponses(4, func() {})

	s.setFaults(s.logURL, map[string]any{"down": false})

	want = s.publish("# third")

	for _, e := range []string{"entry-1", "entry-2"} {
		s.eventually(e+" has the third version", func() bool { return s.fleet(e).SettingsVersion == want })
	}
}

// An operator drains a target by publishing a setting. Requests that were still sent there
// would be cut off when the VM is removed.
func TestPublishedDrainStopsNewRequests(t *testing.T) {
	s := start(t, systemConfig{engines: 2, decodeTokensPerSecond: 1000})
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

	before := s.runCount("engine-1")
	s.duringResponses(6, func() {})

	if got := s.runCount("engine-1"); got != before {
		t.Errorf("runs at the drained engine: got %d, want %d", got, before)
	}
}

// runCount returns how many runs an engine stand-in has started.
func (s *system) runCount(engine string) int {
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

// A weight version is rolled out while callers keep sending prompts. If all engines loaded
// at the same time, all callers would wait; if none did, the rollout would never end.
func TestRolloutServesAllPrompts(t *testing.T) {
	s := start(t, systemConfig{engines: 3, decodeTokensPerSecond: 1000})

	var (
		wg   sync.WaitGroup
		stop atomic.Bool
	)

	failed := atomic.Int64{}

	for i := range 4 {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				if a := s.prompt(s.entries[i%2], fmt.Sprintf("%s %d %d", testPrompt(i), i, n), 20, nil); !a.finished {
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
	wg.Wait()

	if got := failed.Load(); got != 0 {
		t.Errorf("prompts that failed during the rollout: got %d, want none", got)
	}
}
