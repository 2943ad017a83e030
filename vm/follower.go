package vm

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/pause"
)

// Timing of the follower.
const (
	pollWait = 10 * time.Second
	// pollTimeout is longer than a poll may last: beyond it the connection has
	// gone silent and the next poll takes a new one.
	pollTimeout = pollWait + 5*time.Second
	retryPause  = time.Second
	maxList     = 16 << 20
)

// FollowerConfig says what to follow.
type FollowerConfig struct {
	// URL is the platform's list.
	URL string
	// Log gets a line for each change.
	Log logr.Logger
	// OnList is called with each new list, in order; nil calls nothing.
	OnList func(now time.Time, l *List)
}

// Follower keeps the newest list. Use NewFollower.
type Follower struct {
	cfg  FollowerConfig
	http *http.Client
	list atomic.Pointer[List]
	seen atomic.Int64
}

// NewFollower returns a Follower with an empty list.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, http: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{}}}
	f.list.Store(NewList(0, nil))

	return f
}

// List returns the newest list known.
func (f *Follower) List() *List { return f.list.Load() }

// Age returns how long ago the platform last answered; it grows in an outage.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(f.seen.Load()))
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			event.Fail(f.cfg.Log, err, event.VMListLost)
			f.http.CloseIdleConnections()
			pause.For(ctx, retryPause)
		}
	}
}

func (f *Follower) poll(ctx context.Context) error {
	q := "?after=" + strconv.FormatUint(f.List().Version(), 10) + "&wait_ms=" + strconv.FormatInt(pollWait.Milliseconds(), 10)

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.cfg.URL+"/vms"+q, nil)
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "VM list %q", f.cfg.URL)
	}

	resp, err := f.http.Do(req)
	if err != nil {
		return failure.Wrap(failure.Unavailable, err, "the VM list does not answer")
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return failure.Wrap(failure.Unavailable, err, "the VM list was cut")
	}

	now := time.Now()

	switch resp.StatusCode {
	case http.StatusNoContent:
		f.seen.Store(now.UnixMilli())

		return nil
	case http.StatusOK:
		return f.take(now, body)
	default:
		return failure.New(failure.Unavailable, "the VM list answered %d", resp.StatusCode)
	}
}

func (f *Follower) take(now time.Time, body []byte) error {
	var got struct {
		Version uint64 `json:"version"`
		VMs     []VM   `json:"vms"`
	}

	if err := json.Unmarshal(body, &got); err != nil {
		return failure.Wrap(failure.BadMessage, err, "the VM list could not be read")
	}

	l := NewList(got.Version, got.VMs)
	f.list.Store(l)
	f.seen.Store(now.UnixMilli())
	event.Log(f.cfg.Log, event.VMListChanged, "version", l.Version(), "vms", len(l.All()))

	if f.cfg.OnList != nil {
		f.cfg.OnList(now, l)
	}

	return nil
}

// Fetch asks for the list once.
func Fetch(ctx context.Context, url string, timeout time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	f := NewFollower(FollowerConfig{URL: url, Log: logr.Discard()})
	if err := f.poll(ctx); err != nil {
		return nil, err
	}

	return f.List(), nil
}
