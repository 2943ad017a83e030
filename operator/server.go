// Package operator serves what the people on call ask of a process: its health,
// whether it is ready for work, and its metrics, on a port apart from callers'.
//
// # Health and readiness
//
// /healthz answers 200 while the process runs. /readyz answers 200 when every
// Check passes and 503 with the names of those that don't; the platform's
// balancer takes an entry out by it, which is how a planned stop begins.
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

	"boragehub/failure"
)

// Limits of the operators' server.
const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 2 * time.Second
)

// Check is one condition of being ready.
type Check struct {
	// Name is shown when the check fails.
	Name string
	// Ready reports whether it passes.
	Ready func() bool
}

// View is a JSON document served under /debug/{name}, such as the fleet as this
// process sees it.
type View struct {
	// Name is the last part of the path.
	Name string
	// Get returns the document; query is the value of ?q=.
	Get func(query string) any
}

// SettingsDocument is the view "settings" of every process.
type SettingsDocument struct {
	// Version is the version in force; zero before any.
	Version uint64 `json:"version"`
}

// Config says what to serve.
type Config struct {
	// Addr is the IP and TCP port to listen on.
	Addr string
	// Checks are the conditions of being ready.
	Checks []Check
	// Views are the documents under /debug/.
	Views []View
	// Registry has the metrics.
	Registry *prometheus.Registry
}

// NewRegistry returns a registry with the metrics of every process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	return r
}

// Server answers operators.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen binds the operators' port.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Addr) //nolint:noctx // bound once, at start
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "operators' address %q can't be bound", cfg.Addr)
	}

	return &Server{listener: l, server: &http.Server{Handler: Handler(cfg), ReadHeaderTimeout: headerTimeout}}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends, and then finishes what it serves: Serve returns as Shutdown
// begins, and the process may end as soon as Run has returned.
func (s *Server) Run(ctx context.Context) {
	stopped := make(chan struct{})

	stop := context.AfterFunc(ctx, func() {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		defer close(stopped)

		_ = s.server.Shutdown(late)
	})

	_ = s.server.Serve(s.listener)

	if !stop() {
		<-stopped
	}
}

// Handler returns the operators' pages.
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

		write(w, struct {
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
			write(w, v.Get(r.URL.Query().Get("q")))
		})
	}

	return mux
}

// Failing returns the names of the checks that don't pass.
func Failing(checks []Check) []string {
	failing := []string{}

	for _, c := range checks {
		if !c.Ready() {
			failing = append(failing, c.Name)
		}
	}

	return failing
}

func write(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}
