//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// expireAfter is how long the register keeps the entry of an engine that is silent.
	expireAfter = 3 * heartbeat
	engineSlots = 64
	kvCapacity  = 77648
)

// engineConfig configures an engine.
type engineConfig struct {
	name, service, zone, address string
	models                       []string // none for a plain service
	// firstEvent and eventInterval are the times before the first event of a stream and before each other one; events
	// is their number. A plain call takes firstEvent.
	firstEvent, eventInterval time.Duration
	events                    int
	loadTime                  time.Duration // for new weights, at least
	deadly                    string        // body, or path with query, of a request that crashes the engine which begins to run it; empty for none
	onDeadly                  func(e *engine, request string)
	store                     *store
	rec                       *record
}

// engine is a stand-in for a model engine, or for an engine of a plain service. It starts under a new id each time.
type engine struct {
	cfg   engineConfig
	began time.Time

	mu       sync.Mutex
	id       string
	starts   int
	versions map[string]int64
	busy     bool
	sequence int            // orders accepted
	running  map[string]int // tokens by request id
	tenants  map[string]int // number of running requests by tenant
	ran      map[string]int // runs by request id, of all starts
	orders   []order
	parts    map[[3]string]int    // salt, id and model of cached parts: tokens
	makers   map[[3]string]string // tenants whose requests made them
	uses     []partUse
	events   [][]any
	changed  chan struct{}
	beats    int
	server   *http.Server
	down     chan struct{} // closed by the end of the present start
}

// partUse is the use of a cached part by a request of another tenant than the one that made it.
type partUse struct {
	engine, request, tenant, maker, part string
	at                                   time.Time
}

// order is an order that the engine received.
type order struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Revision int64  `json:"revision"`
	Mode     string `json:"mode"`
	Holder   string `json:"holder"`
	Fence    *int64 `json:"fence"`
	Expected *int   `json:"expected"`

	start string // id of the engine's start
	at    time.Time
}

func newEngine(cfg engineConfig) *engine {
	e := &engine{cfg: cfg, began: time.Now(), versions: make(map[string]int64), ran: make(map[string]int)}
	for _, m := range cfg.models {
		e.versions[m] = 1
	}

	return e
}

// start starts the engine under a new id, and registers it.
func (e *engine) start() error {
	l, err := net.Listen("tcp", e.cfg.address)
	if err != nil {
		return err
	}

	e.mu.Lock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", e.cfg.name, e.starts)
	e.busy, e.sequence, e.beats, e.running, e.tenants = false, 0, 0, make(map[string]int), make(map[string]int)
	e.parts, e.makers, e.events, e.changed = make(map[[3]string]int), make(map[[3]string]string), nil, make(chan struct{})
	e.down = make(chan struct{})
	e.server = &http.Server{Handler: e.handler(e.id, e.down), ReadHeaderTimeout: time.Minute}
	s, id, down := e.server, e.id, e.down
	e.mu.Unlock()

	go func() { _ = s.Serve(l) }()
	go e.beat(id, down)

	e.cfg.rec.line("engine %s starts as %s at %s", e.cfg.name, id, e.cfg.address)

	return nil
}

// crash ends the engine: its port closes and all its connections break. It tells the register nothing.
func (e *engine) crash() (broken int) {
	e.mu.Lock()
	s, id, down := e.server, e.id, e.down
	broken = len(e.running)

	select {
	case <-down: // it has crashed already
		e.mu.Unlock()

		return 0
	default:
		close(down)
	}
	e.mu.Unlock()

	_ = s.Close()

	e.cfg.rec.line("engine %s (%s) crashes with %d requests running", e.cfg.name, id, broken)
	time.AfterFunc(expireAfter, func() { e.cfg.store.put("keyed.servers", id, nil) })

	return broken
}

// beat writes the engine's entry in the register until its start ends.
func (e *engine) beat(id string, down <-chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()

	for {
		e.mu.Lock()
		e.beats++
		entry := map[string]any{
			"service": e.cfg.service, "address": e.cfg.address, "zone": e.cfg.zone, "revision": "v1", "slots": engineSlots,
			"state": "ready", "coldRemainingMs": 0, "sequence": e.beats,
		}

		if len(e.cfg.models) > 0 {
			entry["stage"], entry["models"] = "colocated", e.modelList()
		}
		e.mu.Unlock()

		select {
		case <-down:
			return
		default:
			e.cfg.store.putJSON("keyed.servers", id, entry)
		}

		select {
		case <-down:
			return
		case <-t.C:
		}
	}
}

