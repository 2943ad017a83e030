package exchange

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/mirror"
)

// Server answers other processes. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	members *Members
	topics  map[string]*mirror.Topic
	notice  func(now time.Time, n Notice)
}

// NewServer returns a Server that tells of topics and takes notices.
func NewServer(m *Members, topics map[string]*mirror.Topic, notice func(now time.Time, n Notice)) *Server {
	s := &Server{mux: http.NewServeMux(), members: m, topics: topics, notice: notice}
	s.mux.HandleFunc("GET "+recordsPath, s.records)
	s.mux.HandleFunc("POST "+noticePath, s.take)

	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// records tells what this process holds of a topic, and which entries it knows.
func (s *Server) records(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	q := r.URL.Query()
	s.members.Saw(now, q.Get("self"))

	reply := Reply{AgeMs: -1, Members: s.members.Live(now)}

	if t, ok := s.topics[q.Get("topic")]; ok {
		from, err := strconv.ParseInt(q.Get("from"), 10, 64)
		if err != nil {
			http.Error(w, "from is no offset", http.StatusBadRequest)

			return
		}

		b := t.Since(from)
		reply.Records, reply.End, reply.Loaded = b.Records, b.End, t.Loaded()

		if !b.AsOf.IsZero() {
			reply.AgeMs = now.Sub(b.AsOf).Milliseconds()
		}
	}

	body, err := cbor.Marshal(reply)
	if err != nil {
		http.Error(w, "no answer can be made", http.StatusInternalServerError)

		return
	}

	//nolint:errcheck,gosec // whoever asked asks again, or somebody else
	w.Write(body)
}

// take takes what a side process says.
func (s *Server) take(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))

	var n Notice
	if err == nil {
		err = decoder.Unmarshal(body, &n)
	}

	if err != nil {
		http.Error(w, "the notice can't be read", http.StatusBadRequest)

		return
	}

	s.notice(time.Now(), n)
	w.WriteHeader(http.StatusNoContent)
}
