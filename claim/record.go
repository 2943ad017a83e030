package claim

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
)

// kind says what a record of a shard's stream does.
type kind uint8

const (
	// kindHome makes its writer the home.
	kindHome kind = iota + 1
	// kindKeep repeats who is home, before the log forgets it.
	kindKeep
	// kindRelease gives the shard back.
	kindRelease
	// kindClaim claims a key for one run.
	kindClaim
	// kindOutcome tells what a run brought.
	kindOutcome
	// kindWithdraw says that a claimed run has not happened and won't.
	kindWithdraw
	// kindBorn says that earlier processes on its writer's VM have ended.
	kindBorn
)

// Basis is why a process may become the home of a shard.
type Basis uint8

// The closed list of reasons.
const (
	// BasisFirst says that the stream tells of no home.
	BasisFirst Basis = iota + 1
	// BasisReleased says that the home before gave the shard back.
	BasisReleased
	// BasisGone says that the platform no longer lists the VM of the home before.
	BasisGone
	// BasisReborn says that a later process has started on the VM of the home before.
	BasisReborn
)

// String returns the snake-case name of b.
func (b Basis) String() string {
	switch b {
	case BasisFirst:
		return "first"
	case BasisReleased:
		return "released"
	case BasisGone:
		return "gone"
	case BasisReborn:
		return "reborn"
	default:
		return "basis_" + strconv.Itoa(int(b))
	}
}

// record is one record of a shard's stream, in CBOR with small integer keys.
type record struct {
	Kind kind `cbor:"1,keyasint"`
	// Term is the offset of the home record under which this one is written. A
	// home record names the term that it follows, zero for none.
	Term uint64 `cbor:"2,keyasint,omitempty"`
	// ID is the key's.
	ID ID `cbor:"3,keyasint,omitempty"`
	// Run tells the claims of one key apart.
	Run uint64 `cbor:"4,keyasint,omitempty"`
	// Fingerprint is the digest of the request's.
	Fingerprint uint64 `cbor:"5,keyasint,omitempty"`
	// IssuedMS is the key's issue time in Unix milliseconds, zero for none.
	IssuedMS int64 `cbor:"6,keyasint,omitempty"`
	// Outcome is what a run brought.
	Outcome *Outcome `cbor:"7,keyasint,omitempty"`
	// Home is set in home, keep and born records.
	Home *homeRecord `cbor:"8,keyasint,omitempty"`
}

// homeRecord tells who becomes or stays the home.
type homeRecord struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Basis       Basis  `cbor:"3,keyasint,omitempty"`
	// LogLess says that this home may run requests before their claims are written.
	LogLess bool `cbor:"4,keyasint,omitempty"`
	// Listed is a version of the platform's list that has the VM.
	Listed uint64 `cbor:"5,keyasint,omitempty"`
	// From is the oldest offset that the log kept when the writer had read it all.
	From uint64 `cbor:"6,keyasint,omitempty"`
	// Covers is the last offset that the snapshot before a keep record covers.
	Covers uint64 `cbor:"7,keyasint,omitempty"`
	// CoversMS is the log's newest time as of Covers.
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

// decode reads a record.
func decode(b []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return record{}, failure.Wrap(failure.BadMessage, err, "a record can't be understood as a claim")
	}

	if (r.Kind == kindHome || r.Kind == kindKeep || r.Kind == kindBorn) && r.Home == nil || r.Kind == kindOutcome && r.Outcome == nil {
		return record{}, failure.New(failure.BadMessage, "a claim record of kind %d lacks its content", r.Kind)
	}

	return r, nil
}

// millis returns t in Unix milliseconds, zero for the zero time.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}

	return t.UnixMilli()
}
