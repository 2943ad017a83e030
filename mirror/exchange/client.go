package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"boragehub/controlcall"
	"boragehub/mirror"
	"boragehub/pause"
	"boragehub/quarantine"
	"boragehub/vault"
)

var errNoEntries = errors.New("no known entries")

// fetchFanout is the number of entries that Fetch asks at once, since one of them may be cut off
// from the log like this process.
const fetchFanout = 3

const (
	// callTimeout is how long a connection attempt may take, and a call without a received byte.
	// The round-trip time between processes is a few milliseconds.
	callTimeout = 400 * time.Millisecond
	// maxTransfer bounds the time of a call whose response keeps arriving.
	maxTransfer = 3 * time.Second
)

// Gossip: in each round, an entry asks a few others which entries they know. Asking all of them
// would take as many calls as there are entries, with responses of that length.
const (
	// gossipPause is the pause between two rounds. Information about an entry reaches all others
	// in a few rounds, and is kept for memberTTL, 20 s.
	gossipPause = 2 * time.Second
	// gossipFanout is the number of entries asked in one round.
	gossipFanout = 4
	// initialGossipPause replaces gossipPause until the view of another entry is equal, for at
	// most initialGossipWindow after the start. With an incomplete view, an entry may select
	// itself as a reader of the log.
	initialGossipPause  = 300 * time.Millisecond
	initialGossipWindow = 3 * time.Second
	// noResponseGossipPause replaces initialGossipPause until an entry has responded, for at most
	// noResponseGossipWindow after the start. If all processes start at once, the seeds may not
	// be listening yet in the first rounds.
	noResponseGossipPause  = 50 * time.Millisecond
	noResponseGossipWindow = time.Second
)

// Client calls other entries. It implements mirror.Peers, mirror.Relay, loader.Entries and
// RegistrationPeers.
type Client struct {
	members       *Members
	calls         *controlcall.Client
	responded     chan struct{} // closed once another entry has returned its members
	respondedOnce sync.Once     // guards the closing of responded
	converged     chan struct{} // closed once the view of another entry is equal
}

// NewClient returns a Client that calls the entries in m.
func NewClient(m *Members) *Client {
	return &Client{members: m, responded: make(chan struct{}), converged: make(chan struct{}), calls: controlcall.NewClient(controlcall.Config{
		IDHeader: callIDHeader, DialTimeout: callTimeout, MaxIdlePerAddress: 1, IdleTimeout: 12 * time.Second, MaxBodyBytes: maxMessage,
	})}
}

// Fetch requests the records of a topic from a position on from fetchFanout entries, and returns
// the newest response. It returns an error if none of them responds.
func (c *Client) Fetch(ctx context.Context, topic string, from mirror.Position) (mirror.Batch, error) {
	all := c.randomPeers(fetchFanout)
	if len(all) == 0 {
		return mirror.Batch{}, errNoEntries
	}

	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		best  mirror.Batch
		errg  errs.Group
		found bool
	)

	for _, a := range all {
		wg.Go(func() {
			b, err := c.fetchRecords(ctx, a, topic, from, 0)

			mu.Lock()
			defer mu.Unlock()

			if err != nil {
				errg.Add(err)

				return
			}

			c := mirror.Position{Era: b.Era, Offset: b.End}.Compare(mirror.Position{Era: best.Era, Offset: best.End})
			if !found || c > 0 || (c == 0 && b.AsOf.After(best.AsOf)) {
				best, found = b, true
			}
		})
	}

	wg.Wait()

	if !found {
		return mirror.Batch{}, errg.Err()
	}

	return best, nil
}

// randomPeers returns up to n random live entries and seeds, a new choice on each call.
func (c *Client) randomPeers(n int) []string {
	all := c.members.LiveAndSeeds(time.Now())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	return all[:min(n, len(all))]
}

// errNotLoaded is returned for a poll of an entry that has not loaded the topic yet.
var errNotLoaded = errors.New("the entry has not loaded the topic yet")

// Assignment returns how this process gets a topic.
func (c *Client) Assignment(topic string) mirror.Assignment {
	return c.members.Assignment(time.Now(), topic)
}

