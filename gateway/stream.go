package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"boragehub/event"
	"boragehub/eventstream"
	"boragehub/failure"
	"boragehub/site"
	"boragehub/target"
	"boragehub/upstream"
)

// stream is the state of the stream sent to the caller.
type stream struct {
	// started is true if the head of the response was sent.
	started bool
	// first is when the head of the response was sent, just before the first event.
	first time.Time
	// lastID is the number of the last event that was sent, hasLastID whether there is one.
	lastID    int64
	hasLastID bool
	// mayRepeat is true until a target that resumes the stream has sent an event that the caller doesn't
	// have, inRepeat while its last event was one that the caller has.
	mayRepeat, inRepeat bool
}

// readBufferBytes is how much of a stream is read at once. Events have about 50 bytes.
const readBufferBytes = 4 << 10

// maxEventBytes limits the size of an incomplete event.
const maxEventBytes = 1 << 20

var (
	errEventTooLong = errors.New("an event exceeds the size limit")
	errInsideEvent  = errors.New("the stream ended inside an event")
	errNoEvent      = errors.New("the connection ended before the first event")
)

// streaming reports whether the response is a stream of events.
func (t *task) streaming() bool { return t.route.Kind == site.Stream }

// resumeAfter returns the id of the last event that the caller has, as sent to targets.
func (t *task) resumeAfter() string {
	if t.stream.hasLastID {
		return strconv.FormatInt(t.stream.lastID, 10)
	}

	return t.arrival.ResumeAfter
}

// forwardStream forwards a stream, complete events only. If an engine breaks off within an event,
// the next engine continues after the last complete one.
func (t *task) forwardStream(ctx context.Context, c choice, x *upstream.Exchange, a ResponseHead) outcome {
	if !a.Signed || a.Encoded {
		return outcome{mayHaveRun: true, kind: failure.TargetLost, cause: errNotGenuine, targetOutcome: target.Failed}
	}

	if t.stream.started {
		event.Log(t.g.cfg.Log, event.StreamResumed, "request_id", t.logID(), "target", c.engine.ID, "after_id", t.resumeAfter())
	}

	t.stream.mayRepeat, t.stream.inRepeat = t.stream.hasLastID, false

	reader := newStreamReader(x, t.g.slowReaders)
	defer reader.stop(func() { t.inFlight.cancel(errReadStopped) })

	var pending []byte

	held := heldResponse{memory: t.g.responseMemory, account: t.account}
	defer held.release()

	buf := make([]byte, readBufferBytes)

	for {
		n, err := reader.Read(buf)
		t.received.bytes += n

		if n > 0 {
			t.g.cfg.Roster.ObserveAnswer(time.Now(), c.engine.ID)
			t.startRoom(c)
		}

		pending = append(pending, buf[:n]...)

		end, err := t.forwardable(x, pending, err)

		begins := !t.stream.started

		if werr := t.emit(x, reader, pending[:end]); werr != nil {
			t.abortCallerLeft(werr)
		}

		if t.stream.started {
			t.endParts()
		}

		if begins && t.stream.started {
			t.recordFirstEvent(&c)
		}

		pending = pending[:copy(pending, pending[end:])]

		switch {
		case err == nil:
			if err := held.growEvent(len(pending)); err != nil {
				return outcome{mayHaveRun: true, kind: failure.TargetLost, cause: err, targetOutcome: target.Failed}
			}
		case errors.Is(err, io.EOF):
			return t.finish(c, x)
		case reader.brokenByCaller(time.Now()):
			return slowReader()
		default:
			return t.failedExchange(ctx, c, err)
		}
	}
}

// forwardable returns the length of what may be forwarded of the bytes received, given the error of the last
// read: complete events, and all of it at the end of a complete stream. For io.EOF it returns another error if the
// target has broken off.
func (t *task) forwardable(x *upstream.Exchange, pending []byte, err error) (end int, _ error) {
	end = eventstream.Complete(pending)
	t.received.unfinished = len(pending) - end
	t.received.hasEvents = t.received.hasEvents || end > 0

	if !errors.Is(err, io.EOF) {
		return end, err
	}

	if broken := t.brokenOff(x, pending[end:]); broken != nil {
		x.MarkBroken()

		return end, broken
	}

	return len(pending), err
}

