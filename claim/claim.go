// Package claim runs a non-idempotent request, such as a booking or an
// acknowledgement notice, at most once for its organisation and
// Idempotency-Key.
//
// # Model
//
// The keys of a plain service are divided into shards. Each shard has one
// owner, the side process of one of the service's targets, and one stream of
// the log. The stream holds ownership records and the claims, outcomes and
// withdrawals of requests, so all processes see them in one order: a claim
// counts only if its writer owned the shard at that offset and if it is the
// first one for its key. The owner runs a request only after it has read its
// own claim back as the one that counts. Event names call the owner of a shard
// its home.
//
// An outcome record lets a retried request get the recorded response. A
// withdrawal says that a claimed request was not run, so that its key may be
// claimed again. A claim with neither, whose process has ended, is answered as
// "outcome unknown" and never run again.
//
// # Change of owner
//
// A process may become the owner of a shard only if the previous owner released
// it in the log, if the platform's list of VMs no longer has the previous
// owner's VM, or if a later process has started on that VM, which is possible
// only after the earlier one has ended. Otherwise no process can take over,
// however long the owner is unresponsive.
//
// # Outage of the log
//
// Since no other process can take over from a live owner, the owner continues
// during an outage of the log: it knows every key that it ran, runs new ones at
// once and writes their claims and outcomes when the log is back. If it crashes
// before that, the next owner lacks these records. Keys issued before the
// takeover that have no record are then answered as "outcome unknown"; keys
// issued later run. The issue time of a key is known if the key is a UUIDv7;
// any other key counts as issued before.
//
// State and Coordinator decide and do no I/O. Deduplicator connects them to the
// log; its Run method must run in the background:
//
//	d := claim.NewDeduplicator(claim.DeduplicatorConfig{Log: log, Service: "booking-api", VM: vm, VMList: list})
//	go d.Run(ctx)
//	t, err := d.Claim(ctx, time.Now(), claim.Request{Organisation: o, Key: key})
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

// Request is a request that must run at most once.
type Request struct {
	// Organisation is the organisation of the caller; equal keys of two
	// organisations are different keys.
	Organisation string
	// Key is the caller's Idempotency-Key.
	Key string
	// Fingerprint identifies the content of the request, so that a key that is
	// reused for other content is refused.
	Fingerprint string
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Outcome is the response to a request that was run.
type Outcome struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// ContentType is the content type of the response.
	ContentType string `cbor:"2,keyasint,omitempty"`
	// Body is the body of the response; it is not kept if it exceeds the limit
	// MaxBodyBytes.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// BodyOmitted reports that Body exceeded the limit and was not kept.
	BodyOmitted bool `cbor:"4,keyasint,omitempty"`
}

// Ticket permits one run of a request, or holds the outcome of an earlier run.
type Ticket struct {
	// Outcome is the recorded outcome, which is to be replayed without a run. If
	// it is nil, the request may run and the ticket must then be passed to
	// Complete, Withdraw or MarkUnknown.
	Outcome *Outcome
	// Unlogged reports that the request runs before its claim is in the log.
	Unlogged bool

	shard int
	run   *Run
}

// Shard returns the number of the shard that the request's key belongs to.
func (t Ticket) Shard() int { return t.shard }

// KeyID is a hash of an organisation and a key, so that the log holds no
// caller's key.
type KeyID [16]byte

// NewKeyID returns the KeyID of an organisation's key.
func NewKeyID(organisation, key string) KeyID {
	d := sha256.New()

	var n [8]byte

	binary.BigEndian.PutUint64(n[:], uint64(len(organisation)))
	d.Write(n[:])
	d.Write([]byte(organisation))
	d.Write([]byte(key))

	var id KeyID

	copy(id[:], d.Sum(nil))

	return id
}

// Shard returns the number of the shard, from 0, that an organisation's key
// belongs to; shards below 1 count as 1.
func Shard(organisation, key string, shards int) int {
	id := NewKeyID(organisation, key)

	return int(binary.BigEndian.Uint64(id[:8]) % uint64(max(shards, 1)))
}

// IssueTime returns when a key was issued; false if the key holds no time,
// since it is not a UUIDv7 in the usual form of 36 characters.
func IssueTime(key string) (time.Time, bool) {
	const uuidLength = 36
	if len(key) != uuidLength {
		return time.Time{}, false
	}

	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}

	ms := binary.BigEndian.Uint64(u[:8]) >> 16

	return time.UnixMilli(int64(ms)), true
}

// fingerprintHash shortens a fingerprint to 64 bits.
func fingerprintHash(fingerprint string) uint64 { return xxh3.HashString(fingerprint) }
