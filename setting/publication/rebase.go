package publication

import (
	"slices"

	"boragehub/failure"
)

// Rebase returns theirs with the changes from base to mine applied. It fails with
// Conflict if both changes touch the same or adjacent lines.
func Rebase(base, mine, theirs []byte) ([]byte, error) {
	minePatch, theirsPatch := makePatch(base, mine), makePatch(base, theirs)

	if minePatch.overlaps(theirsPatch) {
		return nil, failure.New(failure.Conflict, "both changes touch the same or adjacent lines; edit the version in force by hand")
	}

	return merge(minePatch, theirsPatch).apply(base)
}

// span is a hunk with its position: the bytes from..to of the base are replaced by
// add.
type span struct {
	from, to int
	add      []byte
}

// spans returns the hunks of p with their positions in the base.
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

// overlaps reports whether a span of p overlaps or touches one of q.
func (p patch) overlaps(q patch) bool {
	for _, a := range p.spans() {
		for _, b := range q.spans() {
			if a.from <= b.to && b.from <= a.to {
				return true
			}
		}
	}

	return false
}

// merge returns the patch that makes the changes of both p and q, which must not
// overlap.
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
