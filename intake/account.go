package intake

import (
	"context"
	"sync/atomic"
	"time"
)

// state is what a connection is used for.
type state uint8

const (
	// unused: no byte of a request has been read since the last response.
	unused state = iota
	// readingHead, readingBody: a part of a request has been read.
	readingHead
	readingBody
	// serving: a request was read completely and has no complete response yet.
	serving
)

// String returns the snake-case name of s.
func (s state) String() string {
	return [...]string{"unused", "reading_head", "reading_body", "serving"}[s]
}

// Account is what one connection takes. Its methods accept a nil Account, which has no limits.
type Account struct {
	port *Port
	cfg  AccountConfig

	// Of the present request, or of the pause before it.
	received atomic.Int64 // bytes
	progress atomic.Int64 // when the last of them were read, in ns after opened

	opened time.Time

	// The ledger's mu guards the rest.
	began     time.Time // when the present state, or the reading of the present request, began
	state     state
	head      int64
	body      int64
	response  int64
	yielded   bool
	yieldBody func() // ends the reading of a body; nil if none is read
	bodyRead  bool   // the body of the present request was read completely
}

// AccountConfig configures an Account.
type AccountConfig struct {
	// Close closes the connection. It must not block, nor call the Account.
	Close func()
	// Pending reports whether bytes were received on the connection and not read.
	Pending func() bool
}

// charge returns what the account holds beyond ConnectionBytes. The caller holds the ledger's mu.
func (a *Account) charge() int64 { return max(a.head+a.body+a.response-allowance, 0) }

// incomplete reports whether a request is read in part. The caller holds the ledger's mu.
func (a *Account) incomplete() bool { return a.state == readingHead || a.state == readingBody }

func (a *Account) pending() bool { return a.cfg.Pending != nil && a.cfg.Pending() }

// sinceProgress returns how long no byte was read. The caller holds the ledger's mu.
func (a *Account) sinceProgress(now time.Time) time.Duration {
	last := a.opened.Add(time.Duration(a.progress.Load()))
	if a.began.After(last) {
		last = a.began
	}

	return now.Sub(last)
}

// behind returns how much longer the present request takes than at minRate. The caller holds the ledger's mu.
func (a *Account) behind(now time.Time) time.Duration {
	return now.Sub(a.began) - time.Duration(a.received.Load())*time.Second/minRate
}

// Read records that n bytes were read from the connection. It returns ErrFull if there is no memory for them,
// after which the connection has to be closed.
func (a *Account) Read(now time.Time, n int) error {
	if a == nil {
		return nil
	}

	total := a.received.Add(int64(n))
	a.progress.Store(int64(now.Sub(a.opened)))

	l := a.port.ledger

	l.mu.Lock()
	defer l.mu.Unlock()

	switch a.state {
	case unused:
		a.state, a.began = readingHead, now
	case readingHead:
	case readingBody, serving:
		return nil
	}

	return a.set(now, &a.head, headCopies*max(total-readBuffer, 0))
}

// set sets one of the parts of the account, without waiting for others to give way. The caller holds the ledger's mu.
func (a *Account) set(now time.Time, part *int64, n int64) error {
	l, before, old := a.port.ledger, a.charge(), *part
	*part = n

	more := a.charge() - before
	if more <= 0 {
		l.free(-more)

		return nil
	}

	if !l.fits(more) {
		l.makeRoom(now, a.charge(), a)

		if !l.fits(more) {
			*part = old
			l.refuse(now, a)

			return ErrFull
		}
	}

	l.used += more

	return nil
}

// Head records that the head of a request has been read: the request is served from now on.
func (a *Account) Head() {
	if a == nil {
		return
	}

	a.port.ledger.mu.Lock()
	defer a.port.ledger.mu.Unlock()

	a.state = serving
}

// Unused records that the connection waits for its next request, and returns the memory of the last one.
func (a *Account) Unused(now time.Time) {
	if a == nil {
		return
	}

	a.port.ledger.mu.Lock()
	defer a.port.ledger.mu.Unlock()

	a.reset(now)
}

// reset returns the memory of a request. The caller holds the ledger's mu.
func (a *Account) reset(now time.Time) {
	charged := a.charge()
	a.received.Store(0)
	a.head, a.body, a.response, a.state, a.began, a.yieldBody, a.bodyRead = 0, 0, 0, unused, now, nil, false
	a.port.ledger.free(charged)
}

// beginBody records that the body of a request is being read. The function yield ends that; it must not block,
// nor call the Account.
func (a *Account) beginBody(yield func()) {
	if a == nil {
		return
	}

	a.port.ledger.mu.Lock()
	defer a.port.ledger.mu.Unlock()

	a.state, a.yieldBody = readingBody, yield
}

// endBody records that the body of a request is no longer read, and whether it is complete. It reports whether the
// request had to give way; one that was complete before doesn't.
func (a *Account) endBody(complete bool) (yielded bool) {
	if a == nil {
		return false
	}

	a.port.ledger.mu.Lock()
	defer a.port.ledger.mu.Unlock()

	a.state, a.yieldBody, a.bodyRead = serving, nil, complete
	a.yielded = a.yielded && !complete

	return a.yielded
}

// growBody sets the memory that the body of a request takes. It waits until others have given way. It returns
// ErrFull if there is no memory for it.
func (a *Account) growBody(ctx context.Context, n int64) error {
	if a == nil {
		return nil
	}

	l := a.port.ledger
	end := time.Now().Add(yieldTimeout)

	for {
		l.mu.Lock()

		now := time.Now()

		more := max(a.head+n+a.response-allowance, 0) - a.charge()
		if !a.yielded && l.fits(more) {
			a.body = n
			l.free(-more)
			l.mu.Unlock()

			return nil
		}

		if a.yielded || now.After(end) || !l.makeRoom(now, a.charge()+more, a) {
			if !a.yielded {
				l.refuse(now, a)
			}

			l.mu.Unlock()

			return ErrFull
		}

		freed := l.wake()
		l.mu.Unlock()

		timer := time.NewTimer(end.Sub(now))

		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
		}

		timer.Stop()

		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// bodyWasRead reports whether the body of the present request was read completely.
func (a *Account) bodyWasRead() bool {
	if a == nil {
		return false
	}

	a.port.ledger.mu.Lock()
	defer a.port.ledger.mu.Unlock()

	return a.bodyRead
}

// DropBody returns the memory of a request's body, which isn't needed any more.
func (a *Account) DropBody() {
	if a == nil {
		return
	}

	l := a.port.ledger

	l.mu.Lock()
	defer l.mu.Unlock()

	before := a.charge()
	a.body = 0
	l.free(before - a.charge())
}

// SetResponse sets the memory that the response to a request takes while it is held. It returns ErrFull if
// there is no memory for it, unless it is small.
func (a *Account) SetResponse(now time.Time, n, small int64) error {
	if a == nil {
		return nil
	}

	l := a.port.ledger

	l.mu.Lock()
	defer l.mu.Unlock()

	if n > small {
		return a.set(now, &a.response, n)
	}

	before := a.charge()
	a.response = n
	l.used += a.charge() - before

	return nil
}

// Close removes the account of a connection that was closed.
func (a *Account) Close(now time.Time) {
	if a == nil {
		return
	}

	l := a.port.ledger

	l.mu.Lock()
	defer l.mu.Unlock()

	if _, ok := l.accounts[a]; !ok {
		return
	}

	a.reset(now)
	delete(l.accounts, a)
	delete(a.port.accounts, a)
	l.free(ConnectionBytes)
}
