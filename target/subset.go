package target

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// score ranks the targets for one entry by rendezvous hashing, so that adding or removing
// one VM changes at most one member of a subset. go-rendezvous returns only the first
// member, so the ranking uses the hash library directly.
func score(self, vm string) uint64 {
	return xxh3.HashStringSeed(vm, xxh3.HashString(self))
}

// distance is 0 in the entry's data centre, 1 in the same region and 2 elsewhere.
func (t *Table) distance(dataCentre string) int {
	if dataCentre == t.cfg.DataCentre {
		return 0
	}

	own, ok := t.cfg.Regions[t.cfg.DataCentre]
	if ok && t.cfg.Regions[dataCentre] == own {
		return 1
	}

	return 2
}

// minSubset is the least number of targets per service in the subset, however many
// services there are: a single one would leave none when it is unresponsive.
const minSubset = 2

// subsetLimit returns the maximum subset size per service. Each target in a subset costs a
// connection and polling, so the total over all services is bounded: eight targets for
// each of 35 models would exceed the budget of an entry.
func (t *Table) subsetLimit() int {
	share := t.cfg.MaxSubsetTotal / max(len(t.pools), 1)

	return min(t.cfg.SubsetSize, max(share, minSubset))
}

// selectSubset sorts a pool by distance and score and marks its subset.
func (t *Table) selectSubset(p *pool) {
	slices.SortFunc(p.rows, func(a, b *row) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.score, b.score), cmp.Compare(a.vm, b.vm))
	})

	t.subsetSize -= p.subsetSize
	p.subsetSize = 0

	limit := t.subsetLimit()
	for _, r := range p.rows {
		r.inSubset = p.subsetSize < limit && !r.leaving()
		if r.inSubset {
			p.subsetSize++
		}
	}

	t.subsetSize += p.subsetSize
}
