package repeated

import (
	"fmt"
	"io"
)

// Deployments returns the deployments that Write compares: few and many requests, few and many entries.
func Deployments() []Deployment {
	return []Deployment{
		{Entries: 4, PerSecond: 5, Slack: 52},
		{Entries: 6, PerSecond: 27, Slack: 58},
		{Entries: 6, PerSecond: 190, Slack: 58},
		{Entries: 40, PerSecond: 300, Slack: 58},
	}
}

// Write writes the results of some seeds for each deployment and way: the largest Result.Most, and the
// mean of Result.Repeats. It returns an error if a write fails.
func Write(w io.Writer, first uint64, seeds int) error {
	for _, d := range Deployments() {
		if _, err := fmt.Fprintf(w, "%d entries, %.0f requests a second, slack %d\n", d.Entries, d.PerSecond, d.Slack); err != nil {
			return err
		}

		for _, way := range Ways() {
			var sum Result

			for seed := range uint64(seeds) {
				r := Simulate(d, way, first+seed)
				sum.Most = max(sum.Most, r.Most)
				sum.Repeats += r.Repeats / float64(seeds)
			}

			if _, err := fmt.Fprintf(w, "  %-16s most in %v %.2f of what is allowed, repeats for each request %.3f\n", way, window, sum.Most, sum.Repeats); err != nil {
				return err
			}
		}
	}

	return nil
}