// modelList returns the models with their versions. The caller holds mu.
func (e *engine) modelList() []map[string]any {
	var all []map[string]any
	for _, m := range e.cfg.models {
		all = append(all, map[string]any{"name": m, "revision": e.versions[m], "adapters": []string{}})
	}

	return all
}

func (e *engine) clockMs() int64 { return time.Since(e.began).Milliseconds() + 1000 }

func (e *engine) handler(id string, down <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x := r.Header.Get("X-Request-Id"); x != "" {
			w.Header().Set("X-Request-Id", x)
		}

		switch r.URL.Path {
		case "/healthz":
			w.Header().Set("X-Instance-Id", id)
			w.Header().Set("X-Server-Load", e.load())
		case "/report":
			e.serveReport(w)
		case "/order":
			e.serveOrder(w, r, id)
		case "/kv-events":
			e.serveEvents(w, r)
		case "/kv-list":
			e.serveList(w)
		default:
			e.serveRequest(w, r, id, down)
		}
	})
}

func (e *engine) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return fmt.Sprintf("%d,0,%d", len(e.running), engineSlots)
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()

	used := 0
	runs := [][]any{}

	for id, tokens := range e.running {
		used += tokens
		runs = append(runs, []any{id, tokens, 1, 5})
	}

	writeJSON(w, map[string]any{
		"stage": "colocated", "models": e.modelList(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": len(e.running),
		"kvUsed": used, "kvTotal": kvCapacity, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "next": 0, "runs": runs, "clock_ms": e.clockMs(),
	})
}

// serveOrder takes an order as engines do that don't check fences.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request, id string) {
	var o order

	err := json.NewDecoder(r.Body).Decode(&o)

	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if err != nil || o.Holder == "" || o.Fence == nil || o.Op != "revision" {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	o.start, o.at = id, time.Now()
	e.orders = append(e.orders, o)

	status := http.StatusAccepted

	switch {
	case e.versions[o.Model] == o.Revision:
		status = http.StatusOK
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	default:
		e.busy = true
		e.sequence++

		go e.loadWeights(o, id)
	}

	e.cfg.rec.line("engine %s gets order: model %s revision %d holder %s fence %d, answers %d", id, o.Model, o.Revision, o.Holder, *o.Fence, status)
	w.WriteHeader(status)
}

// loadWeights carries an order out once all runs have finished.
func (e *engine) loadWeights(o order, id string) {
	for {
		e.mu.Lock()
		idle := len(e.running) == 0
		e.mu.Unlock()

		if idle {
			break
		}

		time.Sleep(5 * time.Millisecond)
	}

	time.Sleep(e.cfg.loadTime)

	e.mu.Lock()
	defer e.mu.Unlock()

	if e.id != id {
		return
	}

	e.versions[o.Model], e.busy = o.Revision, false

	for p, tokens := range e.parts {
		if p[2] == o.Model {
			delete(e.parts, p)
			e.addEvent("-", p, tokens)
		}
	}

	e.cfg.rec.line("engine %s has model %s revision %d", id, o.Model, o.Revision)
}