// subscriberWait is how long one poll of a Subscriber waits for new records.
const subscriberWait = maxWait

// Subscriber gets topics from entries for a process that doesn't serve them itself. It
// implements mirror.Relay.
type Subscriber struct {
	*Client

	name string
}

// NewSubscriber returns a Subscriber that sends its requests through c. The name identifies
// the process and determines which entries it polls.
func NewSubscriber(c *Client, name string) Subscriber { return Subscriber{Client: c, name: name} }

// Assignment returns the entries to poll, whatever the topic.
func (s Subscriber) Assignment(string) mirror.Assignment {
	return mirror.Assignment{Addresses: s.members.Preferred(time.Now(), s.name), Wait: subscriberWait}
}

// Poll requests the records of a topic from a position on from an entry, which waits for the first
// one, up to the given time. It returns an error if the entry has not loaded the topic.
func (c *Client) Poll(ctx context.Context, reader, topic string, from mirror.Position, wait time.Duration) (mirror.Batch, error) {
	return c.fetchRecords(ctx, reader, topic, from, wait)
}

// fetchRecords requests records from one entry. If wait is positive, it returns an error unless the
// entry has loaded the topic.
func (c *Client) fetchRecords(ctx context.Context, address, topic string, from mirror.Position, wait time.Duration) (mirror.Batch, error) {
	sentAt := time.Now()
	q := url.Values{"topic": {topic}, "from": {strconv.FormatInt(from.Offset, 10)}, "era": {strconv.FormatInt(from.Era, 10)}, "self": {c.members.Self()}}

	if wait > 0 {
		q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}

	body, err := c.call(ctx, http.MethodGet, address, recordsPath+"?"+q.Encode(), nil, wait)
	if err != nil {
		return mirror.Batch{}, err
	}

	var r Reply
	if err := decoder.Unmarshal(body, &r); err != nil {
		return mirror.Batch{}, err
	}

	c.members.MarkAlive(time.Now(), address)

	if wait > 0 && !r.Loaded {
		return mirror.Batch{}, errNotLoaded
	}

	records, err := r.decodeRecords()
	if err != nil {
		return mirror.Batch{}, err
	}

	b := mirror.Batch{Records: records, End: r.End, Era: r.Era, Snapshot: r.Snapshot, Settled: r.Settled, AsOfShared: r.AsOfShared, Handled: r.Handled}
	if r.AgeMs >= 0 {
		// The response was created at least HeldMs after the request was sent, and its records
		// were AgeMs old then.
		b.AsOf = sentAt.Add(time.Duration(r.HeldMs-r.AgeMs) * time.Millisecond)
	}

	return b, nil
}

// call makes a call to an entry and returns the decompressed response body. The entry may hold the
// request for the given wait.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, wait time.Duration) ([]byte, error) {
	ctx, cancel := pause.WithIdleTimeout(ctx, callTimeout+wait, wait+maxTransfer)
	defer cancel()

	body, h, err := encodeBody(body)
	if err != nil {
		return nil, err
	}

	resp, err := c.calls.Do(ctx, controlcall.Call{Method: method, Address: address, Path: path, Header: h, Body: body, Repeatable: method == http.MethodGet})
	if err != nil {
		return nil, err
	}

	if resp.Status/100 != 2 {
		return nil, errs.New("%s responded with status %d", address, resp.Status)
	}

	if resp.Header.Get(contentEncodingHeader) == encodingDeflate {
		return decompress(resp.Body)
	}

	return resp.Body, nil
}

// callIDHeader carries the id of a call and of its response.
const callIDHeader = "Call-Id"

// HTTP headers that declare and negotiate compression.
const (
	contentEncodingHeader = "Content-Encoding"
	acceptEncodingHeader  = "Accept-Encoding"
)

// encodeBody returns the body of a call, compressed if it has compressAbove bytes or more, and its header, which
// accepts a compressed response.
func encodeBody(body []byte) ([]byte, http.Header, error) {
	h := http.Header{acceptEncodingHeader: {encodingDeflate}}

	if len(body) < compressAbove {
		return body, h, nil
	}

	compressed, err := compress(body)
	if err != nil {
		return nil, nil, err
	}

	h.Set(contentEncodingHeader, encodingDeflate)

	return compressed, h, nil
}

