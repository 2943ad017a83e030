// Package standin holds what the stand-ins for the platform's systems share: fault settings,
// a health check, unresponsive connections, and an HTTP server with graceful shutdown. Each
// stand-in is a subpackage and implements its protocol as described in docs/PLATFORM.md.
//
// # Model
//
// A BaseServer serves the routes of one stand-in, and also GET /healthz and GET and POST
// /faults. Fault settings are one flat struct per stand-in; a POST changes the fields that it
// names and leaves the others. A stand-in reads them on each request:
//
//	s := standin.New(standin.Config[Faults]{AddRoutes: addRoutes})
//	if s.Faults().Down {
//		return
//	}
//
// Handler returns the http.Handler, for httptest; Serve listens on an address.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
)

// MaxBodyBytes is the maximum size of a request body; larger ones are rejected.
const MaxBodyBytes = 256 << 20

// maxLongPoll is the maximum duration of a long poll.
const maxLongPoll = time.Minute

// ConnectionFaults holds the fault that every stand-in supports. It acts once: it affects
// connections that are open when it is set, and later ones work normally.
type ConnectionFaults struct {
	// UnresponsiveConnections makes every open connection unresponsive except the one that
	// set it.
	UnresponsiveConnections bool `json:"silent"`
}

// makesUnresponsive reports whether the fault is set.
func (f *ConnectionFaults) makesUnresponsive() bool { return f.UnresponsiveConnections }

// Reset clears the fault after it has acted.
func (f *ConnectionFaults) Reset() { f.UnresponsiveConnections = false }

// Config configures a BaseServer. F is the struct of the stand-in's fault settings; it embeds
// ConnectionFaults.
type Config[F any] struct {
	// Faults are the initial fault settings.
	Faults F
	// OnFaultsPosted is called after each POST /faults with the settings before one-shot
	// faults are cleared; a Reset method of *F clears those. Nil does nothing.
	OnFaultsPosted func(f F)
	// AddRoutes adds the stand-in's own routes.
	AddRoutes func(ws *restful.WebService)
	// IsWork reports whether a request is one that SignalFaults.RefuseForMS refuses; nil means that
	// none is.
	IsWork func(r *http.Request) bool
	// StopTimeout is the maximum wait for active requests at shutdown; zero is 30 s.
	StopTimeout time.Duration
}

// BaseServer is the HTTP server that each stand-in embeds. Create it with New.
type BaseServer[F any] struct {
	cfg         Config[F]
	container   *restful.Container
	connections connTracker
	stopping    chan struct{}
	stopOnce    sync.Once
	refused     atomic.Int64

	mu     sync.Mutex
	faults F
	server *http.Server
}

// New returns a BaseServer for cfg.
func New[F any](cfg Config[F]) *BaseServer[F] {
	b := &BaseServer[F]{
		cfg:       cfg,
		container: restful.NewContainer(),
		faults:    cfg.Faults,
		stopping:  make(chan struct{}),
	}
	// Without this, go-restful responds with 406 to requests that accept only JSON.
	ws := new(restful.WebService).Produces("*/*")
	ws.Route(ws.GET("/healthz").To(b.getHealth))
	ws.Route(ws.GET("/faults").To(b.getFaults))
	ws.Route(ws.POST("/faults").To(b.postFaults))
	cfg.AddRoutes(ws)
	b.container.Filter(b.addSignals)
	b.container.Add(ws)

	return b
}

// Handler returns the handler of all routes.
func (b *BaseServer[F]) Handler() http.Handler { return b.container }

// Faults returns the current fault settings.
func (b *BaseServer[F]) Faults() F {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.faults
}

// Stopping returns a channel that is closed when shutdown begins, which ends long polls.
func (b *BaseServer[F]) Stopping() <-chan struct{} { return b.stopping }

func (b *BaseServer[F]) getHealth(_ *restful.Request, w *restful.Response) {
	WriteJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}

func (b *BaseServer[F]) getFaults(_ *restful.Request, w *restful.Response) {
	WriteJSON(w, http.StatusOK, b.Faults())
}

func (b *BaseServer[F]) postFaults(q *restful.Request, w *restful.Response) {
	posted, err := b.updateFaults(q.Request.Body)
	if err != nil {
		WriteError(w, http.StatusBadRequest, "bad_faults", err.Error())
		return
	}

	if s, ok := any(&posted).(interface{ makesUnresponsive() bool }); ok && s.makesUnresponsive() {
		b.connections.makeUnresponsive(q.Request.Context())
	}

	if b.cfg.OnFaultsPosted != nil {
		b.cfg.OnFaultsPosted(posted)
	}

	WriteJSON(w, http.StatusOK, b.Faults())
}

// updateFaults applies the JSON in body and returns the settings before one-shot faults are
// cleared. It returns an error for invalid JSON or an unknown field.
func (b *BaseServer[F]) updateFaults(body io.Reader) (F, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	posted := b.faults
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()

	if err := d.Decode(&posted); err != nil {
		return posted, err
	}

	b.faults = posted
	if r, ok := any(&b.faults).(interface{ Reset() }); ok {
		r.Reset()
	}

	return posted, nil
}

// ErrorResponse is the body of an error response, in the shape of the OpenAI API.
type ErrorResponse struct {
	// Error describes the error.
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorResponse.
type ErrorDetail struct {
	// Message is a description for people.
	Message string `json:"message"`
	// Type is the HTTP status text.
	Type string `json:"type"`
	// Code is a snake_case identifier for programs.
	Code string `json:"code"`
}

// WriteJSON writes v as JSON with the given status.
func WriteJSON[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected; there is no one to report the error to.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an ErrorResponse.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorResponse{ErrorDetail{Message: message, Type: http.StatusText(status), Code: code}})
}

// DecodeBody reads the whole body as JSON. On failure it writes a 400 response and returns
// false. Reading to the end also lets net/http detect a client that disconnects.
func DecodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T

	b, ok := ReadBody(w, r)
	if !ok {
		return v, false
	}

	if err := json.Unmarshal(b, &v); err != nil {
		WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return v, false
	}

	return v, true
}

// ReadBody reads the whole body. On failure it writes a 400 response and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return nil, false
	}

	return b, true
}

// QueryUint returns a query parameter as a number, or fallback if it is missing or invalid.
func QueryUint(r *http.Request, name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}

	return n
}

// LongPollContext returns a context that ends with r's, when shutdown begins, or after the
// query parameter wait_ms, which maxLongPoll limits.
func (b *BaseServer[F]) LongPollContext(r *http.Request) (context.Context, context.CancelFunc) {
	wait := min(time.Duration(QueryUint(r, "wait_ms", 0))*time.Millisecond, maxLongPoll)
	ctx, cancel := context.WithTimeout(r.Context(), wait)

	go func() {
		select {
		case <-b.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()

	return ctx, cancel
}

// Milliseconds returns n milliseconds as a time.Duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
