package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
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
	resp, err := c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(id), b)
	if err != nil {
		return err
	}

	defer drain(resp.Body)

	switch resp.StatusCode {
	case http.StatusCreated, http.StatusOK:
		return nil
	case http.StatusInsufficientStorage:
		return failure.New(failure.StoreFull, "store %s is full", c.Address)
	default:
		return unexpected(resp)
	}
}

// Get reads a copy as it is in the store; the caller opens it. A copy that is
// not there is failure.TornCopy like any other that can't be used.
func (c Client) Get(ctx context.Context, id string) ([]byte, error) {
	resp, err := c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, err
	}

	defer drain(resp.Body)

	if resp.StatusCode == http.StatusNotFound {
		return nil, torn("store %s has no copy %s", c.Address, id)
	}

	if resp.StatusCode != http.StatusOK {
		return nil, unexpected(resp)
	}

	most := c.MaxBytes
	if most <= 0 {
		most = DefaultMaxBytes
	}

	b, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err != nil {
		return nil, failure.Wrap(failure.TornCopy, err, "copy %s was cut on its way", id)
	}

	return b, nil
}

// Delete frees a copy.
func (c Client) Delete(ctx context.Context, id string) error {
	resp, err := c.do(ctx, http.MethodDelete, "/objects/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}

	defer drain(resp.Body)

	if resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotFound {
		return unexpected(resp)
	}

	return nil
}

// Space asks for the store's room.
func (c Client) Space(ctx context.Context) (Space, error) {
	var s Space

	resp, err := c.do(ctx, http.MethodGet, "/space", nil)
	if err != nil {
		return s, err
	}

	defer drain(resp.Body)

	if resp.StatusCode != http.StatusOK {
		return s, unexpected(resp)
	}

	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, failure.Wrap(failure.TargetLost, err, "store %s gave no space", c.Address)
	}

	return s, nil
}

func (c Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "store address %q", c.Address)
	}

	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}

	resp, err := client.Do(req)
	if err != nil {
		return nil, failure.Wrap(failure.TargetLost, err, "store %s does not answer", c.Address)
	}

	return resp, nil
}

// NewHTTP returns an HTTP client that gives a store up after timeout.
func NewHTTP(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout}
}

func unexpected(resp *http.Response) error {
	return failure.New(failure.TargetLost, "the store answered %s", resp.Status)
}

// drain reads what is left, so that the connection can be used again.
func drain(r io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r, 64<<10))
	_ = r.Close()
}
