package claim

import (
	"fmt"
	"slices"
	"testing"
)

func TestRankedSpreadsShardsEvenly(t *testing.T) {
	cases := []struct{ shards, vms int }{{16, 1}, {16, 4}, {16, 3}, {64, 400}, {64, 7}}

	for _, c := range cases {
		var f VMList
		for i := range c.vms {
			f.VMs = append(f.VMs, fmt.Sprintf("vm%d", i))
		}

		first := map[string]int{}
		ranked := RankCandidates("booking-api", c.shards, f)

		for n, candidates := range ranked {
			first[candidates[0]]++

			if got, want := len(candidates), min(CandidatesPerShard, c.vms); got != want {
				t.Errorf("%+v shard %d: got %d candidates, want %d", c, n, got, want)
			}
		}

		for vm, n := range first {
			if want := (c.shards + c.vms - 1) / c.vms; n > want {
				t.Errorf("%+v: got %s first for %d shards, want at most %d", c, vm, n, want)
			}
		}

		slices.Reverse(f.VMs)

		if got := RankCandidates("booking-api", c.shards, f); !slices.EqualFunc(got, ranked, slices.Equal) {
			t.Errorf("%+v: got another order for the same VMs in another order, want the same", c)
		}
	}
}
