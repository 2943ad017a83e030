// Package plain is the stand-in for a plain service, that is, one other than the model
// engines, such as a booking system whose requests must not be repeated.
//
// # Model
//
// Each request that is executed gets the next run number and is recorded, so that a test can
// count how often a booking was made:
//
//	s := plain.New(plain.Config{Service: "booking-api", VM: "booking-1"})
//	err := s.Serve(ctx, "127.0.0.1:7800")
package plain

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	"boragehub/pause"
	"boragehub/standin"
)

// Headers that the list of runs records.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOrganisation   = "X-Organisation"
)

// crashStatus is the exit status of a simulated crash.
const crashStatus = 134

// heldPollInterval is how often a held request checks whether Held is still set.
const heldPollInterval = 5 * time.Millisecond

// Faults are the fault settings of a plain service.
type Faults struct {
	standin.ConnectionFaults
	standin.SignalFaults
	// DelayMS is how long a request is delayed before it is executed, in ms.
	DelayMS int64 `json:"delay_ms"`
	// Held keeps requests from being executed while it is set.
	Held bool `json:"held"`
	// CrashBody ends the process when a body contains this text; empty disables it.
	CrashBody string `json:"crash_body"`
	// FailStatus is the status to respond with instead of executing the request; 0 disables it.
	FailStatus int `json:"fail_status"`
	// DropResponse executes the request and closes the connection without a response.
	DropResponse bool `json:"drop_answer"`
}

// Config configures a Server.
type Config struct {
	// Service is the name of the service.
	Service string
	// VM is the name of its VM.
	VM string
	// MaxRunning is how many requests run concurrently; others wait. Zero is no limit.
	MaxRunning int
	// LoadLag is the delay of load reports.
	LoadLag time.Duration
	// Crash is called to simulate a crash; nil ends the process.
	Crash func()
	// Faults are the initial fault settings.
	Faults Faults
}

// Run is one executed request.
type Run struct {
	// IdempotencyKey is its Idempotency-Key.
	IdempotencyKey string `json:"idempotency_key"`
	// Organisation is its X-Organisation.
	Organisation string `json:"organisation"`
	// Path is its path.
	Path string `json:"path"`
	// AtMS is when it was executed, in Unix ms.
	AtMS int64 `json:"at_ms"`
}

// Response is the body of a response.
type Response struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// VM is the VM that executed the request.
	VM string `json:"vm"`
	// Run is the number of the run, from 1.
	Run int `json:"run"`
	// Method is the method of the request.
	Method string `json:"method"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// loadReport is the response to GET /load.
type loadReport struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AtMS    int64 `json:"at_ms"`
}

// Server is the stand-in. Create it with New.
type Server struct {
	*standin.BaseServer[Faults]
	cfg         Config
	slots       chan struct{}
	loadHistory standin.Lagged[loadReport]

	mu      sync.Mutex
	current loadReport
	runs    []Run
}

// New returns a Server for cfg.
func New(cfg Config) *Server {
	if cfg.Crash == nil {
		cfg.Crash = func() { os.Exit(crashStatus) }
	}

	s := &Server{cfg: cfg, runs: []Run{}}
	if cfg.MaxRunning > 0 {
		s.slots = make(chan struct{}, cfg.MaxRunning)
	}

	s.BaseServer = standin.New(standin.Config[Faults]{Faults: cfg.Faults, AddRoutes: s.routes})

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/load").To(s.getLoad))
	ws.Route(ws.GET("/runs").To(s.listRuns))

	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		ws.Route(ws.Method(method).Path("/").To(s.handle))
		ws.Route(ws.Method(method).Path("/{path:*}").To(s.handle))
	}
}

// addLoad adds to the numbers of running and waiting requests.
func (s *Server) addLoad(now time.Time, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.current.Running += running
	s.current.Waiting += waiting
	s.loadHistory.Set(now, s.current)
}

func (s *Server) getLoad(_ *restful.Request, w *restful.Response) {
	now := time.Now()
	l, _ := s.loadHistory.Get(now, s.cfg.LoadLag)
	l.AtMS = now.Add(-s.cfg.LoadLag).UnixMilli()
	standin.WriteJSON(w, http.StatusOK, l)
}

func (s *Server) listRuns(_ *restful.Request, w *restful.Response) {
	standin.WriteJSON(w, http.StatusOK, s.Runs())
}

// Runs returns the executed requests, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]Run{}, s.runs...)
}

// Running returns how many requests are running.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.current.Running
}

// acquireSlot waits for a slot and reports whether it got one before ctx ended.
func (s *Server) acquireSlot(ctx context.Context) bool {
	s.addLoad(time.Now(), 0, 1)
	defer s.addLoad(time.Now(), 0, -1)

	if s.slots == nil {
		return true
	}

	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) handle(q *restful.Request, w *restful.Response) {
	r := q.Request

	body, ok := standin.ReadBody(w, r)
	if !ok || !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()

	s.addLoad(time.Now(), 1, 0)
	defer func() { s.addLoad(time.Now(), -1, 0) }()

	f := s.Faults()
	if !pause.For(r.Context(), standin.Milliseconds(f.DelayMS)) {
		return
	}

	for s.Faults().Held {
		if !pause.For(r.Context(), heldPollInterval) {
			return
		}
	}

	if f.CrashBody != "" && bytes.Contains(body, []byte(f.CrashBody)) {
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	}

	if f.FailStatus != 0 {
		standin.WriteError(w, f.FailStatus, "failed", "failure requested by fail_status")
		return
	}

	n := s.recordRun(time.Now(), r)

	if f.DropResponse {
		panic(http.ErrAbortHandler)
	}

	standin.WriteJSON(w, http.StatusOK, Response{
		Service: s.cfg.Service, VM: s.cfg.VM, Run: n,
		Method: r.Method, Path: r.URL.Path, Body: string(body),
	})
}

// recordRun executes r, which only records it, and returns the run number.
func (s *Server) recordRun(now time.Time, r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runs = append(s.runs, Run{
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Organisation:   r.Header.Get(HeaderOrganisation),
		Path:           r.URL.Path,
		AtMS:           now.UnixMilli(),
	})

	return len(s.runs)
}
