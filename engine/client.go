// Package engine is a client of the published protocol of a model engine.
//
// # Model
//
// A Client is used by the engine's side process, or by an entry for an engine without
// one. Complete streams a completion; Info, Load, Events and Blocks report the engine's
// state, load and cache; Export and Import transfer cache blocks in the engine's own
// opaque format; Order makes it load weights or change its role. See docs/PLATFORM.md.
//
//	c := engine.Client{Address: "127.0.0.1:8000", HTTP: once.NewClient()}
//	err := c.Complete(ctx, engine.Completion{Prompt: text}, func(p engine.Piece) error { … })
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"boragehub/failure"
	"boragehub/prompt"
	"boragehub/wholebody"
)

const (
	// maxExportBytes bounds an export; a store takes no larger object (store.DefaultMaxBytes).
	maxExportBytes = 1 << 30
	// maxReplyBytes bounds every other response that isn't a stream. The longest is the list of the blocks
	// in the KV cache.
	maxReplyBytes = 64 << 20
)

// Client sends requests to one engine.
type Client struct {
	// Address is the engine's IP address and port.
	Address string
	// HTTP sends the requests. It is required, and must not have an overall timeout, since completions stream
	// for long.
	HTTP *http.Client
}

// Info describes an engine.
type Info struct {
	// Model, WeightVersion, Adapters and Role describe what the engine serves.
	Model         string   `json:"model"`
	WeightVersion string   `json:"weight_version"`
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role"`
	// BlockTokens is the number of tokens in a block.
	BlockTokens int `json:"block_tokens"`
	// BytesPerToken is the size in bytes of a token's KV cache in an export.
	BytesPerToken int `json:"bytes_per_token"`
	// PrefillRate and DecodeRate are in tokens per second.
	PrefillRate float64 `json:"prefill_tokens_per_second"`
	DecodeRate  float64 `json:"decode_tokens_per_second"`
	// MaxRunning is the maximum number of requests that run concurrently.
	MaxRunning int `json:"max_running"`
	// CacheBlocks is the capacity of the KV cache in blocks.
	CacheBlocks int `json:"cache_blocks"`
	// HonoursFence reports whether the engine refuses orders with a stale fencing number.
	HonoursFence bool `json:"honours_fence"`
	// State is "ready" or "loading".
	State string `json:"state"`
	// BootID is different after each start.
	BootID string `json:"boot_id"`
}

// Ready reports whether the engine takes requests.
func (i Info) Ready() bool { return i.State == "ready" }

// Load is an engine's load report. It may be stale when it arrives; see AtMS.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of prefill tokens of the waiting requests.
	WaitingTokens int `json:"waiting_prefill_tokens"`
	// UsedBlocks and TotalBlocks are the usage and capacity of the KV cache in blocks.
	UsedBlocks  int `json:"used_blocks"`
	TotalBlocks int `json:"total_blocks"`
	// AtMS is the time that the report describes, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// Event is one change of an engine's KV cache.
type Event struct {
	// Seq is the sequence number; a skipped number means that events were lost.
	Seq uint64 `json:"seq"`
	// Type is "stored", "removed" or "cleared".
	Type string `json:"type"`
	// Hashes identify the blocks.
	Hashes []prompt.Hash `json:"hashes"`
	// WeightVersion is the version with which the blocks were computed.
	WeightVersion string `json:"weight_version"`
}

// Events is the response to one poll for cache events.
type Events struct {
	// BootID is the engine's boot ID.
	BootID string `json:"boot_id"`
	// FirstSeq is the oldest retained sequence number, NextSeq the next to be assigned.
	FirstSeq uint64 `json:"first_seq"`
	NextSeq  uint64 `json:"next_seq"`
	// Events are the events after the requested sequence number.
	Events []Event `json:"events"`
}

// Blocks is the complete content of an engine's KV cache.
type Blocks struct {
	// BootID is the engine's boot ID.
	BootID string `json:"boot_id"`
	// Seq is the sequence number of the last event that the list includes.
	Seq uint64 `json:"seq"`
	// WeightVersion is the loaded version.
	WeightVersion string `json:"weight_version"`
	// Hashes identify the blocks.
	Hashes []prompt.Hash `json:"hashes"`
}

