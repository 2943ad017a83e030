package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A configuration of 320 KB takes two seconds over the slowest link with other traffic.
// With a fixed timeout of one second it would be restarted each time and never come into
// force; with one long enough for any transfer, an unresponsive connection would not be
// detected in time.
func TestIdleTimeoutIsExtendedByProgress(t *testing.T) {
	tests := []struct {
		name     string
		progress []time.Duration // when progress is reported
		want     time.Duration   // when the context ends
	}{
		{"no progress", nil, time.Second},
		{"progress", []time.Duration{900 * time.Millisecond, 1700 * time.Millisecond}, 2700 * time.Millisecond},
		{"progress after the timeout", []time.Duration{1100 * time.Millisecond}, time.Second},
		{"progress until the limit", []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 2400 * time.Millisecond, 3200 * time.Millisecond}, 3 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()

				outer, stopOuter := WithIdleTimeout(t.Context(), time.Second, 3*time.Second)
				defer stopOuter()

				ctx, stop := WithIdleTimeout(outer, time.Second, 10*time.Second)
				defer stop()

				for _, at := range tt.progress {
					time.AfterFunc(at, func() { ReportProgress(ctx) })
				}

				<-ctx.Done()

				if got := time.Since(start); got != tt.want {
					t.Errorf("context ended after %v, want %v", got, tt.want)
				}
			})
		})
	}
}

func TestIdleTimeoutEndsWithParentContext(t *testing.T) {
	parent, cancel := context.WithCancel(context.Background())
	ctx, stop := WithIdleTimeout(parent, time.Hour, time.Hour)

	cancel()
	<-ctx.Done()
	stop()
	ReportProgress(ctx) // has no effect after the end
	ReportProgress(context.Background())
}
