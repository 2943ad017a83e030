package publication

import (
	"slices"
	"time"

	"boragehub/failure"
	"boragehub/setting"
)

// step leads from one version to the next.
type step struct {
	Version uint64 `cbor:"1,keyasint"`
	Based   uint64 `cbor:"2,keyasint"`
	Author  string `cbor:"3,keyasint,omitempty"`
	Note    string `cbor:"4,keyasint,omitempty"`
	AtMS    int64  `cbor:"5,keyasint"`
	Hash    []byte `cbor:"6,keyasint"`
	Payload []byte `cbor:"7,keyasint"`
}

// Handover is what one process tells another of the settings: the steps from
// the other's version, or the whole text where they are no longer kept.
type Handover struct {
	version uint64
	read    uint64
	steps   []step
}

// wireHandover is the CBOR form of a Handover.
type wireHandover struct {
	Version uint64 `cbor:"1,keyasint"`
	Read    uint64 `cbor:"2,keyasint"`
	Steps   []step `cbor:"3,keyasint,omitempty"`
}

// Version returns the version that h leads to; zero when the sender has none.
func (h Handover) Version() uint64 { return h.version }

// Empty says that h tells nothing beyond its version.
func (h Handover) Empty() bool { return len(h.steps) == 0 }

// Encode returns h as CBOR.
func (h Handover) Encode() []byte {
	return encode(wireHandover{h.version, h.read, h.steps})
}

// DecodeHandover reads what Encode wrote. The error is a failure.BadMessage.
func DecodeHandover(b []byte) (Handover, error) {
	var w wireHandover
	if err := decoding.Unmarshal(b, &w); err != nil {
		return Handover{}, failure.Wrap(failure.BadMessage, err, "settings that a peer handed on can't be read")
	}

	return Handover{w.Version, w.Read, w.Steps}, nil
}

// handover returns what leads a peer on from version after.
func (r *replica) handover(after uint64) Handover {
	h := Handover{version: r.head.version, read: max(r.sure(), r.head.version)}

	if after >= r.head.version {
		return h
	}

	from := slices.IndexFunc(r.steps, func(s step) bool { return s.Based == after })
	if from >= 0 {
		h.steps = slices.Clone(r.steps[from:])

		return h
	}

	if r.whole == nil {
		r.whole = encode(content{Full: deflate(r.head.text), Whole: true})
	}

	h.steps = []step{{
		Version: r.head.version, Based: r.head.based, Author: r.head.author, Note: r.head.note,
		AtMS: r.head.at.UnixMilli(), Hash: slices.Clone(r.head.hash[:]), Payload: r.whole,
	}}

	return h
}

// adopt takes what a peer handed on and reports whether head rose. A version
// below head is ignored: a peer that lags must not take back what is in force.
func (r *replica) adopt(h Handover) (bool, error) {
	if h.version < r.head.version {
		return false, nil
	}

	old := r.head.version

	next, steps, err := r.follow(h)
	if err != nil {
		return false, err
	}

	if next.version != h.version {
		return false, nil // steps are missing between; the next pull asks for them
	}

	if next.version > old {
		r.whole = nil
	}

	r.head = next
	r.steps = steps
	r.catchUp(h.read)

	return r.head.version > old, nil
}

// follow returns the head that h's steps lead to, with the steps to keep.
func (r *replica) follow(h Handover) (head, []step, error) {
	next, steps := r.head, r.steps

	for _, s := range h.steps {
		if s.Version <= next.version {
			continue
		}

		var c content
		if err := decoding.Unmarshal(s.Payload, &c); err != nil {
			return next, nil, failure.Wrap(failure.BadMessage, err, "settings that a peer handed on can't be read")
		}

		if !c.Whole && s.Based != next.version {
			return next, steps, nil
		}

		text, err := c.text(next.text, s.Hash)
		if err != nil {
			return next, nil, err
		}

		if s.Based != next.version {
			steps = nil
		}

		next = head{
			version: s.Version, based: s.Based, author: s.Author, note: s.Note,
			at: time.UnixMilli(s.AtMS), text: text, hash: setting.Hash(s.Hash),
		}
		steps = bounded(append(slices.Clone(steps), s))
	}

	return next, steps, nil
}

// bounded drops the oldest steps over the bounds.
func bounded(steps []step) []step {
	total := 0

	for i := len(steps) - 1; i >= 0; i-- {
		total += len(steps[i].Payload)
		if len(steps)-i > maxSteps || total > maxStepBytes {
			// A copy, so that the payloads that were dropped are freed.
			return slices.Clone(steps[i+1:])
		}
	}

	return steps
}

// catchUp notes that head is in force at offset read.
func (r *replica) catchUp(read uint64) {
	if r.scan != nil {
		if read+1 >= r.scan.start {
			r.resume(read)
		}

		return
	}

	if read > r.read {
		r.read = read
		r.changes = assembler{}
		r.snapshots = assembler{}
	}
}
