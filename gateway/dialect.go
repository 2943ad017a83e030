package gateway

import (
	"net/http"
	"time"

	"boragehub/upstream"
)

// Part is one part of a prompt.
type Part struct {
	// ID is the part's id.
	ID string
	// Tokens is its length.
	Tokens int
}

// Prompt is what a request says of the prompt that it carries.
type Prompt struct {
	// Model is the model's name.
	Model string
	// Tokens is the prompt's length, Output the most that may be generated.
	Tokens, Output int
	// Parts are the prompt's parts in order; the last one belongs to the request
	// or its session.
	Parts []Part
}

// Shared returns the tokens of the parts that other requests may have too.
func (p *Prompt) Shared() int {
	n := 0

	for i := range len(p.Parts) - 1 {
		n += p.Parts[i].Tokens
	}

	return n
}

// Opening identifies the shared parts; empty when there are none.
func (p *Prompt) Opening() string {
	if len(p.Parts) < 2 {
		return ""
	}

	return p.Parts[len(p.Parts)-2].ID
}

// Arrival is a request as its caller sent it.
type Arrival struct {
	// ID is the id that the caller gave this attempt of its own.
	ID string
	// Key is the caller's key; empty when there is none.
	Key string
	// Deadline is how long the caller waits; zero when it doesn't say.
	Deadline time.Duration
	// Prompt is set for requests that carry a prompt.
	Prompt *Prompt
	// ResumeAfter is the id of the last event of a stream that the caller has;
	// empty for a stream from its beginning.
	ResumeAfter string
}

// Sending is what goes to a target with a request besides what the caller sent.
type Sending struct {
	// Target is the id of the target that the request is for; another one at
	// the same address refuses it.
	Target string
	// Address is the target's IP and port.
	Address string
	// Left is how long the answer is still of use.
	Left time.Duration
	// Organisation is the caller's organisation; empty for none.
	Organisation string
	// Priority is the request's rank, 0 first.
	Priority int
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// Version is the weight version that the target is to have; zero for any.
	Version int64
	// Salt is under which the parts of the prompt are cached.
	Salt string
	// Fetch and Save name a store for each part of the prompt, empty for none.
	Fetch, Save []string
	// FetchUntil is the time on the engines' clock, in ms, at which a fetch that
	// has not ended is thrown away.
	FetchUntil int64
}

// Answer is what a target says in the head of its answer.
type Answer struct {
	// NotRun says that the request has not run and never will.
	NotRun bool
	// Target is the id of the target that answers; empty when not told.
	Target string
	// Genuine says that the answer bears a target's signature.
	Genuine bool
	// LoadKnown says that Running, Waiting and Slots were told.
	LoadKnown bool
	// Running, Waiting and Slots are the target's load.
	Running, Waiting, Slots int
	// Version is its weight version; zero when not told.
	Version int64
	// Encoded says that the body is not as the target made it.
	Encoded bool
}

// Dialect translates between the gateway and those whom it speaks with.
type Dialect interface {
	// Arrival reads what a caller sent. An error has kind failure.BadRequest.
	Arrival(r *http.Request) (Arrival, error)
	// Head returns the request line and headers of a request to a target, whose
	// body has the given length (-1 for none).
	Head(r *http.Request, a *Arrival, s *Sending, length int) []byte
	// Answer reads the head of an answer.
	Answer(h http.Header) Answer
	// Belongs reports whether an answer is the one to a request.
	Belongs(a *Arrival, h http.Header) bool
	// Mark puts a request's id on an answer of our own.
	Mark(h http.Header, a *Arrival)
}

// request builds what upstream sends.
func request(d Dialect, r *http.Request, a *Arrival, s *Sending, body []byte) upstream.Request {
	length := -1
	if len(body) > 0 || r.ContentLength == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead {
		length = len(body)
	}

	return upstream.Request{
		Address: s.Address,
		Method:  r.Method,
		Head:    d.Head(r, a, s, length),
		Body:    body,
		Match:   func(h http.Header) bool { return d.Belongs(a, h) },
	}
}
