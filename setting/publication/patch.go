package publication

import (
	"bytes"
	"slices"

	"boragehub/failure"
)

// MaxTreeBytes is the maximum size of a tree's text. A tree of 10,000 organisations
// takes a tenth of it.
const MaxTreeBytes = 16 << 20

// hunk is one replacement in a text.
type hunk struct {
	// Keep is the number of unchanged bytes before the hunk.
	Keep int `cbor:"1,keyasint"`
	// Drop is the number of bytes to remove.
	Drop int `cbor:"2,keyasint,omitempty"`
	// Add is inserted in their place.
	Add []byte `cbor:"3,keyasint,omitempty"`
}

// patch converts one text to another.
type patch []hunk

// apply returns text with p applied. It fails if p reaches past the end of text or
// the result exceeds MaxTreeBytes.
func (p patch) apply(text []byte) ([]byte, error) {
	out := make([]byte, 0, len(text)+256)

	for _, h := range p {
		if h.Keep < 0 || h.Drop < 0 || h.Keep > len(text) || h.Drop > len(text)-h.Keep {
			return nil, failure.New(failure.BadMessage, "a patch of the settings reaches past the end of its base")
		}

		out = append(out, text[:h.Keep]...)
		out = append(out, h.Add...)
		text = text[h.Keep+h.Drop:]

		if len(out) > MaxTreeBytes {
			return nil, failure.New(failure.TooLarge, "the settings exceed %d bytes", MaxTreeBytes)
		}
	}

	return append(out, text...), nil
}

// makePatch returns the patch from a to b.
func makePatch(a, b []byte) patch {
	d := lineDiffer{a: bytes.SplitAfter(a, []byte{'\n'}), b: bytes.SplitAfter(b, []byte{'\n'})}
	d.compare(0, len(d.a), 0, len(d.b))

	return d.hunks
}

// lineDiffer compares two texts line by line, as a patience diff does: it skips the
// common lines at both ends, takes as anchors the lines that occur exactly once on
// both sides in the same order, and recurses between the anchors. Headers of TOML
// tables are such lines, so each changed table gets its own hunk, however far apart
// the tables are.
type lineDiffer struct {
	a, b [][]byte
	// from is the first line of a after the last hunk.
	from  int
	hunks patch
}

// compare adds the hunks that convert the lines a0..a1 of a to the lines b0..b1 of
// b. The ends are exclusive.
func (d *lineDiffer) compare(a0, a1, b0, b1 int) {
	for a0 < a1 && b0 < b1 && bytes.Equal(d.a[a0], d.b[b0]) {
		a0++
		b0++
	}

	for a0 < a1 && b0 < b1 && bytes.Equal(d.a[a1-1], d.b[b1-1]) {
		a1--
		b1--
	}

	if a0 == a1 && b0 == b1 {
		return
	}

	anchors := d.anchors(a0, a1, b0, b1)
	if len(anchors) == 0 {
		d.add(a0, a1, b0, b1)

		return
	}

	for _, at := range anchors {
		d.compare(a0, at.a, b0, at.b)
		a0, b0 = at.a+1, at.b+1
	}

	d.compare(a0, a1, b0, b1)
}

// add appends the hunk that replaces the lines a0..a1 with b0..b1.
func (d *lineDiffer) add(a0, a1, b0, b1 int) {
	d.hunks = append(d.hunks, hunk{
		Keep: totalBytes(d.a[d.from:a0]),
		Drop: totalBytes(d.a[a0:a1]),
		Add:  bytes.Join(d.b[b0:b1], nil),
	})
	d.from = a1
}

func totalBytes(lines [][]byte) int {
	n := 0
	for _, line := range lines {
		n += len(line)
	}

	return n
}

// anchor is a line that occurs once on both sides, with its indices.
type anchor struct{ a, b int }

// anchors returns the longest sequence of lines that occur once in a0..a1 and once
// in b0..b1 and have the same order in both.
func (d *lineDiffer) anchors(a0, a1, b0, b1 int) []anchor {
	type count struct{ a, b, at int }

	counts := make(map[string]count, b1-b0)

	for i := b0; i < b1; i++ {
		c := counts[string(d.b[i])]
		c.b++
		c.at = i
		counts[string(d.b[i])] = c
	}

	for i := a0; i < a1; i++ {
		if c, ok := counts[string(d.a[i])]; ok {
			c.a++
			counts[string(d.a[i])] = c
		}
	}

	var common []anchor

	for i := a0; i < a1; i++ {
		if c := counts[string(d.a[i])]; c.a == 1 && c.b == 1 {
			common = append(common, anchor{i, c.at})
		}
	}

	return longestIncreasing(common)
}

// longestIncreasing returns the longest subsequence of common, which is sorted by a,
// that also increases in b.
func longestIncreasing(common []anchor) []anchor {
	var tails []int // tails[n] is the index of the smallest last element of a subsequence of length n+1

	previous := make([]int, len(common))

	for i, x := range common {
		n, _ := slices.BinarySearchFunc(tails, x.b, func(j, b int) int { return common[j].b - b })
		previous[i] = -1

		if n > 0 {
			previous[i] = tails[n-1]
		}

		if n == len(tails) {
			tails = append(tails, i)
		} else {
			tails[n] = i
		}
	}

	if len(tails) == 0 {
		return nil
	}

	run := make([]anchor, len(tails))
	for n, i := len(tails)-1, tails[len(tails)-1]; n >= 0; n, i = n-1, previous[i] {
		run[n] = common[i]
	}

	return run
}
