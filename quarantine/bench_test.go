package quarantine

import (
	"fmt"
	"runtime"
	"testing"
)

// sizes are crashes within a day, with 32 requests each: a bad day of today, one
// with a lost data centre of 155 engines, and the bound.
var sizes = []int{5, 155, 1024}

const running = 32

func filled(crashes int) *Tracker {
	w := NewTracker(TrackerConfig{})

	for i := range crashes {
		var all []Fingerprint
		for j := range running {
			all = append(all, request(i*running+j))
		}

		w.Crashed(epoch, crashOf(i, epoch, all...))
	}

	return w
}

func each(b *testing.B, f func(b *testing.B, crashes int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("crashes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, n)
		})
	}
}

func BenchmarkCheckClear(b *testing.B) {
	each(b, func(b *testing.B, crashes int) {
		w := filled(crashes)
		f := request(-1)

		for b.Loop() {
			_, _ = w.Check(epoch, f)
		}
	})
}

func BenchmarkCheckSuspect(b *testing.B) {
	each(b, func(b *testing.B, crashes int) {
		w := filled(crashes)
		f := request(0)

		for b.Loop() {
			_, _ = w.Check(epoch, f)
		}
	})
}

func BenchmarkOf(b *testing.B) {
	b.ReportAllocs()

	content := make([]byte, 32<<10)
	b.SetBytes(int64(len(content)))

	for b.Loop() {
		Of("bureau", content)
	}
}

func BenchmarkBytes(b *testing.B) {
	each(b, func(b *testing.B, crashes int) {
		for b.Loop() {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&before)

			w := filled(crashes)

			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(crashes*running), "bytes/fingerprint")
			runtime.KeepAlive(w)
		}
	})
}
