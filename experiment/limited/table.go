package limited

import (
	"fmt"
	"io"
)

// Deployments returns the deployments that Write compares: those of today, and hundreds of entries.
func Deployments() []Deployment {
	return []Deployment{
		{Entries: 4, Targets: 12, Limited: 4, Limit: 4.6, PerSecond: 135},
		{Entries: 4, Targets: 12, Limited: 12, Limit: 4.6, PerSecond: 135},
		{Entries: 24, Targets: 47, Limited: 12, Limit: 4.6, PerSecond: 530},
		{Entries: 400, Targets: 200, Limited: 40, Limit: 2, PerSecond: 960},
	}
}

// Write writes the mean of the results of some seeds for each deployment and way, the largest for
// Result.Most. It returns an error if a write fails.
func Write(w io.Writer, first uint64, seeds int) error {
	for _, d := range Deployments() {
		if _, err := fmt.Fprintf(w, "%d entries, %d of %d targets take %.1f requests a second, %.0f arrive\n", d.Entries, d.Limited, d.Targets, d.Limit, d.PerSecond); err != nil {
			return err
		}

		for _, way := range Ways() {
			var sum Result

			for seed := range uint64(seeds) {
				r := Simulate(d, way, first+seed)
				sum.Most = max(sum.Most, r.Most)
				sum.Used += r.Used / float64(seeds)
				sum.Refused += r.Refused / float64(seeds)
			}

			if _, err := fmt.Fprintf(w, "  %-12s most in 4 s %.2f of what is allowed, limits used %.2f, refused %.3f\n", way, sum.Most, sum.Used, sum.Refused); err != nil {
				return err
			}
		}
	}

	return nil
}
