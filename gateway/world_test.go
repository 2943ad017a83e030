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
	"boragehub/quarantine"
	"boragehub/roster"
	"boragehub/site"
	"boragehub/slowstart"
	"boragehub/upstream"
	"boragehub/vault"
)

// plainDialect is a dialect with short names.
type plainDialect struct{}

func (plainDialect) Arrival(r *http.Request) (Arrival, error) {
	a := Arrival{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), ResumeAfter: r.Header.Get("After")}

	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		a.Deadline = time.Duration(ms) * time.Millisecond
	}

	if r.Header.Get("Bad") != "" {
		return a, failure.New(failure.BadRequest, "bad")
	}

	if n, err := strconv.Atoi(r.Header.Get("Tokens")); err == nil {
		a.Prompt = &Prompt{Model: "m", Tokens: n, Output: 10, Parts: []Part{{"shared", n - 10}, {"own", 10}}}
	}

	return a, nil
}

func (plainDialect) Head(r *http.Request, a *Arrival, s *Sending, length int) []byte {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nFor: %s\r\nOrganisation: %s\r\nAfter: %s\r\nLeft: %d\r\nVersion: %d\r\nSalt: %s\r\nFetch: %s\r\nSave: %s\r\n",
		r.Method, r.RequestURI, r.Host, a.ID, s.Target, s.Organisation, s.ResumeAfter, s.Left.Milliseconds(), s.Version, s.Salt,
		strings.Join(s.Fetch, ","), strings.Join(s.Save, ","))
	if length >= 0 {
		h += fmt.Sprintf("Content-Length: %d\r\n", length)
	}

	return []byte(h + "\r\n")
}

func (plainDialect) Answer(h http.Header) Answer {
	v, _ := strconv.ParseInt(h.Get("Version"), 10, 64)

	return Answer{
		NotRun: h.Get("Not-Run") != "", Genuine: h.Get("Seal") != "", Target: h.Get("Target"), Version: v,
		Encoded: h.Get("Content-Encoding") != "",
	}
}

func (plainDialect) Belongs(a *Arrival, h http.Header) bool {
	return h.Get("Id") == "" || h.Get("Id") == a.ID
}

func (plainDialect) Mark(h http.Header, a *Arrival) { h.Set("Id", a.ID) }

// engine is a fake target: each arrival is answered by the next behaviour, the
// last one for all others.
type engine struct {
	id string
	// address is where it serves the plain service, llm where it is a model engine.
	address, llm string

	mu       sync.Mutex
	arrivals []*http.Request
	bodies   []string
}

// behaviour answers one request on its connection; it returns false to close it.
type behaviour func(c net.Conn, r *http.Request) bool

func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.arrivals)
}

func (e *engine) arrival(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.arrivals[i]
}

func newEngine(t *testing.T, id string, behaviours ...behaviour) *engine {
	t.Helper()

	e := &engine{id: id}

	for _, address := range []*string{&e.address, &e.llm} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}

		*address = l.Addr().String()

		t.Cleanup(func() { _ = l.Close() })

		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}

				go e.serve(c, behaviours)
			}
		}()
	}

	return e
}

func (e *engine) serve(c net.Conn, behaviours []behaviour) {
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

// answers writes a text with the request's id in place of ID.
func answers(text string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))

		return err == nil
	}
}

// breaksOff writes a text and closes the connection.
func breaksOff(text string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		answers(text)(c, r)

		return false
	}
}

// hangs answers nothing until the connection is closed.
func hangs(c net.Conn, _ *http.Request) bool {
	_, _ = c.Read(make([]byte, 1))

	return false
}

// hanging returns a target that answers its first request with a text and then hangs, and
// what is closed as that request has arrived.
func hanging(t *testing.T, id, text string) (e *engine, arrived <-chan struct{}) {
	t.Helper()

	came := make(chan struct{})

	return newEngine(t, id, func(c net.Conn, r *http.Request) bool {
		answers(text)(c, r)
		close(came)

		return hangs(c, r)
	}), came
}

// Answers of targets.
const (
	whole200  = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"
	half200   = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 20\r\n\r\nhalf"
	forged200 = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nno"
	zipped200 = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"
	error500  = "HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\nsad"
	bad400    = "HTTP/1.1 400 Bad Request\r\nId: ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad"
	shed503   = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	ran503    = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"
	other421  = "HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nTarget: another\r\nContent-Length: 0\r\n\r\n"
	newer421  = "HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nVersion: 2\r\nContent-Length: 0\r\n\r\n"
	streamTop = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamEnd = "0\r\n\r\n"
)

// chunk returns a chunk of a stream.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// event returns an event of a stream.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id) }

// events returns a stream's events as chunks.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += chunk(eventText(i))
	}

	return text
}

