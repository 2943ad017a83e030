// Package backpressure reads what targets ask of their callers in the headers of responses.
//
// # Model
//
// A target knows its own state better than anyone that routes to it, and states in each response
// what it can take. A Transport passes these Signals on from all responses of an HTTP client,
// whatever the request was: a run, a call, a poll of the state or an order.
//
// The headers are those of the targets' published protocol (docs/PLATFORM.md).
//
// # Example
//
//	client.Transport = backpressure.Transport{Base: client.Transport, Observe: func(now time.Time, address string, s backpressure.Signals) { … }}
package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of responses.
const (
	// HeaderRateLimit names the requests a second that a target takes from all callers together.
	HeaderRateLimit = "X-Request-Rate-Limit"
	// HeaderLeaving is 1 if a target is about to leave.
	HeaderLeaving = "X-Leaving"
)

// minRateLimit stands for a named limit of zero, so that an occasional request finds out when the
// limit ends.
const minRateLimit = 0.05

// Signals are what a target asks of its callers. The zero Signals ask for nothing.
type Signals struct {
	// RateLimit is the number of requests a second that it takes from all callers together;
	// zero for no limit.
	RateLimit float64
	// Leaving is true if it is about to leave and should get no new requests.
	Leaving bool
	// RetryAfter is the Retry-After time of a refusal, in which it wants no requests of the refused
	// process; zero if the response is none.
	RetryAfter time.Duration
}

// Parse returns the signals of a response.
func Parse(resp *http.Response) Signals {
	return Signals{
		RateLimit: rateLimit(resp.Header.Get(HeaderRateLimit)),
		Leaving:   strings.TrimSpace(resp.Header.Get(HeaderLeaving)) == "1",

		RetryAfter: retryAfter(resp),
	}
}

// maxRetryAfter bounds what is taken for a Retry-After time.
const maxRetryAfter = time.Hour

// retryAfter returns the Retry-After time of a refusal in seconds, zero for none. A malformed one
// counts as none.
func retryAfter(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return 0
	}

	seconds, err := strconv.ParseFloat(strings.TrimSpace(resp.Header.Get("Retry-After")), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}

	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// rateLimit parses a rate limit. A malformed one counts as none.
func rateLimit(text string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0
	}

	return max(limit, minRateLimit)
}

// Transport is an http.RoundTripper that passes on the signals of all responses.
type Transport struct {
	// Base makes the round trips.
	Base http.RoundTripper
	// Observe is called with the signals of each response of an address, before its body is read.
	Observe func(now time.Time, address string, s Signals)
}

// RoundTrip makes a round trip and passes on the signals of its response.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err == nil {
		t.Observe(time.Now(), r.URL.Host, Parse(resp))
	}

	return resp, err
}

// CloseIdleConnections closes the idle connections of Base.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
