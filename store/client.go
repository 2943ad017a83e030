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
)

// Client speaks to one store VM. See docs/PLATFORM.md.
type Client struct {
	// Address is the store's IP and port.
	Address string
	// HTTP does the calls; nil uses http.DefaultClient.
	HTTP *http.Client
	// MaxBytes is the largest copy that Get takes; zero is DefaultMaxBytes.
	MaxBytes int64
	// Progress counts the bytes of answers as they come; nil counts nothing.
	Progress *atomic.Int64
}

// DefaultMaxBytes is the largest copy taken where Client says nothing.
const DefaultMaxBytes = 1 << 30

// Space is a store's room.
type Space struct {
	// UsedBytes and TotalBytes are in bytes.
	UsedBytes  int64 `json:"used_bytes"`
	TotalBytes int64 `json:"total_bytes"`
}

// Put writes a copy; failure.StoreFull when there is no room.
func (c Client) Put(ctx context.Context, id string, b []byte) error {
	a, err := c.do(ctx, http.MethodPut, objectPath(id), b)
	if err != nil {
		return err
	}

	switch a.status {
	case http.StatusCreated, http.StatusOK:
		return nil
	case http.StatusInsufficientStorage:
		return failure.New(failure.StoreFull, "store %s is full", c.Address)
	default:
		return a.unexpected()
	}
}

// Get reads a copy as it is in the store; the caller opens it. A copy that is
// not there is failure.TornCopy like any other that can't be used.
func (c Client) Get(ctx context.Context, id string) ([]byte, error) {
	a, err := c.do(ctx, http.MethodGet, objectPath(id), nil)
	if err != nil {
		return nil, err
	}

	switch a.status {
	case http.StatusOK:
		return a.body, nil
	case http.StatusNotFound:
		return nil, torn("store %s has no copy %s", c.Address, id)
	default:
		return nil, a.unexpected()
	}
}

// Delete frees a copy; one that is gone already is no error.
func (c Client) Delete(ctx context.Context, id string) error {
	a, err := c.do(ctx, http.MethodDelete, objectPath(id), nil)
	if err != nil {
		return err
	}

	if a.status != http.StatusNoContent && a.status != http.StatusNotFound {
		return a.unexpected()
	}

	return nil
}

// Space asks for the store's room.
func (c Client) Space(ctx context.Context) (Space, error) {
	var s Space

	a, err := c.do(ctx, http.MethodGet, "/space", nil)
	if err != nil {
		return s, err
	}

	if a.status != http.StatusOK {
		return s, a.unexpected()
	}

	if err := json.Unmarshal(a.body, &s); err != nil {
		return s, failure.Wrap(failure.TargetLost, err, "store %s gave no space", c.Address)
	}

	return s, nil
}

// Object is one line of a store's list.
type Object struct {
	// ID is the copy's id.
	ID string `json:"id"`
	// Bytes is its size.
	Bytes int64 `json:"bytes"`
}

// List asks for all that the store holds.
func (c Client) List(ctx context.Context) ([]Object, error) {
	a, err := c.do(ctx, http.MethodGet, "/objects", nil)
	if err != nil {
		return nil, err
	}

	if a.status != http.StatusOK {
		return nil, a.unexpected()
	}

	var got struct {
		Objects []Object `json:"objects"`
	}

	if err := json.Unmarshal(a.body, &got); err != nil {
		return nil, failure.Wrap(failure.TargetLost, err, "store %s gave no list", c.Address)
	}

	return got.Objects, nil
}

// answer is a store's whole answer.
type answer struct {
	status int
	body   []byte
}

func (a answer) unexpected() error {
	return failure.New(failure.TargetLost, "the store answered %d", a.status)
}

func (c Client) do(ctx context.Context, method, path string, body []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, failure.Wrap(failure.Internal, err, "store address %q", c.Address)
	}

	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}

	resp, err := client.Do(req)
	if err != nil {
		return answer{}, failure.Wrap(failure.TargetLost, err, "store %s does not answer", c.Address)
	}

	defer func() { _ = resp.Body.Close() }()

	most := c.MaxBytes
	if most <= 0 {
		most = DefaultMaxBytes
	}

	got, err := io.ReadAll(counted{io.LimitReader(resp.Body, most), c.Progress})
	if ctx.Err() != nil {
		return answer{}, failure.Wrap(failure.Cancelled, err, "the transfer from store %s was given up", c.Address)
	}

	if err != nil {
		return answer{}, failure.Wrap(failure.TornCopy, err, "the answer of store %s was cut", c.Address)
	}

	return answer{status: resp.StatusCode, body: got}, nil
}

// counted counts what is read through it.
type counted struct {
	r io.Reader
	n *atomic.Int64
}

// Read implements io.Reader.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if c.n != nil {
		c.n.Add(int64(n))
	}

	return n, err
}

func objectPath(id string) string {
	return "/objects/" + url.PathEscape(id)
}

// NewHTTP returns an HTTP client that gives a store up after timeout.
func NewHTTP(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout}
}
