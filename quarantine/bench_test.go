package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// crashCounts are numbers of crashes within a day, with 32 requests each: a bad day at the
// present size, a lost data centre of 155 engines, and the default of MaxCrashes.
var crashCounts = []int{5, 155, 1024}

const requestsPerCrash = 32

func newFilledTracker(crashes int) *Tracker {
	tr := NewTracker(TrackerConfig{})

	for i := range crashes {
		var all []Fingerprint
		for j := range requestsPerCrash {
			all = append(all, fingerprint(i*requestsPerCrash+j))
		}

		tr.RecordCrash(epoch, crashOf(i, epoch, all...))
	}

	return tr
}

func forEachSize(b *testing.B, f func(b *testing.B, crashes int)) {
	for _, n := range crashCounts {
		b.Run(fmt.Sprintf("crashes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, n)
		})
	}
}

func BenchmarkCheckClear(b *testing.B) {
	forEachSize(b, func(b *testing.B, crashes int) {
		tr := newFilledTracker(crashes)
		f := fingerprint(-1)

		for b.Loop() {
			_, _ = tr.Check(epoch, f)
		}
	})
}

func BenchmarkCheckSuspect(b *testing.B) {
	forEachSize(b, func(b *testing.B, crashes int) {
		tr := newFilledTracker(crashes)
		f := fingerprint(0)

		for b.Loop() {
			_, _ = tr.Check(epoch, f)
		}
	})
}

func BenchmarkOf(b *testing.B) {
	b.ReportAllocs()

	content := make([]byte, 32<<10)
	b.SetBytes(int64(len(content)))

	for b.Loop() {
		FingerprintOf("bureau", content)
	}
}

func BenchmarkMemoryPerFingerprint(b *testing.B) {
	forEachSize(b, func(b *testing.B, crashes int) {
		for b.Loop() {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&before)

			tr := newFilledTracker(crashes)

			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(crashes*requestsPerCrash), "bytes/fingerprint")
			runtime.KeepAlive(tr)
		}
	})
}

// newFilledPartTracker returns a tracker with crashes of 32 parts each, of which some had two or three of them.
func newFilledPartTracker(crashes int) *PartTracker {
	tr := NewPartTracker(PartTrackerConfig{MaxCrashes: crashes})

	for i := range crashes {
		at := seconds(float64(i))
		k := crashedAt(i, at)
		k.Beside = Tally{20, 200}

		for j := range requestsPerCrash {
			k.Parts = append(k.Parts, fmt.Sprint(i/3, "/", j))
		}

		tr.RecordCrash(at, k)
	}

	return tr
}

func BenchmarkCheckParts(b *testing.B) {
	for _, crashes := range []int{5, 1024, 10_000} {
		tr := newFilledPartTracker(crashes)
		now := seconds(float64(crashes))

		for _, tt := range []struct {
			name  string
			parts []string
		}{{"clear", []string{"x", "y", "z"}}, {"suspect", []string{"x", "0/1", "0/2"}}} {
			b.Run(fmt.Sprintf("crashes=%d/%s", crashes, tt.name), func(b *testing.B) {
				b.ReportAllocs()

				for b.Loop() {
					tr.Check(now, tt.parts)
				}
			})
		}
	}
}

func BenchmarkRecordPartCompletion(b *testing.B) {
	tr := newFilledPartTracker(10_000)
	parts := []string{"x", "y", "z"}

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		tr.RecordCompletion(seconds(10_000).Add(time.Duration(i)), parts)
	}
}

func BenchmarkFingerprintOfRequest(b *testing.B) {
	r := Request{"ferry", "desk", "POST", "/seat/1?x=2", make([]byte, 4096)}

	b.ReportAllocs()

	for b.Loop() {
		_ = r.Fingerprint()
		_ = r.PathPart("/seat/1")
	}
}
