// Command measure sends a bounded load of streamed prompts to one address and
// prints what it saw: times to the first token, requests a second, and the
// processor time that given processes spent on each request.
//
//	measure --name entry --url http://127.0.0.1:9101 --key KEY --streams 64 --requests 2000 --pid entry=4711
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/integrii/flaggy"

	"boragehub/failure"
)

// load is one bounded load.
type load struct {
	name     string
	url      string
	key      string
	model    string
	streams  int
	requests int
	tokens   int
	bytes    int
	pids     []string

	http   *http.Client
	next   atomic.Int64
	failed atomic.Int64

	mu     sync.Mutex
	firsts *hdrhistogram.Histogram
}

// Bounds of the histogram, in microseconds.
const (
	shortest = 1
	longest  = 60_000_000
	digits   = 3
)

// callTimeout bounds one request.
const callTimeout = time.Minute

func main() {
	l := &load{model: "shuttle-8b", streams: 1, requests: 500, tokens: 8, bytes: 2048, firsts: hdrhistogram.New(shortest, longest, digits)}

	flaggy.SetName("measure")
	flaggy.SetDescription("Sends a bounded load and prints what it saw.")
	flaggy.String(&l.name, "n", "name", "name of the line")
	flaggy.String(&l.url, "u", "url", "where to send")
	flaggy.String(&l.key, "k", "key", "API key")
	flaggy.Int(&l.streams, "s", "streams", "requests at the same time")
	flaggy.Int(&l.requests, "r", "requests", "requests in all")
	flaggy.Int(&l.tokens, "t", "tokens", "tokens of an answer")
	flaggy.Int(&l.bytes, "b", "bytes", "bytes of a prompt")
	flaggy.StringSlice(&l.pids, "p", "pid", "NAME=PID of a process whose processor time is counted")
	flaggy.Parse()

	if err := l.run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func (l *load) run() error {
	l.http = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: l.streams}}

	before, err := l.cpu()
	if err != nil {
		return err
	}

	began := time.Now()

	var all sync.WaitGroup

	for range l.streams {
		all.Go(l.send)
	}

	all.Wait()

	took := time.Since(began)

	after, err := l.cpu()
	if err != nil {
		return err
	}

	fmt.Printf("%-14s streams %4d  first token p50 %7.3f ms  p95 %7.3f ms  p99 %7.3f ms  %8.1f requests/s  failed %d",
		l.name, l.streams, l.quantile(50), l.quantile(95), l.quantile(99), float64(l.requests)/took.Seconds(), l.failed.Load())

	for i, p := range l.pids {
		name, _, _ := strings.Cut(p, "=")
		fmt.Printf("  cpu %s %.3f ms/request", name, float64(after[i]-before[i])/float64(time.Millisecond)/float64(l.requests))
	}

	fmt.Println()

	if l.failed.Load() > 0 {
		return failure.New(failure.Internal, "%d requests failed", l.failed.Load())
	}

	return nil
}

func (l *load) quantile(q float64) float64 {
	return float64(l.firsts.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// ticksPerSecond is the unit of the times in /proc.
const ticksPerSecond = 100

// cpu returns the processor time of each process so far.
func (l *load) cpu() ([]time.Duration, error) {
	times := make([]time.Duration, len(l.pids))

	for i, p := range l.pids {
		_, pid, _ := strings.Cut(p, "=")

		b, err := os.ReadFile("/proc/" + pid + "/stat")
		if err != nil {
			return nil, err
		}

		// The fields after the program's name, which may hold spaces, begin
		// with the state; user and system time are the twelfth and thirteenth.
		fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		times[i] = time.Duration(user+system) * time.Second / ticksPerSecond
	}

	return times, nil
}

// send sends one request after the other until all are sent.
func (l *load) send() {
	for {
		n := l.next.Add(1)
		if n > int64(l.requests) {
			return
		}

		first, err := l.one(n)
		if err != nil {
			l.failed.Add(1)

			continue
		}

		l.mu.Lock()
		_ = l.firsts.RecordValue(first.Microseconds())
		l.mu.Unlock()
	}
}

// one sends a request and returns the time to its first token.
func (l *load) one(n int64) (time.Duration, error) {
	text := fmt.Sprintf("%s %d ", l.name, n)
	text += strings.Repeat("x", max(0, l.bytes-len(text)))

	b, err := json.Marshal(map[string]any{"model": l.model, "prompt": text, "max_tokens": l.tokens, "stream": true})
	if err != nil {
		return 0, err
	}

	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, l.url+"/v1/completions", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}

	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+l.key)

	began := time.Now()

	resp, err := l.http.Do(req)
	if err != nil {
		return 0, err
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return 0, failure.New(failure.Internal, "%s", resp.Status)
	}

	first, whole := time.Duration(0), false
	lines := bufio.NewScanner(resp.Body)

	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "data: ") {
			first = time.Since(began)
		}

		whole = whole || lines.Text() == "data: [DONE]"
	}

	if !whole {
		return 0, failure.New(failure.Internal, "the answer is not whole")
	}

	return first, nil
}
