package pulse

import (
	"context"
	"errors"
	"sync"
	"time"

	"boragehub/room"
)

// ErrUnanswered is returned for a claim that the side process did not reply to, and without a claim
// being sent while the side process of the engine is taken not to reply.
var ErrUnanswered = errors.New("the claim got no reply")

// Timing of claims.
const (
	// claimRepeatAfter is the time after which a claim is sent a second time; datagrams may be lost.
	claimRepeatAfter = 10 * time.Millisecond
	// claimTimeout is the time after which a claim counts as unanswered, at least. Within a region
	// a reply takes 1 to 3 ms.
	claimTimeout = 25 * time.Millisecond
	// claimTimeoutReplyTimes is the number of measured reply times that claims have at least.
	claimTimeoutReplyTimes = 3
	// maxClaimTimeout bounds the time that a prompt is delayed by a claim.
	maxClaimTimeout = 250 * time.Millisecond
	// replyTimeShare is the weight of a new reply time in the mean.
	replyTimeShare = 0.125
	// unansweredLimit is the number of consecutive unanswered claims after which an engine gets none
	// for claimPause: a side process that is dead or of an old build would delay each long prompt.
	unansweredLimit = 3
	claimPause      = 5 * time.Second
	// noteDelay is how long Started and Done are collected into one datagram.
	noteDelay = 3 * time.Millisecond
)

// Bounds of claims.
const (
	// maxNotes is the number of ids in one datagram, so that it stays below maxLegacyDatagram.
	maxNotes = 32
	// maxClaimEngines bounds the engines that a process keeps figures of.
	maxClaimEngines = 4096
)

// claimTable is an entry's claims and its figures of the side processes that reply to them.
type claimTable struct {
	// start is the start time of this process in ns.
	start int64

	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan room.Grant
	held    map[uint64]struct{} // ids of leases that have not ended
	engines map[string]*claimEngine
}

// claimEngine is what an entry knows of an engine's side process, and what it has yet to tell it.
type claimEngine struct {
	replyTime     time.Duration // mean, zero while unknown
	unanswered    int           // consecutive claims without a reply
	countedFrom   uint64        // id of the first claim that counts in unanswered
	pausedUntil   time.Time     // until when no claims are sent
	started, done []uint64
}

func newClaimTable(now time.Time) claimTable {
	return claimTable{start: now.UnixNano(), waiting: make(map[uint64]chan room.Grant), held: make(map[uint64]struct{}), engines: make(map[string]*claimEngine)}
}

// engine returns the entry for an engine. The caller holds mu.
func (t *claimTable) engine(address string) *claimEngine {
	e := t.engines[address]
	if e == nil {
		if len(t.engines) >= maxClaimEngines || t.engines == nil {
			t.engines = make(map[string]*claimEngine)
		}

		e = &claimEngine{}
		t.engines[address] = e
	}

	return e
}

// begin registers a claim. It returns its id, the channel on which its grant arrives, and the time
// after which it counts as unanswered; ok is false while no claims are sent to the engine.
func (t *claimTable) begin(now time.Time, address string) (id uint64, granted <-chan room.Grant, timeout time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.engine(address)
	if now.Before(e.pausedUntil) {
		return 0, nil, 0, false
	}

	t.lastID++
	c := make(chan room.Grant, 1)
	t.waiting[t.lastID] = c

	return t.lastID, c, min(max(claimTimeout, claimTimeoutReplyTimes*e.replyTime), maxClaimTimeout), true
}

// answered records that a claim was answered after a time.
func (t *claimTable) answered(address string, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.engine(address)
	e.unanswered = 0

	if e.replyTime == 0 {
		e.replyTime = after
	} else {
		e.replyTime += time.Duration(replyTimeShare * float64(after-e.replyTime))
	}
}

// resume allows claims at an engine again, since its side process has sent its first report after a
// start: before that it replies to none, so that those in flight don't count if they get no reply.
func (t *claimTable) resume(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.engine(address)
	e.unanswered, e.pausedUntil = 0, time.Time{}
	e.countedFrom = t.lastID + 1
}

// abandon ends the wait for a reply and gives back a lease that may have been granted. Timed-out
// claims count as unanswered.
func (t *claimTable) abandon(now time.Time, address string, id uint64, timedOut bool) (flush bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.waiting, id)
	delete(t.held, id)

	e := t.engine(address)
	if timedOut && id >= e.countedFrom {
		e.unanswered++
		if e.unanswered >= unansweredLimit {
			e.pausedUntil = now.Add(claimPause)
		}
	}

	return e.note(&e.done, id)
}

