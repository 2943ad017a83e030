package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/failure"
	"boragehub/mirror"
	"boragehub/quarantine"
	"boragehub/roster"
	"boragehub/site"
	"boragehub/slowstart"
	"boragehub/upstream"
	"boragehub/vault"
)

// testDialect is a Dialect with short header names.
type testDialect struct{}

func (testDialect) ParseRequest(r *http.Request) (CallerRequest, error) {
	a := CallerRequest{ID: r.Header.Get("Id"), APIKey: r.Header.Get("Key"), ResumeAfter: r.Header.Get("After")}

	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		a.Timeout = time.Duration(ms) * time.Millisecond
	}

	if r.Header.Get("Bad") != "" {
		return a, failure.New(failure.BadRequest, "bad")
	}

	if n, err := strconv.Atoi(r.Header.Get("Tokens")); err == nil {
		a.Prompt = &Prompt{Model: "m", Tokens: n, Output: 10, Parts: []Part{{"shared", n - 10}, {"own", 10}}}
	}

	if ids := r.Header.Get("Parts"); ids != "" {
		a.Prompt.Parts = nil
		for id := range strings.SplitSeq(ids, ",") {
			a.Prompt.Parts = append(a.Prompt.Parts, Part{id, 10})
		}
	}

	return a, nil
}

func (testDialect) RequestHead(r *http.Request, a *CallerRequest, s *TargetParams, length int) []byte {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nFor: %s\r\nOrganisation: %s\r\nAfter: %s\r\nLeft: %d\r\nVersion: %d\r\nSalt: %s\r\nFetch: %s\r\nSave: %s\r\n",
		r.Method, r.RequestURI, r.Host, a.ID, s.Target, s.Organisation, s.ResumeAfter, s.TimeLeft.Milliseconds(), s.Version, s.Salt,
		strings.Join(s.Fetch, ","), strings.Join(s.Save, ","))
	if length >= 0 {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}

	if parts := r.Header.Get("Parts"); parts != "" {
		h += fmt.Sprintf("Parts: %s\r\n", parts)
	}

	return []byte(h + "\r\n")
}

func (testDialect) ParseResponse(h http.Header) ResponseHead {
	v, _ := strconv.ParseInt(h.Get("Version"), 10, 64)
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	seconds, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	slowdown, _ := strconv.ParseFloat(h.Get("Slowdown"), 64)

	return ResponseHead{
		NotRun: h.Get("Not-Run") != "", Signed: h.Get("Seal") != "", Target: h.Get("Target"), Version: v,
		Encoded: h.Get("Content-Encoding") != "", RateLimit: limit, Leaving: h.Get("Leaving") != "", Slowdown: slowdown,
		RetryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

func (testDialect) MatchesRequest(a *CallerRequest, h http.Header) bool {
	return h.Get("Id") == "" || h.Get("Id") == a.ID
}

func (testDialect) HasRequestID(h http.Header) bool { return h.Get("Id") != "" }

func (testDialect) SetRequestID(h http.Header, a *CallerRequest) { h.Set("Id", a.ID) }

// fakeEngine is a fake target: each request is handled by the next behaviour, those beyond
// the last behaviour by the last.
type fakeEngine struct {
	id string
	// address serves the plain service, llmAddress the model engine.
	address, llmAddress string

	mu        sync.Mutex
	arrivals  []*http.Request
	bodies    []string
	listeners []net.Listener
	conns     []net.Conn
	ended     bool
}

// end ends the target as a crash does: its port refuses connections, and those that are open are
// reset.
func (e *fakeEngine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.ended = true

	for _, l := range e.listeners {
		_ = l.Close()
	}

	for _, c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// hasEnded reports whether end was called.
func (e *fakeEngine) hasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ended
}

// behaviour responds to one request on its connection; it returns false to close it.
type behaviour func(c net.Conn, r *http.Request) bool

func (e *fakeEngine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.arrivals)
}

// lastBody returns the body of the last request.
func (e *fakeEngine) lastBody() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.bodies[len(e.bodies)-1]
}

func (e *fakeEngine) arrival(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.arrivals[i]
}

