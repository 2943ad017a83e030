package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"boragehub/link"
	"boragehub/setting"
)

// shortConfig returns an experiment small enough to run on every change.
func shortConfig(dir string) Config {
	return Config{
		Deployment: "bureau", Policies: []Policy{Boragehub, StickyPrefix}, Loads: []float64{0.4, 1.2},
		Seeds: 1, Warmup: time.Minute, Measured: time.Minute,
		CSV: filepath.Join(dir, "runs.csv"), Plot: filepath.Join(dir, "plot.svg"),
	}
}

func TestSameSeedSameBytes(t *testing.T) {
	var outputs [2][3][]byte

	for i := range outputs {
		cfg := shortConfig(t.TempDir())
		cfg.Workers = 1 + 3*i

		var b bytes.Buffer
		if err := Run(cfg, &b); err != nil {
			t.Fatal(err)
		}

		outputs[i][0] = b.Bytes()

		for n, name := range []string{cfg.CSV, cfg.Plot} {
			content, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}

			outputs[i][n+1] = content
		}
	}

	for i, name := range []string{"table", "csv", "plot"} {
		if len(outputs[0][i]) == 0 || !bytes.Equal(outputs[0][i], outputs[1][i]) {
			t.Errorf("%s: got different outputs of %d and %d bytes, want equal ones", name, len(outputs[0][i]), len(outputs[1][i]))
		}
	}
}

// Guards against a fault in the model that loses requests: they would be missing from the
// results and make their policy look better. Each request must end with a first token or a
// refusal under every fault.
func TestEveryRequestEnds(t *testing.T) {
	for _, f := range Faults() {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()

			r := run{d: Coastal(), policy: Boragehub, load: 0.5, seed: 3, fault: f, warmup: time.Minute, measured: 3 * time.Minute}
			res := r.execute()
			want := make([]int, len(r.d.Workloads))
			end := r.warmup + r.measured

			var b *burst
			if f == OrganisationBurst {
				at := r.warmup + r.measured/3
				b = &burst{4, 10, at, at + FaultDuration}
			}

			_, visits := generate(r.d, r.seed, r.load*r.d.Capacity(), end, b)
			for _, v := range visits {
				if v.at >= r.warmup && v.at < end {
					want[v.c.workload]++
				}
			}

			for i := range want {
				if got := res.Workloads[i].Requests; got != want[i] {
					t.Errorf("%s: got %d requests with an outcome, want %d", res.Workloads[i].Name, got, want[i])
				}
			}
		})
	}
}

// Guards against answers that engines broke off and that count as complete, or as nothing.
func TestBrokenAnswersAreResumedOrIncomplete(t *testing.T) {
	for _, p := range []Policy{Boragehub, LeastLoaded} {
		r := run{d: Coastal(), policy: p, load: 0.5, seed: 3, fault: AnswersBroken, warmup: time.Minute, measured: 3 * time.Minute}

		got := r.execute()
		if got.BrokenOff == 0 || got.BrokenOff != got.Resumed+got.Incomplete {
			t.Errorf("%v: got %d answers broken off, %d resumed and %d incomplete, want as many as were broken off", p, got.BrokenOff, got.Resumed, got.Incomplete)
		}

		t.Logf("%v: %d broken off, %d incomplete", p, got.BrokenOff, got.Incomplete)
	}
}

// Guards against calls that a second response to an earlier one makes disappear from the results.
func TestCallsBehindSecondResponsesAreSentAgain(t *testing.T) {
	r := run{d: Coastal(), policy: Boragehub, load: 0.5, seed: 3, measured: 3 * time.Minute}
	want, _ := r.calls()

	r.fault = AnswersTwice

	got, again := r.calls()
	if got.Requests != want.Requests || again == 0 {
		t.Errorf("got %d calls with a response, %d sent again; want %d, and some sent again", got.Requests, again, want.Requests)
	}

	t.Logf("%d calls, %d sent again; p99 %v, without the fault %v", got.Requests, again, got.Percentile(99), want.Percentile(99))
}

func TestUnknownNamesAreRefused(t *testing.T) {
	cases := []struct {
		name string
		err  error
	}{
		{"deployment", Run(Config{Deployment: "elsewhere"}, &bytes.Buffer{})},
		{"policy", func() error { _, err := parseNames(Policies(), "ours,best"); return err }()},
		{"plot", savePlot("plot.gif", nil)},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

func TestPipeIsShared(t *testing.T) {
	c := &clock{}
	p := &pipe{clock: c, bytesPerSecond: 100}

	var ends []time.Duration

	end := func() { ends = append(ends, c.now.Round(time.Millisecond)) }
	p.send(link.Import, 100, end)
	p.send(link.Export, 200, end)
	c.run(time.Hour)

	want := []time.Duration{2 * time.Second, 3 * time.Second}
	if len(ends) != len(want) || ends[0] != want[0] || ends[1] != want[1] {
		t.Errorf("got ends %v, want %v", ends, want)
	}
}

func TestCacheKeepsPinned(t *testing.T) {
	evicted := map[int]int{}
	m := newCache(100, func(c *conversation, left int) { evicted[c.id] = left })
	a, b, c := &conversation{id: 1}, &conversation{id: 2}, &conversation{id: 3}
	m.put(a, 60)
	m.pin(b, 40)
	m.put(b, 40)
	m.put(c, 30)

	if got, want := m.tokens(a), 30; got != want {
		t.Errorf("least recently used: got %d tokens, want %d", got, want)
	}

	if got, want := m.tokens(b), 40; got != want {
		t.Errorf("pinned: got %d tokens, want %d", got, want)
	}

	if got, want := evicted[1], 30; got != want {
		t.Errorf("eviction callback: got %d tokens left, want %d", got, want)
	}
}

func TestClassesAreOrdered(t *testing.T) {
	cases := []struct {
		class setting.Class
		want  int
	}{
		{setting.Urgent, 0}, {setting.Interactive, 1}, {setting.Standard, 2}, {setting.Background, 3},
	}

	for _, c := range cases {
		if got := classRank(c.class); got != c.want {
			t.Errorf("class %d: got %d, want %d", c.class, got, c.want)
		}
	}
}
