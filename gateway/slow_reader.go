package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"boragehub/failure"
	"boragehub/target"
)

// A caller may read its response slowly or not at all. An engine cuts off a response that remains
// unread for some seconds, and takes its slot until then. The entry therefore reads on for a caller
// that doesn't read, into a bounded buffer. Once that is full, a stream that breaks counts as broken
// by its caller.

// Limits for callers that read slowly.
const (
	// writeTimeout is how long a caller may take to read a part of what it is sent.
	writeTimeout = 5 * time.Second
	// writePart is the size of such a part of a response that isn't a stream. The kernel takes it at
	// once from most callers.
	writePart = 64 << 10
	// readAheadDelay is how long a write to a caller blocks before the stream is read ahead. Most
	// streams never are.
	readAheadDelay = 100 * time.Millisecond
	// maxReadAhead limits what is read ahead of a stream: a few thousand events, more than most
	// streams have.
	maxReadAhead = 256 << 10
	// readAheadDivisor is the part of Config.UnreadBytes that is read ahead of all streams; the
	// buffers take up to twice that. Beyond it, up to readBufferBytes of a stream are read when its
	// caller has read all before.
	readAheadDivisor = 8
	// minUnread is how long a stream remained unread because of its caller before a break counts as
	// the caller's. Engines allow some seconds.
	minUnread = time.Second
)

// errSlowReader is the cause of a stream that broke after its caller had not read it.
var errSlowReader = errors.New("the stream broke while its caller did not read it")

// errUndelivered is the cause of a response that its caller read too slowly while others needed the space.
var errUndelivered = errors.New("the caller did not read the response, and the limit of unread responses is reached")

// errReadStopped is the error of a readAhead that was stopped.
var errReadStopped = errors.New("the stream is no longer read")

// slowReaders bounds what an entry holds for callers that read slowly. The zero value reads nothing
// ahead and sets no bounds.
type slowReaders struct {
	// maxReadAhead limits what is read ahead of all streams.
	maxReadAhead int
	// maxUndelivered limits the size of all responses above writePart that callers have yet to read.
	// Beyond it, the connection of the caller without progress for the longest time is broken.
	maxUndelivered int

	mu          sync.Mutex
	readAhead   int // bytes read ahead of all streams
	undelivered int // bytes of all deliveries
	deliveries  map[*delivery]struct{}
}

// newSlowReaders returns bounds that take up to unreadBytes of memory.
func newSlowReaders(unreadBytes int) *slowReaders {
	ahead := unreadBytes / readAheadDivisor

	return &slowReaders{maxReadAhead: ahead, maxUndelivered: unreadBytes - 2*ahead}
}

// reserve takes n bytes of the buffer for all streams, if they are free.
func (s *slowReaders) reserve(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.readAhead+n > s.maxReadAhead {
		return false
	}

	s.readAhead += n

	return true
}

// release returns n bytes of the buffer for all streams.
func (s *slowReaders) release(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.readAhead -= n
}

// streamReader reads a stream. While a write to the caller blocks, a goroutine reads ahead; it stays
// the stream's reader from then on.
type streamReader struct {
	src    io.Reader
	shared *slowReaders
	timer  *time.Timer // starts reading ahead; nil before the first write

	mu       sync.Mutex
	changed  *sync.Cond
	ahead    bool // a goroutine reads the stream
	finished chan struct{}
	stopped  bool
	buf      bytes.Buffer
	reserved int
	err      error // that ended the stream

	writingSince time.Time     // since when a write to the caller blocks; zero for none
	unread       time.Duration // how long the stream was not read because of the caller
	unreadUntil  time.Time     // when that ended last
	fullSince    time.Time     // since when the goroutine waits for the caller; zero while it doesn't
}

func newStreamReader(src io.Reader, shared *slowReaders) *streamReader {
	r := &streamReader{src: src, shared: shared, finished: make(chan struct{})}
	r.changed = sync.NewCond(&r.mu)

	return r
}

// Read reads from the stream, or what was read ahead of it.
func (r *streamReader) Read(b []byte) (int, error) {
	r.mu.Lock()

	if !r.ahead {
		r.mu.Unlock()

		return r.src.Read(b)
	}

	defer r.mu.Unlock()

	for r.buf.Len() == 0 && r.err == nil {
		r.changed.Wait()
	}

	n := copy(b, r.buf.Next(len(b)))
	r.releaseDownTo(r.buf.Len())
	r.changed.Broadcast()

	if r.buf.Len() > 0 {
		return n, nil
	}

	r.buf = bytes.Buffer{}

	return n, r.err
}

// beginWrite notes that a write to the caller begins.
func (r *streamReader) beginWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.ahead || r.shared.maxReadAhead == 0 {
		return
	}

	if r.timer == nil {
		r.timer = time.AfterFunc(readAheadDelay, r.startAhead)
	} else {
		r.timer.Reset(readAheadDelay)
	}

	r.writingSince = time.Now()
}

// endWrite notes that the write has ended.
func (r *streamReader) endWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.writingSince = time.Time{}

	if !r.ahead && r.timer != nil {
		r.timer.Stop()
	}
}

