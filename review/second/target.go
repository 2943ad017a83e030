package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"boragehub/platform/standin"
)

// healthPath is the path of all targets' health checks.
const healthPath = "/healthz"

// heartbeat is how often a target writes to the register.
const heartbeat = 1200 * time.Millisecond

// registerTopic and operatorTopic are the platform's topics.
const (
	registerTopic = "keyed.servers"
	operatorTopic = "keyed.op"
)

// arrival is a request that reached a target.
type arrival struct {
	id       string
	at       time.Time
	ran, cut bool // whether the target ran it, and ended before its answer
}

// target is a stand-in for a plain service. It refuses requests that name another start, runs the others for work,
// and answers with their ids.
type target struct {
	id, service string
	slots       int
	work        time.Duration

	listener net.Listener
	server   *http.Server
	ended    chan struct{}
	endOnce  sync.Once
	log      *standin.Log // that it is listed in

	// deadly is called with a request whose body ends the target; nil for none.
	deadly func(t *target, id string)

	mu       sync.Mutex
	arrivals []*arrival
	running  int
	unlisted bool
}

func startTarget(log *standin.Log, id, service string, slots int, work time.Duration) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // binds at once
	if err != nil {
		return nil, err
	}

	t := &target{log: log, id: id, service: service, slots: slots, work: work, listener: l, ended: make(chan struct{})}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}

	go func() { _ = t.server.Serve(l) }()

	return t, nil
}

func (t *target) address() string { return t.listener.Addr().String() }

// register writes the target's entry until it is unlisted or has ended.
func (t *target) register() {
	for sequence := 1; ; sequence++ {
		if !t.writeEntry(sequence) {
			return
		}

		select {
		case <-t.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// writeEntry writes the target's entry, unless it is no longer listed.
func (t *target) writeEntry(sequence int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.unlisted {
		return false
	}

	t.log.PutJSON(registerTopic, t.id, entryRecord{
		Service: t.service, Address: t.address(), Zone: zone, Revision: "1", Slots: t.slots, State: "ready", Sequence: sequence,
	})

	return true
}

// unlist removes the target's entry and returns when the log had accepted that.
func (t *target) unlist() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.unlisted = true
	t.log.Put(registerTopic, t.id, nil)

	return time.Now()
}

// crash ends the target without removing its entry: it lapses after three heartbeats.
func (t *target) crash() {
	t.end()

	time.AfterFunc(3*heartbeat, func() { t.unlist() })
}

// end ends the target with all that it runs.
func (t *target) end() {
	t.endOnce.Do(func() {
		close(t.ended)

		_ = t.server.Close()
	})
}

// ServeHTTP runs or refuses one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", t.id)

	received, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	if r.URL.Path == healthPath {
		return
	}

	if r.Header.Get("X-Expect-Instance") != t.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if t.deadly != nil && string(received) == deadlyBody {
		t.deadly(t, id)

		panic(http.ErrAbortHandler)
	}

	a := t.begin(id)
	defer t.done()

	timer := time.NewTimer(t.work)
	defer timer.Stop()

	select {
	case <-t.ended:
		t.markCut(a)

		panic(http.ErrAbortHandler)
	case <-timer.C:
	}

	body := fmt.Sprintf("{\"answer\":%q}", id)

	w.Header().Set("X-Server-Seal", t.id+"."+id)
	w.Header().Set("X-Server-Load", t.load())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))

	_, _ = io.WriteString(w, body) //nolint:gosec // a test's own id
}

func (t *target) begin(id string) *arrival {
	t.mu.Lock()
	defer t.mu.Unlock()

	a := &arrival{id: id, at: time.Now(), ran: true}
	t.arrivals = append(t.arrivals, a)
	t.running++

	return a
}

func (t *target) done() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.running--
}

func (t *target) markCut(a *arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()

	a.cut = true
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()

	return fmt.Sprintf("%d,0,%d", t.running, t.slots)
}

// seen returns what reached the target.
func (t *target) seen() []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := make([]arrival, len(t.arrivals))
	for i, a := range t.arrivals {
		all[i] = *a
	}

	return all
}
