package journal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"boragehub/failure"
)

// maxSnapshotParts bounds the number of parts of a snapshot.
const maxSnapshotParts = 4096

// envelope is the content of a record in the log service, encoded as CBOR with
// small integer keys.
type envelope struct {
	// Writer is the ID of the Writer; it is new with each NewWriter.
	Writer uuid.UUID `cbor:"1,keyasint"`
	// Sequence increases by one with each record of a Writer; the first is 1.
	Sequence uint64 `cbor:"2,keyasint"`
	// Data is the record's content, or that of a part of a snapshot.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Part is set when the record is a part of a snapshot.
	Part *snapshotPart `cbor:"4,keyasint,omitempty"`
}

// snapshotPart identifies a part of a snapshot.
type snapshotPart struct {
	// Covers is the offset of the last record that the snapshot includes.
	Covers uint64 `cbor:"1,keyasint"`
	// Index is the position of the part, from 0.
	Index int `cbor:"2,keyasint"`
	// Count is the number of parts.
	Count int `cbor:"3,keyasint"`
}

// snapshot is the content of a snapshot, encoded and split into parts.
type snapshot struct {
	// Seen holds each writer's newest record as of the covered offset, for
	// deduplication.
	Seen map[uuid.UUID]newestRecord `cbor:"1,keyasint,omitempty"`
	// Data is the application's state.
	Data []byte `cbor:"2,keyasint"`
}

// newestRecord describes the newest record read from one writer.
type newestRecord struct {
	// Sequence is its sequence number.
	Sequence uint64 `cbor:"1,keyasint"`
	// At is when the service appended it, in Unix milliseconds.
	At int64 `cbor:"2,keyasint"`
}

// encodeEnvelope encodes e, which can't fail for these types.
func encodeEnvelope(e envelope) []byte {
	b, err := cbor.Marshal(e)
	if err != nil {
		panic(err)
	}

	return b
}

// decodeEnvelope decodes and validates an envelope.
func decodeEnvelope(b []byte) (envelope, error) {
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return envelope{}, failure.Wrap(failure.BadMessage, err, "the envelope of a log record could not be decoded")
	}

	if p := e.Part; p != nil && (p.Count < 1 || p.Count > maxSnapshotParts || p.Index < 0 || p.Index >= p.Count) {
		return envelope{}, failure.New(failure.BadMessage, "invalid snapshot part %d of %d", p.Index, p.Count)
	}

	return e, nil
}
