package store

import (
	"slices"
	"time"
)

// maxEvicted bounds how many copies are dropped for one new one.
const maxEvicted = 64

// Oldest returns the copies to drop so that a new one of n bytes finds room, in
// the order in which they were made. A context that is used again is parked
// again under a new id, so the copies that were made first are those that did
// not return for longest; the value of a byte differs little otherwise. Objects
// that are no copies are left alone. It returns nothing when dropping the most
// that it may would not be enough.
func Oldest(all []Object, n int64) []Object {
	type aged struct {
		Object
		made time.Time
	}

	var copies []aged

	for _, o := range all {
		if id, err := ParseCopyID(o.ID); err == nil {
			copies = append(copies, aged{o, id.Made()})
		}
	}

	slices.SortFunc(copies, func(a, b aged) int { return a.made.Compare(b.made) })

	var drop []Object

	freed := int64(0)

	for _, c := range copies[:min(len(copies), maxEvicted)] {
		drop = append(drop, c.Object)
		freed += c.Bytes

		if freed >= n {
			return drop
		}
	}

	return nil
}
