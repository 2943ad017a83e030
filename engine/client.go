// Package engine speaks to one model engine by its published protocol.
//
// # Model
//
// A Client is used by the side process beside the engine and by nobody else.
// Complete streams an answer; Info, Load, Events and Blocks tell what the engine
// does and holds; Export and Import move blocks as the engine's own opaque
// bytes; Order tells it to load weights or to change role. See docs/PLATFORM.md.
//
//	c := engine.Client{Address: "127.0.0.1:8000", HTTP: &http.Client{}}
//	err := c.Complete(ctx, engine.Completion{Prompt: text}, func(p engine.Piece) error { … })
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"boragehub/failure"
	"boragehub/prompt"
)

// Client speaks to one engine.
type Client struct {
	// Address is the engine's IP and port.
	Address string
	// HTTP does the calls; nil uses http.DefaultClient. It must have no overall
	// timeout, since answers stream for long.
	HTTP *http.Client
}

// Info describes an engine.
type Info struct {
	// Model, WeightVersion, Adapters and Role are what it serves.
	Model         string   `json:"model"`
	WeightVersion string   `json:"weight_version"`
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role"`
	// BlockTokens is the number of tokens in a block.
	BlockTokens int `json:"block_tokens"`
	// BytesPerToken is the size of a token's state in an export.
	BytesPerToken int `json:"bytes_per_token"`
	// PrefillRate and DecodeRate are in tokens a second.
	PrefillRate float64 `json:"prefill_tokens_per_second"`
	DecodeRate  float64 `json:"decode_tokens_per_second"`
	// MaxRunning is how many requests run at once.
	MaxRunning int `json:"max_running"`
	// CacheBlocks is how many blocks the engine's memory holds.
	CacheBlocks int `json:"cache_blocks"`
	// HonoursFence says that the engine refuses orders with an old fencing number.
	HonoursFence bool `json:"honours_fence"`
	// State is "ready" or "loading".
	State string `json:"state"`
	// BootID is new at each start.
	BootID string `json:"boot_id"`
}

// Ready says that the engine takes work.
func (i Info) Ready() bool { return i.State == "ready" }

