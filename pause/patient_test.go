package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A configuration of 320 KB takes two seconds over the smallest link beside other
// traffic. Cut off after one, it is begun anew each time and never in force; left for
// as long as it may take, a connection that fell silent isn't noticed in time.
func TestPatientWaitsForWhatMoves(t *testing.T) {
	tests := []struct {
		name  string
		moves []time.Duration // when it moves on
		want  time.Duration   // when its context ends
	}{
		{"never moves", nil, time.Second},
		{"moves on", []time.Duration{900 * time.Millisecond, 1700 * time.Millisecond}, 2700 * time.Millisecond},
		{"moves too late", []time.Duration{1100 * time.Millisecond}, time.Second},
		{"trickles", []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 2400 * time.Millisecond, 3200 * time.Millisecond}, 3 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()

				outer, stopOuter := Patient(t.Context(), time.Second, 3*time.Second)
				defer stopOuter()

				ctx, stop := Patient(outer, time.Second, 10*time.Second)
				defer stop()

				for _, at := range tt.moves {
					time.AfterFunc(at, func() { Moves(ctx) })
				}

				<-ctx.Done()

				if got := time.Since(began); got != tt.want {
					t.Errorf("got its end after %v, want %v", got, tt.want)
				}
			})
		})
	}
}

func TestPatientEndsWithTheContextAround(t *testing.T) {
	around, cancel := context.WithCancel(context.Background())
	ctx, stop := Patient(around, time.Hour, time.Hour)

	cancel()
	<-ctx.Done()
	stop()
	Moves(ctx) // does nothing any more
	Moves(context.Background())
}
