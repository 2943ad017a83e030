// Package exchange implements the calls between the system's processes that replicate topics of the
// log, and those that announce changes of engines' weights, report crashes, replicate the contents
// of stores and register entries.
//
// # Model
//
// The log may be down, or refuse single processes while it serves others. A process that can't read
// it fetches newer records from the entries. Positions determine which records are newer, so a key
// never reverts to an older record.
//
// Entries discover each other by gossip: each entry calls the seeds from its settings and sends its
// own address with its requests. The responses contain other entries. An entry that is not known to
// have been alive for a while is removed.
//
// Messages are CBOR over HTTP on a port that only the system's VMs can reach.
package exchange

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/mirror"
	"boragehub/quarantine"
)

// Paths of the HTTP calls.
const (
	recordsPath = "/records"
	noticePath  = "/notice"
	vaultsPath  = "/vaults"
	crashPath   = "/crash"
	entriesPath = "/entries"
	limitPath   = "/limit"
	leavingPath = "/leaving"
	clearedPath = "/cleared"
)

// Reply is the response to a request for records of a topic, or for members.
type Reply struct {
	// Records are the records from the requested position on, all records if Era is another one.
	Records []mirror.Record `cbor:"1,keyasint"`
	// End is the offset after the last record covered.
	End int64 `cbor:"2,keyasint"`
	// AgeMs is how long ago the records are known to have been up to date, in milliseconds;
	// negative if there is no such time.
	AgeMs int64 `cbor:"3,keyasint"`
	// Loaded is set if the responding process has loaded the topic, so that its records cover every
	// key that exists.
	Loaded bool `cbor:"4,keyasint"`
	// Members are some of the live entries that the responding one knows, or all on request.
	Members []Member `cbor:"5,keyasint,omitempty"`
	// HeldMs is how long the request was held before the response, in milliseconds.
	HeldMs int64 `cbor:"6,keyasint,omitempty"`
	// Compressed replaces Records if they are long. It holds the encoded records in DEFLATE format.
	Compressed []byte `cbor:"7,keyasint,omitempty"`
	// Ages replaces Members when the entry that asks has an equal view. It holds how long ago
	// each entry of the view was last known to be alive, in order of address, in units of 0.1 s
	// and capped at 25.5 s.
	Ages []byte `cbor:"8,keyasint,omitempty"`
	// Era is the era of the log that End belongs to.
	Era int64 `cbor:"9,keyasint,omitempty"`
	// Settled and Snapshot are as in mirror.Batch.
	Settled  bool `cbor:"10,keyasint,omitempty"`
	Snapshot bool `cbor:"11,keyasint,omitempty"`
	// AsOfShared is as in mirror.Batch. Unlike AgeMs it doesn't pass as more recent if the responding
	// process's VM was suspended.
	AsOfShared int64 `cbor:"12,keyasint,omitempty"`
	// Handled is as in mirror.Batch.
	Handled int64 `cbor:"13,keyasint,omitempty"`
}

// Member is an entry known to another one.
type Member struct {
	_ struct{} `cbor:",toarray"`
	// Address is where the entry accepts calls.
	Address string
	// AgeMs is how long ago it was last known to be alive, in milliseconds.
	AgeMs int64
}

// VersionAnnouncement announces a change of an engine's weights.
type VersionAnnouncement struct {
	// Address is the engine's address.
	Address string `cbor:"1,keyasint"`
	// Model and Version identify the weights.
	Model   string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	// Loaded is set if the engine has loaded the version; otherwise it is about to load it.
	Loaded bool `cbor:"4,keyasint"`
}

// RateLimitAnnouncement announces the rate limit that a target names.
type RateLimitAnnouncement struct {
	// Target is the id of the target's current start.
	Target string `cbor:"1,keyasint"`
	// Limit is in requests a second from all entries together; zero for none.
	Limit float64 `cbor:"2,keyasint"`
}

// LeavingAnnouncement announces that a target is about to leave.
type LeavingAnnouncement struct {
	// Target is the id of the target.
	Target string `cbor:"1,keyasint"`
	// StartedMs is its start time in ms of its own clock; zero when not known.
	StartedMs int64 `cbor:"2,keyasint,omitempty"`
}

// Cleared announces requests, or parts of them, that got a complete response after crashes counted against them.
type Cleared struct {
	// Parts are the ids of the parts, Requests the fingerprints of whole requests.
	Parts    []string                 `cbor:"1,keyasint,omitempty"`
	Requests []quarantine.Fingerprint `cbor:"2,keyasint,omitempty"`
	// AgesMs tells how long ago the responses were complete, in ms, first those with the parts; 0 if left out.
	AgesMs []int64 `cbor:"3,keyasint,omitempty"`
}

// newCleared returns the message of some responses, maxCleared of each kind at most.
func newCleared(now time.Time, all []quarantine.Acquittal) Cleared {
	var (
		m                Cleared
		partAges, reqAge []int64
	)

	for _, a := range all {
		age := max(now.Sub(a.At).Milliseconds(), 0)

		switch {
		case a.Part != "" && len(m.Parts) < maxCleared:
			m.Parts, partAges = append(m.Parts, a.Part), append(partAges, age)
		case a.Part == "" && len(m.Requests) < maxCleared:
			m.Requests, reqAge = append(m.Requests, a.Request), append(reqAge, age)
		}
	}

	m.AgesMs = append(partAges, reqAge...)

	return m
}

// acquittals returns the responses that m announces, by this process's clock.
func (m Cleared) acquittals(now time.Time) []quarantine.Acquittal {
	at := func(i int) time.Time {
		if i >= len(m.AgesMs) {
			return now
		}

		return now.Add(-time.Duration(max(m.AgesMs[i], 0)) * time.Millisecond)
	}

	var all []quarantine.Acquittal

	for i, p := range m.Parts {
		if p != "" {
			all = append(all, quarantine.Acquittal{Part: p, At: at(i)})
		}
	}

	for i, f := range m.Requests {
		all = append(all, quarantine.Acquittal{Request: f, At: at(len(m.Parts) + i)})
	}

	return all
}

// maxCleared is the number of parts, and of requests, in one message.
const maxCleared = 1024

// maxMessage bounds the bytes read of one message, before and after decompression. It suffices for
// a configuration with thousands of routes.
const maxMessage = 16 << 20

// decoder bounds the number of elements and the nesting of a message.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}

	return m
}()
