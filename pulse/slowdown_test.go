package pulse

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// startedEngine is an engine whose start time can be set.
type startedEngine struct {
	mu        sync.Mutex
	startedMs int64
}

func (e *startedEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.startedMs++
}

func (e *startedEngine) Report(context.Context, string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return Report{StartedMs: e.startedMs}, nil
}

// One entry sees in a response that a host is slow. Guards against the other entries sending work there,
// and against figures of a previous start of the engine.
func TestSlowdownAndSpeedReachAllEntries(t *testing.T) {
	e := &startedEngine{startedMs: 1}

	r, err := NewReporter(ReporterConfig{Address: "127.0.0.1:0", Engine: e, EngineAddress: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go r.Run(ctx)

	listen := func(speed, samples int) (*Listener, <-chan Report) {
		got := make(chan Report, 1000)

		l, err := Listen(ListenerConfig{
			Address: "127.0.0.1:0", Port: r.conn.LocalAddr().(*net.UDPAddr).Port,
			Engines:  func() ([]string, time.Duration) { return []string{"127.0.0.1:9"}, MinInterval },
			Speed:    func(string) (int, int) { return speed, samples },
			OnReport: func(_ time.Time, p Report) { got <- p },
		})
		if err != nil {
			t.Fatal(err)
		}

		go l.Run(ctx)

		return l, got
	}

	await := func(got <-chan Report, pass func(Report) bool) Report {
		t.Helper()

		for end := time.After(10 * time.Second); ; {
			select {
			case p := <-got:
				if pass(p) {
					return p
				}
			case <-end:
				t.Fatal("got no such load report")
			}
		}
	}

	first, _ := listen(200, 32)
	_, second := listen(0, 0)

	if p := await(second, func(p Report) bool { return p.Speed > 0 }); p.Slowdown != 0 || p.Speed != 174 {
		t.Errorf("got slowdown %d and speed %d, want none and 174 (2 to the power of 32/40)", p.Slowdown, p.Speed)
	}

	first.Notify("127.0.0.1:9", Subscription{Slowdown: 250})

	if p := await(second, func(p Report) bool { return p.Slowdown > 0 }); p.Slowdown != 250 || p.Speed != 174 {
		t.Errorf("got slowdown %d and speed %d, want 250 and 174", p.Slowdown, p.Speed)
	}

	e.restart()

	if p := await(second, func(p Report) bool { return p.StartedMs == 2 }); p.Slowdown != 0 {
		t.Errorf("after a restart: got slowdown %d, want none", p.Slowdown)
	}
}

// Guards against false figures of other builds, against a report that makes old figures look new, and
// against estimates of entries that have gone.
func TestReportsHaveTheNewestValidFigures(t *testing.T) {
	now := time.Unix(100, 0)
	r := &Reporter{subscribers: map[string]subscriber{}}

	steps := []struct {
		name         string
		at           time.Duration
		port         int
		subscription Subscription
		own          int // slowdown in the engine's response to the query
		want         Report
	}{
		{"nothing known", 0, 1, Subscription{}, 0, Report{}},
		{"figures", 0, 1, Subscription{Slowdown: 250, Speed: 130, SpeedSamples: 32}, 0, Report{Slowdown: 250, Speed: 123}},
		{"older", 200 * time.Millisecond, 1, Subscription{Speed: 130, SpeedSamples: 32}, 0, Report{Slowdown: 250, SlowdownAgeMs: 200, Speed: 123}},
		{"false", 200 * time.Millisecond, 2, Subscription{Slowdown: -5, Speed: -5, SpeedSamples: 1 << 40}, 0, Report{Slowdown: 250, SlowdownAgeMs: 200, Speed: 123}},
		{"huge", 200 * time.Millisecond, 2, Subscription{Slowdown: 1 << 40, Speed: 1 << 40, SpeedSamples: 9}, 0, Report{Slowdown: 250, SlowdownAgeMs: 200, Speed: 123}},
		{"newer", 300 * time.Millisecond, 2, Subscription{Slowdown: 100, Speed: 100, SpeedSamples: 32}, 0, Report{Slowdown: 100, Speed: 113}},
		{"own", 400 * time.Millisecond, 2, Subscription{Speed: 100, SpeedSamples: 32}, 180, Report{Slowdown: 180, Speed: 113}},
		{"estimate withdrawn", 400 * time.Millisecond, 1, Subscription{}, 0, Report{Slowdown: 180, Speed: 100}},
	}

	for _, tt := range steps {
		at := now.Add(tt.at)
		r.subscribe(at, &net.UDPAddr{Port: tt.port}, tt.subscription)

		got := Report{Slowdown: tt.own}
		r.fillCapacity(at, &got)

		if got.Slowdown != tt.want.Slowdown || got.SlowdownAgeMs != tt.want.SlowdownAgeMs || got.Speed != tt.want.Speed {
			t.Errorf("%s: got %d, %d ms, %d; want %d, %d ms, %d", tt.name, got.Slowdown, got.SlowdownAgeMs, got.Speed,
				tt.want.Slowdown, tt.want.SlowdownAgeMs, tt.want.Speed)
		}
	}

	r.subscribe(now, &net.UDPAddr{Port: 2}, Subscription{Slowdown: 250, Speed: 200, SpeedSamples: 32})
	r.forgetCapacity()

	var restarted Report
	if r.fillCapacity(now, &restarted); restarted.Slowdown != 0 || restarted.Speed != 0 {
		t.Errorf("after a restart: got %+v, want no figures", restarted)
	}

	r.subscribe(now, &net.UDPAddr{Port: 2}, Subscription{Speed: 200, SpeedSamples: 32})
	r.due(now.Add(2 * subscriptionTTL))

	var got Report
	if r.fillCapacity(now.Add(2*subscriptionTTL), &got); got.Speed != 0 {
		t.Errorf("without entries: got speed %d, want none", got.Speed)
	}
}
