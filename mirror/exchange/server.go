package exchange

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/mirror"
	"boragehub/quarantine"
	"boragehub/vault"
)

// Server answers other processes. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	members *Members
	topics  map[string]*mirror.Topic
	notice  func(now time.Time, n Notice)
	crash   func(now time.Time, c quarantine.Crash)
	add     func(ctx context.Context, entry Registrant) error
	vaults  *vault.Directory
	packer  packer
}

// ServerConfig is what a Server tells of.
type ServerConfig struct {
	// Members are the entries known.
	Members *Members
	// Topics are the topics mirrored, by name.
	Topics map[string]*mirror.Topic
	// Vaults knows the stores.
	Vaults *vault.Directory
	// Notice takes what side processes say.
	Notice func(now time.Time, n Notice)
	// Crash takes what other entries say of targets that crashed.
	Crash func(now time.Time, c quarantine.Crash)
	// Add registers another entry. If nil, requests to register entries are refused.
	Add func(ctx context.Context, entry Registrant) error
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{mux: http.NewServeMux(), members: cfg.Members, topics: cfg.Topics, notice: cfg.Notice, crash: cfg.Crash, add: cfg.Add, vaults: cfg.Vaults}
	s.mux.HandleFunc("POST "+vaultsPath, s.stores)
	s.mux.HandleFunc("GET "+recordsPath, s.records)
	s.mux.HandleFunc("POST "+entriesPath, s.register)
	s.mux.HandleFunc("POST "+noticePath, take(func(n Notice) { s.notice(time.Now(), n) }))
	s.mux.HandleFunc("POST "+crashPath, take(func(c quarantine.Crash) { s.crash(time.Now(), c) }))

	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// records tells what this process holds of a topic, or, without one, which entries it
// knows.
func (s *Server) records(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	q := r.URL.Query()
	s.members.Saw(now, q.Get("self"))

	reply := Reply{AgeMs: -1}
	topic := q.Get("topic")

	if topic == "" {
		reply.Ages, reply.Members = s.membership(now, q)
	}

	if t, ok := s.topics[topic]; ok {
		from, err := strconv.ParseInt(q.Get("from"), 10, 64)
		if err != nil {
			http.Error(w, "from is no offset", http.StatusBadRequest)

			return
		}

		wait := waitOf(q)
		if !t.Loaded() {
			wait = 0 // lets the client try another process without delay
		}

		b := hold(r.Context(), now, t, from, wait)
		reply.HeldMs = time.Since(now).Milliseconds()
		now = now.Add(time.Duration(reply.HeldMs) * time.Millisecond)
		reply.End, reply.Loaded = b.End, t.Loaded()
		reply.Records, reply.Packed = s.packer.pack(topic, from, b)

		if !b.AsOf.IsZero() {
			reply.AgeMs = now.Sub(b.AsOf).Milliseconds()
		}
	}

	if topic == "" {
		answerCompressed(w, r, reply)

		return
	}

	answer(w, reply)
}

// membership returns only the ages of the known entries if the view hash in the query is equal
// to that of this process. Otherwise it returns all known entries if the query asks for them,
// and some if not.
func (s *Server) membership(now time.Time, q url.Values) (ages []byte, members []Member) {
	if viewHash, err := strconv.ParseUint(q.Get("view"), 16, 64); err == nil {
		if ages = s.members.Ages(now, viewHash); ages != nil {
			return ages, nil
		}
	}

	if q.Get("all") != "" {
		return nil, s.members.TellAll(now)
	}

	return nil, s.members.Tell(now)
}

// maxHold bounds how long a question is held.
const maxHold = 2 * time.Second

// waitOf returns how long a question may be held; zero when it doesn't say.
func waitOf(q url.Values) time.Duration {
	ms, err := strconv.ParseInt(q.Get("wait_ms"), 10, 32)
	if err != nil {
		return 0
	}

	return min(max(time.Duration(ms)*time.Millisecond, 0), maxHold)
}

// hold returns what a topic holds from an offset on, as soon as there is something
// or the wait is over. Whoever waits at a process that can't read the log has to know
// in time, so a question is held for less when what is known is old already: twice the
// wait is the oldest that it may be told. A process that reads by waiting at the log is
// up to two of its own waits behind.
func hold(ctx context.Context, now time.Time, t *mirror.Topic, from int64, wait time.Duration) mirror.Batch {
	wait = min(wait, 2*wait-now.Sub(t.Fresh()))

	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		news := t.News()

		b := t.Since(from)
		if len(b.Records) > 0 || wait <= 0 {
			return b
		}

		select {
		case <-news:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

// answer writes a message.
func answer[T any](w http.ResponseWriter, message T) {
	body, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, "no answer can be made", http.StatusInternalServerError)

		return
	}

	//nolint:errcheck,gosec // whoever asked asks again, or somebody else
	w.Write(body)
}

// answerCompressed writes a message. It is compressed if it has at least compressAbove bytes and
// the client accepts the encoding.
func answerCompressed[T any](w http.ResponseWriter, r *http.Request, message T) {
	body, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, "no answer can be made", http.StatusInternalServerError)

		return
	}

	if len(body) >= compressAbove && r.Header.Get(acceptEncodingHeader) == encodingDeflate {
		if compressed, err := compress(body); err == nil {
			w.Header().Set(contentEncodingHeader, encodingDeflate)

			body = compressed
		}
	}

	//nolint:errcheck,gosec // the client retries, here or at another entry
	w.Write(body)
}

// question reads a message.
func question[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var message T

	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	if err == nil && r.Header.Get(contentEncodingHeader) == encodingDeflate {
		body, err = decompress(body)
	}

	if err == nil {
		err = decoder.Unmarshal(body, &message)
	}

	if err != nil {
		http.Error(w, "the message can't be read", http.StatusBadRequest)
	}

	return message, err == nil
}

// stores tells what changed in stores.
func (s *Server) stores(w http.ResponseWriter, r *http.Request) {
	if positions, ok := question[[]vault.Position](w, r); ok {
		answerCompressed(w, r, s.vaults.Tell(time.Now(), positions))
	}
}

// register registers another entry, and responds after the log has accepted the record.
func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	entry, ok := question[Registrant](w, r)
	if !ok {
		return
	}

	if s.add == nil || s.add(r.Context(), entry) != nil {
		http.Error(w, "the entry could not be registered", http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusNoContent)
}

// take handles a message that needs no answer.
func take[T any](handle func(message T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		message, ok := question[T](w, r)
		if !ok {
			return
		}

		handle(message)
		w.WriteHeader(http.StatusNoContent)
	}
}
