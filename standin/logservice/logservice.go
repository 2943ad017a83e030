// Package logservice is the stand-in of the platform's append-only log service.
//
// # Model
//
// A stream is a list of records with offsets from 1 on, kept in memory. A read
// waits until there is something to give. The switches make the service slow or
// down, limit the rate of appends, drop old records, and lose the answer to an
// append that has taken effect, so that its writer can't know:
//
//	s := logservice.New(logservice.Config{})
//	err := s.Serve(ctx, "127.0.0.1:7700")
package logservice

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
	"golang.org/x/time/rate"

	"boragehub/standin"
)

const (
	// MaxAppend is the most bytes of records in one append.
	MaxAppend = 1 << 20
	// maxAnswer is about the most bytes of records in one answer.
	maxAnswer = 4 << 20
	// defaultMost is how many records an answer holds where the reader doesn't say.
	defaultMost = 1000
	// defaultRate is the appends a second where nothing is set.
	defaultRate = 400
)

// Faults are the switches of the log service.
type Faults struct {
	standin.Silent
	// Down answers every call with 503.
	Down bool `json:"down"`
	// DelayMS is how long each call takes, in ms. An append takes effect after
	// it, also when its writer has given up by then.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the share of appends that take effect and whose answer is cut.
	LoseAnswers float64 `json:"lose_answers"`
	// RetainRecords keeps only the newest records of each stream; 0 keeps all.
	RetainRecords int `json:"retain_records"`
	// AppendsPerSecond is the rate over which appends get 429; 0 is 400, less than 0 no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Config configures a Server.
type Config struct {
	// Retention is how long records are kept; zero keeps them for ever.
	Retention time.Duration
	// Seed seeds the choice of lost answers.
	Seed uint64
	// Faults are the switches at the start.
	Faults Faults
}

// Record is one record of a stream.
type Record struct {
	// Offset is its place in the stream, from 1 on.
	Offset uint64 `json:"offset"`
	// AtMS is when it was appended.
	AtMS int64 `json:"at_ms"`
	// Data is its content.
	Data []byte `json:"data"`
}

// stream is one stream: records[i] has the offset first+i.
type stream struct {
	first   uint64
	records []Record
	grown   chan struct{}
}

// next returns the offset that the next record gets.
func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// Server is the stand-in. Use New.
type Server struct {
	*standin.Host[Faults]
	cfg Config

	mu      sync.Mutex
	limiter *rate.Limiter
	rng     *rand.Rand
	streams map[string]*stream
}

// New returns a Server with no streams.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		streams: map[string]*stream{},
	}
	s.Host = standin.New(standin.Config[Faults]{Faults: cfg.Faults, Changed: s.changed, Routes: s.routes})
	s.changed(cfg.Faults)

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/streams").To(s.list))
	ws.Route(ws.POST("/streams/{name}/records").To(s.append))
	ws.Route(ws.GET("/streams/{name}/records").To(s.read))
}

// changed puts the rate in force, with a second's worth of appends to begin with.
func (s *Server) changed(f Faults) {
	limit := rate.Limit(f.AppendsPerSecond)

	switch {
	case limit < 0:
		limit = rate.Inf
	case limit == 0:
		limit = defaultRate
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.limiter == nil || s.limiter.Limit() != limit {
		s.limiter = rate.NewLimiter(limit, max(int(limit), 1))
	}
}

// allow reports whether the rate of appends has room for one more.
func (s *Server) allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.limiter.Allow()
}

// available delays the call and answers it when the service is down.
func (s *Server) available(w http.ResponseWriter) bool {
	time.Sleep(standin.Millis(s.Faults().DelayMS))

	if s.Faults().Down {
		standin.Fail(w, http.StatusServiceUnavailable, "down", "the log service is down")
		return false
	}

	return true
}

