package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"boragehub/mirror"
	"boragehub/pause"
	"boragehub/quarantine"
	"boragehub/vault"
)

var errNobody = errors.New("no entry is known")

// asked is how many entries are asked at once: one of them may be as cut off as
// this process is.
const asked = 3

const (
	// callTimeout is how long a call to another process may stand still; they are
	// milliseconds apart.
	callTimeout = 400 * time.Millisecond
	// transferMost bounds an answer that keeps coming.
	transferMost = 3 * time.Second
)

// Saying hello: an entry asks a few others which entries they know. Asking all would
// take as many calls as there are entries, with answers of that length.
const (
	// helloEvery is the pause between two rounds. What was heard of an entry spreads
	// to all others in a few rounds, and is remembered for twenty seconds.
	helloEvery = 2 * time.Second
	// helloAsked is how many are asked in one round.
	helloAsked = 4
	// initialHelloEvery replaces helloEvery until the view of another entry is equal, for at
	// most initialHelloWindow after the start. With an incomplete view, an entry may select
	// itself as a reader of the log.
	initialHelloEvery  = 300 * time.Millisecond
	initialHelloWindow = 3 * time.Second
	// unansweredHelloEvery replaces initialHelloEvery until an entry has answered, for at most
	// unansweredHelloWindow after the start. If all processes start at once, the seeds may not
	// be listening yet in the first rounds.
	unansweredHelloEvery  = 50 * time.Millisecond
	unansweredHelloWindow = time.Second
)

// Client asks entries. It implements mirror.Peers and loader.Entries.
type Client struct {
	members      *Members
	http         *http.Client
	answered     chan struct{} // closed once another entry has returned its members
	answeredOnce sync.Once     // guards the closing of answered
	converged    chan struct{} // closed once the view of another entry is equal
}

// NewClient returns a Client that asks members.
func NewClient(m *Members) *Client {
	return &Client{members: m, answered: make(chan struct{}), converged: make(chan struct{}), http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     12 * time.Second,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
	}}}
}

// Newer returns what entries hold of a topic from an offset on: the newest of
// their answers.
func (c *Client) Newer(ctx context.Context, topic string, from int64) (mirror.Batch, error) {
	all := c.some(asked)
	if len(all) == 0 {
		return mirror.Batch{}, errNobody
	}

	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		best mirror.Batch
		errg errs.Group
		got  bool
	)

	for _, a := range all {
		wg.Go(func() {
			b, err := c.records(ctx, a, topic, from, 0)

			mu.Lock()
			defer mu.Unlock()

			if err != nil {
				errg.Add(err)

				return
			}

			if !got || b.End > best.End || (b.End == best.End && b.AsOf.After(best.AsOf)) {
				best, got = b, true
			}
		})
	}

	wg.Wait()

	if !got {
		return mirror.Batch{}, errg.Err()
	}

	return best, nil
}

// some returns so many of the known entries, drawn anew each time.
func (c *Client) some(n int) []string {
	all := c.members.Ask(time.Now())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	return all[:min(n, len(all))]
}

// errNotLoaded says that an entry has not read the whole topic yet.
var errNotLoaded = errors.New("the reader has not read the topic yet")

// Assignment returns how this process gets a topic.
func (c *Client) Assignment(topic string) mirror.Assignment {
	return c.members.Assignment(time.Now(), topic)
}

// subscriberWait is how long one poll of a Subscriber waits for new records.
const subscriberWait = maxHold

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

// Follow waits at an entry for what is newer than an offset.
func (c *Client) Follow(ctx context.Context, reader, topic string, from int64, wait time.Duration) (mirror.Batch, error) {
	return c.records(ctx, reader, topic, from, wait)
}

// records asks one entry. With a wait it has to have read the whole topic.
func (c *Client) records(ctx context.Context, address, topic string, from int64, wait time.Duration) (mirror.Batch, error) {
	at := time.Now()
	q := url.Values{"topic": {topic}, "from": {strconv.FormatInt(from, 10)}, "self": {c.members.Self()}}

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

	c.members.Saw(time.Now(), address)

	if wait > 0 && !r.Loaded {
		return mirror.Batch{}, errNotLoaded
	}

	records, err := r.unpack()
	if err != nil {
		return mirror.Batch{}, err
	}

	b := mirror.Batch{Records: records, End: r.End, Whole: false}
	if r.AgeMs >= 0 {
		// The answer was made after the question had been held for so long, so it
		// can't be older than that.
		b.AsOf = at.Add(time.Duration(r.HeldMs-r.AgeMs) * time.Millisecond)
	}

	return b, nil
}

// call makes a call whose answer may be held back for so long.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, held time.Duration) ([]byte, error) {
	ctx, cancel := pause.Patient(ctx, callTimeout+held, held+transferMost)
	defer cancel()

	req, err := newRequest(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}

	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}

	answer, err := io.ReadAll(pause.Reader(ctx, io.LimitReader(resp.Body, maxMessage)))
	err = errs.Combine(err, resp.Body.Close())

	if err == nil && resp.StatusCode/100 != 2 {
		err = errs.New("%s answered %d", address, resp.StatusCode)
	}

	if err == nil && resp.Header.Get(contentEncodingHeader) == encodingDeflate {
		return decompress(answer)
	}

	return answer, err
}

