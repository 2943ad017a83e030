package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// Guards against a target that gets a burst from entries which were idle for a while, and against
// shares that stay unused although there are requests.
func TestSharesOfAllEntriesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.OneOf(rapid.IntRange(1, 60), rapid.SampledFrom([]int{100, 400})).Draw(r, "entries")
		limit := rapid.Float64Range(0.05, 200).Draw(r, "limit")
		idle := time.Duration(rapid.IntRange(0, 20_000).Draw(r, "idle_ms")) * time.Millisecond
		shares := make([]Share, entries)

		for i := range shares {
			shares[i].Set(epoch, limit, entries, float64(i)/float64(entries))
		}

		const (
			step   = 5 * time.Millisecond
			window = 4 * time.Second
			busy   = 20 * time.Second
		)

		var sent []time.Time

		from, began := 0, epoch.Add(idle)

		for now := began; now.Before(began.Add(busy)); now = now.Add(step) {
			for i := range shares {
				if shares[i].Wait(now) == 0 {
					shares[i].Take(now)

					sent = append(sent, now)
				}
			}

			for len(sent) > from && now.Sub(sent[from]) > window {
				from++
			}

			if got, want := float64(len(sent)-from), 1.5*limit*window.Seconds()+5; got > want {
				r.Fatalf("got %.0f requests in 4 s at a limit of %.2f a second, want %.1f at most", got, limit, want)
			}
		}

		if got, want := float64(len(sent)), 0.8*limit*busy.Seconds()-1; got < want {
			r.Errorf("got %.0f requests in 20 s at a limit of %.2f a second, want %.1f at least", got, limit, want)
		}
	})
}

func TestShareFollowsItsLimit(t *testing.T) {
	var s Share

	if got := s.Wait(epoch); got != 0 {
		t.Errorf("without a limit: got a wait of %v, want none", got)
	}

	s.Set(epoch, 1/usedFraction, 2, 0.5)

	if got, want := s.Wait(epoch), time.Second; got.Round(time.Millisecond) != want {
		t.Errorf("half an interval of 2 s: got %v, want %v", got, want)
	}

	s.Set(epoch, 2/usedFraction, 2, 0)

	if got, want := s.Wait(epoch), 500*time.Millisecond; got.Round(time.Millisecond) != want {
		t.Errorf("twice the limit: got %v, want %v", got, want)
	}

	s.Set(epoch, 0, 2, 0)

	if got := s.Wait(epoch); got != 0 || s.Limit() != 0 {
		t.Errorf("after the limit: got a wait of %v, want none", got)
	}
}

// Guards against a slot that is kept until requests come: an entry could send at once what it did
// not send in the minutes before.
func TestUnusedSlotExpires(t *testing.T) {
	var s Share

	s.Set(epoch, 0.1/usedFraction, 1, 0)

	tests := []struct {
		name string
		at   time.Duration
		want time.Duration
	}{
		{"at its start", 0, 0},
		{"just before its end", slotLife - time.Millisecond, 0},
		{"after its end", time.Second, 9 * time.Second},
		{"in the one after", 10*time.Second + time.Millisecond, 0},
		{"minutes later", 123 * time.Second, 7 * time.Second},
	}

	for _, tt := range tests {
		if got := s.Wait(epoch.Add(tt.at)); got.Round(10*time.Millisecond) != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
