package exchange

import (
	"bytes"
	"compress/flate"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/intake"
	"boragehub/mirror"
	"boragehub/quarantine"
	"boragehub/vault"
)

// Server serves calls of other processes. It implements http.Handler.
type Server struct {
	mux            *http.ServeMux
	members        *Members
	topics         map[string]*mirror.Topic
	onAnnouncement func(now time.Time, n VersionAnnouncement)
	onCrash        func(now time.Time, c quarantine.Crash) []quarantine.Acquittal
	onRateLimit    func(now time.Time, l RateLimitAnnouncement)
	onLeaving      func(now time.Time, l LeavingAnnouncement)
	onCleared      func(now time.Time, all []quarantine.Acquittal)
	registerEntry  func(ctx context.Context, entry Registrant) error
	vaults         *vault.Directory
	crashes        CrashSet
	compressor     recordCompressor
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Members are the known entries.
	Members *Members
	// Topics are the replicated topics, by name.
	Topics map[string]*mirror.Topic
	// Vaults holds the known contents of the stores.
	Vaults *vault.Directory
	// Crashes are the crashes known to this process; required if it accepts calls of Client.SyncCrashes.
	Crashes CrashSet
	// OnAnnouncement is called with the announcements of changes of engines' weights.
	OnAnnouncement func(now time.Time, n VersionAnnouncement)
	// OnCrash is called with the crash reports of other entries, and returns the responses that clear some of their
	// parts.
	OnCrash func(now time.Time, c quarantine.Crash) []quarantine.Acquittal
	// OnRateLimit is called with the rate limits that other entries announce.
	OnRateLimit func(now time.Time, l RateLimitAnnouncement)
	// OnLeaving is called with the targets that other entries report as leaving.
	OnLeaving func(now time.Time, l LeavingAnnouncement)
	// OnCleared is called with the responses at other entries that have cleared requests or parts of them.
	OnCleared func(now time.Time, all []quarantine.Acquittal)
	// Register registers another entry. If nil, requests to register entries are refused.
	Register func(ctx context.Context, entry Registrant) error
}

// NewServer returns a Server with the given configuration.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{mux: http.NewServeMux(), members: cfg.Members, topics: cfg.Topics, onAnnouncement: cfg.OnAnnouncement, onCrash: cfg.OnCrash, onRateLimit: cfg.OnRateLimit, onLeaving: cfg.OnLeaving, onCleared: cfg.OnCleared, registerEntry: cfg.Register, vaults: cfg.Vaults, crashes: cfg.Crashes}
	s.mux.HandleFunc("POST "+vaultsPath, s.storeUpdates)
	s.mux.HandleFunc("GET "+recordsPath, s.records)
	s.mux.HandleFunc("POST "+entriesPath, s.register)
	s.mux.HandleFunc("POST "+noticePath, handleMessage(func(n VersionAnnouncement) { s.onAnnouncement(time.Now(), n) }))
	s.mux.HandleFunc("POST "+crashPath, s.crash)
	s.mux.HandleFunc("GET "+crashPath, s.knownCrashes)
	s.mux.HandleFunc("POST "+limitPath, handleMessage(func(l RateLimitAnnouncement) { s.onRateLimit(time.Now(), l) }))
	s.mux.HandleFunc("POST "+clearedPath, handleMessage(func(m Cleared) {
		now := time.Now()
		s.onCleared(now, m.acquittals(now))
	}))
	s.mux.HandleFunc("POST "+leavingPath, handleMessage(func(l LeavingAnnouncement) { s.onLeaving(time.Now(), l) }))

	return s
}

// ServeHTTP serves one call. The response has the call's id, so that no other one is taken for it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(callIDHeader); id != "" {
		w.Header().Set(callIDHeader, id)
	}

	s.mux.ServeHTTP(w, r)
}

