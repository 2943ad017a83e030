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

// The types of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
	eventCleared = "cleared"
)

// lookAgain is how often a long poll looks again, since late events become
// visible with time alone.
const lookAgain = 10 * time.Millisecond

// cacheEvent is one cache event.
type cacheEvent struct {
	Seq           uint64        `json:"seq"`
	Type          string        `json:"type"`
	Hashes        []prompt.Hash `json:"hashes"`
	WeightVersion string        `json:"weight_version"`

	at   time.Time
	lost bool
}

// emit adds an event. The caller holds mu.
func (s *Server) emit(now time.Time, kind string, hashes []prompt.Hash) {
	s.seq++
	s.events = append(s.events, cacheEvent{
		Seq: s.seq, Type: kind, Hashes: hashes, WeightVersion: s.version,
		at: now, lost: s.rng.Float64() < s.Faults().EventsLost,
	})

	if n := len(s.events) - s.cfg.KeepEvents; n > 0 {
		s.events = s.events[n:]
	}

	close(s.grown)
	s.grown = make(chan struct{})
	s.report(now)
}

// clear drops all blocks. The caller holds mu.
func (s *Server) clear(now time.Time) {
	s.blocks.Purge()
	s.evicted = nil
	s.emit(now, eventCleared, []prompt.Hash{})
}

// keep stores the blocks of a chain, those at its end as the oldest, so that a
// chain is evicted from its end. The caller holds mu.
func (s *Server) keep(now time.Time, chain prompt.Chain, sound func(i int) bool) {
	chain = chain[:min(len(chain), s.cfg.CacheBlocks)]
	added := []prompt.Hash{}

	for i := len(chain) - 1; i >= 0; i-- {
		was, held := s.blocks.Get(chain[i])
		if !held {
			added = append(added, chain[i])
		}

		s.blocks.Add(chain[i], was || sound(i))
	}

	if len(added) > 0 {
		s.emit(now, eventStored, added)
	}

	if len(s.evicted) > 0 {
		s.emit(now, eventRemoved, s.evicted)
		s.evicted = nil
	}
}

// cached returns how many leading blocks of chain are held, and whether all of
// them are sound. The caller holds mu.
func (s *Server) cached(chain []prompt.Hash) (int, bool) {
	sound := true

	for i, h := range chain {
		ok, held := s.blocks.Peek(h)
		if !held {
			return i, sound
		}

		sound = sound && ok
	}

	return len(chain), sound
}

// eventPage is the answer to GET /events.
type eventPage struct {
	BootID string       `json:"boot_id"`
	First  uint64       `json:"first_seq"`
	Next   uint64       `json:"next_seq"`
	Events []cacheEvent `json:"events"`
}

func (s *Server) listEvents(q *restful.Request, w *restful.Response) {
	ctx, cancel := s.Wait(q.Request)
	defer cancel()

	after := standin.Number(q.Request, "after", 0)

	for {
		p := s.page(time.Now(), after)
		if p.Next > after+1 || ctx.Err() != nil {
			standin.Reply(w, http.StatusOK, p)
			return
		}

		pause.For(ctx, lookAgain)
	}
}

// page returns the events after a number that can be seen now.
func (s *Server) page(now time.Time, after uint64) eventPage {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := eventPage{BootID: s.boot, First: s.seq + 1 - uint64(len(s.events)), Events: []cacheEvent{}}
	p.Next = p.First
	visible := now.Add(-standin.Millis(s.Faults().EventsDelayMS))

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
	seq, version := s.seq, s.version
	s.mu.Unlock()

	standin.Reply(w, http.StatusOK, struct {
		BootID        string        `json:"boot_id"`
		Seq           uint64        `json:"seq"`
		WeightVersion string        `json:"weight_version"`
		Hashes        []prompt.Hash `json:"hashes"`
	}{s.boot, seq, version, hashes})
}

// sealed is the head of exported bytes; the blocks' content follows.
type sealed struct {
	WeightVersion string        `json:"weight_version"`
	Hashes        []prompt.Hash `json:"hashes"`
}

// content returns what a block holds.
func (s *Server) content(h prompt.Hash) []byte {
	return bytes.Repeat(h[:], s.cfg.BlockTokens*s.cfg.BytesPerToken/len(h))
}

func (s *Server) export(q *restful.Request, w *restful.Response) {
	in, ok := standin.Decode[struct {
		Hashes []prompt.Hash `json:"hashes"`
	}](w, q.Request)
	if !ok {
		return
	}

	s.mu.Lock()
	n, _ := s.cached(in.Hashes)
	version := s.version
	s.mu.Unlock()

	if n == 0 {
		standin.Fail(w, http.StatusNotFound, "not_found", "the first block is not held")
		return
	}

	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("X-Block-Count", strconv.Itoa(n))
	w.Header().Set("X-Weight-Version", version)

	if err := json.NewEncoder(w).Encode(sealed{version, in.Hashes[:n]}); err != nil {
		return
	}

	for _, h := range in.Hashes[:n] {
		if _, err := w.Write(s.content(h)); err != nil {
			return
		}
	}
}

// bring imports what export gave. Like a real engine it believes the bytes: a
// block that was altered or cut is kept, and a run that reads it answers wrong.
func (s *Server) bring(q *restful.Request, w *restful.Response) {
	body, ok := standin.Body(w, q.Request)
	if !ok {
		return
	}

	r := bufio.NewReader(bytes.NewReader(body))

	head, err := r.ReadBytes('\n')
	if err != nil {
		standin.Fail(w, http.StatusBadRequest, "bad_request", "no head")
		return
	}

	var in sealed
	if err := json.Unmarshal(head, &in); err != nil {
		standin.Fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}

	sound := make([]bool, len(in.Hashes))

	for i, h := range in.Hashes {
		want := s.content(h)
		got := make([]byte, len(want))
		_, err := io.ReadFull(r, got)
		sound[i] = err == nil && bytes.Equal(got, want)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if in.WeightVersion != s.version || s.state != stateReady {
		standin.Fail(w, http.StatusConflict, "wrong_version", "loaded is "+s.version)
		return
	}

	s.keep(time.Now(), in.Hashes, func(i int) bool { return sound[i] })
	standin.Reply(w, http.StatusOK, struct {
		Imported int `json:"imported_blocks"`
	}{min(len(in.Hashes), s.cfg.CacheBlocks)})
}
