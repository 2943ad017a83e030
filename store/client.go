package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"boragehub/failure"
	"boragehub/upstream"
	"boragehub/wholebody"
)

// Client calls the HTTP interface of one store VM, which docs/PLATFORM.md describes.
type Client struct {
	// Address is the store's IP address and port.
	Address string
	// HTTP makes the calls. It is required.
	HTTP *http.Client
	// MaxBytes is the maximum size of a copy that Get returns, in bytes; a longer one is an error. Zero means
	// DefaultMaxBytes.
	MaxBytes int64
	// Progress counts the bytes of response bodies as they arrive; nil disables it.
	Progress *atomic.Int64
}

const (
	// DefaultMaxBytes is the default of Client.MaxBytes: 1 GiB.
	DefaultMaxBytes = 1 << 30
	// maxListBytes bounds the list of a store's objects, and maxReplyBytes every other response that is no copy.
	maxListBytes  = 64 << 20
	maxReplyBytes = 1 << 20
)

// Space is a store's capacity and its use.
type Space struct {
	// UsedBytes is the space in use, TotalBytes the capacity, both in bytes.
	UsedBytes  int64 `json:"used_bytes"`
	TotalBytes int64 `json:"total_bytes"`
}

// Put writes a copy under id. The error is failure.StoreFull if the store has no free space for it.
func (c Client) Put(ctx context.Context, id string, b []byte) error {
	resp, err := c.do(ctx, http.MethodPut, objectPath(id), b, maxReplyBytes)
	if err != nil {
		return err
	}

	switch resp.status {
	case http.StatusCreated, http.StatusOK:
		return nil
	case http.StatusInsufficientStorage:
		return failure.New(failure.StoreFull, "store %s is full", c.Address)
	default:
		return resp.unexpectedStatus()
	}
}

// Get reads the bytes of a copy; the caller checks them with Open. A missing
// copy is failure.TornCopy, like any other copy that can't be used.
func (c Client) Get(ctx context.Context, id string) ([]byte, error) {
	limit := c.MaxBytes
	if limit <= 0 {
		limit = DefaultMaxBytes
	}

	resp, err := c.do(ctx, http.MethodGet, objectPath(id), nil, limit)
	if err != nil {
		return nil, err
	}

	switch resp.status {
	case http.StatusOK:
		return resp.body, nil
	case http.StatusNotFound:
		return nil, tornCopy("store %s has no copy %s", c.Address, id)
	default:
		return nil, resp.unexpectedStatus()
	}
}

// Delete removes a copy. A missing copy is not an error.
func (c Client) Delete(ctx context.Context, id string) error {
	resp, err := c.do(ctx, http.MethodDelete, objectPath(id), nil, maxReplyBytes)
	if err != nil {
		return err
	}

	if resp.status != http.StatusNoContent && resp.status != http.StatusNotFound {
		return resp.unexpectedStatus()
	}

	return nil
}

// Space returns the store's capacity and its use.
func (c Client) Space(ctx context.Context) (Space, error) {
	var s Space

	resp, err := c.do(ctx, http.MethodGet, "/space", nil, maxReplyBytes)
	if err != nil {
		return s, err
	}

	if resp.status != http.StatusOK {
		return s, resp.unexpectedStatus()
	}

	if err := json.Unmarshal(resp.body, &s); err != nil {
		return s, failure.Wrap(failure.TargetLost, err, "could not decode the space of store %s", c.Address)
	}

	return s, nil
}

// Object is one entry of a store's list.
type Object struct {
	// ID is the object's id; for a copy, that of a CopyID.
	ID string `json:"id"`
	// Bytes is the object's size in bytes.
	Bytes int64 `json:"bytes"`
}

// List returns all objects in the store.
func (c Client) List(ctx context.Context) ([]Object, error) {
	resp, err := c.do(ctx, http.MethodGet, "/objects", nil, maxListBytes)
	if err != nil {
		return nil, err
	}

	if resp.status != http.StatusOK {
		return nil, resp.unexpectedStatus()
	}

	var list struct {
		Objects []Object `json:"objects"`
	}

	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, failure.Wrap(failure.TargetLost, err, "could not decode the object list of store %s", c.Address)
	}

	return list.Objects, nil
}

// response is a complete response of a store.
type response struct {
	status int
	body   []byte
}

func (r response) unexpectedStatus() error {
	return failure.New(failure.TargetLost, "the store responded with status %d", r.status)
}

// do makes a call and returns its response, whose body has limit bytes at most if the call succeeded, and
// maxReplyBytes otherwise.
func (c Client) do(ctx context.Context, method, path string, data []byte, limit int64) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(data))
	if err != nil {
		return response{}, failure.Wrap(failure.Internal, err, "invalid store address %q", c.Address)
	}

	resp, err := c.HTTP.Do(req)
	if err != nil {
		return response{}, failure.Wrap(failure.TargetLost, err, "no response from store %s", c.Address)
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode >= http.StatusMultipleChoices {
		limit = min(limit, maxReplyBytes)
	}

	body, err := wholebody.ReadAll(countingReader{resp.Body, c.Progress}, limit)
	if ctx.Err() != nil {
		return response{}, failure.Wrap(failure.Cancelled, err, "the transfer from store %s was cancelled", c.Address)
	}

	if err != nil {
		return response{}, failure.Wrap(failure.TornCopy, err, "the response of store %s was cut off", c.Address)
	}

	return response{status: resp.StatusCode, body: body}, nil
}

// countingReader adds the number of bytes read from r to n, unless n is nil.
type countingReader struct {
	r io.Reader
	n *atomic.Int64
}

// Read implements io.Reader.
func (c countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if c.n != nil {
		c.n.Add(int64(n))
	}

	return n, err
}

func objectPath(id string) string {
	return "/objects/" + url.PathEscape(id)
}

// NewHTTP returns an HTTP client whose calls fail after timeout, transfer of the body included.
func NewHTTP(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: upstream.NewTransport(upstream.TransportConfig{})}
}