// Order instructs an engine to load weights or an adapter, or to change its role.
type Order struct {
	// Fence is the fencing number of the sender.
	Fence uint64 `json:"fence"`
	// Kind is "load_weights", "load_adapter" or "set_role".
	Kind string `json:"kind"`
	// WeightVersion, Adapter and Role are the values to change to; Kind says which applies.
	WeightVersion string `json:"weight_version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Role          string `json:"role,omitempty"`
}

// Info returns the engine's description.
func (c Client) Info(ctx context.Context) (Info, error) {
	return getJSON[Info](ctx, c, "/info")
}

// Load returns the engine's load report.
func (c Client) Load(ctx context.Context) (Load, error) {
	return getJSON[Load](ctx, c, "/load")
}

// Events returns the cache events after the sequence number after, for which the engine
// waits up to wait if there are none yet.
func (c Client) Events(ctx context.Context, after uint64, wait time.Duration) (Events, error) {
	q := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)

	return getJSON[Events](ctx, c, "/events"+q)
}

// Blocks returns the complete content of the KV cache.
func (c Client) Blocks(ctx context.Context) (Blocks, error) {
	return getJSON[Blocks](ctx, c, "/cache/blocks")
}

// Export returns the longest prefix of chain in the engine's KV cache, as bytes in the
// engine's own format, with its number of blocks, at least 1, and the weight version
// that the engine reports for it.
func (c Client) Export(ctx context.Context, chain prompt.Chain) (body []byte, blocks int, version string, err error) {
	b, err := json.Marshal(struct {
		Hashes prompt.Chain `json:"hashes"`
	}{chain})
	if err != nil {
		return nil, 0, "", failure.Wrap(failure.Internal, err, "an export could not be encoded")
	}

	resp, err := c.call(ctx, http.MethodPost, "/cache/export", "application/json", b, maxExportBytes)
	if err != nil {
		return nil, 0, "", err
	}

	if resp.status != http.StatusOK {
		return nil, 0, "", resp.statusError()
	}

	// The format is the engine's own, so that the blocks don't tell whether they are whole.
	if !resp.framed {
		return nil, 0, "", failure.New(failure.TargetLost, "the engine's export has neither a length nor chunks")
	}

	blocks, err = strconv.Atoi(resp.header.Get("X-Block-Count"))
	if err != nil || blocks < 1 || blocks > len(chain) {
		return nil, 0, "", failure.New(failure.TargetLost, "the engine exported %q blocks of %d", resp.header.Get("X-Block-Count"), len(chain))
	}

	return resp.body, blocks, resp.header.Get("X-Weight-Version"), nil
}

// Import passes exported blocks to the engine and returns how many it imported. The
// error is failure.WrongVersion if they were computed with other weights than those
// loaded.
func (c Client) Import(ctx context.Context, body []byte) (blocks int, err error) {
	resp, err := c.call(ctx, http.MethodPost, "/cache/import", "application/octet-stream", body, maxReplyBytes)
	if err != nil {
		return 0, err
	}

	if resp.status != http.StatusOK {
		return 0, resp.statusError()
	}

	var result struct {
		ImportedBlocks int `json:"imported_blocks"`
	}

	if err := json.Unmarshal(resp.body, &result); err != nil {
		return 0, failure.Wrap(failure.TargetLost, err, "the engine's response to an import could not be decoded")
	}

	return result.ImportedBlocks, nil
}

// Order sends an order. The error is failure.StaleFence if the engine has received one
// with a newer fencing number.
func (c Client) Order(ctx context.Context, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "an order could not be encoded")
	}

	resp, err := c.call(ctx, http.MethodPost, "/orders", "application/json", b, maxReplyBytes)
	if err != nil {
		return err
	}

	switch resp.status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return failure.New(failure.StaleFence, "the engine has a newer fencing number than %d", o.Fence)
	default:
		return resp.statusError()
	}
}

// response is an engine's complete response.
type response struct {
	status int
	header http.Header
	body   []byte
	// framed is true if the header or the last chunk told where the body ends, rather than the end of the
	// connection.
	framed bool
}

func (r response) statusError() error {
	if r.status == http.StatusConflict {
		return failure.New(failure.WrongVersion, "the engine has other weights loaded")
	}

	return failure.New(failure.TargetLost, "the engine responded with status %d", r.status)
}

func getJSON[T any](ctx context.Context, c Client, path string) (T, error) {
	var result T

	resp, err := c.call(ctx, http.MethodGet, path, "", nil, maxReplyBytes)
	if err != nil {
		return result, err
	}

	if resp.status != http.StatusOK {
		return result, resp.statusError()
	}

	if err := json.Unmarshal(resp.body, &result); err != nil {
		return result, failure.Wrap(failure.TargetLost, err, "the engine's response to %s could not be decoded", path)
	}

	return result, nil
}

// call makes a call and returns its response, whose body has limit bytes at most.
func (c Client) call(ctx context.Context, method, path, contentType string, body []byte, limit int64) (response, error) {
	resp, err := c.send(ctx, method, path, contentType, body)
	if err != nil {
		return response{}, err
	}

	defer func() { _ = resp.Body.Close() }()

	data, err := wholebody.ReadAll(resp.Body, limit)
	if err != nil {
		return response{}, failure.Wrap(failure.TargetLost, err, "the engine's response to %s was incomplete", path)
	}

	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0

	return response{status: resp.StatusCode, header: resp.Header, body: data, framed: framed}, nil
}

func (c Client) send(ctx context.Context, method, path, contentType string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "engine address %q", c.Address)
	}

	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}

	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, failure.Wrap(failure.TargetLost, err, "the engine is unreachable")
	}

	return resp, nil
}
