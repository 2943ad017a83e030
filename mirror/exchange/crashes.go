package exchange

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"boragehub/pause"
	"boragehub/quarantine"
)

// CrashSet holds the crashes that a process knows. quarantine.Evidence implements it.
type CrashSet interface {
	// Digest returns a hash of the crashes, which is equal for equal sets.
	Digest(now time.Time) uint64
	// Crashes returns the crashes, oldest first.
	Crashes(now time.Time) []quarantine.Crash
}

// KnownCrash is a crash that another process knows.
type KnownCrash struct {
	Crash quarantine.Crash `cbor:"1,keyasint"`
	// AgeMs is how long ago it was detected, in milliseconds.
	AgeMs int64 `cbor:"2,keyasint"`
}

const (
	// crashSyncPause is the time between two comparisons of the known crashes with another entry's.
	crashSyncPause = 2 * time.Second
	// maxKnownCrashes is the number of crashes in one response. These are the newest ones.
	maxKnownCrashes = 256
)

// SyncCrashes compares the known crashes with those of a random entry every two seconds until ctx ends,
// and calls add with each one that the other entry knows if the sets differ. A process that has just
// started, or that a report did not reach, thus learns what crashed before.
func (c *Client) SyncCrashes(ctx context.Context, known CrashSet, add func(now time.Time, crash quarantine.Crash)) {
	for ctx.Err() == nil {
		if c.syncCrashes(ctx, known, add) == nil {
			pause.For(ctx, crashSyncPause)
		} else {
			pause.For(ctx, initialGossipPause)
		}
	}
}

// syncCrashes makes one comparison. It returns an error if the other entry did not respond.
func (c *Client) syncCrashes(ctx context.Context, known CrashSet, add func(now time.Time, crash quarantine.Crash)) error {
	peers := c.randomPeers(1)
	if len(peers) == 0 {
		return errNoEntries
	}

	path := crashPath + "?digest=" + strconv.FormatUint(known.Digest(time.Now()), 16)

	body, err := c.call(ctx, http.MethodGet, peers[0], path, nil, 0)
	if err != nil {
		return err
	}

	var all []KnownCrash
	if err := decoder.Unmarshal(body, &all); err != nil {
		return err
	}

	now := time.Now()

	for _, k := range all {
		k.Crash.At = now.Add(-time.Duration(max(k.AgeMs, 0)) * time.Millisecond)
		add(now, k.Crash)
	}

	return nil
}

// knownCrashes returns the crashes that this process knows, none if the digest in the query shows that
// the caller knows the same ones.
func (s *Server) knownCrashes(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	digest, err := strconv.ParseUint(r.URL.Query().Get("digest"), 16, 64)
	reply := []KnownCrash{}

	if err != nil || digest != s.crashes.Digest(now) {
		all := s.crashes.Crashes(now)
		for _, k := range all[max(0, len(all)-maxKnownCrashes):] {
			reply = append(reply, KnownCrash{k, now.Sub(k.At).Milliseconds()})
		}
	}

	writeMessageCompressed(w, r, reply)
}
