package gateway

import (
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/roster"
	"boragehub/site"
)

// Long prompts of very different lengths come at the same time. Counted instead of
// measured, three large ones push each other out of an engine's memory and are read
// again, and three small ones keep others waiting at the entry though there is room.
func TestLongPromptsAreAdmittedByTheirMemory(t *testing.T) {
	tests := []struct {
		name   string
		engine roster.Engine
		tokens int
		want   bool
	}{
		{"nothing there", roster.Engine{}, 90_000, true},
		{"five small ones there", roster.Engine{Pulse: pulse.Pulse{Running: 5, UsedTokens: 40_000}}, 8_000, true},
		{"two large ones there", roster.Engine{Pulse: pulse.Pulse{Running: 2, UsedTokens: 60_000}}, 30_000, false},
		{"three of them wait", roster.Engine{Pulse: pulse.Pulse{Waiting: 3, UsedTokens: 0}}, 30_000, false},
		{"sent a moment ago", roster.Engine{Since: roster.Sent{Requests: 2, Memory: 50_000}}, 20_000, false},
	}

	for _, tt := range tests {
		g := &Gateway{}
		g.fleets.of("").Sent(4000, 15_000, time.Second)

		task := &task{
			g:       g,
			service: site.Service{Engines: &site.Engines{MemoryTokens: 70_000}},
			arrival: Arrival{Prompt: &Prompt{Tokens: tt.tokens}},
		}

		if got := task.fits(tt.engine); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
