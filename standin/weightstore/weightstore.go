// Package weightstore is the stand-in of the platform's weight store.
//
// # Model
//
// Every model has every version, as bytes that tell which it is. One load runs
// at its full rate; more share the store's rate, and over a limit of loads at
// once the store answers 429:
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
	defaultBytes         = 4 << 20
	defaultLoadRate      = 8 << 20
	defaultRate          = 16 << 20
	defaultMaxConcurrent = 8
	chunk                = 64 << 10
)

// Faults are the switches of the weight store.
type Faults struct {
	standin.Silent
	// Down answers every load with 503.
	Down bool `json:"down"`
	// BytesPerSecond is the rate that all loads share; 0 is 16 MiB/s.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// MaxConcurrent is how many loads may run at once; 0 is 8.
	MaxConcurrent int `json:"max_concurrent"`
}

// Config configures a Server.
type Config struct {
	// Bytes is the size of each version; zero is 4 MiB.
	Bytes int
	// LoadBytesPerSecond is the most that one load gets; zero is 8 MiB/s, so
	// that one or two loads of 4 MiB take half a second and more take longer.
	LoadBytesPerSecond int64
	// Faults are the switches at the start.
	Faults Faults
}

// Server is the stand-in. Use New.
type Server struct {
	*standin.Host[Faults]
	cfg Config

	mu      sync.Mutex
	loading int
}

// New returns a Server for cfg.
func New(cfg Config) *Server {
	if cfg.Bytes == 0 {
		cfg.Bytes = defaultBytes
	}

	if cfg.LoadBytesPerSecond == 0 {
		cfg.LoadBytesPerSecond = defaultLoadRate
	}

	s := &Server{cfg: cfg}
	s.Host = standin.New(standin.Config[Faults]{Faults: cfg.Faults, Routes: s.routes})

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/weights/{model}/{version}").To(s.load))
}

// begin takes a place among the loads, when there is one.
func (s *Server) begin(most int) bool {
	if most == 0 {
		most = defaultMaxConcurrent
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.loading >= most {
		return false
	}

	s.loading++

	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.loading--
}

// pace returns how long one chunk takes now.
func (s *Server) pace() time.Duration {
	total := s.Faults().BytesPerSecond
	if total == 0 {
		total = defaultRate
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	share := min(total/int64(max(s.loading, 1)), s.cfg.LoadBytesPerSecond)

	return time.Duration(float64(chunk) / float64(max(share, 1)) * float64(time.Second))
}

func (s *Server) load(q *restful.Request, w *restful.Response) {
	f := s.Faults()
	if f.Down {
		standin.Fail(w, http.StatusServiceUnavailable, "down", "the weight store is down")
		return
	}

	if !s.begin(f.MaxConcurrent) {
		w.Header().Set("Retry-After", "1")
		standin.Fail(w, http.StatusTooManyRequests, "rate_limited", "too many loads at once")

		return
	}
	defer s.end()

	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.cfg.Bytes))

	block := content(q.PathParameter("model"), q.PathParameter("version"))
	due := time.Now()

	for left := s.cfg.Bytes; left > 0; left -= chunk {
		due = due.Add(s.pace())
		if !pause.For(q.Request.Context(), time.Until(due)) {
			return
		}

		if _, err := w.Write(block[:min(left, chunk)]); err != nil {
			return
		}
	}
}

// content returns the bytes that a version consists of, over and over.
func content(model, version string) []byte {
	block := make([]byte, chunk)
	seed := xxh3.HashString(model + "\x00" + version)

	for i := range block {
		block[i] = byte(seed >> (8 * (i % 8)))
	}

	return block
}
