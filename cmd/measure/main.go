// Command measure sends a fixed number of streamed prompts to one address and prints the
// quantiles of the time to the first token, the requests per second, and the CPU time that
// given processes spent per request.
//
//	measure --name entry --url http://127.0.0.1:9101 --key KEY \
//	        --streams 64 --requests 2000 --pid entry=4711
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
	"boragehub/upstream"
)

// loadRun is one run: its parameters, and what was measured so far.
type loadRun struct {
	name     string
	url      string
	key      string
	model    string
	streams  int
	requests int
	tokens   int
	bytes    int
	pids     []string

	http    *http.Client
	started atomic.Int64
	failed  atomic.Int64

	mu          sync.Mutex
	firstTokens *hdrhistogram.Histogram
}

// Range and precision of the histogram of times to the first token.
const (
	minMicroseconds   = 1
	maxMicroseconds   = 60_000_000
	significantDigits = 3
)

// callTimeout bounds one request with its streamed response.
const callTimeout = time.Minute

func main() {
	l := &loadRun{model: "shuttle-8b", streams: 1, requests: 500, tokens: 8, bytes: 2048, firstTokens: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}

	flaggy.SetName("measure")
	flaggy.SetDescription("Sends a fixed number of prompts and prints latency, throughput and CPU time.")
	flaggy.String(&l.name, "n", "name", "name of the printed line")
	flaggy.String(&l.url, "u", "url", "URL to send prompts to, without the path")
	flaggy.String(&l.key, "k", "key", "API key")
	flaggy.Int(&l.streams, "s", "streams", "concurrent requests")
	flaggy.Int(&l.requests, "r", "requests", "total requests")
	flaggy.Int(&l.tokens, "t", "tokens", "maximum tokens of a response")
	flaggy.Int(&l.bytes, "b", "bytes", "bytes of a prompt")
	flaggy.StringSlice(&l.pids, "p", "pid", "NAME=PID of a process whose CPU time is measured; may be repeated")
	flaggy.Parse()

	if err := l.run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func (l *loadRun) run() error {
	l.http = &http.Client{Timeout: callTimeout, Transport: upstream.NewTransport(upstream.TransportConfig{MaxIdlePerAddress: l.streams})}

	before, err := l.cpuTimes()
	if err != nil {
		return err
	}

	began := time.Now()

	var all sync.WaitGroup

	for range l.streams {
		all.Go(l.sendRequests)
	}

	all.Wait()

	elapsed := time.Since(began)

	after, err := l.cpuTimes()
	if err != nil {
		return err
	}

	fmt.Printf("%-14s streams %4d  first token p50 %7.3f ms  p95 %7.3f ms  p99 %7.3f ms  %8.1f requests/s  failed %d",
		l.name, l.streams, l.quantile(50), l.quantile(95), l.quantile(99), float64(l.requests)/elapsed.Seconds(), l.failed.Load())

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

func (l *loadRun) quantile(q float64) float64 {
	return float64(l.firstTokens.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// ticksPerSecond is the number of clock ticks per second, the unit of CPU times in /proc.
const ticksPerSecond = 100

// cpuTimes returns the CPU time that each process has used so far.
func (l *loadRun) cpuTimes() ([]time.Duration, error) {
	times := make([]time.Duration, len(l.pids))

	for i, p := range l.pids {
		_, pid, _ := strings.Cut(p, "=")

		b, err := os.ReadFile("/proc/" + pid + "/stat")
		if err != nil {
			return nil, err
		}

		// The program's name, in parentheses, may contain spaces. Of the fields
		// after it, user and system time are the twelfth and thirteenth.
		fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		times[i] = time.Duration(user+system) * time.Second / ticksPerSecond
	}

	return times, nil
}

// sendRequests sends one request after the other until the total is reached.
func (l *loadRun) sendRequests() {
	for {
		n := l.started.Add(1)
		if n > int64(l.requests) {
			return
		}

		first, err := l.sendOne(n)
		if err != nil {
			l.failed.Add(1)

			continue
		}

		l.mu.Lock()
		_ = l.firstTokens.RecordValue(first.Microseconds())
		l.mu.Unlock()
	}
}

// sendOne sends request n and returns the time to its first token. A response without the
// end-of-stream marker is an error.
func (l *loadRun) sendOne(n int64) (time.Duration, error) {
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

	first, complete := time.Duration(0), false
	lines := bufio.NewScanner(resp.Body)

	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "data: ") {
			first = time.Since(began)
		}

		complete = complete || lines.Text() == "data: [DONE]"
	}

	if !complete {
		return 0, failure.New(failure.Internal, "incomplete response: the stream ended without [DONE]")
	}

	return first, nil
}
