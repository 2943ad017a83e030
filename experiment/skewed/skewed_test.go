package skewed

import (
	"strings"
	"testing"
	"time"
)

// Guards against a model that fails requests which no resource was too small for, or none where one entry
// gets many times its share.
func TestOnlySkewExhaustsResources(t *testing.T) {
	for _, r := range Resources() {
		even := Simulate(Deployment{Entries: 24, Share: 1.0 / 24, Reopen: 1, For: 3 * time.Second}, r, 1)
		if even.Before < 0.9 || even.Rate < 0.95 || even.Rate > 1.05 {
			t.Errorf("%s, even: got %+v, want the rate of before", r, even)
		}
	}

	for _, r := range []Resource{Processor, Connections, TargetLimits} {
		if got := Simulate(Deployment{Entries: 24, Share: 0.95, Reopen: 1, For: 10 * time.Second}, r, 1); got.Rate > 0.5 || got.EndedAfter < 0 {
			t.Errorf("%s, skewed: got %+v, want half the rate at most", r, got)
		}

		if got := Simulate(Deployment{Entries: 24, Share: 0.95, Reopen: 0, For: 3 * time.Second}, r, 1); got.Rate < 0.95 {
			t.Errorf("%s, no new connections: got %+v, want the rate of before", r, got)
		}
	}
}

func TestTableHasAllResources(t *testing.T) {
	var b strings.Builder

	if err := writeResource(&b, Deployments()[0], Processor, 1, 1); err != nil {
		t.Fatal(err)
	}

	if got := b.String(); !strings.HasPrefix(got, "  processor ") {
		t.Errorf("got %q, want a line of the processor", got)
	}
}
