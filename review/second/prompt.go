package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// tokensPerMs is how fast an engine reads prompts, one after the other.
	tokensPerMs = 51.1
	// eventCount and eventInterval are those of all streams.
	eventCount    = 5
	eventInterval = 10 * time.Millisecond
)

// prompt is a request that an engine reads or runs.
type prompt struct {
	id     string
	tokens int
	events int
}

// begun is a request that has begun to run, with its first token.
type begun struct {
	id        string
	arrivedAt time.Time
	at        time.Time
	version   int64
}

// used returns the memory in use. The caller holds mu.
func (e *engine) used() int {
	n := 0
	for p := range e.prompts {
		n += p.tokens
	}

	return n
}

// runs returns the requests that have begun. The caller holds mu.
func (e *engine) runs() [][]any {
	all := [][]any{}

	for p := range e.prompts {
		if p.events > 0 {
			all = append(all, []any{p.id, p.tokens, p.events, 0})
		}
	}

	return all
}

// request reads and runs a prompt, or refuses it.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	model := r.Header.Get("X-Model")
	in, out, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokensIn, _ := strconv.Atoi(in)
	tokensOut, _ := strconv.Atoi(out)
	p := &prompt{id: r.Header.Get("X-Request-Id"), tokens: tokensIn + tokensOut}

	version, status := e.admit(p, r, model)
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))

	if status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)

		return
	}

	defer e.remove(p)

	select {
	case e.reading <- struct{}{}:
	case <-r.Context().Done():
		return
	}

	read := wait(r, time.Duration(float64(tokensIn)/tokensPerMs*float64(time.Millisecond)))
	<-e.reading

	if !read {
		return
	}

	w.Header().Set("X-Server-Seal", e.id+"."+p.id)
	w.Header().Set("Content-Type", "text/event-stream")

	rc := http.NewResponseController(w)

	for n := 1; n <= eventCount; n++ {
		e.countEvent(p, model, arrivedAt)

		//nolint:gosec // a test's own id
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, p.id, n)
		if err != nil || rc.Flush() != nil || !wait(r, eventInterval) {
			return
		}
	}
}

// admit adds a prompt to the running ones, or returns the status with which it is refused.
func (e *engine) admit(p *prompt, r *http.Request, model string) (version int64, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	version = e.versions[model]
	expected := r.Header.Get("X-Expect-Version")

	switch {
	case r.Header.Get("X-Expect-Instance") != e.id, expected != "" && expected != strconv.FormatInt(version, 10):
		return version, http.StatusMisdirectedRequest
	case e.busy || len(e.prompts) >= engineSlots || e.used()+p.tokens > engineMemory && len(e.prompts) > 0:
		return version, http.StatusServiceUnavailable
	}

	e.prompts[p] = struct{}{}

	return version, 0
}

func (e *engine) remove(p *prompt) {
	e.mu.Lock()
	defer e.mu.Unlock()

	delete(e.prompts, p)
}

// countEvent counts an event of a run, which begins with its first one.
func (e *engine) countEvent(p *prompt, model string, arrivedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if p.events == 0 {
		e.begun = append(e.begun, begun{id: p.id, arrivedAt: arrivedAt, at: time.Now(), version: e.versions[model]})
	}

	p.events++
}

// wait waits, and reports false if the caller leaves meanwhile.
func wait(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
