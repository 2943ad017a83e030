// Package plain is the stand-in of a plain service beside the model engines,
// such as a booking desk whose calls may not be repeated.
//
// # Model
//
// Each call that is carried out gets the next run number and is kept in a list,
// so that a test can tell how often a booking was made:
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

// The headers that a call is known by in the list of runs.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderOrganisation = "X-Organisation"
)

// crashStatus is the exit status of a crash.
const crashStatus = 134

// heldEvery is the pause between two looks of a call that is held.
const heldEvery = 5 * time.Millisecond

// Faults are the switches of a plain service.
type Faults struct {
	standin.Silent
	// DelayMS is how long a call takes before it is carried out, in ms.
	DelayMS int64 `json:"delay_ms"`
	// Held keeps all calls from being carried out for as long as it is set.
	Held bool `json:"held"`
	// CrashBody ends the process when a body contains this text; empty is none.
	CrashBody string `json:"crash_body"`
	// FailStatus is answered in place of carrying out the call; 0 is none.
	FailStatus int `json:"fail_status"`
	// DropAnswer carries out the call and closes the connection without an answer.
	DropAnswer bool `json:"drop_answer"`
}

// Config configures a Server.
type Config struct {
	// Service is the service's name.
	Service string
	// VM is the name of its VM.
	VM string
	// MaxRunning is how many calls run at once, the others wait; zero is no limit.
	MaxRunning int
	// LoadLag is how late a load report is.
	LoadLag time.Duration
	// Crash is called when the service crashes; nil ends the process.
	Crash func()
	// Faults are the switches at the start.
	Faults Faults
}

// Run is one call that was carried out.
type Run struct {
	// Key is its Idempotency-Key.
	Key string `json:"idempotency_key"`
	// Organisation is its X-Organisation.
	Organisation string `json:"organisation"`
	// Path is its path.
	Path string `json:"path"`
	// AtMS is when it was carried out.
	AtMS int64 `json:"at_ms"`
}

// Answer is the answer to a call.
type Answer struct {
	// Service is the service's name.
	Service string `json:"service"`
	// VM is the VM that carried the call out.
	VM string `json:"vm"`
	// Run is the number of the run.
	Run int `json:"run"`
	// Method is the call's method.
	Method string `json:"method"`
	// Path is the call's path.
	Path string `json:"path"`
	// Body is the call's body.
	Body string `json:"body"`
}

// load is the load report.
type load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AtMS    int64 `json:"at_ms"`
}

// Server is the stand-in. Use New.
type Server struct {
	*standin.Host[Faults]
	cfg    Config
	places chan struct{}
	loads  standin.Lagged[load]

	mu   sync.Mutex
	now  load
	runs []Run
}

// New returns a Server for cfg.
func New(cfg Config) *Server {
	if cfg.Crash == nil {
		cfg.Crash = func() { os.Exit(crashStatus) }
	}

	s := &Server{cfg: cfg, runs: []Run{}}
	if cfg.MaxRunning > 0 {
		s.places = make(chan struct{}, cfg.MaxRunning)
	}

	s.Host = standin.New(standin.Config[Faults]{Faults: cfg.Faults, Routes: s.routes})

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/load").To(s.load))
	ws.Route(ws.GET("/runs").To(s.list))

	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	} {
		ws.Route(ws.Method(method).Path("/").To(s.call))
		ws.Route(ws.Method(method).Path("/{path:*}").To(s.call))
	}
}

// count changes the load by so many running and waiting calls.
func (s *Server) count(now time.Time, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.now.Running += running
	s.now.Waiting += waiting
	s.loads.Set(now, s.now)
}

func (s *Server) load(_ *restful.Request, w *restful.Response) {
	now := time.Now()
	l, _ := s.loads.Get(now, s.cfg.LoadLag)
	l.AtMS = now.Add(-s.cfg.LoadLag).UnixMilli()
	standin.Reply(w, http.StatusOK, l)
}

func (s *Server) list(_ *restful.Request, w *restful.Response) {
	standin.Reply(w, http.StatusOK, s.Runs())
}

// Runs returns the calls carried out, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]Run{}, s.runs...)
}

// Running returns how many calls run.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.now.Running
}

// enter waits for a place and reports whether it got one before ctx ended.
func (s *Server) enter(ctx context.Context) bool {
	s.count(time.Now(), 0, 1)
	defer s.count(time.Now(), 0, -1)

	if s.places == nil {
		return true
	}

	select {
	case s.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) leave() {
	if s.places != nil {
		<-s.places
	}
}

func (s *Server) call(q *restful.Request, w *restful.Response) {
	r := q.Request

	body, ok := standin.Body(w, r)
	if !ok || !s.enter(r.Context()) {
		return
	}
	defer s.leave()

	s.count(time.Now(), 1, 0)
	defer func() { s.count(time.Now(), -1, 0) }()

	f := s.Faults()
	if !pause.For(r.Context(), standin.Millis(f.DelayMS)) {
		return
	}

	for s.Faults().Held {
		if !pause.For(r.Context(), heldEvery) {
			return
		}
	}

	if f.CrashBody != "" && bytes.Contains(body, []byte(f.CrashBody)) {
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	}

	if f.FailStatus != 0 {
		standin.Fail(w, f.FailStatus, "failed", "the service fails on demand")
		return
	}

	n := s.carryOut(time.Now(), r)

	if f.DropAnswer {
		panic(http.ErrAbortHandler)
	}

	standin.Reply(w, http.StatusOK, Answer{
		Service: s.cfg.Service, VM: s.cfg.VM, Run: n,
		Method: r.Method, Path: r.URL.Path, Body: string(body),
	})
}

// carryOut does the work of a call, which is to be counted.
func (s *Server) carryOut(now time.Time, r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.runs = append(s.runs, Run{
		Key:          r.Header.Get(HeaderKey),
		Organisation: r.Header.Get(HeaderOrganisation),
		Path:         r.URL.Path,
		AtMS:         now.UnixMilli(),
	})

	return len(s.runs)
}
