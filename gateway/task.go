package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/intake"
	"boragehub/profile"
	"boragehub/quarantine"
	"boragehub/retry"
	"boragehub/site"
	"boragehub/upstream"
)

// task is the handling of one request.
type task struct {
	g *Gateway
	w http.ResponseWriter
	r *http.Request
	// account accounts for what the connection takes; nil for none.
	account *intake.Account

	began        time.Time
	deadline     time.Time // when the caller's or the route's timeout ends
	cfg          *site.Configuration
	route        *site.Route
	organisation *site.Organisation // nil for none
	arrival      CallerRequest
	body         []byte
	service      site.Service
	hash         uint64 // of the request id: evenly spread, the same for all attempts
	fingerprint  quarantine.Fingerprint
	sharedParts  []string // ids of its parts that other requests may have too, see identify
	probed       bool     // whether it is quarantined, and tries whether it still ends its target
	probedPart   string   // quarantined part that the request tries; empty for none
	beginning    bool     // whether it is sent and has no event yet, see beginParts

	attempts       int             // sent so far
	possibleRuns   int             // attempts in which the request may have run
	tried          map[string]bool // ids of the targets tried
	contended      bool            // whether the service is contended, as of the last decision
	noRoom         map[string]bool // ids of the targets that denied a claim in this round of decisions
	stream         stream
	inFlight       *inFlightAttempt // the present attempt
	received       receivedBody     // what it has received
	sentAt         time.Time        // when it was sent
	repeat         *retry.Budget    // holds a reservation for it; nil if it isn't a repeat, or has arrived
	admission      *admissionTurn   // while it has the turn in its admission queue; nil otherwise
	lastEventAfter atomic.Int64     // when the last event was sent, in ns after began
}

// receivedBody is what was received of the body of a target's response, for the log.
type receivedBody struct {
	framing upstream.Framing
	bytes   int
	// hasEvents is true if a stream has a complete event, unfinished the number of bytes behind the last one.
	hasEvents  bool
	unfinished int
}

// Limits on reading requests.
const (
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// deadlineGrace is how long after its deadline an attempt may still get a response: the
	// target stops at the deadline and reports it, which takes a moment.
	deadlineGrace = 60 * time.Millisecond
	// defaultTimeout applies if neither caller nor route sets a limit.
	defaultTimeout = time.Minute
	// bodyRetryAfter is when a caller whose body found no memory should retry: other entries may have some.
	bodyRetryAfter = 100 * time.Millisecond
)

// accept reads and checks the request, and admits it.
func (t *task) accept(now time.Time) error {
	t.cfg = t.g.current.Load()

	a, err := t.g.cfg.Dialect.ParseRequest(t.r)
	t.arrival = a

	if err != nil {
		return err
	}

	if t.cfg == nil {
		return notReady()
	}

	route, ok := t.cfg.Match(t.r.Host, t.r.URL.Path)
	if !ok {
		return failure.New(failure.UnknownPath, "no route for this host and path")
	}

	t.route = route

	if err := t.authenticate(); err != nil {
		return err
	}

	if p := t.arrival.Prompt; p != nil && p.UnusedParts > 0 {
		event.Log(t.g.cfg.Log, event.PartsNotUsed, "request_id", t.logID(), "parts", p.UnusedParts)
	}

	t.setDeadline(now)

	if err := t.readBody(); err != nil {
		return err
	}

	t.hash = xxhash.Sum64String(t.arrival.ID)

	service, ok := t.cfg.Service(t.route.Pick(t.hash))
	if !ok {
		return failure.New(failure.Unavailable, "the route has no service").WithRetryAfter(time.Second)
	}

	t.service = service

	if err := t.checkQuarantine(now); err != nil {
		return err
	}

	// Reading the body may have taken long.
	if err := t.g.drain.admit(time.Now(), t); err != nil {
		return err
	}

	t.g.retryBudget(t.service.Name).CountRequest(now)

	return nil
}

func (t *task) authenticate() error {
	if !t.cfg.RequiresKey() {
		return nil
	}

	o, ok := t.cfg.OrganisationOfKey(t.arrival.APIKey)
	if ok {
		t.organisation = o

		return nil
	}

	if t.route.Public {
		return nil
	}

	return failure.New(failure.Unauthenticated, "the API key is unknown")
}

