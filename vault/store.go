package vault

import (
	"time"
)

// Store is a store as operators configured it.
type Store struct {
	// Address is where engines reach it.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Room is how many tokens it holds.
	Room int
	// FirstByte is the wait before each transfer.
	FirstByte time.Duration
	// TokensPerMs is how fast its link carries parts within a data centre; zero
	// takes it for infinitely fast.
	TokensPerMs float64
}

// farTransfer is how many times longer a transfer between data centres takes.
const farTransfer = 2

// transfer returns how long the store's link is taken by a transfer.
func (s Store) transfer(tokens int, near bool) time.Duration {
	return s.FirstByte + Transfer(tokens, s.TokensPerMs, near)
}

// Transfer returns how long a link of so many tokens a ms is taken by a transfer,
// within a data centre or between two; nothing when its speed isn't known.
func Transfer(tokens int, tokensPerMs float64, near bool) time.Duration {
	if tokensPerMs <= 0 {
		return 0
	}

	ms := float64(tokens) / tokensPerMs
	if !near {
		ms *= farTransfer
	}

	return time.Duration(ms * float64(time.Millisecond))
}

// quick reports whether the store suits short parts, for which the wait before a
// transfer is most of its time.
func (s Store) quick() bool { return s.FirstByte < quickFirstByte }

const (
	// quickFirstByte separates stores of two makes: half a millisecond and six.
	quickFirstByte = 2 * time.Millisecond
	// longPart is the length from which a part is long. Reading a long one again
	// holds its engine up for as long as fifty short ones.
	longPart = 1000
	// shortRoom is the part of a quick store's room that short parts may take: the
	// rest is for long ones that find no room in the others.
	shortRoom = 0.6
)

// Copy is a part that may be fetched.
type Copy struct {
	// Address is the store's.
	Address string
	// Tokens is the part's length.
	Tokens int
	// FetchUntil is the time on the engines' clock, in ms, by which a fetch of the copy
	// must end; zero sets no limit other than MaxFetch.
	FetchUntil int64
	// Near says that the store is in the engine's data centre.
	Near bool
	// Wait is how long its link is expected to be taken by transfers before this
	// one, Transfer how long by this one.
	Wait, Transfer time.Duration
}
