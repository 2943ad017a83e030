package publication

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
	"boragehub/setting"
)

// recordKind tells what a record of the stream is.
type recordKind uint8

const (
	// changeRecord is an operator's change.
	changeRecord recordKind = iota + 1
	// snapshotRecord repeats what is in force, before retention passes it.
	snapshotRecord
)

// partBytes bounds the payload of one record: the log takes a mebibyte of
// base64 in one append.
const partBytes = 512 << 10

// maxParts bounds how many records one change may take.
const maxParts = 64

// record is what stands in the log. A payload over partBytes stands in several
// records that follow each other.
type record struct {
	Kind recordKind `cbor:"1,keyasint"`
	// ID is unique to the writer's change; a part appended twice bears the same.
	ID string `cbor:"2,keyasint"`
	// Based is the version that a change was made from.
	Based uint64 `cbor:"3,keyasint,omitempty"`
	// Author and Note are the operator's.
	Author string `cbor:"4,keyasint,omitempty"`
	Note   string `cbor:"5,keyasint,omitempty"`
	// Hash is the hash of the text that results.
	Hash []byte `cbor:"6,keyasint"`
	// Part counts from 0 to Parts-1.
	Part  int `cbor:"7,keyasint,omitempty"`
	Parts int `cbor:"8,keyasint"`
	// Payload is this part of the encoded content.
	Payload []byte `cbor:"9,keyasint"`
	// Version, Read and AtMS are those of a snapshot: Version was in force at
	// offset Read and had been taken in by the log at AtMS.
	Version uint64 `cbor:"10,keyasint,omitempty"`
	Read    uint64 `cbor:"11,keyasint,omitempty"`
	AtMS    int64  `cbor:"12,keyasint,omitempty"`
	// Recovers says that the log forgot what was in force before any process
	// wrote it again. Based is then the end of the log as the operator saw it,
	// and the change holds only if it stands right behind: all readers can tell
	// that, and one that arrives late takes nothing back.
	Recovers bool `cbor:"13,keyasint,omitempty"`

	// start is the offset of the first part, set on reading.
	start uint64
}

// content is a new text, whole or as a patch of the text that it was based on.
type content struct {
	Patch patch  `cbor:"1,keyasint,omitempty"`
	Full  []byte `cbor:"2,keyasint,omitempty"` // deflated
	Whole bool   `cbor:"3,keyasint,omitempty"`
}

// newContent returns what turns base into text, in the shorter of both forms.
func newContent(base, text []byte) content {
	p := makePatch(base, text)
	whole := content{Full: deflate(text), Whole: true}

	if len(base) > 0 && p.size() <= len(whole.Full) {
		return content{Patch: p}
	}

	return whole
}

// size returns about how many bytes p takes.
func (p patch) size() int {
	const perHunk = 12

	n := 0
	for _, h := range p {
		n += perHunk + len(h.Add)
	}

	return n
}

// text returns the text that c makes of base, checked against its hash.
func (c content) text(base []byte, hash []byte) ([]byte, error) {
	var (
		text []byte
		err  error
	)

	if c.Whole {
		text, err = inflate(c.Full)
	} else {
		text, err = c.Patch.apply(base)
	}

	if err != nil {
		return nil, err
	}

	if h := setting.HashOf(text); !bytes.Equal(h[:], hash) {
		return nil, failure.New(failure.BadMessage, "the settings that a change results in have another hash than it says")
	}

	return text, nil
}

// decoding bounds what a damaged record can cost.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 20,
	}.DecMode()
	if err != nil {
		panic(err) // constant options, which are seen by the first test run
	}

	return m
}()

// encode returns v as CBOR. The types of this package always encode.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}

	return b
}

// split returns r as the records to append, its payload divided into parts of
// at most most bytes.
func split(r record, payload []byte, most int) [][]byte {
	r.Parts = max((len(payload)+most-1)/most, 1)

	records := make([][]byte, 0, r.Parts)
	for r.Part = range r.Parts {
		n := min(most, len(payload))
		r.Payload = payload[:n]
		payload = payload[n:]

		records = append(records, encode(r))
	}

	return records
}

func deflate(b []byte) []byte {
	var out bytes.Buffer

	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		panic(err) // a constant level
	}

	if _, err := w.Write(b); err != nil {
		panic(err) // a buffer takes everything
	}

	if err := w.Close(); err != nil {
		panic(err)
	}

	return out.Bytes()
}

func inflate(b []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(b)), MaxTreeBytes+1)

	text, err := io.ReadAll(r)
	if err != nil {
		return nil, failure.Wrap(failure.BadMessage, err, "compressed settings are damaged")
	}

	if len(text) > MaxTreeBytes {
		return nil, failure.New(failure.TooLarge, "settings over %d bytes", MaxTreeBytes)
	}

	return text, nil
}
