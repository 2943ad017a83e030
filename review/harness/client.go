//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is what a client sends.
type call struct {
	method, path, key, body string
	model, parts            string // for a prompt
	tokens, output          int
	deadline                time.Duration
	gap                     time.Duration // after which the client leaves a stream that shows no event; zero for a plain call
	events                  int           // of a complete stream
}

// answer is what a client got.
type answer struct {
	id, entry string
	sentAt    time.Time
	status    int // zero without an answer
	own       bool
	complete  bool
	err       string
}

const host = "pule25.example"

// caller makes calls from one zone on connections that it keeps.
type caller struct {
	f    *fleet
	zone int

	mu      sync.Mutex
	clients map[string]*http.Client // by entry
}

var requestCount atomic.Int64

func newCaller(f *fleet, zone int) *caller {
	return &caller{f: f, zone: zone, clients: make(map[string]*http.Client)}
}

// client returns the client with the kept connections to an entry.
func (c *caller) client(e *entry) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.clients[e.name] == nil {
		c.clients[e.name] = &http.Client{Transport: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 1500 * time.Millisecond,
		}}
	}

	return c.clients[e.name]
}

// do makes one attempt at the entry of the zone.
func (c *caller) do(x call) answer {
	e := c.f.entryFor(c.zone)
	a := answer{id: fmt.Sprintf("%016x", uint64(requestCount.Add(1))*0x9e3779b97f4a7c15), entry: e.name, sentAt: time.Now()}

	ctx, cancel := context.WithTimeout(context.Background(), x.deadline)
	defer cancel()

	var left *time.Timer // leaves a stream that shows no event
	if x.gap > 0 {
		left = time.AfterFunc(x.gap, cancel)
		defer left.Stop()
	}

	req, err := http.NewRequestWithContext(ctx, x.method, fmt.Sprintf("http://%s:%d%s", e.ip, frontPort, x.path), strings.NewReader(x.body))
	if err != nil {
		a.err = err.Error()

		return a
	}

	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(x.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+x.key)

	if x.model != "" {
		req.Header.Set("X-Model", x.model)
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", x.tokens, x.output))
		req.Header.Set("X-Prompt-Prefix", x.parts)
	}

	c.f.rec.line("client of zone %d sends %s %s %s to %s", c.zone, a.id, x.method, x.path, e.name)

	resp, err := c.client(e).Do(req)
	if err != nil {
		a.err = err.Error()

		return a
	}
	defer func() { _ = resp.Body.Close() }()

	a.status, a.own = resp.StatusCode, resp.Header.Get("X-Server-Seal") == ""
	n, err := countEvents(resp, left, x.gap)

	if err != nil {
		a.err = err.Error()
	}

	a.complete = err == nil && (x.gap == 0 || n == x.events)

	return a
}

// countEvents reads a body and returns the number of its events.
func countEvents(resp *http.Response, left *time.Timer, gap time.Duration) (int, error) {
	n := 0
	s := bufio.NewScanner(resp.Body)

	for s.Scan() {
		if strings.HasPrefix(s.Text(), "id: ") {
			n++

			if left != nil {
				left.Reset(gap)
			}
		}
	}

	return n, s.Err()
}

// traffic makes calls at a rate, each independent of the others, until stop is closed.
func (c *caller) traffic(perSecond float64, next func() call, stop <-chan struct{}, wg *sync.WaitGroup, done func(call, answer)) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()

	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}

		x := next()

		wg.Go(func() {
			a := c.do(x)
			c.f.rec.line("client of zone %d gets %s: status %d own %v complete %v %s", c.zone, a.id, a.status, a.own, a.complete, a.err)
			done(x, a)
		})
	}
}
