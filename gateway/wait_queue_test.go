package gateway

import (
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/roster"
	"boragehub/site"
)

// Long prompts of very different lengths arrive together. Guards against admission by count: three
// large ones evict each other from an engine's memory and are prefilled again, and three small ones
// keep others in the queue though there is capacity.
func TestLongPromptsAreAdmittedByTheirMemory(t *testing.T) {
	tests := []struct {
		name   string
		engine roster.Engine
		tokens int
		want   bool
	}{
		{"idle engine", roster.Engine{}, 90_000, true},
		{"five small prompts running", roster.Engine{Report: pulse.Report{Running: 5, UsedTokens: 40_000}}, 8_000, true},
		{"two large prompts running", roster.Engine{Report: pulse.Report{Running: 2, UsedTokens: 60_000}}, 30_000, false},
		{"three prompts waiting", roster.Engine{Report: pulse.Report{Waiting: 3, UsedTokens: 0}}, 30_000, false},
		{"two prompts sent since the load report", roster.Engine{SentSince: roster.Sent{Requests: 2, CacheTokens: 50_000}}, 20_000, false},
	}

	for _, tt := range tests {
		g := &Gateway{}
		g.profiles.forService("").ObservePrompt(4000, 15_000, time.Second)

		task := &task{
			g:       g,
			service: site.Service{Engines: &site.Engines{CacheTokens: 70_000}},
			arrival: CallerRequest{Prompt: &Prompt{Tokens: tt.tokens}},
		}

		if got := task.fitsMemory(tt.engine); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against callers that wait for cold engines until their latency target has passed, though
// more prompts wait before them than those engines will take.
func TestPromptsThatWouldTimeOutInQueueAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)

	tests := []struct {
		name              string
		waiting, departed int
		each              time.Duration
		want              bool
	}{
		{"few prompts wait", 4, admissionsKept, time.Second, false},
		{"too few departures to know the rate", 100, 3, 10 * time.Millisecond, false},
		{"the queue moves fast", 30, admissionsKept, 10 * time.Millisecond, false},
		{"the queue moves slowly", 30, admissionsKept, 20 * time.Millisecond, true},
		{"the queue hardly moves", 9, admissionsKept, time.Second, true},
	}

	for _, tt := range tests {
		q := newWaitQueue()
		for range tt.waiting {
			q.waiting <- struct{}{}
		}

		for i := range tt.departed {
			q.recordAdmission(now.Add(-time.Duration(tt.departed-i) * tt.each))
		}

		if got := q.wouldTimeOut(now, 400*time.Millisecond); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
