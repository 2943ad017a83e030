package drawn

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Row is the result of one policy on the deployment and load of one seed.
type Row struct {
	// Seed determines the deployment and the load.
	Seed uint64 `json:"seed"`
	// Policy is the policy's name.
	Policy string `json:"policy"`
	// Engines, TokensPerMs and Kinds describe the deployment: the number of engines, the
	// prefill rate of the slowest ones, and the number of kinds of prompts.
	Engines     int     `json:"engines"`
	TokensPerMs float64 `json:"tokens_per_ms"`
	Kinds       int     `json:"kinds"`
	// OnTime, Late and Refused are fractions of the prompts, and WorstKind is the lowest
	// fraction on time of any kind.
	OnTime    float64 `json:"on_time"`
	Late      float64 `json:"late"`
	Refused   float64 `json:"refused"`
	WorstKind float64 `json:"worst_kind"`
	// RecomputedTokens is the number of recomputed tokens of shared prefixes.
	RecomputedTokens int `json:"read_again_tokens"`
}

// Compare simulates all policies on the deployments of n consecutive seeds.
func Compare(seed uint64, n int) []Row {
	var rows []Row

	for s := seed; s < seed+uint64(n); s++ {
		d := Draw(s)

		for _, p := range []Policy{Decide, HomeEngine, LeastLoaded} {
			r := Simulate(d, p, s)
			late := float64(r.Late) / float64(max(r.Prompts, 1))
			rows = append(rows, Row{
				Seed: s, Policy: p.String(), Engines: d.Engines, TokensPerMs: d.TokensPerMs, Kinds: len(d.Kinds),
				OnTime: r.OnTime(), Late: late, Refused: max(1-r.OnTime()-late, 0), WorstKind: slices.Min(r.OnTimeByKind), RecomputedTokens: r.RecomputedTokens,
			})
		}
	}

	return rows
}

// Write writes rows to w as a table, or as JSON. It returns an error if a write fails.
func Write(w io.Writer, rows []Row, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(rows)
	}

	var b strings.Builder

	b.WriteString("seed\tpolicy\tengines\ttokens_per_ms\tkinds\ton_time\tlate\trefused\tworst_kind\tread_again\n")

	for _, r := range rows {
		fmt.Fprintf(&b, "%d\t%s\t%d\t%.0f\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d\n",
			r.Seed, r.Policy, r.Engines, r.TokensPerMs, r.Kinds, r.OnTime, r.Late, r.Refused, r.WorstKind, r.RecomputedTokens)
	}

	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}

	return t.Flush()
}
