package quarantine

import (
	"fmt"
	"runtime"
	"testing"
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
