package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"
)

// Candidates is how many processes stand by for a shard.
const Candidates = 3

// Ranked returns, for each shard of a service, the VMs that are candidates for
// its home, the first one first. All who know the same list get the same order.
//
// The order is that of rendezvous hashing, but that no VM is the first for more
// than its part of the shards, rounded up: with few shards on few VMs, hashing
// alone may give one VM none and another a third of all runs. (go-rendezvous
// gives only the first node and knows no bound.)
func Ranked(service string, shards int, f Fleet) [][]string {
	var vms []string

	for _, vm := range f.VMs {
		if !f.Leaving[vm] {
			vms = append(vms, vm)
		}
	}

	ranked := make([][]string, shards)
	if len(vms) == 0 {
		return ranked
	}

	part := (shards + len(vms) - 1) / len(vms)
	first := map[string]int{}

	for n := range ranked {
		order := byScore(service, n, vms)
		i := slices.IndexFunc(order, func(vm string) bool { return first[vm] < part })
		top := order[i]
		first[top]++
		order = slices.Insert(slices.Delete(order, i, i+1), 0, top)
		ranked[n] = order[:min(Candidates, len(order))]
	}

	return ranked
}

// byScore returns vms in the order of their scores for a shard.
func byScore(service string, shard int, vms []string) []string {
	key := service + "/" + strconv.Itoa(shard) + "/"
	scores := make(map[string]uint64, len(vms))

	for _, vm := range vms {
		scores[vm] = xxh3.HashString(key + vm)
	}

	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})

	return order
}

// Rank returns the place of a VM in a shard's candidates, from 0; Candidates when
// it is none of them.
func Rank(candidates []string, vm string) int {
	i := slices.Index(candidates, vm)
	if i < 0 {
		return Candidates
	}

	return i
}
