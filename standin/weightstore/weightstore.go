// Package weightstore is the stand-in for the platform's weight store.
//
// # Model
//
// Every model has every version, as bytes that depend on both names. One load is limited to
// LoadBytesPerSecond; concurrent loads share the store's rate, and above a maximum number of
// concurrent loads the store responds with 429:
//
//	s := weightstore.New(weightstore.Config{Bytes: 4 << 20})
//	err := s.Serve(ctx, "127.0.0.1:7702")
package weightstore

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/zeebo/xxh3"

	"boragehub/pause"
	"boragehub/standin"
)

const (
	defaultBytes              = 4 << 20
	defaultLoadBytesPerSecond = 8 << 20
	defaultBytesPerSecond     = 16 << 20
	defaultMaxConcurrent      = 8
	chunkBytes                = 64 << 10
)

// Faults are the fault settings of the weight store.
type Faults struct {
	standin.ConnectionFaults
	// Down makes loads fail with 503.
	Down bool `json:"down"`
	// BytesPerSecond is the rate that all loads share; 0 is 16 MiB/s.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// MaxConcurrent is the maximum number of concurrent loads; 0 is 8.
	MaxConcurrent int `json:"max_concurrent"`
}

// Config configures a Server.
type Config struct {
	// Bytes is the size of each version; zero is 4 MiB.
	Bytes int
	// LoadBytesPerSecond is the maximum rate of one load; zero is 8 MiB/s, so that one or
	// two concurrent loads of 4 MiB take half a second and more take longer.
	LoadBytesPerSecond int64
	// Faults are the initial fault settings.
	Faults Faults
}

// Server is the stand-in. Create it with New.
type Server struct {
	*standin.BaseServer[Faults]
	cfg Config

	mu          sync.Mutex
	activeLoads int
}

// New returns a Server for cfg.
func New(cfg Config) *Server {
	if cfg.Bytes == 0 {
		cfg.Bytes = defaultBytes
	}

	if cfg.LoadBytesPerSecond == 0 {
		cfg.LoadBytesPerSecond = defaultLoadBytesPerSecond
	}

	s := &Server{cfg: cfg}
	s.BaseServer = standin.New(standin.Config[Faults]{Faults: cfg.Faults, AddRoutes: s.routes})

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/weights/{model}/{version}").To(s.getWeights))
}

// acquireSlot counts a load as active and returns true, unless maxConcurrent loads are
// active already; a maxConcurrent of zero selects the default.
func (s *Server) acquireSlot(maxConcurrent int) bool {
	if maxConcurrent == 0 {
		maxConcurrent = defaultMaxConcurrent
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.activeLoads >= maxConcurrent {
		return false
	}

	s.activeLoads++

	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.activeLoads--
}

// chunkTime returns how long one chunk takes at the current number of loads.
func (s *Server) chunkTime() time.Duration {
	total := s.Faults().BytesPerSecond
	if total == 0 {
		total = defaultBytesPerSecond
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	share := min(total/int64(max(s.activeLoads, 1)), s.cfg.LoadBytesPerSecond)

	return time.Duration(float64(chunkBytes) / float64(max(share, 1)) * float64(time.Second))
}

func (s *Server) getWeights(q *restful.Request, w *restful.Response) {
	f := s.Faults()
	if f.Down {
		standin.WriteError(w, http.StatusServiceUnavailable, "down", "the weight store is unavailable")
		return
	}

	if !s.acquireSlot(f.MaxConcurrent) {
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many concurrent loads")

		return
	}
	defer s.releaseSlot()

	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.cfg.Bytes))

	data := weightsChunk(q.PathParameter("model"), q.PathParameter("version"))
	due := time.Now()

	for remaining := s.cfg.Bytes; remaining > 0; remaining -= chunkBytes {
		due = due.Add(s.chunkTime())
		if !pause.For(q.Request.Context(), time.Until(due)) {
			return
		}

		if _, err := w.Write(data[:min(remaining, chunkBytes)]); err != nil {
			return
		}
	}
}

// weightsChunk returns the chunk that a version's content repeats.
func weightsChunk(model, version string) []byte {
	data := make([]byte, chunkBytes)
	seed := xxh3.HashString(model + "\x00" + version)

	for i := range data {
		data[i] = byte(seed >> (8 * (i % 8)))
	}

	return data
}
