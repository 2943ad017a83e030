package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"boragehub/setting"
)

// organisationCounts are the current number of organisations, ten times as many, and the number
// expected in two years.
var organisationCounts = []int{10, 100, 10000}

func forEachCount(b *testing.B, f func(b *testing.B, organisations int)) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, n)
		})
	}
}

// filledGate returns a gate in which each organisation holds one place, and one request of each
// organisation.
func filledGate(organisations int, places float64) (*Gate, []Request) {
	g := NewGate(GateConfig{Places: places})
	all := make([]Request, organisations)

	for i := range all {
		all[i] = Request{Organisation: fmt.Sprintf("organisation-%05d", i), Class: setting.Urgent, Rate: 1e9, Burst: 1 << 30}
		_, _ = g.Admit(epoch, all[i])
	}

	return g, all
}

func BenchmarkAdmit(b *testing.B) {
	forEachCount(b, func(b *testing.B, organisations int) {
		g, all := filledGate(organisations, 1e9)
		now, i := epoch, 0

		for b.Loop() {
			now = now.Add(time.Millisecond)
			p, _ := g.Admit(now, all[i%len(all)])
			g.Release(now, p)

			i++
		}
	})
}

// BenchmarkRefuse sends a request each millisecond while all places are held, so that the fair
// level is recomputed for every twentieth request. All organisations hold a place, which is more
// than one entry sees at once.
func BenchmarkRefuse(b *testing.B) {
	forEachCount(b, func(b *testing.B, organisations int) {
		g, all := filledGate(organisations, float64(organisations)*1.05)
		benchRefusals(b, g, all)
	})
}

// BenchmarkRefuseFew does the same with 120 organisations that hold a place while all others have
// been idle for a minute, about what one entry of 420 sees.
func BenchmarkRefuseFew(b *testing.B) {
	forEachCount(b, func(b *testing.B, organisations int) {
		g, all := filledGate(organisations, 1e9)
		few := min(120, organisations)

		for _, a := range g.accounts {
			a.used = 0
		}

		g.used = 0
		later := epoch.Add(time.Minute)

		for i := range few {
			_, _ = g.Admit(later, all[i])
		}

		g.SetPlaces(later, float64(few)*1.05)
		benchRefusals(b, g, all[:few])
	})
}

func benchRefusals(b *testing.B, g *Gate, all []Request) {
	now, i := epoch.Add(time.Minute), 0

	for b.Loop() {
		now = now.Add(time.Millisecond)
		p, err := g.Admit(now, all[i%len(all)])

		if err == nil {
			g.Release(now, p)
		}

		i++
	}
}

func BenchmarkMemoryPerOrganisation(b *testing.B) {
	forEachCount(b, func(b *testing.B, organisations int) {
		for b.Loop() {
			before := heapInUse()
			g, all := filledGate(organisations, 1e9)
			b.ReportMetric(float64(heapInUse()-before)/float64(organisations), "bytes/organisation")
			runtime.KeepAlive(g)
			runtime.KeepAlive(all)
		}
	})
}

func heapInUse() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}