func (s *Server) append(q *restful.Request, w *restful.Response) {
	in, ok := standin.Decode[struct {
		Records [][]byte `json:"records"`
	}](w, q.Request)
	if !ok || !s.available(w) {
		return
	}

	size := 0
	for _, b := range in.Records {
		size += len(b)
	}

	switch {
	case len(in.Records) == 0:
		standin.Fail(w, http.StatusBadRequest, "bad_request", "no records")
		return
	case size > MaxAppend:
		standin.Fail(w, http.StatusRequestEntityTooLarge, "too_large", "over 1 MiB of records")
		return
	case !s.allow():
		w.Header().Set("Retry-After", "1")
		standin.Fail(w, http.StatusTooManyRequests, "rate_limited", "too many appends")

		return
	}

	offset, lost := s.add(time.Now(), q.PathParameter("name"), in.Records)
	if lost {
		panic(http.ErrAbortHandler)
	}

	standin.Reply(w, http.StatusOK, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

// add appends records and returns the offset of the first, and whether the
// answer is to be lost.
func (s *Server) add(now time.Time, name string, records [][]byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}

	offset := st.next()
	for _, b := range records {
		st.records = append(st.records, Record{Offset: st.next(), AtMS: now.UnixMilli(), Data: b})
	}

	close(st.grown)
	st.grown = make(chan struct{})

	return offset, s.rng.Float64() < s.Faults().LoseAnswers
}

// trim drops what is no longer kept.
func (s *Server) trim(now time.Time, st *stream) {
	drop := 0

	if keep := s.Faults().RetainRecords; keep > 0 {
		drop = max(len(st.records)-keep, 0)
	}

	if s.cfg.Retention > 0 {
		oldest := now.Add(-s.cfg.Retention).UnixMilli()
		for drop < len(st.records) && st.records[drop].AtMS < oldest {
			drop++
		}
	}

	st.first += uint64(drop)
	st.records = st.records[drop:]
}

// page is the answer to a read.
type page struct {
	First   uint64   `json:"first_offset"`
	Next    uint64   `json:"next_offset"`
	Records []Record `json:"records"`
}

func (s *Server) read(q *restful.Request, w *restful.Response) {
	if !s.available(w) {
		return
	}

	ctx, cancel := s.Wait(q.Request)
	defer cancel()

	from := max(standin.Number(q.Request, "from", 1), 1)
	most := int(min(standin.Number(q.Request, "max", defaultMost), defaultMost))

	for {
		p, grown := s.page(time.Now(), q.PathParameter("name"), from, most)
		if from < p.First {
			standin.Reply(w, http.StatusGone, p)
			return
		}

		if len(p.Records) > 0 || ctx.Err() != nil || s.Faults().Down {
			standin.Reply(w, http.StatusOK, p)
			return
		}

		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

// page returns what a read gets now, and a channel that is closed when the
// stream grows.
func (s *Server) page(now time.Time, name string, from uint64, most int) (page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}

	s.trim(now, st)

	p := page{First: st.first, Next: st.next(), Records: []Record{}}
	if from < p.First {
		return p, st.grown
	}

	size := 0

	for i := from - p.First; i < uint64(len(st.records)) && len(p.Records) < most && size < maxAnswer; i++ {
		p.Records = append(p.Records, st.records[i])
		size += len(st.records[i].Data)
	}

	return p, st.grown
}

// summary is one stream in the list of streams.
type summary struct {
	Name  string `json:"name"`
	First uint64 `json:"first_offset"`
	Next  uint64 `json:"next_offset"`
}

func (s *Server) list(_ *restful.Request, w *restful.Response) {
	if !s.available(w) {
		return
	}

	standin.Reply(w, http.StatusOK, struct {
		Streams []summary `json:"streams"`
	}{s.summaries(time.Now())})
}

func (s *Server) summaries(now time.Time) []summary {
	s.mu.Lock()
	defer s.mu.Unlock()

	all := []summary{}

	for name, st := range s.streams {
		s.trim(now, st)

		if st.next() > 1 {
			all = append(all, summary{Name: name, First: st.first, Next: st.next()})
		}
	}

	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })

	return all
}
