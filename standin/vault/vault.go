// Package vault is the stand-in of a store VM: objects in memory, behind a link.
//
// # Model
//
// An object is whole or absent: it appears when its last byte has come. The
// switches fill the store, kill it, slow its link, and cut or alter what it
// answers without saying so, which its readers have to notice:
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
	defaultTotal = 256 << 20
	chunk        = 16 << 10
)

// Faults are the switches of a store VM.
type Faults struct {
	standin.Silent
	// Full refuses every new object.
	Full bool `json:"full"`
	// Dead gives no answers; callers wait until they give up.
	Dead bool `json:"dead"`
	// BytesPerSecond is the rate of the link, both ways together; 0 is free.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// CutBytes ends each object that is read after so many bytes, as though it
	// were whole; 0 doesn't.
	CutBytes int `json:"cut_bytes"`
	// Flip alters one bit in the middle of each object that is read.
	Flip bool `json:"flip"`
}

// Config configures a Server.
type Config struct {
	// TotalBytes is how much the store holds; zero is 256 MiB.
	TotalBytes int64
	// Faults are the switches at the start.
	Faults Faults
}

// Server is the stand-in. Use New.
type Server struct {
	*standin.Host[Faults]
	cfg  Config
	link *rate.Limiter

	mu      sync.Mutex
	objects map[string][]byte
	used    int64
}

// New returns an empty Server.
func New(cfg Config) *Server {
	if cfg.TotalBytes == 0 {
		cfg.TotalBytes = defaultTotal
	}

	s := &Server{cfg: cfg, link: rate.NewLimiter(rate.Inf, chunk), objects: map[string][]byte{}}
	s.Host = standin.New(standin.Config[Faults]{Faults: cfg.Faults, Changed: s.changed, Routes: s.routes})
	s.changed(cfg.Faults)

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Filter(s.alive)
	ws.Route(ws.GET("/objects").To(s.list))
	ws.Route(ws.PUT("/objects/{id}").To(s.put))
	ws.Route(ws.GET("/objects/{id}").To(s.get))
	ws.Route(ws.DELETE("/objects/{id}").To(s.remove))
	ws.Route(ws.GET("/space").To(s.space))
}

// changed puts the rate of the link in force.
func (s *Server) changed(f Faults) {
	limit := rate.Limit(f.BytesPerSecond)
	if f.BytesPerSecond == 0 {
		limit = rate.Inf
	}

	s.link.SetLimit(limit)
}

// alive lets no call but those of tests through to a dead store.
func (s *Server) alive(q *restful.Request, w *restful.Response, next *restful.FilterChain) {
	if s.Faults().Dead && q.Request.URL.Path != "/faults" {
		// The server notices a caller that goes away only once the body is read.
		_, _ = io.Copy(io.Discard, q.Request.Body)
		<-q.Request.Context().Done()
		panic(http.ErrAbortHandler)
	}

	next.ProcessFilter(q, w)
}

// linked reads and writes at the rate of the link.
type linked struct {
	ctx  context.Context
	link *rate.Limiter
	r    io.Reader
	http.ResponseWriter
}

// Read reads at most a chunk, once the link has room.
func (l linked) Read(b []byte) (int, error) {
	n, err := l.r.Read(b[:min(len(b), chunk)])
	if werr := l.link.WaitN(l.ctx, n); werr != nil {
		return 0, werr
	}

	return n, err
}

// Write writes chunk after chunk, each when the link has room.
func (l linked) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n := min(len(b)-done, chunk)
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

func (s *Server) put(q *restful.Request, w *restful.Response) {
	ctx := q.Request.Context()

	body, err := io.ReadAll(linked{ctx: ctx, link: s.link, r: http.MaxBytesReader(w, q.Request.Body, s.cfg.TotalBytes)})
	if err != nil {
		standin.Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}

	if !s.keep(q.PathParameter("id"), body) {
		standin.Fail(w, http.StatusInsufficientStorage, "full", "the store is full")
		return
	}

	w.WriteHeader(http.StatusCreated)
}

// keep stores an object when there is room.
func (s *Server) keep(id string, body []byte) bool {
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

func (s *Server) get(q *restful.Request, w *restful.Response) {
	id := q.PathParameter("id")

	s.mu.Lock()
	body, ok := s.objects[id]
	s.mu.Unlock()

	if !ok {
		standin.Fail(w, http.StatusNotFound, "not_found", "no object "+id)
		return
	}

	f := s.Faults()
	if f.CutBytes > 0 {
		body = body[:min(len(body), f.CutBytes)]
	}

	if f.Flip && len(body) > 0 {
		body = bytes.Clone(body)
		body[len(body)/2] ^= 1
	}

	w.Header().Set("Content-Type", "application/octet-stream")

	out := linked{ctx: q.Request.Context(), link: s.link, ResponseWriter: w}
	http.ServeContent(out, q.Request, "", time.Time{}, bytes.NewReader(body))
}

func (s *Server) remove(q *restful.Request, w *restful.Response) {
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

func (s *Server) list(_ *restful.Request, w *restful.Response) {
	all := []object{}

	s.mu.Lock()
	for id, body := range s.objects {
		all = append(all, object{ID: id, Bytes: len(body)})
	}
	s.mu.Unlock()

	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	standin.Reply(w, http.StatusOK, struct {
		Objects []object `json:"objects"`
	}{all})
}

func (s *Server) space(_ *restful.Request, w *restful.Response) {
	s.mu.Lock()
	used := s.used
	s.mu.Unlock()

	standin.Reply(w, http.StatusOK, struct {
		Used  int64 `json:"used_bytes"`
		Total int64 `json:"total_bytes"`
	}{used, s.cfg.TotalBytes})
}