func newFakeEngine(t *testing.T, id string, behaviours ...behaviour) *fakeEngine {
	t.Helper()

	e := &fakeEngine{id: id}

	for _, address := range []*string{&e.address, &e.llmAddress} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}

		*address = l.Addr().String()
		e.listeners = append(e.listeners, l)

		t.Cleanup(func() { _ = l.Close() })

		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}

				e.mu.Lock()
				e.conns = append(e.conns, c)
				e.mu.Unlock()

				go e.serve(c, behaviours)
			}
		}()
	}

	return e
}

func (e *fakeEngine) serve(c net.Conn, behaviours []behaviour) {
	defer func() { _ = c.Close() }()

	br := bufio.NewReader(c)

	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}

		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}

		e.mu.Lock()
		n := len(e.arrivals)
		e.arrivals = append(e.arrivals, r)
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()

		if !behaviours[min(n, len(behaviours)-1)](c, r) {
			return
		}
	}
}

// respond writes a text with the request's id in place of ID.
func respond(text string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))

		return err == nil
	}
}

// respondAndClose writes a text and closes the connection.
func respondAndClose(text string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		respond(text)(c, r)

		return false
	}
}

// hang doesn't respond until the connection is closed.
func hang(c net.Conn, _ *http.Request) bool {
	_, _ = c.Read(make([]byte, 1))

	return false
}

// newHangingEngine returns a target that responds to its first request with a text and then hangs,
// and a channel that is closed when that request has arrived.
func newHangingEngine(t *testing.T, id, text string) (e *fakeEngine, arrived <-chan struct{}) {
	t.Helper()

	came := make(chan struct{})

	return newFakeEngine(t, id, func(c net.Conn, r *http.Request) bool {
		respond(text)(c, r)
		close(came)

		return hang(c, r)
	}), came
}

// Responses of targets.
const (
	ok200           = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"
	truncated200    = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 20\r\n\r\nhalf"
	unsigned200     = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nno"
	encoded200      = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"
	error500        = "HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\nsad"
	bad400          = "HTTP/1.1 400 Bad Request\r\nId: ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad"
	notRun503       = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	mayHaveRun503   = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	otherTarget421  = "HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nTarget: another\r\nContent-Length: 0\r\n\r\n"
	newerVersion421 = "HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nVersion: 2\r\nContent-Length: 0\r\n\r\n"
	streamHead      = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamEnd       = "0\r\n\r\n"
)

// chunk returns a text in chunked transfer encoding.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventText returns an event of a stream.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id) }

// events returns the events of a stream as chunks.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += chunk(eventText(i))
	}

	return text
}

// testEnv is a gateway with fake targets.
type testEnv struct {
	gateway         *Gateway
	server          *httptest.Server
	roster          *roster.Roster
	vaults          *vault.Directory
	versionsKnownAt mirror.Moment
	registeredSince time.Time
}

// moment returns a time as a moment at which the engines' clock was known. Tests that let it stand still or
// jump set both clocks.
func moment(at time.Time) mirror.Moment {
	return mirror.Moment{Local: at, Shared: 105_000 + time.Until(at).Milliseconds()}
}

// shortCallerTimeout is the event timeout of the route "patient".
const shortCallerTimeout = 300 * time.Millisecond

