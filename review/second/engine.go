package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"boragehub/platform/standin"
)

// loadTime is how long an engine takes to load weights.
const loadTime = 570 * time.Millisecond

// loadPoll is how often an engine looks whether its runs have finished.
const loadPoll = 5 * time.Millisecond

// Orders without a response are carried out between firstLate and lateSpread later.
const (
	firstLate  = 2 * time.Second
	lateSpread = 10 * time.Second
)

// engineStage and engineSlots are what all engines say of themselves.
const (
	engineStage = "colocated"
	engineSlots = 64
	// engineMemory is the memory in tokens.
	engineMemory = 77648
)

// order is an order as an engine received it.
type order struct {
	at             time.Time
	model          string
	revision       int64
	holder         string
	fence          int64
	status         int
	highestFence   int64 // of the orders accepted before
	highestFenceOf string
	late           bool // whether it got no response and is carried out late
}

// took reports whether the engine took an order: at once, or without a response.
func (o order) took() bool { return o.late || o.status == http.StatusAccepted }

func (o order) outcome() string {
	if o.late {
		return "no response, carried out late"
	}

	return fmt.Sprintf("status %d", o.status)
}

// engine is a stand-in for a model engine with several models. It reports its state and carries out orders.
type engine struct {
	id, service  string
	checksFences bool

	listener net.Listener
	server   *http.Server
	ended    chan struct{}
	born     time.Time

	mu       sync.Mutex
	versions map[string]int64
	models   []string // in the order in which they are reported
	named    map[string]int64
	busy     bool
	sequence int64
	fence    int64
	fenceOf  string
	orders   []order
	prompts  map[*prompt]struct{} // that are being read or run
	begun    []begun
	reading  chan struct{} // holds a value while a prompt is read

	lostShare float64 // of orders without a response
	lostUntil time.Time
}

// startEngine starts an engine at the address of its machine.
func startEngine(id, ip, service string, models []string, checksFences bool) (*engine, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0")) //nolint:noctx // binds at once
	if err != nil {
		return nil, err
	}

	e := &engine{
		id: id, service: service, checksFences: checksFences, listener: l, ended: make(chan struct{}), born: time.Now(),
		versions: make(map[string]int64), models: models, named: make(map[string]int64),
		prompts: make(map[*prompt]struct{}), reading: make(chan struct{}, 1),
	}

	for _, m := range models {
		e.versions[m], e.named[m] = 1, 1
	}

	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}

	go func() { _ = e.server.Serve(l) }()

	return e, nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

// name tells the engine of a version that the operator has named.
func (e *engine) name(model string, revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.named[model] = revision
}

// modelList returns the engine's models. The caller holds mu.
func (e *engine) modelList() []modelRecord {
	all := make([]modelRecord, len(e.models))
	for i, m := range e.models {
		all[i] = modelRecord{Name: m, Revision: e.versions[m], Adapters: []string{}}
	}

	return all
}

// register writes the engine's entry until it ends.
func (e *engine) register(log *standin.Log) {
	for sequence := 1; ; sequence++ {
		e.mu.Lock()
		log.PutJSON(registerTopic, e.id, entryRecord{
			Service: e.service, Address: e.address(), Zone: zone, Revision: "1", Slots: engineSlots, State: "ready", Sequence: sequence,
			Stage: engineStage, Models: e.modelList(),
		})
		e.mu.Unlock()

		select {
		case <-e.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *engine) end() {
	close(e.ended)
	_ = e.server.Close()
}

// ServeHTTP handles one call.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", e.id)

	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	case "/kv-events":
		e.events(w, r)
	case "/kv-list":
		writeJSON(w, http.StatusOK, map[string]any{"bootEpoch": e.born.UnixMilli(), "next": 0, "held": []any{}})
	case healthPath:
	default:
		e.request(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()

	writeJSON(w, http.StatusOK, map[string]any{
		"stage": engineStage, "models": e.modelList(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": len(e.prompts),
		"kvUsed": e.used(), "kvTotal": engineMemory, "handles": 0, "runs": e.runs(),
	})
}

func (e *engine) events(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))

	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-r.Context().Done():
		return
	case <-e.ended:
		return
	}

	writeJSON(w, http.StatusOK, map[string]any{"bootEpoch": e.born.UnixMilli(), "next": since, "lost": false, "events": []any{}})
}

