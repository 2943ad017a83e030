package drawn

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Row is what became of one seed's load under one policy.
type Row struct {
	// Seed is the deployment's and the load's.
	Seed uint64 `json:"seed"`
	// Policy is the policy's name.
	Policy string `json:"policy"`
	// Engines, TokensPerMs and Kinds say what was drawn.
	Engines     int     `json:"engines"`
	TokensPerMs float64 `json:"tokens_per_ms"`
	Kinds       int     `json:"kinds"`
	// OnTime, Late and Refused are parts of the prompts, Worst is the part on time of
	// the kind served worst.
	OnTime  float64 `json:"on_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Worst   float64 `json:"worst_kind"`
	// ReadAgain are tokens of openings.
	ReadAgain int `json:"read_again_tokens"`
}

// Rows plays all policies on so many deployments from a seed on.
func Rows(seed uint64, n int) []Row {
	var rows []Row

	for s := seed; s < seed+uint64(n); s++ {
		d := Draw(s)

		for _, p := range []Policy{Decide, Home, Least} {
			r := Play(d, p, s)
			late := float64(r.Late) / float64(max(r.Asked, 1))
			rows = append(rows, Row{
				Seed: s, Policy: p.String(), Engines: d.Engines, TokensPerMs: d.TokensPerMs, Kinds: len(d.Kinds),
				OnTime: r.OnTime(), Late: late, Refused: max(1-r.OnTime()-late, 0), Worst: slices.Min(r.ByKind), ReadAgain: r.ReadAgain,
			})
		}
	}

	return rows
}

// Write writes rows as a table, or as JSON.
func Write(w io.Writer, rows []Row, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(rows)
	}

	var b strings.Builder

	b.WriteString("seed\tpolicy\tengines\ttokens_per_ms\tkinds\ton_time\tlate\trefused\tworst_kind\tread_again\n")

	for _, r := range rows {
		fmt.Fprintf(&b, "%d\t%s\t%d\t%.0f\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d\n",
			r.Seed, r.Policy, r.Engines, r.TokensPerMs, r.Kinds, r.OnTime, r.Late, r.Refused, r.Worst, r.ReadAgain)
	}

	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return err
	}

	return t.Flush()
}
