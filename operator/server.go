// Package operator serves the health, readiness, metrics and debug documents of a
// process to operators, on a separate port from callers.
//
// # Health and readiness
//
// /healthz responds 200 while the process runs. /readyz responds 200 if every Check
// passes, and 503 with the names of the failing ones otherwise; the platform's load
// balancer uses it to remove an entry, which is how a planned shutdown begins.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"boragehub/drain"
	"boragehub/failure"
	"boragehub/intake"
)

// Timeouts of the operators' server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 2 * time.Minute // a profile takes up to a minute
	idleTimeout       = time.Minute
	shutdownTimeout   = 2 * time.Second
)

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// Check is one condition for readiness.
type Check struct {
	// Name is listed in the response to /readyz if the check fails.
	Name string
	// Ready reports whether the check passes.
	Ready func() bool
}

// View is a JSON document served under /debug/{name}, such as the fleet as this
// process sees it.
type View struct {
	// Name is the last part of the path.
	Name string
	// Get returns the document to encode as JSON; query is the value of ?q=.
	Get func(query string) any
}

// SettingsDocument is the document of the view "settings" of every process.
type SettingsDocument struct {
	// Version is the version of the settings in force; zero if none is.
	Version uint64 `json:"version"`
}

// Config configures a Server.
type Config struct {
	// Addr is the IP and TCP port to listen on.
	Addr string
	// Checks are the conditions for readiness.
	Checks []Check
	// Views are the documents under /debug/.
	Views []View
	// Registry holds the metrics; nil serves none.
	Registry *prometheus.Registry
	// Port bounds the connections and the memory that clients take; nil sets no bounds.
	Port *intake.Port
}

// NewRegistry returns a registry with the metrics of the Go runtime and the process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	return r
}

// Server serves the operators' port. Use Listen.
type Server struct {
	listener net.Listener
	server   *drain.Server
}

// Listen binds the operators' port. Its errors are failure.BadSettings.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Addr) //nolint:noctx // bound once, at start
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "operators' address %q can't be bound", cfg.Addr)
	}

	return &Server{listener: l, server: drain.NewServer(drain.Config{
		Handler: Handler(cfg), HeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, Port: cfg.Port,
	})}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends, then waits up to shutdownTimeout for requests in flight.
// It has to wait itself, since Serve returns as soon as Shutdown begins, and the process
// may end once Run has returned.
func (s *Server) Run(ctx context.Context) {
	stopped := make(chan struct{})

	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		defer close(stopped)

		_ = s.server.Shutdown(shutdownCtx)
	})

	_ = s.server.Serve(s.listener)

	if !stop() {
		<-stopped
	}
}

// Handler returns the handler of the operators' port.
func Handler(cfg Config) http.Handler {
	mux := http.NewServeMux()

	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		failing := Failing(cfg.Checks)
		if len(failing) > 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}

		writeJSON(w, struct {
			Ready   bool     `json:"ready"`
			Failing []string `json:"failing"`
		}{len(failing) == 0, failing})
	})

	if cfg.Registry != nil {
		mux.Handle("GET /metrics", promhttp.HandlerFor(cfg.Registry, promhttp.HandlerOpts{}))
	}

	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)

	for _, v := range cfg.Views {
		mux.HandleFunc("GET /debug/"+v.Name, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			writeJSON(w, v.Get(r.URL.Query().Get("q")))
		})
	}

	return mux
}

// Failing returns the names of the failing checks; empty and not nil if all pass.
func Failing(checks []Check) []string {
	failing := []string{}

	for _, c := range checks {
		if !c.Ready() {
			failing = append(failing, c.Name)
		}
	}

	return failing
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}
