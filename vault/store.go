package vault

import (
	"time"
)

// Store is the configuration of a store.
type Store struct {
	// Address is the address at which engines reach it.
	Address string
	// DataCentre is the data centre that it runs in.
	DataCentre string
	// CapacityTokens is its capacity in tokens.
	CapacityTokens int
	// FirstByte is the latency before the first byte of each transfer.
	FirstByte time.Duration
	// TokensPerMs is the rate of its link within a data centre; with zero, transfers
	// take no time.
	TokensPerMs float64
}

// remoteTransferFactor is how many times longer a transfer between data centres takes.
const remoteTransferFactor = 2

// transfer returns how long a transfer occupies the store's link.
func (s Store) transfer(tokens int, near bool) time.Duration {
	return s.FirstByte + Transfer(tokens, s.TokensPerMs, near)
}

// Transfer returns how long a transfer occupies a link with a rate of tokensPerMs. Near is
// set for a transfer within a data centre. The result is zero if the rate is not known,
// that is, not positive.
func Transfer(tokens int, tokensPerMs float64, near bool) time.Duration {
	if tokensPerMs <= 0 {
		return 0
	}

	ms := float64(tokens) / tokensPerMs
	if !near {
		ms *= remoteTransferFactor
	}

	return time.Duration(ms * float64(time.Millisecond))
}

// lowLatency reports whether the store suits short parts, whose transfer time is mostly the
// latency before the first byte.
func (s Store) lowLatency() bool { return s.FirstByte < lowLatencyFirstByte }

const (
	// lowLatencyFirstByte separates the two kinds of stores in use, with latencies of
	// 0.5 ms and 6 ms.
	lowLatencyFirstByte = 2 * time.Millisecond
	// longPartTokens is the length from which a part is long. Recomputing a long part
	// occupies its engine for as long as recomputing fifty short ones.
	longPartTokens = 1000
	// shortPartShare is the share of a low-latency store's capacity that short parts may
	// use. The rest is for long parts that do not fit in the other stores.
	shortPartShare = 0.6
)

// Copy is a copy of a part that an engine may fetch.
type Copy struct {
	// Address is the address to fetch it from: a store's, or that of an engine that has the
	// part in its memory.
	Address string
	// Tokens is the length of the part.
	Tokens int
	// FetchUntil is the time on the engines' clock, in ms, by which a fetch of the copy
	// must end; zero sets no limit other than MaxFetch.
	FetchUntil int64
	// Near is set if Address is in the data centre of the fetching engine.
	Near bool
	// Wait is how long earlier transfers are expected to occupy the link, and Transfer how
	// long this one will.
	Wait, Transfer time.Duration
}