// orderBody is the body of an order.
type orderBody struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Revision int64  `json:"revision"`
	Holder   string `json:"holder"`
	Fence    *int64 `json:"fence"`
	Expected *int64 `json:"expected"`
}

// order carries out an order to load weights, or refuses it.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody

	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &o)
	}

	if err == nil && e.loses(o) {
		select {
		case <-r.Context().Done():
		case <-e.ended:
		}

		panic(http.ErrAbortHandler)
	}

	w.WriteHeader(e.take(o, err, r.Header.Get("X-Expect-Instance")))
}

// loseOrders has the engine leave a share of the orders without a response until a time, and carry them out late.
func (e *engine) loseOrders(share float64, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.lostShare, e.lostUntil = share, until
}

// loses reports whether an order gets no response, and has it carried out late.
func (e *engine) loses(o orderBody) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	if !now.Before(e.lostUntil) || rand.Float64() >= e.lostShare {
		return false
	}

	x := order{at: now, model: o.Model, revision: o.Revision, holder: o.Holder, late: true, highestFence: e.fence, highestFenceOf: e.fenceOf}
	if o.Fence != nil {
		x.fence = *o.Fence
	}

	e.orders = append(e.orders, x)

	time.AfterFunc(firstLate+rand.N(lateSpread), func() { e.takeLate(o, x) })

	return true
}

// takeLate carries out an order that got no response, if it still may be.
func (e *engine) takeLate(o orderBody, x order) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.decide(o) == http.StatusAccepted && o.Revision > e.versions[o.Model] {
		e.accept(x)
	}
}

// take carries out an order, or refuses it, and returns the status of the response.
func (e *engine) take(o orderBody, err error, expected string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	status := http.StatusBadRequest

	if expected != "" && expected != e.id {
		status = http.StatusMisdirectedRequest
	} else if err == nil {
		status = e.decide(o)
	}

	x := order{at: time.Now(), model: o.Model, revision: o.Revision, holder: o.Holder, status: status, highestFence: e.fence, highestFenceOf: e.fenceOf}
	if o.Fence != nil {
		x.fence = *o.Fence
	}

	e.orders = append(e.orders, x)

	if status == http.StatusAccepted {
		e.accept(x)
	}

	return status
}

// decide returns the status of the response to an order. The caller holds mu.
func (e *engine) decide(o orderBody) int {
	switch {
	case o.Op != "revision" || o.Holder == "" || o.Fence == nil || e.versions[o.Model] == 0 || o.Revision > e.named[o.Model]:
		return http.StatusBadRequest
	case e.checksFences && *o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case o.Revision == e.versions[o.Model]:
		return http.StatusOK
	default:
		return http.StatusAccepted
	}
}

// accept begins to carry out an order. The caller holds mu.
func (e *engine) accept(x order) {
	e.sequence++
	e.busy = true

	if x.fence > e.fence {
		e.fence, e.fenceOf = x.fence, x.model
	}

	go e.load(x)
}

// load loads weights when the runs have finished.
func (e *engine) load(x order) {
	for e.runningPrompts() > 0 {
		time.Sleep(loadPoll)
	}

	time.Sleep(loadTime)

	e.mu.Lock()
	defer e.mu.Unlock()

	e.busy = false
	e.versions[x.model] = x.revision
}

func (e *engine) runningPrompts() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.prompts)
}

// seen returns the orders that reached the engine and its versions.
func (e *engine) seen() (orders []order, versions map[string]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	versions = make(map[string]int64)
	for m, v := range e.versions {
		versions[m] = v
	}

	return append([]order(nil), e.orders...), versions
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)

	_ = json.NewEncoder(w).Encode(v)
}

// begunRequests returns the requests that have begun.
func (e *engine) begunRequests() []begun {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]begun(nil), e.begun...)
}
