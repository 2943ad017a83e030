package skewed

import (
	"fmt"
	"io"
	"time"
)

// Deployments returns the deployments that Write compares.
func Deployments() []Deployment {
	var all []Deployment

	for _, entries := range []int{4, 24, 100} {
		for _, share := range []float64{0.5, 0.8, 0.95} {
			for _, reopen := range []float64{1, 0.2, 0} {
				for _, length := range []time.Duration{3 * time.Second, 20 * time.Second} {
					all = append(all, Deployment{Entries: entries, Share: share, Reopen: reopen, For: length})
				}
			}
		}
	}

	return all
}

// Write writes the means of some seeds for each deployment and resource, and the resources in the order in
// which they first failed a request. It returns an error if a write fails.
func Write(w io.Writer, first uint64, seeds int) error {
	for _, d := range Deployments() {
		if _, err := fmt.Fprintf(w, "%d entries, %.2f of new connections to one for %v, one for %.1f of the requests\n", d.Entries, d.Share, d.For, d.Reopen); err != nil {
			return err
		}

		for _, r := range Resources() {
			if err := writeResource(w, d, r, first, seeds); err != nil {
				return err
			}
		}
	}

	return nil
}

func writeResource(w io.Writer, d Deployment, r Resource, first uint64, seeds int) error {
	var sum Result

	ended, failed := time.Duration(0), 0

	for seed := range uint64(seeds) {
		x := Simulate(d, r, first+seed)
		sum.Before += x.Before / float64(seeds)
		sum.During += x.During / float64(seeds)
		sum.Rate += x.Rate / float64(seeds)

		if x.EndedAfter >= 0 {
			ended += x.EndedAfter
			failed++
		}
	}

	text := "never"
	if failed > 0 {
		text = fmt.Sprintf("after %.2f s in %d of %d", (ended / time.Duration(failed)).Seconds(), failed, seeds)
	}

	_, err := fmt.Fprintf(w, "  %-14s served %.3f before, %.3f during, rate %.2f of before, fails at that entry %s\n", r, sum.Before, sum.During, sum.Rate, text)

	return err
}