// addEvent adds an event on cached parts. The caller holds mu.
func (e *engine) addEvent(sign string, p [3]string, tokens int) {
	e.events = append(e.events, []any{len(e.events) + 2, sign, p[0], p[1], tokens, p[2]})
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	until := time.After(time.Duration(min(wait, 1000)) * time.Millisecond)

	for waiting := true; ; {
		e.mu.Lock()
		from := min(max(since-1, 0), len(e.events))
		events, changed, epoch := slices.Clone(e.events[from:]), e.changed, e.starts
		e.mu.Unlock()

		if len(events) > 0 || !waiting {
			if events == nil {
				events = [][]any{}
			}

			writeJSON(w, map[string]any{"bootEpoch": epoch, "next": from + len(events) + 1, "lost": false, "events": events, "clock_ms": e.clockMs()})

			return
		}

		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (e *engine) serveList(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()

	held := [][]any{}
	for p, tokens := range maps.All(e.parts) {
		held = append(held, []any{p[0], p[1], tokens, p[2]})
	}

	writeJSON(w, map[string]any{"bootEpoch": e.starts, "next": len(e.events) + 1, "held": held, "clock_ms": e.clockMs()})
}

// refuse answers a request that has not run.
func (e *engine) refuse(w http.ResponseWriter, id string, status int) {
	w.Header().Set("X-Instance-Id", id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request, id string, down <-chan struct{}) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	request := r.Header.Get("X-Request-Id")
	model, tokens := r.Header.Get("X-Model"), promptTokens(r)

	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != id {
		e.refuse(w, id, http.StatusMisdirectedRequest)

		return
	}

	e.mu.Lock()
	version := e.versions[model]
	full, loading := len(e.running) >= engineSlots, e.busy
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(e.running), engineSlots))

	if model != "" {
		w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	}

	if x := r.Header.Get("X-Expect-Version"); x != "" && x != strconv.FormatInt(version, 10) {
		e.mu.Unlock()
		e.refuse(w, id, http.StatusMisdirectedRequest)

		return
	}

	if full || loading {
		e.mu.Unlock()
		e.refuse(w, id, http.StatusServiceUnavailable)

		return
	}

	e.running[request] = tokens
	e.ran[request]++
	tenants, name := e.tenants, r.Header.Get("X-Tenant")
	tenants[name]++
	e.mu.Unlock()

	e.cfg.rec.line("engine %s runs %s of %s", id, request, r.Header.Get("X-Tenant"))

	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()

		delete(e.running, request)
		tenants[name]--
	}()

	if e.cfg.deadly != "" && (string(body) == e.cfg.deadly || r.RequestURI == e.cfg.deadly) {
		go e.cfg.onDeadly(e, request)
		<-down
		panic(http.ErrAbortHandler)
	}

	w.Header().Set("X-Server-Seal", "seal."+id+"."+request)

	if len(e.cfg.models) == 0 {
		e.answer(w, r, request, down)

		return
	}

	e.useParts(r, id)
	e.stream(w, r, down)
	e.keepParts(r)
}

// pause waits; it reports false if the caller leaves, and aborts the response if the engine crashes.
func pauseFor(r *http.Request, d time.Duration, down <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-down:
		panic(http.ErrAbortHandler)
	}
}

func (e *engine) answer(w http.ResponseWriter, r *http.Request, request string, down <-chan struct{}) {
	if pauseFor(r, e.cfg.firstEvent, down) {
		_, _ = io.WriteString(w, "answer to "+request+"\n")
	}
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, down <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")

	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rc := http.NewResponseController(w)
	wait := e.cfg.firstEvent

	for n := after + 1; n <= e.cfg.events; n++ {
		if !pauseFor(r, wait, down) {
			return
		}

		wait = e.cfg.eventInterval

		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, r.Header.Get("X-Request-Id"), n); err != nil || rc.Flush() != nil {
			return
		}
	}
}

// useParts records which cached parts of other tenants a prompt uses: those before which all are cached too.
func (e *engine) useParts(r *http.Request, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()

	h := r.Header

	for x := range strings.SplitSeq(h.Get("X-Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(x, ":")
		p := [3]string{h.Get("X-Cache-Salt"), part, h.Get("X-Model")}

		if _, ok := e.parts[p]; !ok {
			return
		}

		if maker := e.makers[p]; maker != h.Get("X-Tenant") {
			e.uses = append(e.uses, partUse{id, h.Get("X-Request-Id"), h.Get("X-Tenant"), maker, part, time.Now()})
		}
	}
}

// keepParts caches the parts of a prompt that was read.
func (e *engine) keepParts(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()

	salt, model := r.Header.Get("X-Cache-Salt"), r.Header.Get("X-Model")

	for x := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		id, text, _ := strings.Cut(x, ":")
		n, _ := strconv.Atoi(text)
		p := [3]string{salt, id, model}

		if _, ok := e.parts[p]; !ok && n >= 16 {
			e.parts[p] = n
			e.makers[p] = r.Header.Get("X-Tenant")
			e.addEvent("+", p, n)
		}
	}
}

// promptTokens returns the memory that a request takes.
func promptTokens(r *http.Request) int {
	in, out, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	a, _ := strconv.Atoi(in)
	b, _ := strconv.Atoi(out)

	return a + b
}

// runs returns how often the engine ran a request.
func (e *engine) runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ran[request]
}

// runsFor reports whether the engine runs a request of a tenant.
func (e *engine) runsFor(tenant string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.tenants[tenant] > 0
}

// received returns the orders so far.
func (e *engine) received() []order {
	e.mu.Lock()
	defer e.mu.Unlock()

	return slices.Clone(e.orders)
}

// foreignUses returns the uses of parts that other tenants made, so far.
func (e *engine) foreignUses() []partUse {
	e.mu.Lock()
	defer e.mu.Unlock()

	return slices.Clone(e.uses)
}

// hasVersion reports whether the engine has a version of a model.
func (e *engine) hasVersion(model string, version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.versions[model] >= version
}
