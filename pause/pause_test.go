package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()

	cases := []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{"elapses", context.Background(), time.Hour, true},
		{"cancelled", ended, time.Hour, false},
		{"zero", context.Background(), 0, true},
		{"negative and cancelled", ended, -time.Second, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := For(c.ctx, c.d); got != c.want {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}