// announceTimeout is how long AnnounceVersion waits for responses. Otherwise a paused entry would
// delay the announced load of weights, and engines in later rollout slots would load at the same
// time.
const announceTimeout = 50 * time.Millisecond

// AnnounceVersion announces to all entries that the engine at an address is about to load a version
// of a model's weights or, if loaded is set, has loaded it. It returns after announceTimeout at the
// latest. An entry that doesn't receive the message learns of the change from the engine's refusals
// and responses.
func (c *Client) AnnounceVersion(ctx context.Context, address, model string, version int64, loaded bool) {
	done := make(chan struct{})

	go func() {
		defer close(done)

		broadcast(ctx, c, noticePath, VersionAnnouncement{Address: address, Model: model, Version: version, Loaded: loaded}, nil)
	}()

	select {
	case <-done:
	case <-time.After(announceTimeout):
	}
}

// ReportCrash reports to all entries which requests were running on a target when it crashed, and returns the
// responses there that clear parts of them. An entry that doesn't receive the report learns of it by SyncCrashes.
func (c *Client) ReportCrash(crash quarantine.Crash) []quarantine.Acquittal {
	var (
		mu  sync.Mutex
		all []quarantine.Acquittal
	)

	broadcast(context.Background(), c, crashPath, crash, func(body []byte) {
		var m Cleared
		if len(body) == 0 || decoder.Unmarshal(body, &m) != nil {
			return // an entry that has nothing to say
		}

		mu.Lock()
		defer mu.Unlock()

		all = append(all, m.acquittals(time.Now())...)
	})

	mu.Lock()
	defer mu.Unlock()

	return all
}

// ReportCleared reports to all entries responses that cleared requests or parts of them. An entry that doesn't
// receive the report learns of it by SyncCrashes.
func (c *Client) ReportCleared(all []quarantine.Acquittal) {
	broadcast(context.Background(), c, clearedPath, newCleared(time.Now(), all), nil)
}

// AnnounceRateLimit announces to all entries the rate limit that a target names. An entry that
// doesn't receive the message learns of the limit from the target's responses to its own requests.
func (c *Client) AnnounceRateLimit(ctx context.Context, l RateLimitAnnouncement) {
	broadcast(ctx, c, limitPath, l, nil)
}

// AnnounceLeaving announces to all entries that a target is about to leave. An entry that doesn't
// receive the message learns of it from the target's responses to its own requests.
func (c *Client) AnnounceLeaving(ctx context.Context, l LeavingAnnouncement) {
	broadcast(ctx, c, leavingPath, l, nil)
}

// broadcast sends a message to all live entries and seeds, and waits for their responses. It calls a function, if not
// nil, with the body of each, several at a time.
func broadcast[T any](ctx context.Context, c *Client, path string, message T, onResponse func(body []byte)) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return // not expected: structs of strings and numbers can be encoded
	}

	var wg sync.WaitGroup

	for _, a := range c.members.LiveAndSeeds(time.Now()) {
		wg.Go(func() {
			// An entry that gets no message learns of it later.
			if resp, err := c.call(ctx, http.MethodPost, a, path, body, 0); err == nil && onResponse != nil {
				onResponse(resp)
			}
		})
	}

	wg.Wait()
}

// Watchers returns the entries to ask about the stores, in order of preference. Self reports
// whether this process follows the stores directly.
func (c *Client) Watchers() (others []string, self bool) {
	return c.members.Watchers(time.Now())
}

// StoreUpdates requests the changes of stores since the given positions from an entry.
func (c *Client) StoreUpdates(ctx context.Context, peer string, positions []vault.Position) ([]vault.Update, error) {
	body, err := cbor.Marshal(positions)
	if err != nil {
		return nil, err
	}

	respBody, err := c.call(ctx, http.MethodPost, peer, vaultsPath, body, 0)
	if err != nil {
		return nil, err
	}

	var updates []vault.Update

	err = decoder.Unmarshal(respBody, &updates)

	return updates, err
}

// Registrar returns the address of the entry that registers this one in a topic, or an empty
// string if this entry registers itself.
func (c *Client) Registrar(topic string) string {
	return c.members.Registrar(time.Now(), topic)
}

