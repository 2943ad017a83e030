package publication

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
	"boragehub/setting"
)

// recordKind is the kind of a record in the stream.
type recordKind uint8

const (
	// changeRecord is an operator's change.
	changeRecord recordKind = iota + 1
	// snapshotRecord is a copy of the version in force, written before the log trims
	// the original.
	snapshotRecord
)

// partBytes is the maximum payload of one record: the log accepts a mebibyte of
// base64 per append.
const partBytes = 512 << 10

// maxParts is the maximum number of records of one change.
const maxParts = 64

// record is a record of the stream. A payload over partBytes is split into several
// records, its parts, that must be contiguous.
type record struct {
	Kind recordKind `cbor:"1,keyasint"`
	// ID is unique to the change or snapshot; a part that is appended twice has the
	// same ID.
	ID string `cbor:"2,keyasint"`
	// Based is the version that a change is based on.
	Based uint64 `cbor:"3,keyasint,omitempty"`
	// Author is the operator, and Note the description of the change.
	Author string `cbor:"4,keyasint,omitempty"`
	Note   string `cbor:"5,keyasint,omitempty"`
	// Hash is the hash of the resulting text.
	Hash []byte `cbor:"6,keyasint"`
	// Part counts from 0 to Parts-1.
	Part  int `cbor:"7,keyasint,omitempty"`
	Parts int `cbor:"8,keyasint"`
	// Payload is this part of the encoded content.
	Payload []byte `cbor:"9,keyasint"`
	// Version, Read and AtMS belong to a snapshot: Version was in force at offset
	// Read, and the log accepted it at AtMS.
	Version uint64 `cbor:"10,keyasint,omitempty"`
	Read    uint64 `cbor:"11,keyasint,omitempty"`
	AtMS    int64  `cbor:"12,keyasint,omitempty"`
	// Recovers marks a change published after the log had trimmed the version in
	// force and no process had written a snapshot. Based is then the last offset
	// that the operator saw, and the change is accepted only if it directly follows
	// it. All readers can check that, and a record that arrives late can't revert
	// anything.
	Recovers bool `cbor:"13,keyasint,omitempty"`

	// start is the offset of the first part, set when the record is read.
	start uint64
}

// content is a new text, either in full or as a patch of its base.
type content struct {
	Patch  patch  `cbor:"1,keyasint,omitempty"`
	Full   []byte `cbor:"2,keyasint,omitempty"` // compressed with DEFLATE
	IsFull bool   `cbor:"3,keyasint,omitempty"`
}

// newContent returns the shorter form of the change from base to text.
func newContent(base, text []byte) content {
	p := makePatch(base, text)
	full := content{Full: compress(text), IsFull: true}

	if len(base) > 0 && p.encodedSize() <= len(full.Full) {
		return content{Patch: p}
	}

	return full
}

// encodedSize returns the approximate size of p in bytes.
func (p patch) encodedSize() int {
	const perHunk = 12

	n := 0
	for _, h := range p {
		n += perHunk + len(h.Add)
	}

	return n
}

// text returns the text that c produces from base, after checking its hash.
func (c content) text(base []byte, hash []byte) ([]byte, error) {
	var (
		text []byte
		err  error
	)

	if c.IsFull {
		text, err = decompress(c.Full)
	} else {
		text, err = c.Patch.apply(base)
	}

	if err != nil {
		return nil, err
	}

	if h := setting.HashOf(text); !bytes.Equal(h[:], hash) {
		return nil, failure.New(failure.BadMessage, "the hash of the changed settings does not match the hash in the change")
	}

	return text, nil
}

// decMode limits the cost of decoding a damaged record.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 20,
	}.DecMode()
	if err != nil {
		panic(err) // only for invalid options, and these are constant
	}

	return m
}()

// encode returns v as CBOR. It panics on an error, which the types of this package
// can't cause.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}

	return b
}

// split returns the encoded records of r, with payload divided into parts of at most
// maxBytes.
func split(r record, payload []byte, maxBytes int) [][]byte {
	r.Parts = max((len(payload)+maxBytes-1)/maxBytes, 1)

	records := make([][]byte, 0, r.Parts)
	for r.Part = range r.Parts {
		n := min(maxBytes, len(payload))
		r.Payload = payload[:n]
		payload = payload[n:]

		records = append(records, encode(r))
	}

	return records
}

func compress(b []byte) []byte {
	var out bytes.Buffer

	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		panic(err) // only for an invalid level
	}

	if _, err := w.Write(b); err != nil {
		panic(err) // a bytes.Buffer returns no errors
	}

	if err := w.Close(); err != nil {
		panic(err)
	}

	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(b)), MaxTreeBytes+1)

	text, err := io.ReadAll(r)
	if err != nil {
		return nil, failure.Wrap(failure.BadMessage, err, "cannot decompress the settings")
	}

	if len(text) > MaxTreeBytes {
		return nil, failure.New(failure.TooLarge, "the settings exceed %d bytes", MaxTreeBytes)
	}

	return text, nil
}
