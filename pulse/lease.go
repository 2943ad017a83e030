package pulse

import (
	"context"
	"net"
	"sync"
	"time"

	"boragehub/event"
	"boragehub/room"
)

const (
	// pushInterval is the shortest time between two reports that are sent because leases changed.
	pushInterval = 40 * time.Millisecond
	// maxIDs bounds the claims, and the ids of a kind, that are used of one datagram.
	maxIDs = 128
)

// leaseReports is the state of a Reporter that concerns leases.
type leaseReports struct {
	changed chan struct{} // signals that leases changed
	lines   leaseLines

	mu            sync.Mutex // held while a report is numbered and sent
	sequence      uint64
	stateSequence uint64
	sourceStart   int64
}

func newLeaseReports() leaseReports {
	return leaseReports{changed: make(chan struct{}, 1), lines: newLeaseLines()}
}

// signal records that leases changed.
func (s *leaseReports) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// publish sends a report of the state for which the engine was queried at a time.
func (r *Reporter) publish(now, queriedAt time.Time, p Report, to []subscriber) {
	s := &r.leases

	s.mu.Lock()
	defer s.mu.Unlock()

	if l := r.cfg.Ledger; l != nil {
		state := room.State{Running: p.Running, Waiting: p.Waiting, UsedTokens: p.UsedTokens, TotalTokens: p.TotalTokens, Slowdown: p.Slowdown}
		if l.Observe(now, queriedAt, state) {
			s.signal()
		}

		s.stateSequence++
		p.StateSequence = s.stateSequence
		p = r.withUsage(now, p)
	}

	s.sequence++
	p.Sequence = s.sequence
	s.sourceStart = p.SourceStart
	r.send(now, p, to)
}

// withUsage returns a report with what the leases hold.
func (r *Reporter) withUsage(now time.Time, p Report) Report {
	u := r.cfg.Ledger.Usage(now)
	p.Backlog, p.Leased, p.Leases = u.Backlog, u.Occupied, u.Leases

	return p
}

// pushChanges sends the figures of leases when they have changed, until ctx ends.
func (r *Reporter) pushChanges(ctx context.Context) {
	if r.cfg.Ledger == nil {
		return
	}

	check := time.NewTicker(MinInterval)
	defer check.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
			if !r.logEnded(time.Now()) {
				continue
			}
		case <-r.leases.changed:
		}

		sent := r.push(time.Now())

		select {
		case <-ctx.Done():
			return
		case <-time.After(max(pushInterval, time.Duration(sent)*time.Second/maxPushedPerSecond)):
		}
	}
}

// push sends the figures of leases to the subscribers that know of them, and returns their number.
func (r *Reporter) push(now time.Time) int {
	s := &r.leases

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.stateSequence == 0 {
		return 0 // the engine has not been queried yet
	}

	body := encode(r.leasesOnly(now, nil))
	all := r.leaseSubscribers(now)

	for _, to := range all {
		//nolint:errcheck,gosec // equivalent to a lost datagram
		r.conn.WriteToUDP(body, to)
	}

	return len(all)
}

// leaseSubscribers returns the addresses of the subscribers that know of leases.
func (r *Reporter) leaseSubscribers(now time.Time) []*net.UDPAddr {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []*net.UDPAddr

	for _, s := range r.subscribers {
		if s.start > 0 && !now.After(s.expiresAt) {
			all = append(all, s.address)
		}
	}

	return all
}

// applyClaims passes what a subscription says of leases to the ledger, and replies to its claims.
func (r *Reporter) applyClaims(now time.Time, from *net.UDPAddr, s Subscription) {
	if r.cfg.Ledger == nil || s.Start == 0 || len(s.Claims)+len(s.Started)+len(s.Done) == 0 {
		return
	}

	key := room.Key{Entry: from.String(), Start: s.Start}
	changed := false

	// What has ended frees capacity for the claims beside it.
	for _, key.ID = range s.Done[:min(len(s.Done), maxIDs)] {
		known := r.cfg.Ledger.Done(now, key)
		changed = known || changed

		r.logLease(now, event.RoomDone, key, known)
	}

	for _, key.ID = range s.Started[:min(len(s.Started), maxIDs)] {
		known := r.cfg.Ledger.Started(now, key)
		changed = known || changed

		r.logLease(now, event.RoomStarted, key, known)
	}

	var grants []room.Grant

	for _, c := range s.Claims[:min(len(s.Claims), maxIDs)] {
		key.ID = c.ID

		g, ok := r.cfg.Ledger.Claim(now, key, c)
		if !ok {
			continue
		}

		grants = append(grants, g)
		changed = changed || g.Outcome == room.Granted

		if g.Outcome == room.Granted {
			r.logGranted(now, key, c)
		} else {
			r.logDenied(now, key, c, g)
		}
	}

	if len(grants) > 0 {
		r.reply(now, from, grants)
	}

	if changed {
		r.leases.signal()
	}
}

// reply sends grants to the entry that claimed, with the present leases.
func (r *Reporter) reply(now time.Time, to *net.UDPAddr, grants []room.Grant) {
	s := &r.leases

	s.mu.Lock()
	defer s.mu.Unlock()

	//nolint:errcheck,gosec // the claim is repeated
	r.conn.WriteToUDP(encode(r.leasesOnly(now, grants)), to)
}

// leasesOnly returns the next report with the figures of leases. The caller holds leases.mu.
func (r *Reporter) leasesOnly(now time.Time, grants []room.Grant) Report {
	s := &r.leases
	s.sequence++

	return r.withUsage(now, Report{
		Engine: r.cfg.EngineAddress, SourceStart: s.sourceStart, Sequence: s.sequence, StateSequence: s.stateSequence, LeasesOnly: true, Grants: grants,
	})
}

// encodeFor returns the datagram of a load report for a subscriber. Builds without
// Subscription.Start get none of the later fields. A report that is too large loses resident parts,
// the last of the list first.
func encodeFor(s subscriber, p Report) []byte {
	limit := maxDatagram

	if s.start == 0 {
		limit = maxLegacyDatagram
		p.Backlog, p.Leased, p.Leases, p.StateSequence = 0, 0, 0, 0
		p.Slowdown, p.SlowdownAgeMs, p.Speed = 0, 0, 0
	}

	body := encode(p)

	for len(body) > limit && len(p.Resident) > 0 {
		p.Resident = p.Resident[:len(p.Resident)*3/4]
		body = encode(p)
	}

	return body
}
