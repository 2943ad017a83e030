package publication

import (
	"slices"
	"time"

	"boragehub/failure"
	"boragehub/setting"
)

// delta is an accepted change as peers exchange it. Payload is the encoded content,
// a patch of version Based or the full text.
type delta struct {
	Version uint64 `cbor:"1,keyasint"`
	Based   uint64 `cbor:"2,keyasint"`
	Author  string `cbor:"3,keyasint,omitempty"`
	Note    string `cbor:"4,keyasint,omitempty"`
	AtMS    int64  `cbor:"5,keyasint"`
	Hash    []byte `cbor:"6,keyasint"`
	Payload []byte `cbor:"7,keyasint"`
}

// Update is what one process sends another to bring its settings up to date: the
// deltas after the version of the other, or one delta with the full text if those
// are no longer kept. read is an offset at which version is in force.
type Update struct {
	version uint64
	read    uint64
	deltas  []delta
}

// wireUpdate is the CBOR form of an Update.
type wireUpdate struct {
	Version uint64  `cbor:"1,keyasint"`
	Read    uint64  `cbor:"2,keyasint"`
	Deltas  []delta `cbor:"3,keyasint,omitempty"`
}

// Version returns the version after u is applied; 0 if the sender has none.
func (u Update) Version() uint64 { return u.version }

// Empty reports whether u has no deltas, only the version of the sender.
func (u Update) Empty() bool { return len(u.deltas) == 0 }

// Encode returns u as CBOR.
func (u Update) Encode() []byte {
	return encode(wireUpdate{u.version, u.read, u.deltas})
}

// DecodeUpdate decodes the result of Encode. An error is a failure.BadMessage.
func DecodeUpdate(b []byte) (Update, error) {
	var w wireUpdate
	if err := decMode.Unmarshal(b, &w); err != nil {
		return Update{}, failure.Wrap(failure.BadMessage, err, "cannot decode the settings update of a peer")
	}

	return Update{w.Version, w.Read, w.Deltas}, nil
}

// updateFrom returns the update for a peer that has version after.
func (r *replica) updateFrom(after uint64) Update {
	u := Update{version: r.head.version, read: max(r.safeOffset(), r.head.version)}

	if after >= r.head.version {
		return u
	}

	from := slices.IndexFunc(r.deltas, func(d delta) bool { return d.Based == after })
	if from >= 0 {
		u.deltas = slices.Clone(r.deltas[from:])

		return u
	}

	if r.fullPayload == nil {
		r.fullPayload = encode(content{Full: compress(r.head.text), IsFull: true})
	}

	u.deltas = []delta{{
		Version: r.head.version, Based: r.head.based, Author: r.head.author, Note: r.head.note,
		AtMS: r.head.at.UnixMilli(), Hash: slices.Clone(r.head.hash[:]), Payload: r.fullPayload,
	}}

	return u
}

// applyUpdate applies an update from a peer and reports whether head advanced. An
// update below head's version is ignored: a peer that lags must not revert the
// version in force.
func (r *replica) applyUpdate(u Update) (bool, error) {
	if u.version < r.head.version {
		return false, nil
	}

	oldVersion := r.head.version

	next, deltas, err := r.applyDeltas(u)
	if err != nil {
		return false, err
	}

	if next.version != u.version {
		return false, nil // deltas in between are missing; the next poll fetches them
	}

	if next.version > oldVersion {
		r.fullPayload = nil
	}

	r.head = next
	r.deltas = deltas
	r.advanceRead(u.read)

	return r.head.version > oldVersion, nil
}

// applyDeltas returns the head after applying the deltas of u, and the deltas to
// keep. It stops at the first delta whose base is missing.
func (r *replica) applyDeltas(u Update) (head, []delta, error) {
	next, deltas := r.head, r.deltas

	for _, d := range u.deltas {
		if d.Version <= next.version {
			continue
		}

		var c content
		if err := decMode.Unmarshal(d.Payload, &c); err != nil {
			return next, nil, failure.Wrap(failure.BadMessage, err, "cannot decode the settings update of a peer")
		}

		if !c.IsFull && d.Based != next.version {
			return next, deltas, nil
		}

		text, err := c.text(next.text, d.Hash)
		if err != nil {
			return next, nil, err
		}

		if d.Based != next.version {
			deltas = nil
		}

		next = head{
			version: d.Version, based: d.Based, author: d.Author, note: d.Note,
			at: time.UnixMilli(d.AtMS), text: text, hash: setting.Hash(d.Hash),
		}
		deltas = trimDeltas(append(slices.Clone(deltas), d))
	}

	return next, deltas, nil
}

// trimDeltas drops the oldest deltas, so that at most maxDeltas with at most
// maxDeltaBytes remain.
func trimDeltas(deltas []delta) []delta {
	total := 0

	for i := len(deltas) - 1; i >= 0; i-- {
		total += len(deltas[i].Payload)
		if len(deltas)-i > maxDeltas || total > maxDeltaBytes {
			// A copy lets the garbage collector free the dropped payloads.
			return slices.Clone(deltas[i+1:])
		}
	}

	return deltas
}

// advanceRead records that head is in force at offset read. It ends a scan for a
// snapshot if the buffered records follow read without a gap.
func (r *replica) advanceRead(read uint64) {
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
