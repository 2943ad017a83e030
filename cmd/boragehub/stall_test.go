package main

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
)

// Guards against logs that don't tell whether a process was stopped when it took a decision on old data.
func TestStallsAreLogged(t *testing.T) {
	start := time.Now()

	tests := []struct {
		name string
		next time.Time
		want bool
	}{
		{"on time", start.Add(300 * time.Millisecond), false},
		{"paused", start.Add(3 * time.Second), true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var lines []string

			log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{Verbosity: 10})
			d := stallDetector{interval: 250 * time.Millisecond}

			d.observe(start, log)
			d.observe(tt.next, log)

			if got := len(lines) == 1 && strings.Contains(lines[0], `"gap_ms"=3000 "wall_ms"=3000`); got != tt.want {
				t.Errorf("got %q, want a stall of 3000 ms to be logged: %v", lines, tt.want)
			}
		})
	}
}
