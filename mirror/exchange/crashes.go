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
	// Acquittals returns the responses that cleared requests or parts of them.
	Acquittals() []quarantine.Acquittal
}

// knownEvidence is what another process knows: its crashes and what has cleared requests since.
type knownEvidence struct {
	Crashes []KnownCrash `cbor:"1,keyasint"`
	Cleared Cleared      `cbor:"2,keyasint"`
}

// Learner learns what other processes know of crashes.
type Learner interface {
	// AddKnownCrash adds a crash.
	AddKnownCrash(now time.Time, c quarantine.Crash)
	// AddAcquittals adds responses that clear requests or parts of them.
	AddAcquittals(now time.Time, all []quarantine.Acquittal)
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
// and has l learn what the other entry knows if they differ. A process that has just
// started, or that a report did not reach, thus learns what crashed before, and what was cleared.
func (c *Client) SyncCrashes(ctx context.Context, known CrashSet, l Learner) {
	for ctx.Err() == nil {
		if c.syncCrashes(ctx, known, l) == nil {
			pause.For(ctx, crashSyncPause)
		} else {
			pause.For(ctx, initialGossipPause)
		}
	}
}

// syncCrashes makes one comparison. It returns an error if the other entry did not respond.
func (c *Client) syncCrashes(ctx context.Context, known CrashSet, l Learner) error {
	peers := c.randomPeers(1)
	if len(peers) == 0 {
		return errNoEntries
	}

	path := crashPath + "?cleared=1&digest=" + strconv.FormatUint(known.Digest(time.Now()), 16)

	body, err := c.call(ctx, http.MethodGet, peers[0], path, nil, 0)
	if err != nil {
		return err
	}

	var e knownEvidence

	// An older build sends the crashes alone.
	if err := decoder.Unmarshal(body, &e); err != nil && decoder.Unmarshal(body, &e.Crashes) != nil {
		return err
	}

	now := time.Now()

	for _, k := range e.Crashes {
		k.Crash.At = now.Add(-time.Duration(max(k.AgeMs, 0)) * time.Millisecond)
		l.AddKnownCrash(now, k.Crash)
	}

	if all := e.Cleared.acquittals(now); len(all) > 0 {
		l.AddAcquittals(now, all)
	}

	return nil
}

// knownCrashes returns what this process knows of crashes, nothing if the digest in the query shows that
// the caller knows the same ones.
func (s *Server) knownCrashes(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	digest, err := strconv.ParseUint(r.URL.Query().Get("digest"), 16, 64)
	e := knownEvidence{Crashes: []KnownCrash{}}

	if err != nil || digest != s.crashes.Digest(now) {
		all := s.crashes.Crashes(now)
		for _, k := range all[max(0, len(all)-maxKnownCrashes):] {
			e.Crashes = append(e.Crashes, KnownCrash{k, now.Sub(k.At).Milliseconds()})
		}

		e.Cleared = newCleared(now, s.crashes.Acquittals())
	}

	if r.URL.Query().Get("cleared") == "" {
		writeMessageCompressed(w, r, e.Crashes)

		return
	}

	writeMessageCompressed(w, r, e)
}

// crash adds a crash that another process reports. The response has the responses here that clear some of its parts.
func (s *Server) crash(w http.ResponseWriter, r *http.Request) {
	c, ok := readMessage[quarantine.Crash](w, r)
	if !ok {
		return
	}

	now := time.Now()

	all := s.onCrash(now, c)
	if len(all) == 0 {
		w.WriteHeader(http.StatusNoContent)

		return
	}

	writeMessageCompressed(w, r, newCleared(now, all))
}