// world is a gateway before some targets.
type world struct {
	gateway *Gateway
	server  *httptest.Server
	roster  *roster.Roster
	vaults  *vault.Directory
	seen    time.Time
	listed  time.Time
}

// shortPatience is that of the callers of the route "patient".
const shortPatience = 300 * time.Millisecond

// routes are one of each kind.
var routes = []site.Route{
	{Name: "once", Host: "desk", Prefix: "/once/", Kind: site.Once, Timeout: 2 * time.Second, Aim: 100 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "idem", Host: "desk", Prefix: "/idem/", Kind: site.Idempotent, Timeout: 2 * time.Second, Aim: 100 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "stream", Host: "desk", Prefix: "/stream/", Kind: site.Stream, Timeout: 2 * time.Second, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "resume", Host: "desk", Prefix: "/resume/", Kind: site.Stream, Resumable: true, Timeout: 2 * time.Second, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2},
	{Name: "quick", Host: "desk", Prefix: "/quick/", Kind: site.Once, Timeout: 100 * time.Millisecond, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1},
	{Name: "llm", Host: "desk", Prefix: "/llm/", Kind: site.Stream, Resumable: true, Timeout: 2 * time.Second, Shares: []site.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2},
	{Name: "soon", Host: "desk", Prefix: "/soon/", Kind: site.Stream, Resumable: true, Timeout: 2 * time.Second, Aim: 300 * time.Millisecond, Shares: []site.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2},
	{Name: "patient", Host: "desk", Prefix: "/patient/", Kind: site.Stream, Resumable: true, Timeout: 30 * time.Second, Patience: shortPatience, Shares: []site.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2},
	{Name: "open", Host: "desk", Prefix: "/open/", Kind: site.Idempotent, Public: true, Timeout: time.Second, Shares: []site.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1},
}

var published = site.Published{
	Version: 1, Routes: routes,
	Services: []site.Service{{Name: "s"}, {Name: "llm", Engines: &site.Engines{Slots: 8, MemoryTokens: 70_000, LinkMbps: 550_000, TokenBytes: 163_840}}},
	Organisations: []site.Organisation{
		{Name: "ferry", Keys: []string{"k1"}}, {Name: "bureau", Keys: []string{"k2"}, Isolated: true},
	},
	Limits: site.Limits{BodyBytes: 1 << 16},
}

func open(t *testing.T, engines ...*engine) *world {
	t.Helper()

	now := time.Now()
	w := &world{seen: now}
	w.roster = roster.New(roster.Config{
		Self: "entry-1", DataCentre: "east", Regions: map[string]string{"east": "r"}, Log: logr.Discard(),
		SlowStart: func(service string) slowstart.Limit { return w.gateway.SlowStart(service) }, Entries: alone{},
	})
	w.vaults = vault.NewDirectory(1)
	w.vaults.Configure([]vault.Store{{Address: "vault:1", DataCentre: "east", Room: 100_000}})
	// Stores whose epoch has only just been learned are not saved to.
	w.vaults.Learn(now.Add(-4*time.Second), "vault:1", vault.Listing{Epoch: 1, Clock: 1000})
	w.vaults.Follow(now, "vault:1", vault.Events{Epoch: 1, Clock: 5000})

	w.gateway = New(Config{
		DataCentre: "east", Dialect: plainDialect{}, Roster: w.roster, Pool: upstream.NewPool(upstream.Config{}), Vaults: w.vaults,
		Crashes:     quarantine.NewTracker(quarantine.TrackerConfig{Crashes: 3}),
		RepeatRatio: 0.2, RepeatWindow: 10 * time.Second, RepeatSlack: 800, VersionWithin: 8 * time.Second, Log: logr.Discard(),
	}, func() time.Time { return w.seen }, func() time.Time { return w.listed })
	w.gateway.Configure(site.New(published))

	for _, e := range engines {
		w.list(e)
	}

	w.server = httptest.NewServer(w.gateway)
	t.Cleanup(w.server.Close)

	return w
}

// alone is an entry that knows no other.
type alone struct{}

func (alone) Rank(time.Time, string) int { return 0 }
func (alone) Size(time.Time) int         { return 1 }

// list puts an engine into the register.
func (w *world) list(e *engine) {
	for service, address := range map[string]string{"s": e.address, "llm": e.llm} {
		w.roster.List(time.Now(), roster.Listing{ID: service + e.id, Service: service, Address: address, DataCentre: "east", Slots: 8, Versions: map[string]int64{"m": 1}})
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
	closes bool  // the connection ends behind it
}

// ask sends a request. Headers are name and value by turns.
func (w *world) ask(t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	return w.askCtx(ctx, t, method, path, body, headers...)
}

func (w *world) askCtx(ctx context.Context, t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()

	r, err := http.NewRequestWithContext(ctx, method, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}

	r.Host = "desk"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k1")

	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}

	resp, err := w.server.Client().Do(r)
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
