package store

import (
	"slices"
	"time"
)

// maxEvictions is the maximum number of copies evicted for one new copy.
const maxEvictions = 64

// EvictionCandidates returns the copies to evict to free n bytes for a new one, oldest
// first. A context that is used again is parked again under a new id, so
// evicting by creation time evicts the least recently used contexts; apart from
// that, the value per byte differs little between copies. Objects that are not
// copies are never evicted. It returns nil if evicting maxEvictions copies would
// not free enough.
func EvictionCandidates(objects []Object, n int64) []Object {
	type datedCopy struct {
		Object
		created time.Time
	}

	var copies []datedCopy

	for _, o := range objects {
		if id, err := ParseCopyID(o.ID); err == nil {
			copies = append(copies, datedCopy{o, id.Created()})
		}
	}

	slices.SortFunc(copies, func(a, b datedCopy) int { return a.created.Compare(b.created) })

	var evicted []Object

	freed := int64(0)

	for _, c := range copies[:min(len(copies), maxEvictions)] {
		evicted = append(evicted, c.Object)
		freed += c.Bytes

		if freed >= n {
			return evicted
		}
	}

	return nil
}