// routes has one route of each kind.
var routes = []site.Route{
	{Name: "once", Host: "desk", Prefix: "/once/", Kind: site.AtMostOnce, Timeout: 2 * time.Second, LatencyTarget: 100 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "idem", Host: "desk", Prefix: "/idem/", Kind: site.Idempotent, Timeout: 2 * time.Second, LatencyTarget: 100 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "stream", Host: "desk", Prefix: "/stream/", Kind: site.Stream, Timeout: 2 * time.Second, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "resume", Host: "desk", Prefix: "/resume/", Kind: site.Stream, Resumable: true, Timeout: 2 * time.Second, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "quick", Host: "desk", Prefix: "/quick/", Kind: site.AtMostOnce, Timeout: 100 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1},
	{Name: "llm", Host: "desk", Prefix: "/llm/", Kind: site.Stream, Resumable: true, Timeout: 2 * time.Second, Shares: []site.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2},
	{Name: "soon", Host: "desk", Prefix: "/soon/", Kind: site.Stream, Resumable: true, Timeout: 2 * time.Second, LatencyTarget: 300 * time.Millisecond, Shares: []site.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2},
	{Name: "patient", Host: "desk", Prefix: "/patient/", Kind: site.Stream, Resumable: true, Timeout: 30 * time.Second, EventTimeout: shortCallerTimeout, Shares: []site.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2},
	{Name: "open", Host: "desk", Prefix: "/open/", Kind: site.Idempotent, Public: true, Timeout: time.Second, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1},
	{Name: "unhurried", Host: "desk", Prefix: "/unhurried/", Kind: site.AtMostOnce, Timeout: time.Minute, LatencyTarget: 100 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
}

var published = site.Published{
	Version: 1, Routes: routes,
	Services: []site.Service{{Name: "s"}, {Name: "llm", Engines: &site.Engines{Slots: 8, CacheTokens: 70_000, LinkMbps: 550_000, TokenBytes: 163_840}}},
	Organisations: []site.Organisation{
		{Name: "ferry", Keys: []string{"k1"}}, {Name: "bureau", Keys: []string{"k2"}, Isolated: true},
	},
	Limits: site.Limits{BodyBytes: 1 << 16},
}

// sharedScope is the scope of the parts of prompts for model "m" whose organisations aren't isolated.
var sharedScope = vault.Scope{Model: "m", Version: 1, Apart: site.New(published).Apart()}

func newTestEnv(t *testing.T, engines ...*fakeEngine) *testEnv {
	t.Helper()

	now := time.Now()
	env := &testEnv{versionsKnownAt: moment(now)}
	env.roster = roster.New(roster.Config{
		Self: "entry-1", DataCentre: "east", Regions: map[string]string{"east": "r"}, Log: logr.Discard(),
		SlowStart: func(service string) slowstart.Limit { return env.gateway.SlowStart(service) }, Entries: firstEntry{},
	})
	env.vaults = vault.NewDirectory(1)
	env.vaults.Configure([]vault.Store{{Address: "vault:1", DataCentre: "east", CapacityTokens: 100_000}})
	// Nothing is saved to stores whose epoch has only just become known.
	env.vaults.ApplyListing(now.Add(-4*time.Second), "vault:1", vault.Listing{Epoch: 1, Clock: 101_000})
	env.vaults.ApplyEvents(now, "vault:1", vault.Events{Epoch: 1, Clock: 105_000})

	env.gateway = New(Config{
		DataCentre: "east", Dialect: testDialect{}, Roster: env.roster, Pool: upstream.NewPool(upstream.Config{}), Vaults: env.vaults,
		Crashes: quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: 3}), CrashParts: newParts(),
		Start: time.Now().Add(-time.Hour), RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 800, VersionDeadline: 8 * time.Second, Log: logr.Discard(),
	}, func() mirror.Moment { return env.versionsKnownAt }, func() time.Time { return env.registeredSince })
	env.gateway.SetEntryCount(now, 1, true)
	env.gateway.Configure(site.New(published))

	for _, e := range engines {
		env.list(e)
	}

	env.server = httptest.NewServer(env.gateway)
	t.Cleanup(env.server.Close)

	return env
}

// firstEntry is an entry that ranks first among eight.
type firstEntry struct{}

func (firstEntry) Rank(time.Time, string) int { return 0 }
func (firstEntry) Size(time.Time) int         { return 8 }

// list adds an engine to the roster.
func (env *testEnv) list(e *fakeEngine) { env.listIn(e, "east") }

// listIn adds an engine in a data centre to the roster; gateway and other engines are in "east".
func (env *testEnv) listIn(e *fakeEngine, dataCentre string) {
	for service, address := range map[string]string{"s": e.address, "llm": e.llmAddress} {
		env.roster.ObserveListing(time.Now(), roster.Listing{ID: service + e.id, Service: service, Address: address, DataCentre: dataCentre, Slots: 8, Versions: map[string]int64{"m": 1}})
	}
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body, or of the request
	closes bool  // whether the connection closes after it
}

// request sends a request. Headers are pairs of name and value.
func (env *testEnv) request(t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	return env.requestCtx(ctx, t, method, path, body, headers...)
}

func (env *testEnv) requestCtx(ctx context.Context, t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()

	r, err := http.NewRequestWithContext(ctx, method, env.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}

	r.Host = "desk"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k1")

	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}

	resp, err := env.server.Client().Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()

	b, err := io.ReadAll(resp.Body)

	return reply{resp.StatusCode, resp.Header, string(b), err, resp.Close}
}

func mustURL(t *testing.T, path string) *url.URL {
	t.Helper()

	u, err := url.Parse(path)
	if err != nil {
		t.Fatal(err)
	}

	return u
}