// HTTP headers that declare and negotiate compression.
const (
	contentEncodingHeader = "Content-Encoding"
	acceptEncodingHeader  = "Accept-Encoding"
)

// newRequest returns a request that accepts a compressed response. A body of at least
// compressAbove bytes is compressed.
func newRequest(ctx context.Context, method, rawURL string, body []byte) (*http.Request, error) {
	encoding := ""

	if len(body) >= compressAbove {
		compressed, err := compress(body)
		if err != nil {
			return nil, err
		}

		body, encoding = compressed, encodingDeflate
	}

	req, err := http.NewRequestWithContext(ctx, method, rawURL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	req.Header.Set(acceptEncodingHeader, encodingDeflate)

	if encoding != "" {
		req.Header.Set(contentEncodingHeader, encoding)
	}

	return req, nil
}

// tellPatience is how long Tell waits for answers. An entry that stands still would
// otherwise hold up the load of weights that it is told of, and those whose turn
// comes after it would load beside it.
const tellPatience = 50 * time.Millisecond

// Tell tells all entries what the engine at an address is about to do, or has
// done. One that can't be told finds out from the engine's refusals and answers.
func (c *Client) Tell(ctx context.Context, address, model string, version int64, loaded bool) {
	told := make(chan struct{})

	go func() {
		defer close(told)

		post(ctx, c, noticePath, Notice{Address: address, Model: model, Version: version, Loaded: loaded})
	}()

	select {
	case <-told:
	case <-time.After(tellPatience):
	}
}

// TellCrash tells all entries what was on a target as it crashed. One that can't be
// told finds out when the request crashes a target under its own hands.
func (c *Client) TellCrash(crash quarantine.Crash) {
	post(context.Background(), c, crashPath, crash)
}

// post sends a message to all known entries.
func post[T any](ctx context.Context, c *Client, path string, message T) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return // a struct of strings and numbers always has a form
	}

	var wg sync.WaitGroup

	for _, a := range c.members.Ask(time.Now()) {
		wg.Go(func() {
			//nolint:errcheck,gosec // see Tell and TellCrash
			c.call(ctx, http.MethodPost, a, path, body, 0)
		})
	}

	wg.Wait()
}

// Watchers returns which entries follow the stores for all.
func (c *Client) Watchers() (others []string, self bool) {
	return c.members.Watchers(time.Now())
}

// Ask asks an entry what changed in stores.
func (c *Client) Ask(ctx context.Context, peer string, positions []vault.Position) ([]vault.Update, error) {
	body, err := cbor.Marshal(positions)
	if err != nil {
		return nil, err
	}

	answer, err := c.call(ctx, http.MethodPost, peer, vaultsPath, body, 0)
	if err != nil {
		return nil, err
	}

	var updates []vault.Update

	err = decoder.Unmarshal(answer, &updates)

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

// Knows reports whether an entry has read a topic up to and with an offset.
func (c *Client) Knows(ctx context.Context, peer, topic string, offset int64) bool {
	b, err := c.records(ctx, peer, topic, offset, 0)

	return err == nil && b.End > offset
}

// Hello asks a few known entries for the others that they know. It reports whether at least one
// of them answered, and whether the view of at least one of them is equal.
func (c *Client) Hello(ctx context.Context) (answered, equal bool) {
	var (
		wg                    sync.WaitGroup
		anyAnswered, anyEqual atomic.Bool
	)

	viewHash, needAll := c.members.ViewHash(time.Now())

	for i, a := range c.some(helloAsked) {
		wg.Go(func() {
			// One complete list per round is sufficient.
			equal, err := c.requestMembers(ctx, a, viewHash, needAll && i == 0)
			if err != nil {
				return // an entry that does not answer expires
			}

			anyAnswered.Store(true)
			c.answeredOnce.Do(func() { close(c.answered) })

			if equal {
				anyEqual.Store(true)
			}
		})
	}

	wg.Wait()
	c.members.EndRound(anyEqual.Load())

	return anyAnswered.Load(), anyEqual.Load()
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
	c.members.Saw(now, address)
	c.members.Heard(now, r.Members)
	c.members.HeardAges(now, viewHash, r.Ages)

	return r.Ages != nil, nil
}

// Run says hello now and then until ctx ends.
func (c *Client) Run(ctx context.Context) {
	began := time.Now()
	answered, converged := false, false

	for {
		roundAnswered, roundEqual := c.Hello(ctx)
		answered = answered || roundAnswered

		if roundEqual && !converged {
			converged = true

			close(c.converged)
		}

		if !pause.For(ctx, helloInterval(time.Since(began), answered, converged)) {
			return
		}
	}
}

// helloInterval returns the pause before the next round, given the time since the start and
// whether any entry has answered and any view has been equal so far.
func helloInterval(elapsed time.Duration, answered, converged bool) time.Duration {
	switch {
	case converged || elapsed >= initialHelloWindow:
		return helloEvery
	case answered || elapsed >= unansweredHelloWindow:
		return initialHelloEvery
	default:
		return unansweredHelloEvery
	}
}

// WaitAnswered waits until Run has received the members of another entry, the timeout has passed
// or ctx ends.
func (c *Client) WaitAnswered(ctx context.Context, timeout time.Duration) {
	waitForClose(ctx, c.answered, timeout)
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
