package publication

import (
	"bytes"
	"slices"

	"boragehub/failure"
)

// MaxTreeBytes bounds the text of a tree. A tree of 10,000 organisations is a
// tenth of it.
const MaxTreeBytes = 16 << 20

// hunk is one place where a text changes.
type hunk struct {
	// Keep is how many bytes stay before the place.
	Keep int `cbor:"1,keyasint"`
	// Drop is how many bytes go.
	Drop int `cbor:"2,keyasint,omitempty"`
	// Add is what comes instead.
	Add []byte `cbor:"3,keyasint,omitempty"`
}

// patch turns one text into another.
type patch []hunk

// apply returns text as p changes it. It fails when p was made for another text.
func (p patch) apply(text []byte) ([]byte, error) {
	out := make([]byte, 0, len(text)+256)

	for _, h := range p {
		if h.Keep < 0 || h.Drop < 0 || h.Keep > len(text) || h.Drop > len(text)-h.Keep {
			return nil, failure.New(failure.BadMessage, "a change of the settings reaches past the end of its base")
		}

		out = append(out, text[:h.Keep]...)
		out = append(out, h.Add...)
		text = text[h.Keep+h.Drop:]

		if len(out) > MaxTreeBytes {
			return nil, failure.New(failure.TooLarge, "settings over %d bytes", MaxTreeBytes)
		}
	}

	return append(out, text...), nil
}

// makePatch returns the patch from a to b.
func makePatch(a, b []byte) patch {
	d := differ{a: bytes.SplitAfter(a, []byte{'\n'}), b: bytes.SplitAfter(b, []byte{'\n'})}
	d.compare(0, len(d.a), 0, len(d.b))

	return d.p
}

// differ compares two texts line by line. It keeps what is equal at both ends,
// then what stands exactly once on both sides and in the same order, and
// repeats that between. The headers of TOML tables are such lines, so each
// changed table becomes a hunk of its own however far apart they are.
type differ struct {
	a, b [][]byte
	// from is the first line of a that no hunk covers yet.
	from int
	p    patch
}

// compare adds the hunks that turn the lines a0..a1 into b0..b1.
func (d *differ) compare(a0, a1, b0, b1 int) {
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

// add appends the hunk that replaces the lines a0..a1 by b0..b1.
func (d *differ) add(a0, a1, b0, b1 int) {
	d.p = append(d.p, hunk{
		Keep: size(d.a[d.from:a0]),
		Drop: size(d.a[a0:a1]),
		Add:  bytes.Join(d.b[b0:b1], nil),
	})
	d.from = a1
}

func size(lines [][]byte) int {
	n := 0
	for _, line := range lines {
		n += len(line)
	}

	return n
}

// anchor is a line that stands once on both sides.
type anchor struct{ a, b int }

// anchors returns the longest run of lines that stand once in a0..a1 and once
// in b0..b1 and come in the same order.
func (d *differ) anchors(a0, a1, b0, b1 int) []anchor {
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

	return rising(common)
}

// rising returns the longest subsequence of s, which rises in a, that rises in b too.
func rising(s []anchor) []anchor {
	var tails []int // tails[n] is the index of the smallest end of a run of n+1

	before := make([]int, len(s))

	for i, x := range s {
		n, _ := slices.BinarySearchFunc(tails, x.b, func(j, b int) int { return s[j].b - b })
		before[i] = -1

		if n > 0 {
			before[i] = tails[n-1]
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
	for n, i := len(tails)-1, tails[len(tails)-1]; n >= 0; n, i = n-1, before[i] {
		run[n] = s[i]
	}

	return run
}
