package target

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// score orders the targets for one entry: rendezvous hashing, so that one VM
// more or less changes one place of a subset and no more. go-rendezvous gives
// only the first place, so the ranking is made here with the hash library.
func score(self, vm string) uint64 {
	return xxh3.HashStringSeed(vm, xxh3.HashString(self))
}

// distance is 0 in the entry's data centre, 1 in its region and 2 elsewhere.
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

// leastSubset is how many targets of a service are known well however many
// services there are: with one alone its silence would leave none.
const leastSubset = 2

// subset returns how many targets of each service are known well. Each costs a
// connection and questions, so what all services have together is bounded:
// eight of each of 35 models would cost an entry more than it may spend.
func (t *Table) subset() int {
	each := t.cfg.Known / max(len(t.pools), 1)

	return min(t.cfg.Subset, max(each, leastSubset))
}

// choose marks the subset of a pool anew.
func (t *Table) choose(p *pool) {
	slices.SortFunc(p.rows, func(a, b *row) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.score, b.score), cmp.Compare(a.vm, b.vm))
	})

	t.well -= p.well
	p.well = 0

	most := t.subset()
	for _, r := range p.rows {
		r.well = p.well < most && !r.leaving()
		if r.well {
			p.well++
		}
	}

	t.well += p.well
}
