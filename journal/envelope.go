package journal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"boragehub/failure"
)

// maxParts bounds how many parts a snapshot has.
const maxParts = 4096

// envelope is what a record of the log service holds, in CBOR with small
// integer keys.
type envelope struct {
	// Writer identifies one run of one Writer.
	Writer uuid.UUID `cbor:"1,keyasint"`
	// Sequence rises by one with each record of a Writer; the first is 1.
	Sequence uint64 `cbor:"2,keyasint"`
	// Data is the record's content, or a part of a snapshot.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Part is set when the record is a part of a snapshot.
	Part *part `cbor:"4,keyasint,omitempty"`
}

// part says which piece of which snapshot a record holds.
type part struct {
	// Covers is the last offset that the snapshot takes account of.
	Covers uint64 `cbor:"1,keyasint"`
	// Index counts the parts from 0.
	Index int `cbor:"2,keyasint"`
	// Count is the number of parts.
	Count int `cbor:"3,keyasint"`
}

// snapshot is what the parts of a snapshot make up together.
type snapshot struct {
	// Seen are the highest sequence numbers by writer as of the covered offset.
	Seen map[uuid.UUID]mark `cbor:"1,keyasint,omitempty"`
	// Data is the state of the stream's owner.
	Data []byte `cbor:"2,keyasint"`
}

// mark is the newest record seen from one writer.
type mark struct {
	// Sequence is its number.
	Sequence uint64 `cbor:"1,keyasint"`
	// At is when the service took it, in Unix milliseconds.
	At int64 `cbor:"2,keyasint"`
}

// seal encodes e. Encoding these types can't fail.
func seal(e envelope) []byte {
	b, err := cbor.Marshal(e)
	if err != nil {
		panic(err)
	}

	return b
}

// open decodes an envelope.
func open(b []byte) (envelope, error) {
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return envelope{}, failure.Wrap(failure.BadMessage, err, "a record of the log is no envelope")
	}

	if p := e.Part; p != nil && (p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count) {
		return envelope{}, failure.New(failure.BadMessage, "a snapshot has part %d of %d", p.Index, p.Count)
	}

	return e, nil
}
