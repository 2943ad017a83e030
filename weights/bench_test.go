package weights

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the larger site of today, ten times as many engines, and the size expected
// in two years.
var sizes = []struct{ engines, models int }{{18, 1}, {180, 4}, {1700, 35}}

func filledInventory(engines, models int) (*Inventory, []Wanted) {
	inventory := NewInventory(InventoryConfig{})

	var wanted []Wanted
	for i := range models {
		wanted = append(wanted, Wanted{Model: fmt.Sprint(i), Version: "v2", MinReady: engines / models / 2})
	}

	for i := range engines {
		inventory.RecordReport(epoch, Report{
			VM: fmt.Sprintf("engine-%04d", i), DataCentre: fmt.Sprintf("dc-%02d", i%11), Model: fmt.Sprint(i % models),
			Boot: "1", Sequence: 1, Version: "v1", Fence: 1, StateAge: time.Hour,
		})
	}

	return inventory, wanted
}

func forEachSize(b *testing.B, f func(b *testing.B, engines, models int)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("engines=%d/models=%d", s.engines, s.models), func(b *testing.B) {
			b.ReportAllocs()
			f(b, s.engines, s.models)
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	forEachSize(b, func(b *testing.B, engines, models int) {
		inventory, wanted := filledInventory(engines, models)
		v := inventory.View(epoch, wanted, 1, epoch)

		for b.Loop() {
			Plan(epoch, Config{}, v)
		}
	})
}

func BenchmarkView(b *testing.B) {
	forEachSize(b, func(b *testing.B, engines, models int) {
		inventory, wanted := filledInventory(engines, models)

		for b.Loop() {
			inventory.View(epoch, wanted, 1, epoch)
		}
	})
}