// startAhead starts the goroutine that reads ahead, unless the write has ended meanwhile.
func (r *streamReader) startAhead() {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.ahead || r.stopped || r.writingSince.IsZero() {
		return
	}

	r.ahead = true

	go r.run()
}

// run reads ahead until the stream ends or is stopped.
func (r *streamReader) run() {
	defer close(r.finished)

	part := make([]byte, readBufferBytes)

	for r.awaitSpace() {
		n, err := r.src.Read(part)

		r.mu.Lock()
		r.buf.Write(part[:n])
		r.releaseDownTo(r.buf.Len())
		r.err = err
		r.changed.Broadcast()
		r.mu.Unlock()

		if err != nil {
			return
		}
	}
}

// awaitSpace waits until a part may be read ahead; it returns false if reading was stopped. A stream
// of which nothing is held may always be read on.
func (r *streamReader) awaitSpace() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	for !r.stopped && r.buf.Len() > 0 && !r.reservePart() {
		if r.fullSince.IsZero() {
			r.fullSince = time.Now()
		}

		r.changed.Wait()
	}

	if !r.fullSince.IsZero() {
		r.unreadUntil = time.Now()
		r.unread += r.unreadUntil.Sub(r.fullSince)
		r.fullSince = time.Time{}
	}

	if r.stopped && r.err == nil {
		r.err = errReadStopped
	}

	return !r.stopped
}

// reservePart takes space for one more part. The caller holds mu.
func (r *streamReader) reservePart() bool {
	if r.buf.Len()+readBufferBytes > maxReadAhead || !r.shared.reserve(readBufferBytes) {
		return false
	}

	r.reserved += readBufferBytes

	return true
}

// releaseDownTo returns what is reserved beyond n bytes. The caller holds mu.
func (r *streamReader) releaseDownTo(n int) {
	if excess := r.reserved - n; excess > 0 {
		r.reserved -= excess
		r.shared.release(excess)
	}
}

// brokenByCaller reports whether a break of the stream at this time counts as the caller's.
func (r *streamReader) brokenByCaller(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.unread >= minUnread && now.Sub(r.unreadUntil) < minUnread
}

// stop ends reading ahead and returns when it has ended. The function abort ends a read from the
// target.
func (r *streamReader) stop(abort func()) {
	r.mu.Lock()
	r.stopped = true
	ahead, ended := r.ahead, r.err != nil

	if r.timer != nil {
		r.timer.Stop()
	}

	r.changed.Broadcast()
	r.mu.Unlock()

	if !ahead {
		return
	}

	if !ended {
		abort()
	}

	<-r.finished

	r.mu.Lock()
	defer r.mu.Unlock()

	r.buf = bytes.Buffer{}
	r.releaseDownTo(0)
}

// slowReader returns the outcome of a stream that broke after its caller had not read it. It says
// nothing about the target, and the request isn't run again for such a caller.
func slowReader() outcome {
	return outcome{mayHaveRun: true, kind: failure.Cancelled, cause: errSlowReader, targetOutcome: target.Neutral}
}

// delivery is a response that is being written to its caller.
type delivery struct {
	size     int
	progress time.Time // when a part was last written
	cut      bool      // its connection is to be broken
	limit    func(until time.Time) error
}

// write writes a complete response to its caller in parts, each of which the caller has to read
// within writeTimeout.
func (s *slowReaders) write(w http.ResponseWriter, body []byte) error {
	if s.maxUndelivered == 0 {
		_, err := w.Write(body)

		return err
	}

	d := &delivery{size: len(body), progress: time.Now(), limit: http.NewResponseController(w).SetWriteDeadline}
	if len(body) > writePart {
		s.add(d)
		defer s.remove(d)
	}

	for {
		part := body[:min(len(body), writePart)]

		if err := s.extend(time.Now(), d); err != nil {
			return err
		}

		if _, err := w.Write(part); err != nil {
			return err
		}

		if body = body[len(part):]; len(body) == 0 {
			return nil
		}
	}
}

// extend allows the next part of a delivery its time, unless its connection is to be broken.
func (s *slowReaders) extend(now time.Time, d *delivery) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if d.cut {
		return errUndelivered
	}

	d.progress = now

	return d.limit(now.Add(writeTimeout))
}

// add adds a delivery, and breaks the connections of callers without progress until all fit into
// s.maxUndelivered.
func (s *slowReaders) add(d *delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.deliveries == nil {
		s.deliveries = make(map[*delivery]struct{})
	}

	excess := s.undelivered + d.size - s.maxUndelivered
	for o := range s.deliveries {
		if o.cut {
			excess -= o.size
		}
	}

	for excess > 0 {
		o := s.slowest()
		if o == nil {
			break
		}

		o.cut = true
		excess -= o.size

		//nolint:errcheck,gosec // the connection may be closed already
		o.limit(time.Now())
	}

	s.deliveries[d] = struct{}{}
	s.undelivered += d.size
}

// slowest returns the delivery without progress for the longest time; nil for none. The caller holds
// mu.
func (s *slowReaders) slowest() *delivery {
	var slowest *delivery

	for o := range s.deliveries {
		if !o.cut && (slowest == nil || o.progress.Before(slowest.progress)) {
			slowest = o
		}
	}

	return slowest
}

func (s *slowReaders) remove(d *delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.deliveries, d)
	s.undelivered -= d.size
}
