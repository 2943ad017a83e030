package gateway

import (
	"net/http"
	"time"

	"boragehub/upstream"
)

// Part is one part of a prompt.
type Part struct {
	// ID identifies the part.
	ID string
	// Tokens is its length.
	Tokens int
}

// Prompt describes the prompt of a request.
type Prompt struct {
	// Model is the name of the model.
	Model string
	// Tokens is the length of the prompt, Output the maximum number of generated tokens.
	Tokens, Output int
	// Parts are the parts of the prompt in order; the last one belongs to the request or
	// its session alone.
	Parts []Part
	// UnusedParts is the number of parts that the request names if they are too many or too long to be used; Parts
	// is empty then.
	UnusedParts int
}

// SharedPartIDs returns the ids of the parts that other requests may have too.
func (p *Prompt) SharedPartIDs() []string {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}

	ids := make([]string, len(p.Parts)-1)
	for i := range ids {
		ids[i] = p.Parts[i].ID
	}

	return ids
}

// SharedTokens returns the number of tokens in the parts that other requests may have too.
func (p *Prompt) SharedTokens() int {
	n := 0

	for i := range len(p.Parts) - 1 {
		n += p.Parts[i].Tokens
	}

	return n
}

// SharedPrefixID returns the id of the shared prefix, which is that of its last part. It is empty
// if no part is shared.
func (p *Prompt) SharedPrefixID() string {
	if len(p.Parts) < 2 {
		return ""
	}

	return p.Parts[len(p.Parts)-2].ID
}

// CallerRequest is a request as received from its caller.
type CallerRequest struct {
	// ID is the request id that the caller chose for this attempt.
	ID string
	// APIKey is the caller's API key; empty if there is none.
	APIKey string
	// Timeout is how long the caller waits; zero if it sets no limit.
	Timeout time.Duration
	// Prompt is set for requests that carry a prompt.
	Prompt *Prompt
	// ResumeAfter is the id of the last stream event that the caller has; empty for a
	// stream from its beginning.
	ResumeAfter string
}

// TargetParams is what the gateway adds to a request that it sends to a target.
type TargetParams struct {
	// Target is the id of the target that the request is for; another target at the same
	// address refuses it.
	Target string
	// Address is the target's IP address and port.
	Address string
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration
	// Organisation is the caller's organisation; empty for none.
	Organisation string
	// Priority is the request's rank; 0 comes first.
	Priority int
	// ResumeAfter is the id of the last stream event that the caller has; empty for none.
	ResumeAfter string
	// Version is the weight version that the target must have; zero for any.
	Version int64
	// Salt is the cache salt of the prompt's parts: only requests with the same salt share them.
	Salt string
	// Fetch and Save are addresses for each part of the prompt, to fetch it from and to save
	// it to; empty for none.
	Fetch, Save []string
	// FetchUntil is the time on the engines' clock, in ms, at which an unfinished fetch is
	// discarded.
	FetchUntil int64
}

// ResponseHead is the head of a target's response.
type ResponseHead struct {
	// NotRun is true if the request has not run and never will.
	NotRun bool
	// Target is the id of the responding target; empty if not reported.
	Target string
	// Signed is true if the response bears a target's signature.
	Signed bool
	// HasLoad is true if Running, Waiting and Slots were reported.
	HasLoad bool
	// Running, Waiting and Slots are the target's load.
	Running, Waiting, Slots int
	// Slowdown is the factor by which work on the target's host takes longer than usual at this
	// moment; zero if not reported.
	Slowdown float64
	// Version is its weight version; zero if not reported.
	Version int64
	// RateLimit is how many requests a second the target takes from all entries together; zero
	// if it names no limit.
	RateLimit float64
	// Leaving is true if the target is about to leave and should get no new requests.
	Leaving bool
	// RetryAfter is the Retry-After time of a refusal, zero for none.
	RetryAfter time.Duration
	// Encoded is true if the body has a content encoding, so that it is not as the target made it.
	Encoded bool
}

// Dialect translates between the gateway's types and the headers of callers and targets.
type Dialect interface {
	// ParseRequest parses a caller's request. Its errors have kind failure.BadRequest.
	ParseRequest(r *http.Request) (CallerRequest, error)
	// RequestHead returns the request line and headers of a request to a target. Length is the
	// length of its body, -1 for none.
	RequestHead(r *http.Request, a *CallerRequest, s *TargetParams, length int) []byte
	// ParseResponse parses the headers of a response.
	ParseResponse(h http.Header) ResponseHead
	// HasRequestID reports whether a response carries the id of a request.
	HasRequestID(h http.Header) bool
	// MatchesRequest reports whether a response is the one to a request.
	MatchesRequest(a *CallerRequest, h http.Header) bool
	// SetRequestID sets a request's id on a response that the gateway itself generated.
	SetRequestID(h http.Header, a *CallerRequest)
}

// upstreamRequest returns the request for the connection pool.
func upstreamRequest(d Dialect, r *http.Request, a *CallerRequest, s *TargetParams, body []byte) upstream.Request {
	length := -1
	if len(body) > 0 || r.ContentLength == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead {
		length = len(body)
	}

	return upstream.Request{
		Address: s.Address,
		Method:  r.Method,
		Head:    d.RequestHead(r, a, s, length),
		Body:    body,
		ID:      a.ID,

		Identified: d.HasRequestID,
		Match:      func(h http.Header) bool { return d.MatchesRequest(a, h) },
	}
}
