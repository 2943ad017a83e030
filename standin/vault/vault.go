// Package vault is the stand-in for a store VM: objects in memory, behind a link.
//
// # Model
//
// An object is complete or absent: it appears once its last byte has arrived. Faults fill the
// store, make it unresponsive, slow its link, and truncate or alter the objects that it
// returns without an error, which readers have to detect themselves:
//
//	s := vault.New(vault.Config{TotalBytes: 64 << 20})
//	err := s.Serve(ctx, "127.0.0.1:7900")
package vault

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
	"golang.org/x/time/rate"

	"boragehub/standin"
)

const (
	defaultTotalBytes = 256 << 20
	chunkBytes        = 16 << 10
)

// Faults are the fault settings of a store VM.
type Faults struct {
	standin.ConnectionFaults
	// Full rejects every new object.
	Full bool `json:"full"`
	// Unresponsive sends no responses; clients wait until they time out.
	Unresponsive bool `json:"dead"`
	// BytesPerSecond is the rate of the link, shared by both directions; 0 is unlimited.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// CutBytes truncates each object that is read to that many bytes, with a response that
	// looks complete; 0 doesn't truncate.
	CutBytes int `json:"cut_bytes"`
	// FlipBit flips one bit in the middle of each object that is read.
	FlipBit bool `json:"flip"`
}

// Config configures a Server.
type Config struct {
	// TotalBytes is the capacity of the store; zero is 256 MiB.
	TotalBytes int64
	// Faults are the initial fault settings.
	Faults Faults
}

// Server is the stand-in. Create it with New.
type Server struct {
	*standin.BaseServer[Faults]
	cfg  Config
	link *rate.Limiter

	mu      sync.Mutex
	objects map[string][]byte
	used    int64
}

// New returns an empty Server.
func New(cfg Config) *Server {
	if cfg.TotalBytes == 0 {
		cfg.TotalBytes = defaultTotalBytes
	}

	s := &Server{cfg: cfg, link: rate.NewLimiter(rate.Inf, chunkBytes), objects: map[string][]byte{}}
	s.BaseServer = standin.New(standin.Config[Faults]{Faults: cfg.Faults, OnFaultsPosted: s.applyFaults, AddRoutes: s.routes})
	s.applyFaults(cfg.Faults)

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Filter(s.blockIfUnresponsive)
	ws.Route(ws.GET("/objects").To(s.listObjects))
	ws.Route(ws.PUT("/objects/{id}").To(s.putObject))
	ws.Route(ws.GET("/objects/{id}").To(s.getObject))
	ws.Route(ws.DELETE("/objects/{id}").To(s.deleteObject))
	ws.Route(ws.GET("/space").To(s.getSpace))
}

// applyFaults sets the rate of the link.
func (s *Server) applyFaults(f Faults) {
	limit := rate.Limit(f.BytesPerSecond)
	if f.BytesPerSecond == 0 {
		limit = rate.Inf
	}

	s.link.SetLimit(limit)
}

// blockIfUnresponsive blocks requests to an unresponsive store until the client disconnects.
// It lets /faults through, so that a test can change the setting.
func (s *Server) blockIfUnresponsive(q *restful.Request, w *restful.Response, next *restful.FilterChain) {
	if s.Faults().Unresponsive && q.Request.URL.Path != "/faults" {
		// net/http detects that a client disconnects only once the body is read.
		_, _ = io.Copy(io.Discard, q.Request.Body)
		<-q.Request.Context().Done()
		panic(http.ErrAbortHandler)
	}

	next.ProcessFilter(q, w)
}

// throttled limits reads and writes to the rate of the link.
type throttled struct {
	ctx  context.Context
	link *rate.Limiter
	r    io.Reader
	http.ResponseWriter
}

// Read reads at most chunkBytes and waits until the link has transferred them.
func (l throttled) Read(b []byte) (int, error) {
	n, err := l.r.Read(b[:min(len(b), chunkBytes)])
	if werr := l.link.WaitN(l.ctx, n); werr != nil {
		return 0, werr
	}

	return n, err
}

// Write writes in chunks, each once the link has capacity.
func (l throttled) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n := min(len(b)-done, chunkBytes)
		if err := l.link.WaitN(l.ctx, n); err != nil {
			return done, err
		}

		n, err := l.ResponseWriter.Write(b[done : done+n])
		done += n

		if err != nil {
			return done, err
		}
	}

	return done, nil
}

func (s *Server) putObject(q *restful.Request, w *restful.Response) {
	ctx := q.Request.Context()

	body, err := io.ReadAll(throttled{ctx: ctx, link: s.link, r: http.MaxBytesReader(w, q.Request.Body, s.cfg.TotalBytes)})
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}

	if !s.storeObject(q.PathParameter("id"), body) {
		standin.WriteError(w, http.StatusInsufficientStorage, "full", "the store is full")
		return
	}

	w.WriteHeader(http.StatusCreated)
}

// storeObject stores an object and reports whether there was space for it.
func (s *Server) storeObject(id string, body []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	used := s.used - int64(len(s.objects[id])) + int64(len(body))
	if s.Faults().Full || used > s.cfg.TotalBytes {
		return false
	}

	s.objects[id] = body
	s.used = used

	return true
}

func (s *Server) getObject(q *restful.Request, w *restful.Response) {
	id := q.PathParameter("id")

	s.mu.Lock()
	body, ok := s.objects[id]
	s.mu.Unlock()

	if !ok {
		standin.WriteError(w, http.StatusNotFound, "not_found", "no object "+id)
		return
	}

	f := s.Faults()
	if f.CutBytes > 0 {
		body = body[:min(len(body), f.CutBytes)]
	}

	if f.FlipBit && len(body) > 0 {
		body = bytes.Clone(body)
		body[len(body)/2] ^= 1
	}

	w.Header().Set("Content-Type", "application/octet-stream")

	out := throttled{ctx: q.Request.Context(), link: s.link, ResponseWriter: w}
	http.ServeContent(out, q.Request, "", time.Time{}, bytes.NewReader(body))
}

func (s *Server) deleteObject(q *restful.Request, w *restful.Response) {
	id := q.PathParameter("id")

	s.mu.Lock()
	s.used -= int64(len(s.objects[id]))
	delete(s.objects, id)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// object is one object in the list.
type object struct {
	ID    string `json:"id"`
	Bytes int    `json:"bytes"`
}

func (s *Server) listObjects(_ *restful.Request, w *restful.Response) {
	all := []object{}

	s.mu.Lock()
	for id, body := range s.objects {
		all = append(all, object{ID: id, Bytes: len(body)})
	}
	s.mu.Unlock()

	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	standin.WriteJSON(w, http.StatusOK, struct {
		Objects []object `json:"objects"`
	}{all})
}

func (s *Server) getSpace(_ *restful.Request, w *restful.Response) {
	s.mu.Lock()
	used := s.used
	s.mu.Unlock()

	standin.WriteJSON(w, http.StatusOK, struct {
		Used  int64 `json:"used_bytes"`
		Total int64 `json:"total_bytes"`
	}{used, s.cfg.TotalBytes})
}