// records returns this process's records of a topic or, if the request has no topic, the entries
// that it knows.
func (s *Server) records(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	q := r.URL.Query()
	s.members.MarkAlive(now, q.Get("self"))

	reply := Reply{AgeMs: -1}
	topic := q.Get("topic")

	if topic == "" {
		reply.Ages, reply.Members = s.membership(now, q)
	}

	if t, ok := s.topics[topic]; ok {
		from, err := parsePosition(q, t.End().Era)
		if err != nil {
			http.Error(w, "the query parameters from and era are not a position", http.StatusBadRequest)

			return
		}

		wait := parseWait(q)
		if !t.Loaded() {
			wait = 0 // lets the client try another process without delay
		}

		b := waitForRecords(r.Context(), now, t, from, wait)
		reply.HeldMs = time.Since(now).Milliseconds()
		now = now.Add(time.Duration(reply.HeldMs) * time.Millisecond)
		reply.End, reply.Era, reply.Settled, reply.Snapshot, reply.Loaded = b.End, b.Era, b.Settled, b.Snapshot, t.Loaded()
		reply.AsOfShared, reply.Handled = b.AsOfShared, b.Handled
		reply.Records, reply.Compressed = s.compressor.encode(topic, from, b)

		if !b.AsOf.IsZero() {
			reply.AgeMs = now.Sub(b.AsOf).Milliseconds()
		}
	}

	if topic == "" {
		writeMessageCompressed(w, r, reply)

		return
	}

	writeMessage(w, reply)
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
		return nil, s.members.All(now)
	}

	return nil, s.members.Sample(now)
}

// parsePosition returns the position in a query. Builds that know no eras send none; era is that of the
// topic, which is returned then.
func parsePosition(q url.Values, era int64) (p mirror.Position, err error) {
	p.Era = era

	if text := q.Get("era"); text != "" {
		if p.Era, err = strconv.ParseInt(text, 10, 64); err != nil {
			return p, err
		}
	}

	p.Offset, err = strconv.ParseInt(q.Get("from"), 10, 64)

	return p, err
}

// maxWait bounds how long a request is held.
const maxWait = 2 * time.Second

// parseWait returns how long a request may be held; zero if the query doesn't specify it.
func parseWait(q url.Values) time.Duration {
	ms, err := strconv.ParseInt(q.Get("wait_ms"), 10, 32)
	if err != nil {
		return 0
	}

	return min(max(time.Duration(ms)*time.Millisecond, 0), maxWait)
}

// waitForRecords returns the records of a topic from a position on, as soon as there are any or the
// wait has passed. A client must detect in time that this process can't read the log. Therefore the
// wait is shortened so that the records are at most twice the wait old at its end, and is omitted
// if they are older already. The records of a process that reads the log by long polls are up to
// two of its own waits old.
func waitForRecords(ctx context.Context, now time.Time, t *mirror.Topic, from mirror.Position, wait time.Duration) mirror.Batch {
	wait = min(wait, 2*wait-now.Sub(t.SyncedAt()))

	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		changed := t.Changed()

		b := t.Since(from)
		if len(b.Records) > 0 || b.Snapshot || wait <= 0 {
			return b
		}

		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

// writeMessage writes a message as the response.
func writeMessage[T any](w http.ResponseWriter, message T) {
	body, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, "the response could not be encoded", http.StatusInternalServerError)

		return
	}

	//nolint:errcheck,gosec // the client retries, here or at another entry
	w.Write(body)
}

// writeMessageCompressed writes a message as the response. It is compressed if it has at least
// compressAbove bytes and the client accepts the encoding.
func writeMessageCompressed[T any](w http.ResponseWriter, r *http.Request, message T) {
	body, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, "the response could not be encoded", http.StatusInternalServerError)

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

// messageTimeout is how long the body of a message may take.
const messageTimeout = 10 * time.Second

// readMessage reads a message from a request. If that fails, it responds with an error and returns
// false.
func readMessage[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var message T

	body, err := intake.ReadBody(w, r, maxMessage, time.Now().Add(messageTimeout))
	if err == nil && r.Header.Get(contentEncodingHeader) == encodingDeflate {
		body, err = intake.ReadExpanded(r, flate.NewReader(bytes.NewReader(body)), int64(len(body)), maxMessage)
	}

	if err == nil {
		err = decoder.Unmarshal(body, &message)
	}

	if err != nil {
		http.Error(w, "the message could not be decoded", http.StatusBadRequest)
	}

	return message, err == nil
}

// storeUpdates returns the changes of stores since the positions in the request.
func (s *Server) storeUpdates(w http.ResponseWriter, r *http.Request) {
	if positions, ok := readMessage[[]vault.Position](w, r); ok {
		writeMessageCompressed(w, r, s.vaults.Updates(time.Now(), positions))
	}
}

// register registers another entry, and responds after the log has accepted the record.
func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	entry, ok := readMessage[Registrant](w, r)
	if !ok {
		return
	}

	if s.registerEntry == nil || s.registerEntry(r.Context(), entry) != nil {
		http.Error(w, "the entry could not be registered", http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusNoContent)
}

// handleMessage returns a handler that passes a message to handle and responds without content.
func handleMessage[T any](handle func(message T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		message, ok := readMessage[T](w, r)
		if !ok {
			return
		}

		handle(message)
		w.WriteHeader(http.StatusNoContent)
	}
}
