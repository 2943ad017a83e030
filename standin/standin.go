// Package standin is what the small stand-ins of the platform share: fault
// switches, health, connections that fall silent, and serving with a graceful
// stop. Each stand-in lives in a package of its own below this one and speaks
// its protocol as docs/PLATFORM.md gives it.
//
// # Model
//
// A Host serves the calls of one stand-in, and besides them GET /healthz and
// GET|POST /faults. The switches are one flat struct for each stand-in; a POST
// sets those it names and leaves the others. A stand-in reads them at each call:
//
//	host := standin.New(standin.Config[Faults]{Routes: s.routes})
//	if host.Faults().Down {
//		return
//	}
//
// A Host is an http.Handler, for httptest, and serves an address by Serve.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
)

// MaxBody is the size over which the body of a call is refused, in bytes.
const MaxBody = 256 << 20

// maxWait bounds a long poll.
const maxWait = time.Minute

// Silent is the switch that every stand-in has. It acts once: connections
// accepted before it are dead from then on, and later ones work.
type Silent struct {
	// Silent makes every open connection but the one that set it fall silent.
	Silent bool `json:"silent"`
}

// silenced reports whether the switch was set.
func (s *Silent) silenced() bool { return s.Silent }

// Reset resets the switch, since it acts once.
func (s *Silent) Reset() { s.Silent = false }

// Config configures a Host. F is the struct of the stand-in's switches; it
// embeds Silent.
type Config[F any] struct {
	// Faults are the switches at the start.
	Faults F
	// Changed is called after each change with the switches as they were posted.
	// Switches that act once are reset by a method Reset of *F. Nil does nothing.
	Changed func(f F)
	// Routes adds the stand-in's own calls.
	Routes func(ws *restful.WebService)
	// StopTimeout is how long Serve waits for open requests; zero is 30 s.
	StopTimeout time.Duration
}

// Host serves one stand-in. Use New.
type Host[F any] struct {
	cfg       Config[F]
	container *restful.Container
	silence   silence
	stopping  chan struct{}
	stop      sync.Once

	mu     sync.Mutex
	faults F
	server *http.Server
}

// New returns a Host for cfg.
func New[F any](cfg Config[F]) *Host[F] {
	h := &Host[F]{
		cfg:       cfg,
		container: restful.NewContainer(),
		faults:    cfg.Faults,
		stopping:  make(chan struct{}),
	}
	// Without it a call that accepts only JSON would be refused with 406.
	ws := new(restful.WebService).Produces("*/*")
	ws.Route(ws.GET("/healthz").To(h.health))
	ws.Route(ws.GET("/faults").To(h.show))
	ws.Route(ws.POST("/faults").To(h.change))
	cfg.Routes(ws)
	h.container.Add(ws)

	return h
}

// Handler returns the handler of all calls.
func (h *Host[F]) Handler() http.Handler { return h.container }

// Faults returns the switches as they are now.
func (h *Host[F]) Faults() F {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.faults
}

// Stopping returns a channel that is closed when a stop begins. Long polls end then.
func (h *Host[F]) Stopping() <-chan struct{} { return h.stopping }

func (h *Host[F]) health(_ *restful.Request, w *restful.Response) {
	Reply(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}

func (h *Host[F]) show(_ *restful.Request, w *restful.Response) {
	Reply(w, http.StatusOK, h.Faults())
}

func (h *Host[F]) change(q *restful.Request, w *restful.Response) {
	posted, err := h.set(q.Request.Body)
	if err != nil {
		Fail(w, http.StatusBadRequest, "bad_faults", err.Error())
		return
	}

	if s, ok := any(&posted).(interface{ silenced() bool }); ok && s.silenced() {
		h.silence.fall(q.Request.Context())
	}

	if h.cfg.Changed != nil {
		h.cfg.Changed(posted)
	}

	Reply(w, http.StatusOK, h.Faults())
}

// set sets the switches that body names and returns them all as posted.
func (h *Host[F]) set(body io.Reader) (F, error) {
	h.mu.Lock()
	defer h.mu.Unlock()

	posted := h.faults
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()

	if err := d.Decode(&posted); err != nil {
		return posted, err
	}

	h.faults = posted
	if r, ok := any(&h.faults).(interface{ Reset() }); ok {
		r.Reset()
	}

	return posted, nil
}

// Problem is the error shape of a stand-in, the one of the OpenAI API.
type Problem struct {
	// Error is the error.
	Error Detail `json:"error"`
}

// Detail is the inside of a Problem.
type Detail struct {
	// Message is for people.
	Message string `json:"message"`
	// Type is the HTTP status in words.
	Type string `json:"type"`
	// Code is a snake-case word for programs.
	Code string `json:"code"`
}

// Reply writes v as JSON.
func Reply[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is no one else to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Fail writes a Problem.
func Fail(w http.ResponseWriter, status int, code, message string) {
	Reply(w, status, Problem{Detail{Message: message, Type: http.StatusText(status), Code: code}})
}

// Decode reads the whole body as JSON. When it can't, it answers and returns
// false. Reading to the end also lets the server notice a caller that goes away.
func Decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T

	b, ok := Body(w, r)
	if !ok {
		return v, false
	}

	if err := json.Unmarshal(b, &v); err != nil {
		Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return v, false
	}

	return v, true
}

// Body reads the whole body. When it can't, it answers and returns false.
func Body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return nil, false
	}

	return b, true
}

// Number returns a query parameter as a number, or fallback when it is missing or wrong.
func Number(r *http.Request, name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}

	return n
}

// Wait returns a context that ends with r, with the stop of the host or after
// the call's wait_ms.
func (h *Host[F]) Wait(r *http.Request) (context.Context, context.CancelFunc) {
	wait := min(time.Duration(Number(r, "wait_ms", 0))*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)

	go func() {
		select {
		case <-h.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()

	return ctx, cancel
}

// Millis returns n milliseconds.
func Millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
