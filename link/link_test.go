package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// rate is one byte per microsecond.
const rate = 1e6

// Windows must not overlap. Otherwise both transfers would be late, and the
// estimates of the time to first token that rely on them wrong.
func TestWindowsDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{BytesPerSecond: rate, MaxWindows: 12})
		now := epoch

		var live []uint64

		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				q := Request{
					Bytes:        rapid.Int64Range(0, 5e6).Draw(t, "bytes"),
					Class:        Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
					MaxEnd:       time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "latest")),
				}
				n := l.Len()

				w, ok := l.Reserve(now, q)
				if !ok {
					if q.MaxEnd == 0 && n < 12 && l.Len() < n {
						t.Fatal("refused although there is capacity for a window")
					}

					return
				}

				if q.MaxEnd > 0 && w.End.Sub(now) > q.MaxEnd {
					t.Fatalf("end: got %v, want at most %v", w.End.Sub(now), q.MaxEnd)
				}

				live = append(live, w.ID)
			},
			"done": func(t *rapid.T) {
				if len(live) > 0 {
					l.Done(now, rapid.SampledFrom(live).Draw(t, "id"), rapid.Int64Range(0, 50<<20).Draw(t, "sent"))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "wait")))
			},
			"": func(t *rapid.T) { checkSchedule(t, l, now) },
		})
	})
}

func checkSchedule(t *rapid.T, l *Link, now time.Time) {
	l.advance(now)

	all := l.Windows(nil)
	for i, w := range all {
		if w.Start.After(now) && w.Duration() < time.Duration(w.Bytes)*time.Microsecond {
			t.Fatalf("window %d: got duration %v for %d bytes, want one that is long enough", w.ID, w.Duration(), w.Bytes)
		}

		if i == 0 {
			continue
		}

		before := all[i-1]
		if w.Start.Before(before.End) {
			t.Fatalf("windows %d and %d overlap", before.ID, w.ID)
		}

		if before.Start.After(now) && w.Class < before.Class {
			t.Fatalf("window %d of class %v is scheduled before class %v", before.ID, before.Class, w.Class)
		}
	}
}

func TestImportsGoBeforeExports(t *testing.T) {
	l := New(Config{BytesPerSecond: rate})
	running, _ := l.Reserve(epoch, Request{Bytes: 1e6, Class: Export})
	export, _ := l.Reserve(epoch, Request{Bytes: 1e6, Class: Export})
	estimate := l.Estimate(epoch, 1e6)
	imported, _ := l.Reserve(epoch, Request{Bytes: 1e6, Class: Import})

	if got, want := imported.Start, running.End; !got.Equal(want) {
		t.Errorf("import: got start %v, want %v", got, want)
	}

	if got, want := imported.End.Sub(epoch), estimate; got != want {
		t.Errorf("import: got end %v, want the estimate %v", got, want)
	}

	export, _ = l.Window(epoch, export.ID)
	if got, want := export.Start, imported.End; !got.Equal(want) {
		t.Errorf("export: got start %v, want %v", got, want)
	}
}

// A transfer ends early, or its process crashes and never reports the end. The
// other windows must move forward, or the link would be idle while callers wait.
func TestEarlyLateAndLostTransfers(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
		done  bool
		want  time.Duration
	}{
		{"early", 500 * time.Millisecond, true, 500 * time.Millisecond},
		{"late", 2 * time.Second, false, 2250 * time.Millisecond},
		{"lost", 4 * time.Second, false, 4 * time.Second},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Config{BytesPerSecond: rate})
			first, _ := l.Reserve(epoch, Request{Bytes: 1e6})
			now := epoch.Add(c.after)

			if c.done {
				l.Cancel(now, first.ID)
			}

			w, _ := l.Reserve(now, Request{Bytes: 1e6})
			if got := w.Start.Sub(epoch).Truncate(time.Microsecond); got != c.want {
				t.Errorf("start: got %v, want %v", got, c.want)
			}
		})
	}
}

// One organisation fills the link with imports. A single import of another
// organisation must not wait for all of them.
func TestOrganisationsShare(t *testing.T) {
	l := New(Config{BytesPerSecond: rate})
	for range 20 {
		l.Reserve(epoch, Request{Bytes: 1e6, Organisation: "large"})
	}

	w, _ := l.Reserve(epoch, Request{Bytes: 1e6, Organisation: "small"})
	if got, want := w.Start.Sub(epoch), 2*time.Second; got > want {
		t.Errorf("start: got %v, want at most %v", got, want)
	}
}

// An import of many gigabytes is reserved just before a short, more urgent one.
// The short one must wait for one chunk and not for the whole transfer.
func TestUrgentImportGoesBetweenChunks(t *testing.T) {
	l := New(Config{BytesPerSecond: rate, ChunkBytes: 1e6})
	file := l.ReserveChunks(epoch, Request{Bytes: 5_500_000, Rank: 2}, nil)

	if got, want := len(file), 6; got != want {
		t.Fatalf("chunks: got %d, want %d", got, want)
	}

	w, _ := l.Reserve(epoch, Request{Bytes: 1e5})
	if got, want := w.Start.Sub(epoch), time.Second; got != want {
		t.Errorf("urgent import: got start %v, want %v", got, want)
	}

	last, _ := l.Window(epoch, file[5])
	if got, want := last.End.Sub(epoch), 5600*time.Millisecond; got != want {
		t.Errorf("last chunk: got end %v, want %v", got, want)
	}
}

// The rate of a link drops to a tenth. If the drop were not measured, callers
// would wait for imports that take ten times as long as recomputing; if the
// measurement did not decay, the link would never be used again.
func TestRateMeasurementDecays(t *testing.T) {
	const best = 1e9

	l := New(Config{BytesPerSecond: best})
	now := epoch

	for range 20 {
		w, _ := l.Reserve(now, Request{Bytes: best})
		now = now.Add(10 * time.Second)
		l.Done(now, w.ID, best)
	}

	if got, want := l.Rate(now), 0.4*best; got > want {
		t.Errorf("rate after slow transfers: got %v, want at most %v", got, want)
	}

	if got, want := l.Rate(now.Add(3*time.Minute)), 0.99*best; got < want {
		t.Errorf("rate three minutes later: got %v, want at least %v", got, want)
	}

	if got, want := l.Estimate(now, best), 2*time.Second; got < want {
		t.Errorf("estimate after slow transfers: got %v, want at least %v", got, want)
	}
}

func BenchmarkReserve(b *testing.B) {
	l := New(Config{BytesPerSecond: rate})
	for range 32 {
		l.Reserve(epoch, Request{Bytes: 1e6, Organisation: "a"})
	}

	b.ReportAllocs()

	for b.Loop() {
		w, _ := l.Reserve(epoch, Request{Bytes: 1e6, Organisation: "b"})
		l.Cancel(epoch, w.ID)
	}
}
