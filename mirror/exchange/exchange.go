// Package exchange passes between the system's processes what they mirror of the
// log, and what side processes say of their engines.
//
// # Model
//
// The log may be down, or turn single processes away while it serves others. A
// process that can't read it asks the entries, and takes what is newer than what
// it has; offsets decide, so nothing ever reverts.
//
// Entries find each other by asking: each asks those that its settings name and
// says where it can be asked itself; answers tell of the others. Who has not
// asked for a while is forgotten.
//
// Messages are CBOR over HTTP on a port that only the system's machines reach.
package exchange

import (
	"github.com/fxamacker/cbor/v2"

	"boragehub/mirror"
)

// Paths of the calls.
const (
	recordsPath = "/records"
	noticePath  = "/notice"
	vaultsPath  = "/vaults"
	crashPath   = "/crash"
	entriesPath = "/entries"
)

// Reply is the answer to a question for records.
type Reply struct {
	// Records are those from the asked offset on.
	Records []mirror.Record `cbor:"1,keyasint"`
	// End is the offset after the last record covered.
	End int64 `cbor:"2,keyasint"`
	// AgeMs is how long ago the answer was surely up to date; negative for never.
	AgeMs int64 `cbor:"3,keyasint"`
	// Loaded says that the answer covers every key that exists.
	Loaded bool `cbor:"4,keyasint"`
	// Members are some of the entries that the one asked knows, or all on request.
	Members []Member `cbor:"5,keyasint,omitempty"`
	// HeldMs is how long the question was held before it was answered.
	HeldMs int64 `cbor:"6,keyasint,omitempty"`
	// Packed are the records in place of Records when they are long.
	Packed []byte `cbor:"7,keyasint,omitempty"`
	// Ages replaces Members when the entry that asks has an equal view. It holds how long ago
	// each entry of the view was last known to be alive, in order of address, in units of 0.1 s
	// and capped at 25.5 s.
	Ages []byte `cbor:"8,keyasint,omitempty"`
}

// Member is an entry that another one knows.
type Member struct {
	_ struct{} `cbor:",toarray"`
	// Address is where it can be asked.
	Address string
	// AgeMs is how long ago it was surely alive.
	AgeMs int64
}

// Notice is what a side process says of its engine.
type Notice struct {
	// Address is the engine's.
	Address string `cbor:"1,keyasint"`
	// Model and Version are what it loads or has.
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	// Loaded says that it has the version; otherwise it is about to load it.
	Loaded bool `cbor:"4,keyasint"`
}

// maxMessage bounds what is read of one message: a configuration with thousands
// of routes.
const maxMessage = 16 << 20

// decoder bounds what a message may hold.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}

	return m
}()
