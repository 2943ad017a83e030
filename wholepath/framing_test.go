package wholepath

import (
	"fmt"
	"testing"

	"boragehub/standin"
	"boragehub/standin/engine"
)

// Engines end their streams with their connections, with other ends of lines, or break them off. Guards
// against a part of a completion that looks complete, and against a whole one that counts as broken.
func TestCompletionsInAnyFraming(t *testing.T) {
	const tokens = 12

	tests := []standin.FramingFaults{
		{Unframed: true},
		{Unframed: true, LineEnd: "crlf"},
		{LineEnd: "cr"},
		{Unframed: true, BreakAfter: 5},
		{Unframed: true, BreakAfter: 5, Resets: true, LineEnd: "cr"},
		{BreakAfter: 5, LineEnd: "crlf"},
		{BreakAfter: 5, Resets: true},
	}

	for _, f := range tests {
		t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
			env := start(t, envConfig{engines: 2, configureEngine: func(_ int, cfg *engine.Config) { cfg.Faults.FramingFaults = f }})

			for _, n := range []int{0, 1} {
				prompt := fmt.Sprint("fare rules ", n)
				want := engine.CompletionText(prompt, tokens)

				got, err := env.entries[0].stream(t.Context(), deskKey, prompt, tokens)
				if err == nil && got != want || err != nil && (f.BreakAfter == 0 || len(got) > len(want) || got != want[:len(got)]) {
					t.Errorf("got %q, %v, want %q", got, err, want)
				}
			}
		})
	}
}
