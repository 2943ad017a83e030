package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"boragehub/link"
	"boragehub/route"
)

// percentiles are those of the time to first token in tables.
var percentiles = []float64{50, 95, 99}

// writeTable writes means over the seeds, with the minimum and maximum in brackets if they
// differ.
func writeTable(w io.Writer, d Deployment, cfg Config, groups []group) error {
	var b strings.Builder

	fmt.Fprintf(&b, "deployment %s: %d engines, capacity %.2f requests/s without reuse; fault %s; seeds %d to %d; %v measured after %v\n",
		d.Name, d.Engines, d.Capacity(), cfg.Fault, cfg.Seed, cfg.Seed+uint64(cfg.Seeds)-1, cfg.Measured, cfg.Warmup)
	b.WriteString("load\tpolicy\twithout\tworkload\tttft_p50_s\tttft_p95_s\tttft_p99_s\trecomputed\trefused\n")

	for _, g := range groups {
		for i := range d.Workloads {
			writeWorkload(&b, g, d.Workloads[i].Name, func(r *Result) *Stats { return &r.Workloads[i] })
		}

		writeWorkload(&b, g, d.Service, func(r *Result) *Stats { return &r.Calls })

		if cfg.Fault == AnswersTwice {
			again := g.summarise(func(r *Result) float64 { return float64(r.CallsSentAgain) / float64(max(r.Calls.Requests, 1)) })
			fmt.Fprintf(&b, "%.2f\t%s\t%s\t%s sent again, share\t%s\n", g.load, g.policy, g.ablation, d.Service, again)
		}

		if cfg.Fault != NoFault {
			for i := range phaseCount {
				writeWorkload(&b, g, d.Workloads[0].Name+" "+g.results[0].Phases[i].Name, func(r *Result) *Stats { return &r.Phases[i] })
			}
		}
	}

	b.WriteString("\nload\tpolicy\twithout\trecomputed\trefused\tfairness\tlink_busy\timported_GB\texported_GB\trecompute\twarm\timport\tfailed_imports\tstore_evictions\tretries\n")

	for _, g := range groups {
		writeTotals(&b, g)
	}

	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}

	return t.Flush()
}

func writeWorkload(w *strings.Builder, g group, name string, stats func(*Result) *Stats) {
	fmt.Fprintf(w, "%.2f\t%s\t%s\t%s", g.load, g.policy, g.ablation, name)

	for _, q := range percentiles {
		fmt.Fprintf(w, "\t%s", g.summarise(func(r *Result) float64 { return stats(r).Percentile(q).Seconds() }))
	}

	fmt.Fprintf(w, "\t%s", g.summarise(func(r *Result) float64 { return stats(r).RecomputedShare() }))
	fmt.Fprintf(w, "\t%s\n", g.summarise(func(r *Result) float64 { return stats(r).RefusedShare() }))
}

func writeTotals(w *strings.Builder, g group) {
	const giga = 1e9

	fmt.Fprintf(w, "%.2f\t%s\t%s", g.load, g.policy, g.ablation)

	for _, metric := range []func(*Result) float64{
		(*Result).RecomputedShare,
		(*Result).RefusedShare,
		(*Result).Fairness,
		func(r *Result) float64 { return r.LinkBusy },
	} {
		fmt.Fprintf(w, "\t%s", g.summarise(metric))
	}

	for _, metric := range []func(*Result) float64{
		func(r *Result) float64 { return r.LinkBytes[link.Import] / giga },
		func(r *Result) float64 { return r.LinkBytes[link.Export] / giga },
		func(r *Result) float64 { return float64(r.Strategies[route.Recompute]) },
		func(r *Result) float64 { return float64(r.Strategies[route.Warm]) },
		func(r *Result) float64 { return float64(r.Strategies[route.Import]) },
		func(r *Result) float64 { return float64(r.FailedImports) },
		func(r *Result) float64 { return float64(r.StoreEvictions) },
		func(r *Result) float64 { return float64(r.Retries) },
	} {
		fmt.Fprintf(w, "\t%.0f", g.summarise(metric).mean)
	}

	w.WriteByte('\n')
}

// String returns the mean, followed by the range unless all values are equal.
func (s summary) String() string {
	if s.min == s.max {
		return fmt.Sprintf("%.3f", s.mean)
	}

	return fmt.Sprintf("%.3f [%.3f %.3f]", s.mean, s.min, s.max)
}

// writeCSV writes a CSV file with a row for each run and workload.
func writeCSV(name string, groups []group) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return err
	}

	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()

	w := csv.NewWriter(f)
	header := []string{
		"load", "policy", "without", "fault", "seed", "workload", "requests", "refused",
		"ttft_p50_s", "ttft_p95_s", "ttft_p99_s", "returned_tokens", "recomputed_tokens",
		"fairness", "link_busy", "imported_bytes", "exported_bytes",
	}

	if err := w.Write(header); err != nil {
		return err
	}

	for _, g := range groups {
		for _, r := range g.results {
			if err := w.WriteAll(csvRows(r)); err != nil {
				return err
			}
		}
	}

	w.Flush()

	return w.Error()
}

func csvRows(r *Result) [][]string {
	var rows [][]string

	for i := range r.Workloads {
		s := &r.Workloads[i]
		row := []string{
			formatNumber(r.Load), r.Policy.String(), r.Ablation.String(), r.Fault.String(),
			strconv.FormatUint(r.Seed, 10), s.Name, strconv.Itoa(s.Requests), strconv.Itoa(s.Refused),
		}

		for _, q := range percentiles {
			row = append(row, formatNumber(s.Percentile(q).Seconds()))
		}

		rows = append(rows, append(row,
			strconv.FormatInt(s.ReturnedTokens, 10), strconv.FormatInt(s.RecomputedTokens, 10),
			formatNumber(r.Fairness()), formatNumber(r.LinkBusy),
			formatNumber(r.LinkBytes[link.Import]), formatNumber(r.LinkBytes[link.Export]),
		))
	}

	return rows
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }
