package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"
)

// Candidates is how many processes stand by for a shard.
const Candidates = 3

// Ranked returns the VMs that are candidates for the home of a shard, the first
// one first. All who know the same list get the same order, so that an entry
// asks the first candidate, which is the home or knows who is.
//
// This is rendezvous hashing, for which go-rendezvous gives only the first node.
func Ranked(service string, shard int, f Fleet) []string {
	type scored struct {
		vm    string
		score uint64
	}

	key := service + "/" + strconv.Itoa(shard) + "/"
	all := make([]scored, 0, len(f.VMs))

	for _, vm := range f.VMs {
		if !f.Leaving[vm] {
			all = append(all, scored{vm: vm, score: xxh3.HashString(key + vm)})
		}
	}

	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})

	ranked := make([]string, 0, Candidates)
	for _, s := range all[:min(Candidates, len(all))] {
		ranked = append(ranked, s.vm)
	}

	return ranked
}

// Rank returns the place of a VM among the candidates for a shard, from 0;
// Candidates when it is none of them.
func Rank(service string, shard int, f Fleet, vm string) int {
	i := slices.Index(Ranked(service, shard, f), vm)
	if i < 0 {
		return Candidates
	}

	return i
}
