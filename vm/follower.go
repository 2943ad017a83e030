package vm

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/pause"
	"boragehub/upstream"
	"boragehub/wholebody"
)

// Bounds of the long polls.
const (
	longPollWait = 10 * time.Second
	// pollTimeout is longer than the platform may hold a poll. A poll that takes
	// longer means an unresponsive connection; the next poll opens a new one.
	pollTimeout   = longPollWait + 5*time.Second
	retryInterval = time.Second
	maxListBytes  = 16 << 20
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// URL is the base URL of the platform's VM list, to which /vms is added.
	URL string
	// Log receives an event for each new list and each failed poll.
	Log logr.Logger
	// OnList is called with each new list, in order, from the goroutine of Run; may be nil.
	OnList func(now time.Time, l *List)
}

// Follower polls the platform's VM list and holds the newest one. Use NewFollower.
type Follower struct {
	cfg          FollowerConfig
	http         *http.Client
	list         atomic.Pointer[List]
	lastResponse atomic.Int64
}

// NewFollower returns a Follower with an empty list.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, http: &http.Client{Timeout: pollTimeout, Transport: upstream.NewTransport(upstream.TransportConfig{})}}
	f.list.Store(NewList(0, nil))

	return f
}

// List returns the newest list; before the first response it is empty.
func (f *Follower) List() *List { return f.list.Load() }

// Age returns the time since the platform's last valid response; it grows during an outage. Before
// the first response it is the time since the Unix epoch.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(f.lastResponse.Load()))
}

// Run polls the list until ctx ends. After a failed poll it opens a new connection, one second
// later.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			event.Fail(f.cfg.Log, err, event.VMListLost)
			f.http.CloseIdleConnections()
			pause.For(ctx, retryInterval)
		}
	}
}

func (f *Follower) poll(ctx context.Context) error {
	query := "?after=" + strconv.FormatUint(f.List().Version(), 10) + "&wait_ms=" + strconv.FormatInt(longPollWait.Milliseconds(), 10)

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.cfg.URL+"/vms"+query, nil)
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "invalid URL of the VM list: %q", f.cfg.URL)
	}

	resp, err := f.http.Do(req)
	if err != nil {
		return failure.Wrap(failure.Unavailable, err, "no response from the VM list")
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := wholebody.ReadAll(resp.Body, maxListBytes)
	if err != nil {
		return failure.Wrap(failure.Unavailable, err, "the response of the VM list was cut off")
	}

	now := time.Now()

	switch resp.StatusCode {
	case http.StatusNoContent:
		f.lastResponse.Store(now.UnixMilli())

		return nil
	case http.StatusOK:
		return f.apply(now, body)
	default:
		return failure.New(failure.Unavailable, "the VM list responded with status %d", resp.StatusCode)
	}
}

func (f *Follower) apply(now time.Time, body []byte) error {
	r, err := decode(body)
	if err != nil {
		return err
	}

	if n := len(r.unreadable); n > 0 {
		event.Fail(f.cfg.Log, r.unreadable[0], event.VMUnreadable, "version", r.version, "vms", n)
	}

	l := NewList(r.version, r.vms)
	f.list.Store(l)
	f.lastResponse.Store(now.UnixMilli())
	event.Log(f.cfg.Log, event.VMListChanged, "version", l.Version(), "vms", len(l.All()))

	if f.cfg.OnList != nil {
		f.cfg.OnList(now, l)
	}

	return nil
}

// Fetch gets the list once, from the base URL url. The error is failure.Unavailable if the platform
// gives no valid response within timeout, failure.BadMessage if the list can't be decoded, and
// failure.BadSettings if url is invalid.
func Fetch(ctx context.Context, url string, timeout time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	f := NewFollower(FollowerConfig{URL: url, Log: logr.Discard()})
	if err := f.poll(ctx); err != nil {
		return nil, err
	}

	return f.List(), nil
}