// brokenOff returns why a stream is incomplete although its body has ended; nil if it is complete. Rest is
// what follows its last complete event.
func (t *task) brokenOff(x *upstream.Exchange, rest []byte) error {
	switch {
	case !isEventStream(x.Header()):
		return nil
	case !eventstream.MayEnd(rest):
		return errInsideEvent
	case x.Framing() == upstream.CloseFraming && !t.received.hasEvents && t.resumeAfter() == "":
		return errNoEvent
	default:
		return nil
	}
}

// isEventStream reports whether a body on a streaming route consists of events, which it does unless the
// header names another media type.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	if contentType == "" {
		return true
	}

	mediaType, _, err := mime.ParseMediaType(contentType)

	return err != nil || mediaType == "text/event-stream"
}

// recordFirstEvent measures the engines' prefill speed by the time to the first event.
func (t *task) recordFirstEvent(c *choice) {
	if !c.idle {
		return
	}

	now := time.Now()
	took := now.Sub(t.sentAt)

	if usual, ok := t.profile().UsualFirstEvent(c.prefillTokens); ok {
		t.g.cfg.Roster.ObserveFirstEvent(now, c.engine.ID, took, usual)
	}

	t.profile().ObserveFirstEvent(c.prefillTokens, took)
}

// finish ends a complete stream.
func (t *task) finish(c choice, x *upstream.Exchange) outcome {
	if !t.stream.started {
		t.start(x.Header(), x.Status())
	}

	now := time.Now()
	t.recordCompletion(now)

	if t.arrival.Prompt != nil {
		t.profile().ObserveAnswer(t.arrival.Prompt.Output, now.Sub(t.stream.first))
	}

	t.served(c, x.Status(), t.stream.first)

	return outcome{done: true, mayHaveRun: true, targetOutcome: target.Succeeded}
}

// start writes the head of the response. The headers are those of the first target, even if
// another one continues the stream.
func (t *task) start(h http.Header, status int) {
	t.copyHeader(h)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(status)
	t.stream.started = true
	t.inFlight.begun.Store(true)
	t.stream.first = time.Now()
}

// emit sends complete events to the caller, without those that it already has.
func (t *task) emit(x *upstream.Exchange, reader *streamReader, events []byte) error {
	events = t.withoutRepeats(events)
	if len(events) == 0 {
		return nil
	}

	rc := http.NewResponseController(t.w)

	if !t.stream.started {
		t.start(x.Header(), x.Status())
	}

	if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}

	reader.beginWrite()
	defer reader.endWrite()

	if _, err := t.w.Write(events); err != nil {
		return err
	}

	if err := rc.Flush(); err != nil {
		return err
	}

	t.lastEventAfter.Store(int64(time.Since(t.began)))

	return nil
}

// withoutRepeats returns complete events without those that the caller already has, which a target that
// resumes the stream may send first, and records the last event's id. It overwrites events.
func (t *task) withoutRepeats(events []byte) []byte {
	kept := events[:0]

	for rest := events; len(rest) > 0; {
		n := eventstream.First(rest)
		if n == 0 {
			n = len(rest) // comments behind the last event
		}

		if !t.stream.isRepeat(rest[:n]) {
			kept = append(kept, rest[:n]...)
		}

		rest = rest[n:]
	}

	return kept
}

// isRepeat reports whether the caller already has an event. An event without an id belongs to the one before it.
func (s *stream) isRepeat(e []byte) bool {
	id, ok := eventstream.ID(e)

	switch {
	case !ok:
		return s.inRepeat
	case s.mayRepeat && id <= s.lastID:
		s.inRepeat = true
	default:
		s.lastID, s.hasLastID = id, true
		s.mayRepeat, s.inRepeat = false, false
	}

	return s.inRepeat
}
