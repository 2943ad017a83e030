package publication

import (
	"slices"

	"boragehub/failure"
)

// Rebase returns theirs with what mine changes of base. It fails with Conflict
// when both change the same lines.
func Rebase(base, mine, theirs []byte) ([]byte, error) {
	ours, other := makePatch(base, mine), makePatch(base, theirs)

	if ours.touches(other) {
		return nil, failure.New(failure.Conflict, "both changes touch the same lines; edit the version in force by hand")
	}

	return merge(ours, other).apply(base)
}

// span is the part of a base that a hunk covers.
type span struct {
	from, to int
	add      []byte
}

// spans returns the places of p in its base.
func (p patch) spans() []span {
	at := 0

	spans := make([]span, 0, len(p))
	for _, h := range p {
		at += h.Keep
		spans = append(spans, span{at, at + h.Drop, h.Add})
		at += h.Drop
	}

	return spans
}

// touches says whether a place of p meets one of q.
func (p patch) touches(q patch) bool {
	for _, a := range p.spans() {
		for _, b := range q.spans() {
			if a.from <= b.to && b.from <= a.to {
				return true
			}
		}
	}

	return false
}

// merge returns the patch that does what both do.
func merge(p, q patch) patch {
	spans := append(p.spans(), q.spans()...)
	slices.SortFunc(spans, func(a, b span) int { return a.from - b.from })

	at := 0

	merged := make(patch, 0, len(spans))
	for _, s := range spans {
		merged = append(merged, hunk{Keep: s.from - at, Drop: s.to - s.from, Add: s.add})
		at = s.to
	}

	return merged
}
