package claim

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
)

// kind is the type of a record in a shard's stream.
type kind uint8

const (
	// kindOwner makes its writer the owner.
	kindOwner kind = iota + 1
	// kindRenew confirms the owner before the log deletes the previous record
	// that shows it.
	kindRenew
	// kindRelease releases the shard.
	kindRelease
	// kindClaim claims a key for one run.
	kindClaim
	// kindOutcome holds the outcome of a run.
	kindOutcome
	// kindWithdraw means that a claimed run did not happen and won't happen.
	kindWithdraw
	// kindStart means that earlier processes on its writer's VM have ended.
	kindStart
)

// Basis is the reason for which a process may become the owner of a shard.
type Basis uint8

// The values of Basis.
const (
	// BasisFirst means that the kept part of the stream shows no owner.
	BasisFirst Basis = iota + 1
	// BasisReleased means that the previous owner released the shard.
	BasisReleased
	// BasisUnlisted means that the platform no longer lists the previous owner's
	// VM.
	BasisUnlisted
	// BasisRestarted means that a later process has started on the previous
	// owner's VM.
	BasisRestarted
)

// String returns the name of b in snake case.
func (b Basis) String() string {
	switch b {
	case BasisFirst:
		return "first"
	case BasisReleased:
		return "released"
	case BasisUnlisted:
		return "gone"
	case BasisRestarted:
		return "reborn"
	default:
		return "basis_" + strconv.Itoa(int(b))
	}
}

// record is one record of a shard's stream, in CBOR with small integer keys.
type record struct {
	Kind kind `cbor:"1,keyasint"`
	// Term is the offset of the owner record under which this one is written. An
	// owner record holds the previous term, zero for none.
	Term uint64 `cbor:"2,keyasint,omitempty"`
	// KeyID is the hash of the organisation and the key.
	KeyID KeyID `cbor:"3,keyasint,omitempty"`
	// RunID distinguishes the claims of one key.
	RunID uint64 `cbor:"4,keyasint,omitempty"`
	// Fingerprint is the hash of the request's fingerprint.
	Fingerprint uint64 `cbor:"5,keyasint,omitempty"`
	// IssuedMS is the key's issue time in Unix milliseconds, zero if unknown.
	IssuedMS int64 `cbor:"6,keyasint,omitempty"`
	// Outcome is the outcome of a run, in outcome records.
	Outcome *Outcome `cbor:"7,keyasint,omitempty"`
	// Owner is set in owner, renewal and start records.
	Owner *ownerRecord `cbor:"8,keyasint,omitempty"`
}

// ownerRecord describes the process that becomes or stays the owner, or that
// has started.
type ownerRecord struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Basis       Basis  `cbor:"3,keyasint,omitempty"`
	// RunsUnlogged reports that this owner may run requests before their claims
	// are written.
	RunsUnlogged bool `cbor:"4,keyasint,omitempty"`
	// ListVersion is a version of the platform's list that has the VM.
	ListVersion uint64 `cbor:"5,keyasint,omitempty"`
	// OldestOffset is the oldest offset that the log kept when the writer had
	// read all records.
	OldestOffset uint64 `cbor:"6,keyasint,omitempty"`
	// Covers is the last offset that the snapshot before a renewal record covers.
	Covers uint64 `cbor:"7,keyasint,omitempty"`
	// CoversMS is the log's newest time as of Covers, in Unix milliseconds.
	CoversMS int64 `cbor:"8,keyasint,omitempty"`
}

// encode encodes r, which can't fail.
func (r record) encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(err)
	}

	return b
}

// decode decodes a record and checks that the content that its kind needs is
// there.
func decode(b []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return record{}, failure.Wrap(failure.BadMessage, err, "a claim record can't be decoded")
	}

	if (r.Kind == kindOwner || r.Kind == kindRenew || r.Kind == kindStart) && r.Owner == nil || r.Kind == kindOutcome && r.Outcome == nil {
		return record{}, failure.New(failure.BadMessage, "a claim record of kind %d lacks its content", r.Kind)
	}

	return r, nil
}

// unixMillis returns t in Unix milliseconds, zero for the zero time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}

	return t.UnixMilli()
}
