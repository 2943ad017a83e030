package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// at returns the time some ms after the epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// review is a long prompt that arrives at a time in ms, with a latency target of 1 s and a deadline
// of 10 s; seat is a short one with 250 ms and 3 s.
func review(organisation string, rank, ms int) Prompt {
	return Prompt{Organisation: organisation, Rank: rank, MemoryTokens: 17_000, LatencyTarget: time.Second, Target: at(ms + 1000), Deadline: at(ms + 10_000)}
}

func seat(organisation string, rank, ms int) Prompt {
	return Prompt{Organisation: organisation, Rank: rank, Short: true, MemoryTokens: 400, LatencyTarget: 250 * time.Millisecond, Target: at(ms + 250), Deadline: at(ms + 3000)}
}

// order returns the names of the prompts tried in a round in which all fail, in order.
func order(q *Queue, now time.Time, names map[*Ticket]string) []string {
	var got []string

	q.StartRound(now)

	for t := q.Next(now); t != nil; t = q.Next(now) {
		got = append(got, names[t])
		q.Failed(t, t.prompt.Obstacle)
	}

	return got
}

func TestOrderOfWaitingPrompts(t *testing.T) {
	started := review("a", 5, 0)
	started.Started = true

	late := review("a", 0, 0)
	late.Obstacle.Late = true

	soonerDeadline := late
	soonerDeadline.Deadline = at(4000)

	tests := []struct {
		name   string
		inUse  map[string]int
		enter  []Prompt // in the order in which they are to be tried, but entered last first
		now    int
		ranked []string
	}{
		{"burst of 2.2 times, a third of the engines gone: ranks first, then the end of the target", nil,
			[]Prompt{started, seat("a", 0, 0), review("a", 0, 0), review("a", 0, 20), seat("a", 1, 0)}, 30, nil},
		{"one organisation sends tenfold and holds nearly all memory", map[string]int{"flood": 170_000, "quiet": 17_000},
			[]Prompt{review("quiet", 0, 50), review("flood", 0, 0), review("flood", 0, 10), review("flood", 0, 20)}, 60, nil},
		{"both have their share: neither goes first", map[string]int{"flood": 51_000, "quiet": 51_000},
			[]Prompt{review("flood", 0, 0), review("quiet", 0, 10), review("flood", 0, 20), review("quiet", 0, 30)}, 60, nil},
		{"everything is late: by deadline", nil,
			[]Prompt{seat("a", 0, 0), review("a", 0, -500), review("a", 0, 0), review("a", 0, 100)}, 1200, nil},
		{"what can be on time goes before what can't", nil,
			[]Prompt{review("a", 0, 100), soonerDeadline, late}, 200, nil},
		{"late ones of a better rank go before others", nil, []Prompt{late, review("a", 1, 0)}, 200, nil},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Config{})
			for name, tokens := range tt.inUse {
				q.Use(name, tokens)
			}

			names := map[*Ticket]string{}

			var want []string

			for i, p := range slices.Backward(tt.enter) {
				p.MemoryTokens -= i // each is smaller than those before it, so that none is left out
				x, refused := q.Enter(at(tt.now), p)
				names[x] = fmt.Sprint(i)

				if len(refused) > 0 {
					t.Fatalf("got a refusal: %v", refused[0].Reason)
				}
			}

			for i := range tt.enter {
				want = append(want, fmt.Sprint(i))
			}

			if got := order(q, at(tt.now), names); !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// One organisation sends ten times as many prompts as another one. Guards against a queue that it
// fills and in which the other one's prompts wait behind all of them: while both have prompts
// waiting, each gets half of the memory.
func TestOrganisationThatSendsTenfoldGetsHalf(t *testing.T) {
	q := New(Config{})

	for i := range 40 {
		q.Enter(at(i), review("flood", 0, i))
	}

	for i := range 8 {
		q.Enter(at(40+i), review("quiet", 0, 40+i))
	}

	for range 12 {
		q.StartRound(at(100))
		x := q.Next(at(100))
		q.Admit(at(100), x)
		q.Use(x.prompt.Organisation, x.prompt.MemoryTokens)
	}

	if flood, quiet := q.InUse("flood"), q.InUse("quiet"); flood-quiet > 17_000 || quiet-flood > 17_000 {
		t.Errorf("got %d and %d tokens in use, want the same but for one prompt", flood, quiet)
	}
}

// Many prompts arrive together and most find no engine. Guards against a round that ends without
// having tried the only prompt that fits.
func TestSmallestPromptIsTriedInEachRound(t *testing.T) {
	tests := []struct {
		name    string
		shrinks int // by how many tokens each prompt is smaller than the one before
		want    int
	}{
		{"equal sizes", 0, orderedFailures + 1},
		{"each smaller than the one before", 10, maxFailures},
	}

	for _, tt := range tests {
		q := New(Config{})

		for i := range 60 {
			p := review("a", 0, i)
			p.MemoryTokens -= i * tt.shrinks
			q.Enter(at(0), p)
		}

		small := review("a", 0, 60)
		small.MemoryTokens = 2000
		x, _ := q.Enter(at(0), small)

		got := order(q, at(0), map[*Ticket]string{x: "small"})
		if len(got) != tt.want || got[len(got)-1] != "small" {
			t.Errorf("%s: got %d prompts tried, %q, want %d with the smallest last", tt.name, len(got), got, tt.want)
		}
	}
}

// Tries of long prompts take long, since processes beside engines are unresponsive. Guards against
// short prompts that wait for all of them.
func TestSlowRoundGoesOnWithShortPrompts(t *testing.T) {
	q := New(Config{})

	for i := range 3 {
		q.Enter(at(0), review("a", 0, i))
	}

	short, _ := q.Enter(at(0), seat("a", 1, 0))

	q.StartRound(at(0))
	q.Failed(q.Next(at(0)), Obstacle{})

	if got := q.Next(at(30)); got != short {
		t.Errorf("got %v, want the short prompt", got)
	}
}

// A long prompt is at the head while shorter long ones fit. Guards against a prompt that is passed
// until its deadline: it gets the next capacity of its size.
func TestOvertakenPromptGetsAReservation(t *testing.T) {
	q := New(Config{})
	large := review("a", 0, 0)
	large.MemoryTokens = 60_000
	head, _ := q.Enter(at(0), large)

	for i := 1; i < 6; i++ {
		q.Enter(at(i), review("a", 0, i))
	}

	q.Enter(at(10), seat("a", 0, 10))
	q.Enter(at(10), review("a", 1, 10))

	// In each round, all but the large one find an engine.
	round := func(ms, most int) (sent []Prompt) {
		q.StartRound(at(ms))

		for x := q.Next(at(ms)); x != nil && len(sent) < most; x = q.Next(at(ms)) {
			if x == head {
				q.Failed(x, Obstacle{})
			} else {
				q.Admit(at(ms), x)

				sent = append(sent, x.prompt)
			}
		}

		return sent
	}

	if got := round(50, 2); len(got) != 2 {
		t.Fatalf("got %d sent, want 2", len(got))
	}

	better, _ := q.Enter(at(299), review("b", 0, 299))
	better.prompt.Rank = -1 // a better rank than that of the one with the reservation

	q.Enter(at(299), seat("b", 1, 299))

	if got := round(301, 9); len(got) != 2 || got[0] != better.prompt || !got[1].Short {
		t.Errorf("with a reservation: got %v sent, want the one of a better rank and the short one only", got)
	}

	if q.Holder(at(302)) != head {
		t.Error("got no reservation for the prompt that was overtaken")
	}

	if got := round(1400, 9); len(got) == 0 {
		t.Error("the reservation is as old as a latency target: got none sent, want the others to go on")
	}
}

// Guards against short prompts that wait behind long ones, and against long ones that pass.
func TestNewPromptsOvertakeOnlyWhereAllowed(t *testing.T) {
	started := review("a", 1, 0)
	started.Started = true

	tests := []struct {
		name    string
		waiting []Prompt
		p       Prompt
		want    bool
	}{
		{"nobody waits", nil, review("a", 1, 0), true},
		{"long one waits", []Prompt{review("a", 1, 0)}, review("b", 1, 0), false},
		{"short past long", []Prompt{review("a", 1, 0)}, seat("a", 1, 0), true},
		{"short past short", []Prompt{seat("a", 1, 0)}, seat("a", 1, 0), false},
		{"better rank", []Prompt{seat("a", 1, 0)}, review("a", 0, 0), true},
		{"worse rank", []Prompt{seat("a", 0, 0)}, seat("a", 1, 0), false},
		{"stream that has started", []Prompt{seat("a", 0, 0)}, started, true},
	}

	for _, tt := range tests {
		q := New(Config{})
		for _, p := range tt.waiting {
			q.Enter(at(0), p)
		}

		if got := q.MayPass(tt.p); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// admitEvery makes the queue's rate one admission each ms milliseconds, while one prompt waits on. It
// returns the time of the last one.
func admitEvery(q *Queue, ms int) int {
	now := 0

	for range ratedAdmissions {
		q.Enter(at(now), seat("a", 9, now))
		now += ms
		q.StartRound(at(now))
		q.Admit(at(now), q.Next(at(now)))
	}

	return now
}

// Guards against callers that are held although it is known that they can't be served, and against
// refusals while nothing is known yet.
func TestPromptsThatCanNotBeSentInTimeAreRefused(t *testing.T) {
	leaving := review("a", 0, 0)
	leaving.LeavesAt = at(1000)

	throttled := review("a", 0, 0)
	throttled.Obstacle.NotBefore = at(5001)

	tests := []struct {
		name   string
		each   int // ms between admissions; 0 for no known rate
		ahead  int
		p      Prompt
		want   Reason
		refuse bool
	}{
		{"nothing is known of the rate", 0, 200, review("a", 0, 0), 0, false},
		{"the queue moves fast", 20, 200, review("a", 0, 0), 0, false},
		{"the queue moves slowly", 30, 200, review("a", 0, 0), ExpectedWait, true},
		{"the queue moves slowly, but a short prompt passes all others", 30, 200, seat("a", 0, 2000), 0, false},
		{"better rank than the others", 30, 200, review("a", -1, 0), 0, false},
		{"the caller leaves soon", 20, 30, leaving, ExpectedWait, true},
		{"engines take nothing before half of the time", 0, 0, throttled, ExpectedWait, true},
		{"full", 0, DefaultSize, review("a", 0, 0), Full, true},
		{"full, of worse ranks: the last of these is refused", 0, DefaultSize, review("a", -1, 0), Full, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, now := New(Config{}), 0
			if tt.each > 0 {
				now = admitEvery(q, tt.each)
			}

			shift := func(p Prompt) Prompt {
				d := at(now).Sub(at(0))
				p.Rank, p.Target, p.Deadline = p.Rank+1, p.Target.Add(d), p.Deadline.Add(d)

				if !p.LeavesAt.IsZero() {
					p.LeavesAt = p.LeavesAt.Add(d)
				}

				return p
			}

			for i := range tt.ahead {
				p := shift(review("a", 0, -1))
				p.Deadline = at(1 << 30)

				if _, refused := q.Enter(at(now), p); len(refused) > 0 {
					t.Fatalf("number %d: got a refusal (%v)", i, refused[0].Reason)
				}
			}

			x, refused := q.Enter(at(now), shift(tt.p))
			if (len(refused) > 0) != tt.refuse {
				t.Fatalf("got refusals %v, want %v", refused, tt.refuse)
			}

			if !tt.refuse {
				return
			}

			r := refused[0]
			if r.Reason != tt.want || (r.Ticket != x) != (tt.p.Rank < 0) {
				t.Errorf("got reason %v for the new one %v, want %v", r.Reason, r.Ticket == x, tt.want)
			}

			if r.RetryAfter <= 0 || q.Len() > DefaultSize {
				t.Errorf("got Retry-After %v and %d waiting", r.RetryAfter, q.Len())
			}
		})
	}
}

// A third of the engines crashes while prompts wait. Guards against prompts that go on waiting when
// their number and the new rate show that they can't be sent: the last in order are refused as soon
// as that is so, and the first ones stay.
func TestWaitingPromptsAreRefusedLastFirst(t *testing.T) {
	q := New(Config{})
	now := admitEvery(q, 20)

	var all []*Ticket

	for i := range 100 {
		x, refused := q.Enter(at(now), review("a", 0, now+i))
		if len(refused) > 0 {
			t.Fatalf("got a refusal of number %d", i)
		}

		all = append(all, x)
	}

	// Nothing is admitted for 0.9 s: 1.2 s for 16 admissions gives 13 a second.
	refused := q.Sweep(at(now + 900))
	if len(refused) == 0 || len(refused) == len(all) {
		t.Fatalf("got %d refused, want some", len(refused))
	}

	for i, r := range refused {
		if r.Ticket != all[len(all)-1-i] || r.Reason != ExpectedWait {
			t.Fatalf("refusal %d: got another prompt or reason (%v), want the last in order first", i, r.Reason)
		}

		if i > 0 && r.RetryAfter >= refused[i-1].RetryAfter {
			t.Errorf("refusal %d: got Retry-After %v, want it before %v of the one behind it", i, r.RetryAfter, refused[i-1].RetryAfter)
		}
	}

	if got := q.Sweep(at(now + 5001)); len(got) != len(all)-len(refused) || got[len(got)-1].Reason != HalfTime {
		t.Errorf("after half of the time: got %d refused, want all", len(got))
	}

	if q.Len() != 0 {
		t.Errorf("got %d waiting, want none", q.Len())
	}
}

// Callers are refused one after the other. Guards against their return at the same moment, and
// against a return so late that nothing can be served any more.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	q := New(Config{})
	now := admitEvery(q, 50)

	for range 120 {
		p := review("a", 0, now)
		p.Deadline = at(1 << 30)
		q.Enter(at(now), p)
	}

	limit := 11 * time.Second / 3

	var before time.Duration

	for i := range 80 {
		p := review("a", 1, now)
		p.Deadline = at(now + 11_000)
		_, refused := q.Enter(at(now), p)

		got := refused[0].RetryAfter
		if got <= before && got != limit || got > limit || i < 50 && got == limit {
			t.Fatalf("refusal %d: got Retry-After %v after %v, want it later and at most a third of the remaining time", i, got, before)
		}

		before = got
	}

	// Nothing is known of the rate.
	q = New(Config{Size: 1})
	q.Enter(at(0), review("a", 0, 0))

	for i := range 5 {
		_, refused := q.Enter(at(0), review("a", 0, 0))
		if got, want := refused[0].RetryAfter, time.Duration(i+1)*usualPeriod; got != want {
			t.Errorf("refusal %d: got Retry-After %v, want %v", i, got, want)
		}
	}
}

// A minute passes in which no prompt waits. Guards against the rate that follows from it, by which
// the first prompts of a burst would be refused.
func TestQuietTimeDoesNotCountForTheRate(t *testing.T) {
	q := New(Config{})
	now := admitEvery(q, 20)

	if got := q.Rate(at(now)).PerSecond; got < 49 || got > 55 {
		t.Errorf("got %v admissions a second, want about 50", got)
	}

	x, _ := q.Enter(at(now), review("a", 0, now))
	q.Leave(at(now), x)
	q.Enter(at(now+4000), review("a", 0, now+4000))

	if got := q.Rate(at(now + 4000)).PerSecond; got < 49 || got > 55 {
		t.Errorf("after 4 quiet seconds: got %v admissions a second, want about 50", got)
	}

	q = New(Config{})
	now = admitEvery(q, 20)
	q.Enter(at(now+60_000), review("a", 0, now+60_000))

	if got := q.Rate(at(now + 60_000)).PerSecond; got != 0 {
		t.Errorf("after a quiet minute: got %v admissions a second, want it unknown", got)
	}
}

func TestSharesOfEndedPromptsAreReleased(t *testing.T) {
	q := New(Config{})
	q.Use("a", 100)
	q.Use("a", 50)
	q.Release("a", 100)

	if got := q.InUse("a"); got != 50 {
		t.Errorf("got %d tokens in use, want 50", got)
	}

	q.Release("a", 50)

	x, _ := q.Enter(at(0), review("b", 0, 0))
	q.Leave(at(1), x)
	q.Leave(at(1), x)

	if got := len(q.organisations); got != 0 || q.Len() != 0 || q.inUse != 0 {
		t.Errorf("got %d organisations kept, %d waiting and %d tokens in use, want none", got, q.Len(), q.inUse)
	}
}

// Guards against figures of one caller that spoil the order of the others: sums that overflow or are
// negative.
func TestAbsurdFiguresCountWithinBounds(t *testing.T) {
	q := New(Config{})

	for i, tokens := range []int{math.MaxInt, math.MinInt, -1, 0} {
		name := fmt.Sprint("odd", i)
		p := review(name, math.MinInt+i, 0)
		p.MemoryTokens = tokens
		q.Enter(at(0), p)
		q.Use(name, tokens)
	}

	if got := q.inUse; got <= 0 || got > 4*maxTokens {
		t.Errorf("got %d tokens in use, want a positive number within the bound", got)
	}

	x, _ := q.Enter(at(0), review("quiet", 0, -10))
	q.StartRound(at(1))

	if got := q.Next(at(1)); got != x {
		t.Errorf("got %v first, want the one below its share", got.prompt)
	}

	for i, tokens := range []int{math.MaxInt, math.MinInt, -1, 0} {
		q.Release(fmt.Sprint("odd", i), tokens)
	}

	if q.inUse != 0 {
		t.Errorf("got %d tokens in use, want none", q.inUse)
	}
}

// BenchmarkRound measures a round of a full queue in which no prompt finds an engine: per try.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{64, DefaultSize} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := New(Config{})

			for i := range n {
				p := review(fmt.Sprint("org", i%20), i%3, i)
				p.MemoryTokens -= i
				q.Enter(at(0), p)
				q.Use(p.Organisation, 1000*(i%7))
			}

			b.ReportAllocs()

			for b.Loop() {
				q.StartRound(at(10))

				if x := q.Next(at(10)); x != nil {
					q.Failed(x, Obstacle{})
				}
			}
		})
	}
}
