package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/site"
	"boragehub/target"
	"boragehub/upstream"
)

// stream is what the caller has of its stream.
type stream struct {
	// started says that the head of the answer went out.
	started bool
	// first is when the first event went out.
	first time.Time
	// last is the number of the last event that went out, and has says that there
	// is one.
	last int64
	has  bool
}

// readSize is how much of a stream is read at once. Events have some 50 bytes.
const readSize = 4 << 10

// maxEvent bounds an event that has not ended.
const maxEvent = 1 << 20

// writePatience is how long a caller may take to read what it is sent.
const writePatience = 5 * time.Second

var errEventTooLong = errors.New("an event is too long")

// streaming reports whether the answer is a series of events.
func (t *task) streaming() bool { return t.route.Kind == site.Stream }

// resumeAfter is the number of the last event that the caller has, as sent to
// targets.
func (t *task) resumeAfter() string {
	if t.stream.has {
		return strconv.FormatInt(t.stream.last, 10)
	}

	return t.arrival.ResumeAfter
}

// pass passes a stream on, whole events only. An engine may break off within an
// event; the next one then goes on behind the last whole one.
func (t *task) pass(ctx context.Context, c choice, x *upstream.Exchange, a Answer) outcome {
	if !a.Genuine || a.Encoded {
		return outcome{ran: true, kind: failure.TargetLost, cause: errForged, standing: target.Failed}
	}

	if t.stream.started {
		event.Log(t.g.cfg.Log, event.StreamResumed, "request_id", t.arrival.ID, "target", c.engine.ID, "after_id", t.resumeAfter())
	}

	var held []byte

	buf := make([]byte, readSize)

	for {
		n, err := x.Read(buf)
		if n > 0 {
			t.g.cfg.Roster.Heard(time.Now(), c.engine.ID)
		}

		held = append(held, buf[:n]...)

		end := eventsEnd(held)
		if errors.Is(err, io.EOF) {
			end = len(held)
		}

		begins := !t.stream.started

		if werr := t.emit(x, held[:end]); werr != nil {
			t.left()
		}

		if begins && t.stream.started {
			t.first(&c)
		}

		held = held[:copy(held, held[end:])]

		switch {
		case err == nil && len(held) > maxEvent:
			return outcome{ran: true, kind: failure.TargetLost, cause: errEventTooLong, standing: target.Failed}
		case err == nil:
		case errors.Is(err, io.EOF):
			return t.finish(c, x)
		default:
			return t.unanswered(ctx, c, err)
		}
	}
}

// first takes what the time to the first event tells of how fast engines read.
func (t *task) first(c *choice) {
	if c.idle {
		t.fleet().Read(c.unread, time.Since(t.sentAt))
	}
}

// finish ends a stream that came to its end.
func (t *task) finish(c choice, x *upstream.Exchange) outcome {
	if !t.stream.started {
		t.start(x.Header(), x.Status())
	}

	now := time.Now()
	t.g.cfg.Crashes.Completed(now, t.print)

	if t.arrival.Prompt != nil {
		t.fleet().Ended(t.arrival.Prompt.Output, now.Sub(t.stream.first))
	}

	t.served(c, x.Status(), t.stream.first)

	return outcome{done: true, ran: true, standing: target.Succeeded}
}

// start writes the head of the answer: that of the first target, also if another
// one goes on.
func (t *task) start(h http.Header, status int) {
	t.copyHeader(h)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(status)
	t.stream.started = true
	t.stream.first = time.Now()
}

// emit sends whole events to the caller, without those that it has.
func (t *task) emit(x *upstream.Exchange, events []byte) error {
	events = t.fresh(events)
	if len(events) == 0 {
		return nil
	}

	rc := http.NewResponseController(t.w)

	if !t.stream.started {
		t.start(x.Header(), x.Status())
	}

	if err := rc.SetWriteDeadline(time.Now().Add(writePatience)); err != nil {
		return err
	}

	if _, err := t.w.Write(events); err != nil {
		return err
	}

	if err := rc.Flush(); err != nil {
		return err
	}

	t.shown.Store(int64(time.Since(t.began)))

	return nil
}

// fresh drops the events that the caller has and notes the last one.
func (t *task) fresh(events []byte) []byte {
	skip := 0

	for rest := events; len(rest) > 0; {
		end := nextEvent(rest)

		id, ok := eventID(rest[:end])
		if ok && t.stream.has && id <= t.stream.last {
			skip += end
		} else if ok {
			t.stream.last, t.stream.has = id, true
		}

		rest = rest[end:]
	}

	return events[skip:]
}

// eventsEnd returns the length of the whole events at the beginning of b.
func eventsEnd(b []byte) int {
	i := bytes.LastIndex(b, []byte("\n\n"))
	if i < 0 {
		return 0
	}

	return i + len("\n\n")
}

// nextEvent returns the length of the first event of b.
func nextEvent(b []byte) int {
	i := bytes.Index(b, []byte("\n\n"))
	if i < 0 {
		return len(b)
	}

	return i + len("\n\n")
}

// eventID returns the number of an event.
func eventID(e []byte) (int64, bool) {
	for line := range bytes.SplitSeq(e, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}

		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)

		return id, err == nil
	}

	return 0, false
}
