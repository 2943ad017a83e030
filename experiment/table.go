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

// quantiles are the parts of a hundred that tables give.
var quantiles = []float64{50, 95, 99}

// writeTable writes means over the seeds, with the least and the greatest value
// in brackets where there are several.
func writeTable(w io.Writer, d Deployment, cfg Config, groups []group) error {
	var b strings.Builder

	fmt.Fprintf(&b, "deployment %s: %d engines, capacity %.2f requests/s without reuse; fault %s; seeds %d to %d; %v measured after %v\n",
		d.Name, d.Engines, d.Capacity(), cfg.Fault, cfg.Seed, cfg.Seed+uint64(cfg.Seeds)-1, cfg.Measured, cfg.Warmup)
	b.WriteString("load\tpolicy\twithout\tworkload\tttft_p50_s\tttft_p95_s\tttft_p99_s\trecomputed\trefused\n")

	for _, g := range groups {
		for i := range d.Workloads {
			workload(&b, g, d.Workloads[i].Name, func(r *Result) *Figures { return &r.Workloads[i] })
		}

		workload(&b, g, d.Service, func(r *Result) *Figures { return &r.Calls })

		if cfg.Fault != None {
			for i := range phases {
				workload(&b, g, d.Workloads[0].Name+" "+g.results[0].Phases[i].Name, func(r *Result) *Figures { return &r.Phases[i] })
			}
		}
	}

	b.WriteString("\nload\tpolicy\twithout\trecomputed\trefused\tfairness\tlink_busy\timported_GB\texported_GB\trecompute\twarm\timport\tfailed_imports\tstore_evictions\tretries\n")

	for _, g := range groups {
		whole(&b, g)
	}

	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}

	return t.Flush()
}

func workload(w *strings.Builder, g group, name string, of func(*Result) *Figures) {
	fmt.Fprintf(w, "%.2f\t%s\t%s\t%s", g.load, g.policy, g.without, name)

	for _, q := range quantiles {
		fmt.Fprintf(w, "\t%s", g.span(func(r *Result) float64 { return of(r).Quantile(q).Seconds() }))
	}

	fmt.Fprintf(w, "\t%s", g.span(func(r *Result) float64 { return of(r).RecomputedShare() }))
	fmt.Fprintf(w, "\t%s\n", g.span(func(r *Result) float64 { return of(r).RefusedShare() }))
}

func whole(w *strings.Builder, g group) {
	const giga = 1e9

	fmt.Fprintf(w, "%.2f\t%s\t%s", g.load, g.policy, g.without)

	for _, of := range []func(*Result) float64{
		(*Result).RecomputedShare,
		(*Result).RefusedShare,
		(*Result).Fairness,
		func(r *Result) float64 { return r.LinkBusy },
	} {
		fmt.Fprintf(w, "\t%s", g.span(of))
	}

	for _, of := range []func(*Result) float64{
		func(r *Result) float64 { return r.LinkBytes[link.Import] / giga },
		func(r *Result) float64 { return r.LinkBytes[link.Export] / giga },
		func(r *Result) float64 { return float64(r.Moves[route.Recompute]) },
		func(r *Result) float64 { return float64(r.Moves[route.Warm]) },
		func(r *Result) float64 { return float64(r.Moves[route.Import]) },
		func(r *Result) float64 { return float64(r.FailedImports) },
		func(r *Result) float64 { return float64(r.StoreEvictions) },
		func(r *Result) float64 { return float64(r.Retries) },
	} {
		fmt.Fprintf(w, "\t%.0f", g.span(of).mean)
	}

	w.WriteByte('\n')
}

// String returns the mean and, unless all are the same, the range.
func (s span) String() string {
	if s.least == s.most {
		return fmt.Sprintf("%.3f", s.mean)
	}

	return fmt.Sprintf("%.3f [%.3f %.3f]", s.mean, s.least, s.most)
}

// writeCSV writes a line for each run and workload.
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
	head := []string{
		"load", "policy", "without", "fault", "seed", "workload", "requests", "refused",
		"ttft_p50_s", "ttft_p95_s", "ttft_p99_s", "returned_tokens", "recomputed_tokens",
		"fairness", "link_busy", "imported_bytes", "exported_bytes",
	}

	if err := w.Write(head); err != nil {
		return err
	}

	for _, g := range groups {
		for _, r := range g.results {
			if err := w.WriteAll(lines(r)); err != nil {
				return err
			}
		}
	}

	w.Flush()

	return w.Error()
}

func lines(r *Result) [][]string {
	var all [][]string

	for i := range r.Workloads {
		f := &r.Workloads[i]
		line := []string{
			number(r.Load), r.Policy.String(), r.Without.String(), r.Fault.String(),
			strconv.FormatUint(r.Seed, 10), f.Name, strconv.Itoa(f.Requests), strconv.Itoa(f.Refused),
		}

		for _, q := range quantiles {
			line = append(line, number(f.Quantile(q).Seconds()))
		}

		all = append(all, append(line,
			strconv.FormatInt(f.Returned, 10), strconv.FormatInt(f.Recomputed, 10),
			number(r.Fairness()), number(r.LinkBusy),
			number(r.LinkBytes[link.Import]), number(r.LinkBytes[link.Export]),
		))
	}

	return all
}

func number(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }
