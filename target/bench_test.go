package target

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// sizes are numbers of targets and services: the larger of the present sites, ten times
// as many targets, the size expected in two years, and a single large service.
var sizes = []struct{ targets, services int }{{21, 2}, {210, 4}, {1700, 35}, {1700, 1}}

func rows(targets, services int) []Listed {
	all := make([]Listed, targets)
	for i := range all {
		all[i] = Listed{
			VM: fmt.Sprintf("engine-%04d", i), DataCentre: fmt.Sprintf("dc-%02d", i/services%11), Kind: KindEngine,
			Service: fmt.Sprintf("model-%02d", i%services), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			SideAddress: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), State: Live,
		}
	}

	return all
}

func filledTable(targets, services int) *Table {
	regions := map[string]string{}
	for i := range 11 {
		regions[fmt.Sprintf("dc-%02d", i)] = fmt.Sprintf("region-%d", i%3)
	}

	t := NewTable(TableConfig{Self: "entry-001", DataCentre: "dc-03", Regions: regions})
	all := rows(targets, services)
	t.ObserveList(epoch, all)

	for _, l := range all {
		t.ObserveState(epoch, StateReport{VM: l.VM, BootID: l.VM + "-boot-0123456789abcdef", Sequence: 1, State: Ready, Model: l.Service, WeightVersion: "v1"})
	}

	return t
}

func forEachSize(b *testing.B, f func(b *testing.B, targets, services int)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("targets=%d/services=%d", s.targets, s.services), func(b *testing.B) {
			b.ReportAllocs()
			f(b, s.targets, s.services)
		})
	}
}

func BenchmarkCandidates(b *testing.B) {
	forEachSize(b, func(b *testing.B, targets, services int) {
		t := filledTable(targets, services)
		dst := make([]Target, 0, targets)

		for b.Loop() {
			dst = t.AppendCandidates(epoch, dst[:0], "model-00")
		}
	})
}

func BenchmarkSentAndDone(b *testing.B) {
	forEachSize(b, func(b *testing.B, targets, services int) {
		t := filledTable(targets, services)
		now := epoch

		for b.Loop() {
			now = now.Add(time.Millisecond)
			t.Done(now, t.Sent(now, "engine-0007", 100), Succeeded)
		}
	})
}

func BenchmarkNextToPoll(b *testing.B) {
	forEachSize(b, func(b *testing.B, targets, services int) {
		t := filledTable(targets, services)
		now := epoch

		for b.Loop() {
			now = now.Add(time.Second)
			t.NextToPoll(now, time.Second)
		}
	})
}

func BenchmarkStateReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, targets, services int) {
		t := filledTable(targets, services)
		h := StateReport{VM: "engine-0007", BootID: "engine-0007-boot-0123456789abcdef", Sequence: 1, State: Ready, WeightVersion: "v1"}

		for b.Loop() {
			h.Sequence++
			t.ObserveState(epoch, h)
		}
	})
}

func BenchmarkList(b *testing.B) {
	forEachSize(b, func(b *testing.B, targets, services int) {
		t := filledTable(targets, services)
		all := rows(targets, services)

		for b.Loop() {
			t.ObserveList(epoch, all)
		}
	})
}

func BenchmarkBytes(b *testing.B) {
	forEachSize(b, func(b *testing.B, targets, services int) {
		for b.Loop() {
			before := heap()
			t := filledTable(targets, services)
			b.ReportMetric(float64(heap()-before)/float64(targets), "bytes/target")
			runtime.KeepAlive(t)
		}
	})
}

// heap returns the bytes in use after a garbage collection.
func heap() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}