// resolve delivers a grant to the claim that waits for it. It returns false if the grant belongs to
// no claim and no lease of this process, so that the lease is to be given back.
func (t *claimTable) resolve(g room.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if c, ok := t.waiting[g.ID]; ok {
		delete(t.waiting, g.ID)

		if g.Outcome == room.Granted {
			t.held[g.ID] = struct{}{}
		}

		c <- g

		return true
	}

	_, held := t.held[g.ID]

	return held || g.Outcome != room.Granted
}

// noteStarted and noteDone record what the engine's side process is to be told. They return true if a
// datagram with it is to be sent after noteDelay.
func (t *claimTable) noteStarted(address string, id uint64) (flush bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if _, ok := t.held[id]; !ok {
		return false
	}

	e := t.engine(address)

	return e.note(&e.started, id)
}

func (t *claimTable) noteDone(address string, id uint64) (flush bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.held, id)

	e := t.engine(address)

	return e.note(&e.done, id)
}

// note adds an id to one of the engine's lists and returns true if both were empty.
func (e *claimEngine) note(list *[]uint64, id uint64) (first bool) {
	first = len(e.started)+len(e.done) == 0
	*list = append(*list, id)

	return first
}

// takeNotes returns what the engine's side process is to be told, as much as fits into one datagram,
// and whether there is more.
func (t *claimTable) takeNotes(address string) (s Subscription, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e := t.engine(address)
	n := min(len(e.done), maxNotes)
	s.Done, e.done = e.done[:n:n], e.done[n:]
	n = min(len(e.started), maxNotes-n)
	s.Started, e.started = e.started[:n:n], e.started[n:]

	return s, len(e.started)+len(e.done) > 0
}

// Claim claims capacity at an engine and returns the reply of its side process. The claim's ID is set
// here and returned with the grant. The error is ErrUnanswered if there is no reply, and that of ctx if
// it ends first. A granted lease ends with Done.
func (l *Listener) Claim(ctx context.Context, engine string, c room.Claim) (room.Grant, error) {
	began := time.Now()

	id, granted, timeout, ok := l.claims.begin(began, engine)
	if !ok {
		return room.Grant{}, ErrUnanswered
	}

	c.ID = id
	// What has ended frees capacity for this claim.
	s, _ := l.claims.takeNotes(engine)
	s.Claims = []room.Claim{c}
	l.Notify(engine, s)

	deadline := time.NewTimer(timeout)
	defer deadline.Stop()

	repeat := time.NewTimer(claimRepeatAfter)
	defer repeat.Stop()

	for {
		select {
		case g := <-granted:
			l.claims.answered(engine, time.Since(began))

			return g, nil
		case <-repeat.C:
			l.Notify(engine, Subscription{Claims: []room.Claim{c}})
		case <-deadline.C:
			l.flushAfter(engine, l.claims.abandon(time.Now(), engine, id, true))

			return room.Grant{ID: id}, ErrUnanswered
		case <-ctx.Done():
			l.flushAfter(engine, l.claims.abandon(time.Now(), engine, id, false))

			return room.Grant{ID: id}, ctx.Err()
		}
	}
}

// Started reports that the prompt of a lease was prefilled.
func (l *Listener) Started(engine string, id uint64) {
	l.flushAfter(engine, l.claims.noteStarted(engine, id))
}

// Done ends a lease: its request has ended or was not sent.
func (l *Listener) Done(engine string, id uint64) {
	l.flushAfter(engine, l.claims.noteDone(engine, id))
}

// flushAfter sends what an engine's side process is to be told after noteDelay.
func (l *Listener) flushAfter(engine string, flush bool) {
	if !flush {
		return
	}

	time.AfterFunc(noteDelay, func() {
		for more := true; more; {
			var s Subscription
			if s, more = l.claims.takeNotes(engine); len(s.Started)+len(s.Done) > 0 {
				l.Notify(engine, s)
			}
		}
	})
}

// receiveGrants delivers the grants of a report to the claims that wait for them. The report's backlog
// is known before, so that a denied claim is followed by a decision that uses it.
func (l *Listener) receiveGrants(p Report) {
	for _, g := range p.Grants {
		if !l.claims.resolve(g) {
			l.Done(p.Engine, g.ID)
		}
	}
}