// Load is an engine's report of its load, which lags.
type Load struct {
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens is the prefill that waits, in tokens.
	WaitingTokens int `json:"waiting_prefill_tokens"`
	// UsedBlocks and TotalBlocks are the cache's.
	UsedBlocks  int `json:"used_blocks"`
	TotalBlocks int `json:"total_blocks"`
	// AtMS is when the report was true, in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// Event is one change of an engine's cache.
type Event struct {
	// Seq counts the events; a jump is a gap.
	Seq uint64 `json:"seq"`
	// Type is "stored", "removed" or "cleared".
	Type string `json:"type"`
	// Hashes are the blocks.
	Hashes []prompt.Hash `json:"hashes"`
	// WeightVersion is what computed them.
	WeightVersion string `json:"weight_version"`
}

// Events is one answer of the stream of cache events.
type Events struct {
	// BootID is the engine's boot.
	BootID string `json:"boot_id"`
	// FirstSeq is the oldest event kept, NextSeq the next to come.
	FirstSeq uint64 `json:"first_seq"`
	NextSeq  uint64 `json:"next_seq"`
	// Events are those after the one asked for.
	Events []Event `json:"events"`
}

// Blocks is everything that an engine's cache holds.
type Blocks struct {
	// BootID is the engine's boot.
	BootID string `json:"boot_id"`
	// Seq is the last event that the list contains.
	Seq uint64 `json:"seq"`
	// WeightVersion is the version loaded.
	WeightVersion string `json:"weight_version"`
	// Hashes are the blocks held.
	Hashes []prompt.Hash `json:"hashes"`
}

// Order tells an engine to change.
type Order struct {
	// Fence is the fencing number of who orders.
	Fence uint64 `json:"fence"`
	// Kind is "load_weights", "load_adapter" or "set_role".
	Kind string `json:"kind"`
	// WeightVersion, Adapter and Role are what to change to.
	WeightVersion string `json:"weight_version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Role          string `json:"role,omitempty"`
}

// Info asks for the engine's description.
func (c Client) Info(ctx context.Context) (Info, error) {
	return get[Info](ctx, c, "/info")
}

// Load asks for the engine's load.
func (c Client) Load(ctx context.Context) (Load, error) {
	return get[Load](ctx, c, "/load")
}

// Events waits for cache events after seq.
func (c Client) Events(ctx context.Context, after uint64, wait time.Duration) (Events, error) {
	q := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)

	return get[Events](ctx, c, "/events"+q)
}

// Blocks asks for everything that the cache holds.
func (c Client) Blocks(ctx context.Context) (Blocks, error) {
	return get[Blocks](ctx, c, "/cache/blocks")
}

// Export returns the longest leading run of chain that is held, as the engine's
// own bytes, and its number of blocks.
func (c Client) Export(ctx context.Context, chain prompt.Chain) (body []byte, blocks int, version string, err error) {
	b, err := json.Marshal(struct {
		Hashes prompt.Chain `json:"hashes"`
	}{chain})
	if err != nil {
		return nil, 0, "", failure.Wrap(failure.Internal, err, "an export could not be encoded")
	}

	a, err := c.do(ctx, http.MethodPost, "/cache/export", "application/json", b)
	if err != nil {
		return nil, 0, "", err
	}

	if a.status != http.StatusOK {
		return nil, 0, "", a.unexpected()
	}

	blocks, err = strconv.Atoi(a.header.Get("X-Block-Count"))
	if err != nil || blocks < 1 || blocks > len(chain) {
		return nil, 0, "", failure.New(failure.TargetLost, "the engine exported %q blocks of %d", a.header.Get("X-Block-Count"), len(chain))
	}

	return a.body, blocks, a.header.Get("X-Weight-Version"), nil
}

// Import gives the engine blocks that were exported; failure.WrongVersion when
// they were computed by other weights than it has loaded.
func (c Client) Import(ctx context.Context, body []byte) (blocks int, err error) {
	a, err := c.do(ctx, http.MethodPost, "/cache/import", "application/octet-stream", body)
	if err != nil {
		return 0, err
	}

	if a.status != http.StatusOK {
		return 0, a.unexpected()
	}

	var got struct {
		ImportedBlocks int `json:"imported_blocks"`
	}

	if err := json.Unmarshal(a.body, &got); err != nil {
		return 0, failure.Wrap(failure.TargetLost, err, "the engine's answer to an import could not be read")
	}

	return got.ImportedBlocks, nil
}

// Order gives an order; failure.StaleFence when the engine knows a newer one.
func (c Client) Order(ctx context.Context, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "an order could not be encoded")
	}

	a, err := c.do(ctx, http.MethodPost, "/orders", "application/json", b)
	if err != nil {
		return err
	}

	switch a.status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return failure.New(failure.StaleFence, "the engine knows a newer order than %d", o.Fence)
	default:
		return a.unexpected()
	}
}

// answer is an engine's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) unexpected() error {
	if a.status == http.StatusConflict {
		return failure.New(failure.WrongVersion, "the engine has other weights loaded")
	}

	return failure.New(failure.TargetLost, "the engine answered %d", a.status)
}

func get[T any](ctx context.Context, c Client, path string) (T, error) {
	var got T

	a, err := c.do(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return got, err
	}

	if a.status != http.StatusOK {
		return got, a.unexpected()
	}

	if err := json.Unmarshal(a.body, &got); err != nil {
		return got, failure.Wrap(failure.TargetLost, err, "the engine's answer to %s could not be read", path)
	}

	return got, nil
}

func (c Client) do(ctx context.Context, method, path, contentType string, body []byte) (answer, error) {
	resp, err := c.send(ctx, method, path, contentType, body)
	if err != nil {
		return answer{}, err
	}

	defer func() { _ = resp.Body.Close() }()

	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, failure.Wrap(failure.TargetLost, err, "the engine's answer to %s was cut", path)
	}

	return answer{status: resp.StatusCode, header: resp.Header, body: got}, nil
}

func (c Client) send(ctx context.Context, method, path, contentType string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "engine address %q", c.Address)
	}

	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}

	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}

	resp, err := client.Do(req)
	if err != nil {
		return nil, failure.Wrap(failure.TargetLost, err, "the engine does not answer")
	}

	return resp, nil
}
