package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"

	"boragehub/pause"
	"boragehub/prompt"
	"boragehub/standin"
)

// Types of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
	eventCleared = "cleared"
)

// pollInterval is how often a long poll checks for events, because delayed events become
// visible without a request that could wake the poll.
const pollInterval = 10 * time.Millisecond

// cacheEvent is one cache event.
type cacheEvent struct {
	Seq           uint64        `json:"seq"`
	Type          string        `json:"type"`
	Hashes        []prompt.Hash `json:"hashes"`
	WeightVersion string        `json:"weight_version"`

	at   time.Time
	lost bool
}

// addEvent appends an event. The caller holds mu.
func (s *Server) addEvent(now time.Time, kind string, hashes []prompt.Hash) {
	s.lastSeq++
	s.events = append(s.events, cacheEvent{
		Seq: s.lastSeq, Type: kind, Hashes: hashes, WeightVersion: s.version,
		at: now, lost: s.rng.Float64() < s.Faults().EventsLost,
	})

	if n := len(s.events) - s.cfg.MaxEvents; n > 0 {
		s.events = s.events[n:]
	}

	close(s.eventAdded)
	s.eventAdded = make(chan struct{})
	s.recordLoad(now)
}

// clearCache evicts all blocks. The caller holds mu.
func (s *Server) clearCache(now time.Time) {
	s.blocks.Purge()
	s.evicted = nil
	s.addEvent(now, eventCleared, []prompt.Hash{})
}

// storeBlocks caches the blocks of a chain, the last ones as least recently used, so that a
// chain is evicted from its end. The caller holds mu.
func (s *Server) storeBlocks(now time.Time, chain prompt.Chain, intact func(i int) bool) {
	chain = chain[:min(len(chain), s.cfg.CacheBlocks)]
	added := []prompt.Hash{}

	for i := len(chain) - 1; i >= 0; i-- {
		wasIntact, cached := s.blocks.Get(chain[i])
		if !cached {
			added = append(added, chain[i])
		}

		s.blocks.Add(chain[i], wasIntact || intact(i))
	}

	if len(added) > 0 {
		s.addEvent(now, eventStored, added)
	}

	if len(s.evicted) > 0 {
		s.addEvent(now, eventRemoved, s.evicted)
		s.evicted = nil
	}
}

// cachedPrefix returns how many leading blocks of chain are cached, and whether all of them
// are intact. The caller holds mu.
func (s *Server) cachedPrefix(chain []prompt.Hash) (int, bool) {
	intact := true

	for i, h := range chain {
		blockIntact, cached := s.blocks.Peek(h)
		if !cached {
			return i, intact
		}

		intact = intact && blockIntact
	}

	return len(chain), intact
}

// eventPage is the response to GET /events.
type eventPage struct {
	BootID string       `json:"boot_id"`
	First  uint64       `json:"first_seq"`
	Next   uint64       `json:"next_seq"`
	Events []cacheEvent `json:"events"`
}

func (s *Server) listEvents(q *restful.Request, w *restful.Response) {
	ctx, cancel := s.LongPollContext(q.Request)
	defer cancel()

	after := standin.QueryUint(q.Request, "after", 0)

	for {
		p := s.eventsAfter(time.Now(), after)
		if p.Next > after+1 || ctx.Err() != nil {
			standin.WriteJSON(w, http.StatusOK, p)
			return
		}

		pause.For(ctx, pollInterval)
	}
}

// eventsAfter returns the events with numbers above after that are visible at now.
func (s *Server) eventsAfter(now time.Time, after uint64) eventPage {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := eventPage{BootID: s.bootID, First: s.lastSeq + 1 - uint64(len(s.events)), Events: []cacheEvent{}}
	p.Next = p.First
	visible := now.Add(-standin.Milliseconds(s.Faults().EventsDelayMS))

	for _, e := range s.events {
		if e.at.After(visible) {
			break
		}

		p.Next = e.Seq + 1

		if e.Seq > after && !e.lost {
			p.Events = append(p.Events, e)
		}
	}

	return p
}

func (s *Server) listBlocks(_ *restful.Request, w *restful.Response) {
	s.mu.Lock()
	hashes := s.blocks.Keys()
	seq, version := s.lastSeq, s.version
	s.mu.Unlock()

	standin.WriteJSON(w, http.StatusOK, struct {
		BootID        string        `json:"boot_id"`
		Seq           uint64        `json:"seq"`
		WeightVersion string        `json:"weight_version"`
		Hashes        []prompt.Hash `json:"hashes"`
	}{s.bootID, seq, version, hashes})
}

// exportHeader is the first line of an export; the content of the blocks follows.
type exportHeader struct {
	WeightVersion string        `json:"weight_version"`
	Hashes        []prompt.Hash `json:"hashes"`
}

// blockContent returns the content of a block.
func (s *Server) blockContent(h prompt.Hash) []byte {
	return bytes.Repeat(h[:], s.cfg.BlockTokens*s.cfg.BytesPerToken/len(h))
}

func (s *Server) exportBlocks(q *restful.Request, w *restful.Response) {
	in, ok := standin.DecodeBody[struct {
		Hashes []prompt.Hash `json:"hashes"`
	}](w, q.Request)
	if !ok {
		return
	}

	s.mu.Lock()
	n, _ := s.cachedPrefix(in.Hashes)
	version := s.version
	s.mu.Unlock()

	if n == 0 {
		standin.WriteError(w, http.StatusNotFound, "not_found", "the first block is not cached")
		return
	}

	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Block-Count", strconv.Itoa(n))
	w.Header().Set("X-Weight-Version", version)

	if err := json.NewEncoder(w).Encode(exportHeader{version, in.Hashes[:n]}); err != nil {
		return
	}

	for _, h := range in.Hashes[:n] {
		if _, err := w.Write(s.blockContent(h)); err != nil {
			return
		}
	}
}

// importBlocks imports an export. Like a real engine it does not verify the content: an
// altered or truncated block is cached, and a run that uses it gives a wrong completion.
func (s *Server) importBlocks(q *restful.Request, w *restful.Response) {
	body, ok := standin.ReadBody(w, q.Request)
	if !ok {
		return
	}

	r := bufio.NewReader(bytes.NewReader(body))

	header, err := r.ReadBytes('\n')
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_request", "the header line is missing")
		return
	}

	var in exportHeader
	if err := json.Unmarshal(header, &in); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}

	intact := make([]bool, len(in.Hashes))

	for i, h := range in.Hashes {
		want := s.blockContent(h)
		got := make([]byte, len(want))
		_, err := io.ReadFull(r, got)
		intact[i] = err == nil && bytes.Equal(got, want)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if in.WeightVersion != s.version || s.state != stateReady {
		standin.WriteError(w, http.StatusConflict, "wrong_version", "the loaded version is "+s.version)
		return
	}

	s.storeBlocks(time.Now(), in.Hashes, func(i int) bool { return intact[i] })
	standin.WriteJSON(w, http.StatusOK, struct {
		Imported int `json:"imported_blocks"`
	}{min(len(in.Hashes), s.cfg.CacheBlocks)})
}
