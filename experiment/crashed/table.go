package crashed

import (
	"fmt"
	"io"
	"time"
)

// Deployments returns the deployments that Write compares: rare and frequent bad prompts, none at all, and
// many engines.
func Deployments() []Deployment {
	return []Deployment{
		{Entries: 4, Engines: 12, PerSecond: 220, Documents: 300, Bad: 1, BadPerSecond: 0.7, Crashes: 1},
		{Entries: 4, Engines: 12, PerSecond: 220, Documents: 300, Bad: 3, BadPerSecond: 6, Crashes: 3},
		{Entries: 6, Engines: 9, PerSecond: 60, Documents: 1500, Bad: 2, BadPerSecond: 2, Crashes: 6},
		{Entries: 4, Engines: 12, PerSecond: 220, Documents: 300, Bad: 1, Crashes: 10},
		{Entries: 24, Engines: 47, PerSecond: 600, Documents: 2000, Bad: 2, BadPerSecond: 3, Crashes: 4},
	}
}

// SeriesDeployments returns deployments whose engines crash in series for other reasons, with and without bad parts:
// rarely and often, a few or all at once, with parts that many or few prompts share.
func SeriesDeployments() []Deployment {
	var all []Deployment

	for _, every := range []time.Duration{1000, 1500, 2500, 3500, 6000} {
		for _, share := range []float64{0, 0.15, 0.3} {
			for _, bad := range []int{0, 1} {
				all = append(all,
					Deployment{Entries: 4, Engines: 12, PerSecond: 220, Documents: 300, Bad: bad, BadPerSecond: 2 * float64(bad), Every: every * time.Millisecond, Share: share},
					Deployment{Entries: 6, Engines: 9, PerSecond: 60, Documents: 1500, Bad: bad, BadPerSecond: 2 * float64(bad), Every: every * time.Millisecond, Share: share},
				)
			}
		}
	}

	for _, every := range []time.Duration{1200, 2000, 3500} {
		all = append(all, Deployment{Entries: 4, Engines: 12, PerSecond: 220, Documents: 300, Every: every * time.Millisecond, Share: 1})
	}

	return all
}

// Write writes the results of some seeds for each deployment and way: the largest of Result.Ended, Late and
// Refused, and the mean of Result.Served. It returns an error if a write fails.
func Write(w io.Writer, first uint64, seeds int) error {
	for _, d := range Deployments() {
		if _, err := fmt.Fprintf(w, "%d entries, %d engines, %.0f prompts a second, %d bad parts in %.1f more, %d other crashes\n",
			d.Entries, d.Engines, d.PerSecond, d.Bad, d.BadPerSecond, d.Crashes); err != nil {
			return err
		}

		for _, way := range Ways() {
			var all Result

			for seed := range uint64(seeds) {
				r := Simulate(d, way, first+seed)
				all.Ended, all.Late, all.Refused = max(all.Ended, r.Ended), max(all.Late, r.Late), max(all.Refused, r.Refused)
				all.Served += r.Served / float64(seeds)
			}

			if _, err := fmt.Fprintf(w, "  %-10s engines crashed by one part %d, late %d; sound prompts served %.3f, refused %.4f\n", way, all.Ended, all.Late, all.Served, all.Refused); err != nil {
				return err
			}
		}
	}

	return nil
}
