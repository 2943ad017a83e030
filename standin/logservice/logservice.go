// Package logservice is the stand-in for the platform's append-only log service.
//
// # Model
//
// A stream is a list of records, kept in memory, with offsets from 1. A read can wait until a
// record is available. Faults make the service slow or unavailable, limit the rate of
// appends, drop old records, and lose the response to an append that has taken effect, so
// that the writer can't know its outcome:
//
//	s := logservice.New(logservice.Config{})
//	err := s.Serve(ctx, "127.0.0.1:7700")
package logservice

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"
	"golang.org/x/time/rate"

	"boragehub/standin"
)

const (
	// MaxAppendBytes is the maximum size of the records in one append.
	MaxAppendBytes = 1 << 20
	// maxResponseBytes limits the records in one response; the last record may exceed it.
	maxResponseBytes = 4 << 20
	// defaultMaxRecords is the maximum number of records in one response, and the default.
	defaultMaxRecords = 1000
	// defaultAppendsPerSecond applies if AppendsPerSecond is zero.
	defaultAppendsPerSecond = 400
)

// Faults are the fault settings of the log service.
type Faults struct {
	standin.ConnectionFaults
	// Down makes requests fail with 503.
	Down bool `json:"down"`
	// DelayMS is how long each request is delayed, in ms. An append takes effect after the
	// delay even if its writer has disconnected.
	DelayMS int64 `json:"delay_ms"`
	// LoseResponses is the fraction of appends that take effect and get no response.
	LoseResponses float64 `json:"lose_answers"`
	// RetainRecords is how many of the newest records each stream keeps; 0 keeps all.
	RetainRecords int `json:"retain_records"`
	// AppendsPerSecond is the rate above which appends get 429; 0 is 400, negative means no
	// limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Config configures a Server.
type Config struct {
	// Retention is how long records are kept; zero keeps them indefinitely.
	Retention time.Duration
	// Seed seeds the choice of lost responses.
	Seed uint64
	// Faults are the initial fault settings.
	Faults Faults
}

// Record is one record of a stream.
type Record struct {
	// Offset is its position in the stream, from 1.
	Offset uint64 `json:"offset"`
	// AtMS is when it was appended, in Unix ms.
	AtMS int64 `json:"at_ms"`
	// Data is its content.
	Data []byte `json:"data"`
}

// stream is one stream: records[i] has the offset first+i.
type stream struct {
	first    uint64
	records  []Record
	appended chan struct{}
}

// nextOffset returns the offset of the next record to be appended.
func (s *stream) nextOffset() uint64 { return s.first + uint64(len(s.records)) }

// Server is the stand-in. Create it with New.
type Server struct {
	*standin.BaseServer[Faults]
	cfg Config

	mu      sync.Mutex
	limiter *rate.Limiter
	rng     *rand.Rand
	streams map[string]*stream
	era     int64
}

// New returns a Server with no streams.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		streams: map[string]*stream{},
		era:     1,
	}
	s.BaseServer = standin.New(standin.Config[Faults]{Faults: cfg.Faults, OnFaultsPosted: s.applyFaults, AddRoutes: s.routes})
	s.applyFaults(cfg.Faults)

	return s
}

func (s *Server) routes(ws *restful.WebService) {
	ws.Route(ws.GET("/streams").To(s.listStreams))
	ws.Route(ws.POST("/streams/{name}/records").To(s.postRecords))
	ws.Route(ws.GET("/streams/{name}/records").To(s.getRecords))
}

// applyFaults sets the rate limit of appends, with a burst of one second's worth. An
// unchanged limit keeps its limiter and what is left of the burst.
func (s *Server) applyFaults(f Faults) {
	limit := rate.Limit(f.AppendsPerSecond)

	switch {
	case limit < 0:
		limit = rate.Inf
	case limit == 0:
		limit = defaultAppendsPerSecond
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.limiter == nil || s.limiter.Limit() != limit {
		s.limiter = rate.NewLimiter(limit, max(int(limit), 1))
	}
}

// allowAppend reports whether the rate limit admits one more append.
func (s *Server) allowAppend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.limiter.Allow()
}

// Restore returns all streams to the given next offsets, as a log that returns from a copy does, and begins a
// new era.
func (s *Server) Restore(next map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for name, st := range s.streams {
		kept := max(next[name], st.first) - st.first
		st.records = st.records[:min(kept, uint64(len(st.records)))]
		close(st.appended)
		st.appended = make(chan struct{})
	}

	s.era++
}

// setEra sets the era on a response.
func (s *Server) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()

	w.Header().Set("Log-Era", strconv.FormatInt(s.era, 10))
}

