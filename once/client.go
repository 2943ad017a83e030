// Package once has the HTTP client for calls that must not be repeated unasked.
//
// Go's transport sends a request again by itself when a kept connection breaks
// under it and an Idempotency-Key makes it look safe, and a client follows
// redirects; a plain service would then run a booking twice with nobody having
// asked for it. On a fresh connection for each call neither can happen, and a server that
// stops doesn't close it as unused while the call is on its way.
package once

import "net/http"

// NewClient returns a client that sends each request once.
func NewClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