// Register requests that a registrar register an entry, and returns after the log has accepted
// the record.
func (c *Client) Register(ctx context.Context, registrar string, entry Registrant) error {
	body, err := cbor.Marshal(entry)
	if err != nil {
		return err
	}

	_, err = c.call(ctx, http.MethodPost, registrar, entriesPath, body, registrationTimeout)

	return err
}

// Knows reports whether an entry has read a topic up to and including a position, and has acted on it. It returns false if
// the entry doesn't respond, or if it has read another era, in which the offset is that of another record.
func (c *Client) Knows(ctx context.Context, peer, topic string, at mirror.Position) bool {
	b, err := c.fetchRecords(ctx, peer, topic, at, 0)

	return err == nil && b.Era == at.Era && b.Handled > at.Offset
}

// GossipRound asks a few entries for the entries that they know. It reports whether at least one of
// them responded, and whether the view of at least one of them is equal.
func (c *Client) GossipRound(ctx context.Context) (responded, equal bool) {
	var (
		wg                     sync.WaitGroup
		anyResponded, anyEqual atomic.Bool
	)

	viewHash, needAll := c.members.ViewHash(time.Now())

	for i, a := range c.randomPeers(gossipFanout) {
		wg.Go(func() {
			// One complete list per round is sufficient.
			equal, err := c.requestMembers(ctx, a, viewHash, needAll && i == 0)
			if err != nil {
				return // an entry that does not respond expires
			}

			anyResponded.Store(true)
			c.respondedOnce.Do(func() { close(c.responded) })

			if equal {
				anyEqual.Store(true)
			}
		})
	}

	wg.Wait()
	c.members.EndRound(anyEqual.Load())

	return anyResponded.Load(), anyEqual.Load()
}

// requestMembers asks one entry for the entries that it knows, and reports whether its view is
// equal.
func (c *Client) requestMembers(ctx context.Context, address string, viewHash uint64, all bool) (equal bool, err error) {
	q := url.Values{"self": {c.members.Self()}, "view": {strconv.FormatUint(viewHash, 16)}}
	if all {
		q.Set("all", "1")
	}

	body, err := c.call(ctx, http.MethodGet, address, recordsPath+"?"+q.Encode(), nil, 0)
	if err != nil {
		return false, err
	}

	var r Reply
	if err := decoder.Unmarshal(body, &r); err != nil {
		return false, err
	}

	now := time.Now()
	c.members.MarkAlive(now, address)
	c.members.Merge(now, r.Members)
	c.members.MergeAges(now, viewHash, r.Ages)

	return r.Ages != nil, nil
}

// Run makes gossip rounds until ctx ends.
func (c *Client) Run(ctx context.Context) {
	began := time.Now()
	responded, converged := false, false

	for {
		roundResponded, roundEqual := c.GossipRound(ctx)
		responded = responded || roundResponded

		if roundEqual && !converged {
			converged = true

			close(c.converged)
		}

		if !pause.For(ctx, nextGossipPause(time.Since(began), responded, converged)) {
			return
		}
	}
}

// nextGossipPause returns the pause before the next round, given the time since the start and
// whether any entry has responded and any view has been equal so far.
func nextGossipPause(elapsed time.Duration, responded, converged bool) time.Duration {
	switch {
	case converged || elapsed >= initialGossipWindow:
		return gossipPause
	case responded || elapsed >= noResponseGossipWindow:
		return initialGossipPause
	default:
		return noResponseGossipPause
	}
}

// WaitFirstResponse waits until Run has received the members of another entry, the timeout has
// passed or ctx ends.
func (c *Client) WaitFirstResponse(ctx context.Context, timeout time.Duration) {
	waitForClose(ctx, c.responded, timeout)
}

// WaitConverged waits until Run finds an entry whose view is equal, the timeout has passed or
// ctx ends.
func (c *Client) WaitConverged(ctx context.Context, timeout time.Duration) {
	waitForClose(ctx, c.converged, timeout)
}

// waitForClose waits until ch is closed, the timeout has passed or ctx ends.
func waitForClose(ctx context.Context, ch <-chan struct{}, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()

	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
}
