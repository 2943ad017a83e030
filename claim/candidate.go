package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"
)

// CandidatesPerShard is how many processes are candidates for a shard. They
// follow its stream.
const CandidatesPerShard = 3

// RankCandidates returns, for each shard of a service, the VMs whose processes
// may take it over, in order of preference. All processes with the same list
// get the same order.
//
// The order is that of rendezvous hashing, except that no VM is first for more
// than its equal share of the shards, rounded up: with few shards on few VMs,
// hashing alone may give one VM none and another a third of all runs.
// (go-rendezvous returns only the first node and supports no bound.)
func RankCandidates(service string, shards int, f VMList) [][]string {
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

	maxFirst := (shards + len(vms) - 1) / len(vms)
	firstCount := map[string]int{}

	for n := range ranked {
		order := rendezvousOrder(service, n, vms)
		i := slices.IndexFunc(order, func(vm string) bool { return firstCount[vm] < maxFirst })
		top := order[i]
		firstCount[top]++
		order = slices.Insert(slices.Delete(order, i, i+1), 0, top)
		ranked[n] = order[:min(CandidatesPerShard, len(order))]
	}

	return ranked
}

// rendezvousOrder returns vms by descending score for a shard.
func rendezvousOrder(service string, shard int, vms []string) []string {
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

// CandidateRank returns the position of a VM among a shard's candidates, from
// 0; CandidatesPerShard if it is not one of them.
func CandidateRank(candidates []string, vm string) int {
	i := slices.Index(candidates, vm)
	if i < 0 {
		return CandidatesPerShard
	}

	return i
}