// readBody reads the whole body, so that it can be sent to a second target.
func (t *task) readBody() error {
	limit := t.cfg.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}

	b, err := intake.ReadBody(t.w, t.r, limit, t.deadline)
	t.body = b

	switch {
	case err == nil:
		return nil
	case errors.Is(err, intake.ErrTooLarge):
		return failure.New(failure.TooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, intake.ErrTimeout):
		return failure.New(failure.BodyTimeout, "the body was not complete when the time of the request was over")
	case errors.Is(err, intake.ErrFull):
		return failure.Wrap(failure.IntakeFull, err, "this entry has no memory for the body").WithRetryAfter(bodyRetryAfter)
	case t.r.ContentLength > 0:
		return failure.Wrap(failure.Cancelled, err, "the connection broke while the body was read")
	default:
		return failure.Wrap(failure.BadRequest, err, "reading the body failed")
	}
}

func (t *task) setDeadline(now time.Time) {
	timeout := defaultTimeout
	if t.arrival.Timeout > 0 {
		timeout = t.arrival.Timeout
	}

	if t.route.Timeout > 0 {
		timeout = min(timeout, t.route.Timeout)
	}

	t.deadline = now.Add(timeout)
}

// profile returns the profile of the engines of the request's service.
func (t *task) profile() *profile.Service { return t.g.profiles.forService(t.service.Name) }

// model returns the model that the request names; empty for none.
func (t *task) model() string {
	if t.arrival.Prompt == nil {
		return ""
	}

	return t.arrival.Prompt.Model
}

// priority returns the request's rank; 0 comes first.
func (t *task) priority() int {
	if t.organisation != nil && t.organisation.HasPriority {
		return t.organisation.Priority
	}

	return t.route.Priority
}

// refuse ends the request with an error response by the gateway itself.
func (t *task) refuse(err error) {
	e := failure.As(err)
	kind := e.Kind()

	// The context of a request ends when reading its body is given up, but its caller may still be there.
	givenUp := kind == failure.BodyTimeout || kind == failure.IntakeFull

	if t.r.Context().Err() != nil && !givenUp || kind == failure.Cancelled {
		event.Log(t.g.cfg.Log, event.CallerLeft, "request_id", t.logID(), "attempts", t.attempts)
		panic(http.ErrAbortHandler)
	}

	intake.Refuse(t.w, t.r)

	a := kind.Response()
	h := t.w.Header()
	clearHeaders(h)
	t.g.cfg.Dialect.SetRequestID(h, &t.arrival)

	after := e.RetryAfter()
	if a.Ran == failure.NotRun && a.Retryable && after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}

	h.Set("Content-Type", "application/json")

	body := `{"error":{"code":"` + a.Code + `"}}` + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	t.w.WriteHeader(a.Status)

	if _, werr := io.WriteString(t.w, body); werr != nil {
		event.Log(t.g.cfg.Log, event.CallerLeft, "request_id", t.logID(), "attempts", t.attempts)
	}

	if t.g.cfg.Meter != nil {
		t.g.cfg.Meter.Refused(t.routeKind(), kind.String())
	}

	event.Log(t.g.cfg.Log, event.RequestGivenUp, "request_id", t.logID(), "route", t.routeName(), "kind", kind.String(),
		"status", a.Status, "fingerprint", t.fingerprint.String(), "ran", a.Ran.String(), "retry_after_ms", after.Milliseconds(), "attempts", t.attempts,
		"cause", causeText(e), "after_ms", time.Since(t.began).Milliseconds())
}

// causeText returns the text of an error's cause, or of the error itself if it wraps none.
func causeText(err error) string {
	if c := errors.Unwrap(err); c != nil {
		return c.Error()
	}

	return err.Error()
}

// clearHeaders removes the headers of a target's response that is not forwarded, but keeps
// the request to close the connection.
func clearHeaders(h http.Header) {
	closing := h.Get("Connection")
	clear(h)

	if closing != "" {
		h.Set("Connection", closing)
	}
}

// maxLoggedID is how much of a request's id a log line has.
const maxLoggedID = 128

// logID returns the request's id for the log.
func (t *task) logID() string { return t.arrival.ID[:min(len(t.arrival.ID), maxLoggedID)] }

func (t *task) routeName() string {
	if t.route == nil {
		return ""
	}

	return t.route.Name
}

// noRouteKind is the route kind of a request without a route.
const noRouteKind = "none"

func (t *task) routeKind() string {
	if t.route == nil {
		return noRouteKind
	}

	return t.route.Kind.String()
}
