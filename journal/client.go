package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"boragehub/failure"
)

const (
	// DefaultTimeout is how long a call may take beyond what it asked to wait.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxTimeout bounds the time that a call gets after others timed out.
	DefaultMaxTimeout = 30 * time.Second
	// maxAnswerBytes bounds the answer to a read.
	maxAnswerBytes = 64 << 20
	// idleConnections is how many connections to the service are kept.
	idleConnections = 16
)

// ClientConfig says how to reach the log service.
type ClientConfig struct {
	// URL is the base of the service, as in "http://127.0.0.1:7000".
	URL string
	// HTTP makes the calls; nil makes a client with a pool of its own.
	HTTP *http.Client
	// Timeout bounds a call beyond what it asked to wait; zero is DefaultTimeout.
	Timeout time.Duration
	// MaxTimeout bounds Timeout's growth; zero is DefaultMaxTimeout.
	MaxTimeout time.Duration
}

// Client is the log service over HTTP. It implements Log.
//
// A connection can fall silent for good while new ones work. Each call thus has
// a deadline, after which its connection and all idle ones are given up. A slow
// service looks the same at first, so the time allowed doubles with each
// timeout up to MaxTimeout and starts over with an answer: a service that needs
// ten seconds still gets its answers through.
type Client struct {
	cfg    ClientConfig
	misses atomic.Int32
}

// NewClient returns a Client for cfg.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			DialContext:         (&net.Dialer{Timeout: DefaultTimeout}).DialContext,
		}}
	}

	cfg.Timeout = positive(cfg.Timeout, DefaultTimeout)
	cfg.MaxTimeout = positive(cfg.MaxTimeout, DefaultMaxTimeout)

	return &Client{cfg: cfg}
}

type appendBody struct {
	Records [][]byte `json:"records"`
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	AtMS   int64  `json:"at_ms"`
	Data   []byte `json:"data"`
}

type readAnswer struct {
	First   uint64       `json:"first_offset"`
	Next    uint64       `json:"next_offset"`
	Records []readRecord `json:"records"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	body, err := json.Marshal(appendBody{Records: records})
	if err != nil {
		return 0, failure.Wrap(failure.Internal, err, "encode records")
	}

	status, b, err := c.call(ctx, http.MethodPost, c.path(stream, nil), body, 0)
	if err != nil {
		return 0, appendFailed(err)
	}

	if status/100 != http.StatusOK/100 {
		return 0, refusal(status)
	}

	var a appendAnswer
	if err := json.Unmarshal(b, &a); err != nil || a.Offset == 0 {
		return 0, failure.Wrap(failure.OutcomeUnknown, err, "the log's answer to an append is cut")
	}

	return a.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (Batch, error) {
	q := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(most)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}

	status, b, err := c.call(ctx, http.MethodGet, c.path(stream, q), nil, wait)
	if err != nil {
		return Batch{}, failure.Wrap(failure.LogUnavailable, err, "the log can't be read")
	}

	var a readAnswer
	if status == http.StatusOK || status == http.StatusGone {
		err = json.Unmarshal(b, &a)
	}

	switch {
	case err != nil:
		return Batch{}, failure.Wrap(failure.LogUnavailable, err, "the log's answer to a read is cut")
	case status == http.StatusGone:
		return Batch{}, &TrimmedError{First: a.First}
	case status != http.StatusOK:
		return Batch{}, refusal(status)
	}

	return a.batch(), nil
}

func (a readAnswer) batch() Batch {
	records := make([]Record, len(a.Records))
	for i, r := range a.Records {
		records[i] = Record{Offset: r.Offset, At: time.UnixMilli(r.AtMS), Data: r.Data}
	}

	return Batch{First: a.First, Next: a.Next, Records: records}
}

func (c *Client) path(stream string, q url.Values) string {
	p := c.cfg.URL + "/streams/" + url.PathEscape(stream) + "/records"
	if len(q) > 0 {
		p += "?" + q.Encode()
	}

	return p
}

// call makes one call within its deadline and returns the status and body.
func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout())
	defer cancel()

	status, b, err := c.send(ctx, method, path, body)
	if err == nil {
		c.misses.Store(0)

		return status, b, nil
	}

	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.misses.Add(1)
	}

	c.cfg.HTTP.CloseIdleConnections()

	return 0, nil, err
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}

	r.Header.Set("Content-Type", "application/json")

	// The transport would send a request without a body again by itself on a
	// broken connection, but not a POST with one: no append is repeated unseen.
	answer, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return 0, nil, err
	}

	defer func() { _ = answer.Body.Close() }()

	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))

	return answer.StatusCode, b, err
}

// timeout returns what a call may take after the timeouts before it.
func (c *Client) timeout() time.Duration {
	d := c.cfg.Timeout
	for range c.misses.Load() {
		if d *= 2; d >= c.cfg.MaxTimeout {
			return c.cfg.MaxTimeout
		}
	}

	return d
}

// appendFailed tells whether an append that got no answer may take effect. Only
// a connection that never came about says that it can't.
func appendFailed(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.Wrap(failure.LogUnavailable, err, "the log can't be reached")
	}

	return failure.Wrap(failure.OutcomeUnknown, err, "the log's answer to an append is lost")
}

// refusal turns a status by which the service declines into an error. These
// were not carried out, but for an unlisted one, of which nothing is known.
func refusal(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return failure.New(failure.RateLimited, "the log takes no more appends now").After(time.Second)
	case http.StatusRequestEntityTooLarge:
		return failure.New(failure.TooLarge, "the log takes no append of this size")
	case http.StatusServiceUnavailable:
		return failure.New(failure.LogUnavailable, "the log is down").After(time.Second)
	default:
		return failure.New(failure.OutcomeUnknown, "the log answered with status %d", status)
	}
}

func positive[T int | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}

	return otherwise
}