// checkAvailable delays the request, and writes a 503 and returns false if the service is down.
func (s *Server) checkAvailable(w http.ResponseWriter) bool {
	time.Sleep(standin.Milliseconds(s.Faults().DelayMS))
	s.setEra(w)

	if s.Faults().Down {
		standin.WriteError(w, http.StatusServiceUnavailable, "down", "the log service is unavailable")
		return false
	}

	return true
}

func (s *Server) postRecords(q *restful.Request, w *restful.Response) {
	in, ok := standin.DecodeBody[struct {
		Records [][]byte `json:"records"`
	}](w, q.Request)
	if !ok || !s.checkAvailable(w) {
		return
	}

	size := 0
	for _, b := range in.Records {
		size += len(b)
	}

	switch {
	case len(in.Records) == 0:
		standin.WriteError(w, http.StatusBadRequest, "bad_request", "records is empty")
		return
	case size > MaxAppendBytes:
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "too_large", "records exceed 1 MiB")
		return
	case !s.allowAppend():
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "rate_limited", "append rate limit exceeded")

		return
	}

	offset, loseResponse := s.appendRecords(time.Now(), q.PathParameter("name"), in.Records)
	if loseResponse {
		panic(http.ErrAbortHandler)
	}

	standin.WriteJSON(w, http.StatusOK, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

// appendRecords appends records. It returns the offset of the first one and whether the
// response is to be lost.
func (s *Server) appendRecords(now time.Time, name string, records [][]byte) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}

	offset := st.nextOffset()
	for _, b := range records {
		st.records = append(st.records, Record{Offset: st.nextOffset(), AtMS: now.UnixMilli(), Data: b})
	}

	close(st.appended)
	st.appended = make(chan struct{})

	return offset, s.rng.Float64() < s.Faults().LoseResponses
}

// trim drops the records that RetainRecords and Retention no longer keep. The caller holds mu.
func (s *Server) trim(now time.Time, st *stream) {
	drop := 0

	if retain := s.Faults().RetainRecords; retain > 0 {
		drop = max(len(st.records)-retain, 0)
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

// page is the response to a read.
type page struct {
	First   uint64   `json:"first_offset"`
	Next    uint64   `json:"next_offset"`
	Records []Record `json:"records"`
}

func (s *Server) getRecords(q *restful.Request, w *restful.Response) {
	if !s.checkAvailable(w) {
		return
	}

	ctx, cancel := s.LongPollContext(q.Request)
	defer cancel()

	from := max(standin.QueryUint(q.Request, "from", 1), 1)
	maxRecords := int(min(standin.QueryUint(q.Request, "max", defaultMaxRecords), defaultMaxRecords))

	for {
		p, appended := s.readPage(time.Now(), q.PathParameter("name"), from, maxRecords)
		if from < p.First {
			standin.WriteJSON(w, http.StatusGone, p)
			return
		}

		if len(p.Records) > 0 || ctx.Err() != nil || s.Faults().Down {
			s.setEra(w)
			standin.WriteJSON(w, http.StatusOK, p)

			return
		}

		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
}

// readPage returns the records available to a read now, and a channel that is closed when
// the stream grows.
func (s *Server) readPage(now time.Time, name string, from uint64, maxRecords int) (page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}

	s.trim(now, st)

	p := page{First: st.first, Next: st.nextOffset(), Records: []Record{}}
	if from < p.First {
		return p, st.appended
	}

	size := 0

	for i := from - p.First; i < uint64(len(st.records)) && len(p.Records) < maxRecords && size < maxResponseBytes; i++ {
		p.Records = append(p.Records, st.records[i])
		size += len(st.records[i].Data)
	}

	return p, st.appended
}

// streamSummary is one stream in the list of streams.
type streamSummary struct {
	Name  string `json:"name"`
	First uint64 `json:"first_offset"`
	Next  uint64 `json:"next_offset"`
}

func (s *Server) listStreams(_ *restful.Request, w *restful.Response) {
	if !s.checkAvailable(w) {
		return
	}

	standin.WriteJSON(w, http.StatusOK, struct {
		Streams []streamSummary `json:"streams"`
	}{s.streamSummaries(time.Now())})
}

func (s *Server) streamSummaries(now time.Time) []streamSummary {
	s.mu.Lock()
	defer s.mu.Unlock()

	all := []streamSummary{}

	for name, st := range s.streams {
		s.trim(now, st)

		if st.nextOffset() > 1 {
			all = append(all, streamSummary{Name: name, First: st.first, Next: st.nextOffset()})
		}
	}

	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })

	return all
}
