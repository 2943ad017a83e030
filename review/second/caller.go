package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a caller got for one request.
type answer struct {
	id     string
	sentAt time.Time
	status int // 0 for a connection that ended without an answer
	sealed bool
	took   time.Duration
	err    error // why there is no answer
}

// callers send requests to a machine at a rate, and collect the answers.
type callers struct {
	prefix, url, host string
	method            string // POST if empty
	interval          time.Duration
	timeout           time.Duration                  // how long a caller waits
	header            func(id string, h http.Header) // sets further headers; may be nil

	client http.Client
	stop   chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	sent    map[string]time.Time
	answers []answer
}

// bookingTimeout is how long a caller waits by default.
const bookingTimeout = 1500 * time.Millisecond

func newCallers(prefix, url, host string, interval time.Duration) *callers {
	return &callers{
		prefix: prefix, url: url, host: host, interval: interval, timeout: bookingTimeout, stop: make(chan struct{}), sent: make(map[string]time.Time),
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 1500 * time.Millisecond}},
	}
}

// run sends requests until end is called.
func (c *callers) run() {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()

	for n := 1; ; n++ {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}

		id := fmt.Sprintf("%s-%05d", c.prefix, n)

		c.wg.Go(func() { c.send(id) })
	}
}

// end stops sending, waits for the answers and returns them.
func (c *callers) end() []answer {
	close(c.stop)
	time.Sleep(2 * c.interval)
	c.wg.Wait()

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.answers
}

// send sends one request and keeps the answer.
func (c *callers) send(id string) {
	a := c.sendBody(id, "seat 1 for "+id)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.answers = append(c.answers, a)
}

// sendBody sends one request and returns the answer.
func (c *callers) sendBody(id, body string) answer {
	a := answer{id: id, sentAt: time.Now()}

	c.mu.Lock()
	c.sent[id] = a.sentAt
	c.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+500*time.Millisecond)
	defer cancel()

	r, err := c.request(ctx, body)
	if err != nil {
		a.err = err

		return a
	}

	r.Host = c.host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+callerKey)

	if c.header != nil {
		c.header(id, r.Header)
	}

	resp, err := c.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()

		if err == nil {
			a.status, a.sealed = resp.StatusCode, resp.Header.Get("X-Server-Seal") != ""
		}
	}

	a.took, a.err = time.Since(a.sentAt), err

	return a
}

func (c *callers) request(ctx context.Context, body string) (*http.Request, error) {
	if c.method == http.MethodGet {
		return http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	}

	return http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(body))
}

// sentAt returns when a request was sent; false if it is not one of these callers'.
func (c *callers) sentAt(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	at, ok := c.sent[id]

	return at, ok
}
