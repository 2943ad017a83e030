// Package once provides an HTTP client for requests that must not be sent twice
// without the caller's knowledge.
//
// net/http's Transport retries a request by itself if a reused connection breaks and
// the request has an Idempotency-Key, and its Client follows redirects; a plain
// service could then run a booking twice although no one retried it. The client here
// does not follow redirects and uses a new connection for each request, which is never
// retried. A server that is shutting down also can't close such a connection as idle
// while the request is in transit.
package once

import (
	"net/http"

	"boragehub/upstream"
)

// NewClient returns a client that sends each request once. It has no timeout.
func NewClient() *http.Client {
	return &http.Client{
		Transport: upstream.NewTransport(upstream.TransportConfig{SingleUse: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
