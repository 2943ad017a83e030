package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"boragehub/failure"
	"boragehub/upstream"
	"boragehub/wholebody"
)

const (
	// DefaultTimeout bounds a call, in addition to the wait that a read asks for.
	DefaultTimeout = 2 * time.Second
	// DefaultMaxTimeout bounds the timeout as it grows after calls that timed out.
	DefaultMaxTimeout = 30 * time.Second
	// maxResponseBytes bounds a response body.
	maxResponseBytes = 64 << 20
	// maxIdleConnections is how many idle connections to the service are kept.
	maxIdleConnections = 16
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the base URL of the service, such as "http://127.0.0.1:7000".
	URL string
	// HTTP is the HTTP client; nil creates one with its own connection pool.
	HTTP *http.Client
	// Timeout bounds a call, in addition to the wait that a read asks for; zero
	// means DefaultTimeout.
	Timeout time.Duration
	// MaxTimeout bounds the timeout as it grows after calls that timed out; zero
	// means DefaultMaxTimeout.
	MaxTimeout time.Duration
}

// Client accesses the log service over HTTP. It implements Log and is safe for
// concurrent use.
//
// A connection can become unresponsive for good while new ones work. Each call
// therefore has a deadline; when it fails, its connection and all idle ones are
// closed. A slow service looks the same at first, so the timeout doubles with
// each call that times out, up to MaxTimeout, and returns to Timeout with the
// next response: calls to a service that needs ten seconds still succeed.
type Client struct {
	cfg      ClientConfig
	timeouts atomic.Int32
	era      atomic.Int64 // of the first response that bore one; zero before
	eraRose  atomic.Bool
}

// NewClient returns a Client for cfg.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: upstream.NewTransport(upstream.TransportConfig{
			MaxIdlePerAddress: maxIdleConnections, Dialer: net.Dialer{Timeout: DefaultTimeout},
		})}
	}

	cfg.Timeout = positiveOr(cfg.Timeout, DefaultTimeout)
	cfg.MaxTimeout = positiveOr(cfg.MaxTimeout, DefaultMaxTimeout)

	return &Client{cfg: cfg}
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	Offset uint64 `json:"offset"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	AtMS   int64  `json:"at_ms"`
	Data   []byte `json:"data"`
}

type readResponse struct {
	First   uint64       `json:"first_offset"`
	Next    uint64       `json:"next_offset"`
	Records []readRecord `json:"records"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	body, err := json.Marshal(appendRequest{Records: records})
	if err != nil {
		return 0, failure.Wrap(failure.Internal, err, "encode records")
	}

	status, b, err := c.call(ctx, http.MethodPost, c.path(stream, nil), body, 0)
	if err != nil {
		return 0, appendError(err)
	}

	if status/100 != http.StatusOK/100 {
		return 0, statusError(status)
	}

	var response appendResponse
	if err := json.Unmarshal(b, &response); err != nil || response.Offset == 0 {
		return 0, failure.Wrap(failure.OutcomeUnknown, err, "the log's response to an append is incomplete")
	}

	return response.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Batch, error) {
	q := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(maxRecords)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}

	status, b, err := c.call(ctx, http.MethodGet, c.path(stream, q), nil, wait)
	if err != nil {
		return Batch{}, failure.Wrap(failure.LogUnavailable, err, "the log could not be read")
	}

	var response readResponse
	if status == http.StatusOK || status == http.StatusGone {
		err = json.Unmarshal(b, &response)
	}

	switch {
	case err == nil && status == http.StatusOK && response.Next < from:
		return Batch{}, failure.New(failure.LogUnavailable, "stream %s ends at %d and was read up to %d: the log has lost records", stream, response.Next, from)
	case err != nil:
		return Batch{}, failure.Wrap(failure.LogUnavailable, err, "the log's response to a read is incomplete")
	case status == http.StatusGone:
		return Batch{}, &TrimmedError{First: response.First}
	case status != http.StatusOK:
		return Batch{}, statusError(status)
	}

	return response.batch(), nil
}

func (r readResponse) batch() Batch {
	records := make([]Record, len(r.Records))
	for i, rec := range r.Records {
		records[i] = Record{Offset: rec.Offset, At: time.UnixMilli(rec.AtMS), Data: rec.Data}
	}

	return Batch{First: r.First, Next: r.Next, Records: records}
}

func (c *Client) path(stream string, q url.Values) string {
	p := c.cfg.URL + "/streams/" + url.PathEscape(stream) + "/records"
	if len(q) > 0 {
		p += "?" + q.Encode()
	}

	return p
}

// call makes one HTTP call, which may take wait in addition to the timeout, and
// returns the status and the body.
func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout())
	defer cancel()

	status, b, err := c.send(ctx, method, path, body)
	if err == nil {
		c.timeouts.Store(0)

		return status, b, c.checkEra()
	}

	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.timeouts.Add(1)
	}

	c.cfg.HTTP.CloseIdleConnections()

	return 0, nil, err
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}

	request.Header.Set("Content-Type", "application/json")

	// On a broken connection the transport itself retries a request without a
	// body, but not a POST with one, so that no append is retried unnoticed.
	response, err := c.cfg.HTTP.Do(request)
	if err != nil {
		return 0, nil, err
	}

	defer func() { _ = response.Body.Close() }()

	c.observeEra(response.Header)

	b, err := wholebody.ReadAll(response.Body, maxResponseBytes)

	return response.StatusCode, b, err
}

// eraHeader is the header of the log's responses that bears its era, which rises when the log returns from
// an older copy.
const eraHeader = "Log-Era"

var errEraRose = errors.New("the log has returned from a copy and lost acknowledged records")

// observeEra records the log's era, if a response bears it.
func (c *Client) observeEra(h http.Header) {
	era, err := strconv.ParseInt(h.Get(eraHeader), 10, 64)
	if err != nil || era <= 0 || c.era.CompareAndSwap(0, era) || c.era.Load() == era {
		return
	}

	c.eraRose.Store(true)
}

// checkEra returns an error once the log has returned from a copy since the Client's first call. What was
// read before may be lost, and its offsets name other records: no read is up to date from then on, and the
// outcome of an append is unknown, until the process is started again.
func (c *Client) checkEra() error {
	if c.eraRose.Load() {
		return errEraRose
	}

	return nil
}

// timeout returns the timeout of the next call: it doubles with each call that
// timed out since the last response.
func (c *Client) timeout() time.Duration {
	d := c.cfg.Timeout
	for range c.timeouts.Load() {
		if d *= 2; d >= c.cfg.MaxTimeout {
			return c.cfg.MaxTimeout
		}
	}

	return d
}

// appendError classifies an append without a response. Only when no connection
// was established is it certain that the append won't take effect.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.Wrap(failure.LogUnavailable, err, "the connection to the log service failed")
	}

	return failure.Wrap(failure.OutcomeUnknown, err, "no response from the log to an append")
}

// statusError returns the error for a status that reports a failure. The
// service did not carry out a call with one of the listed statuses; for any
// other status the outcome is unknown.
func statusError(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return failure.New(failure.RateLimited, "the log service limits the rate of appends").WithRetryAfter(time.Second)
	case http.StatusRequestEntityTooLarge:
		return failure.New(failure.TooLarge, "the append is too large for the log service")
	case http.StatusServiceUnavailable:
		return failure.New(failure.LogUnavailable, "the log service is unavailable").WithRetryAfter(time.Second)
	default:
		return failure.New(failure.OutcomeUnknown, "unexpected status %d from the log service", status)
	}
}

func positiveOr[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}

	return fallback
}
