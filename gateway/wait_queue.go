package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/roster"
)

// Limits on waiting for capacity.
const (
	// capacityPollInterval is the interval between checks for capacity; load reports come every 100 ms.
	capacityPollInterval = 25 * time.Millisecond
	// maxQueueLength limits the prompts that wait, and so the memory that they take. Their
	// maximum wait limits them long before.
	maxQueueLength = 256
	// defaultMaxWait is how long a prompt waits if its route sets no latency target.
	defaultMaxWait = time.Second
)

// waitQueue queues prompts until an engine has capacity, first come, first served.
//
// When more long prompts arrive than engines can take, each one that is sent all the same slows
// down all others and evicts cached prompts, which are then prefilled again: engines do a fraction
// of their work although nothing fails. A prompt in the queue costs its engine nothing, and one
// that can't be sent in time is refused without having run.
type waitQueue struct {
	head    chan struct{} // held by the prompt at the head, which polls for capacity
	waiting chan struct{} // one element for each prompt in the queue

	mu       sync.Mutex
	admitted []time.Time // when the last prompts left the head of the queue, in order
}

func newWaitQueue() *waitQueue {
	return &waitQueue{head: make(chan struct{}, 1), waiting: make(chan struct{}, maxQueueLength)}
}

const (
	// admissionsKept is the number of last prompts by which the queue's rate is measured.
	admissionsKept = 16
	// minQueueLength is how many prompts may wait whatever the queue's rate.
	minQueueLength = 8
)

// recordAdmission records that the prompt at the head found an engine, or got an error other than
// errNoCapacity.
func (q *waitQueue) recordAdmission(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.admitted = append(q.admitted, now)
	q.admitted = q.admitted[max(0, len(q.admitted)-admissionsKept):]
}

// wouldTimeOut reports whether one more prompt, which may wait for up to maxWait, would time out:
// more prompts wait before it than leave the queue in that time.
func (q *waitQueue) wouldTimeOut(now time.Time, maxWait time.Duration) bool {
	if len(q.waiting) < minQueueLength {
		return false
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.admitted) < admissionsKept {
		return false
	}

	each := now.Sub(q.admitted[0]) / admissionsKept

	return time.Duration(len(q.waiting))*each > maxWait
}

// maxWait returns how long the prompt waits for an engine with capacity before it is refused: after
// its latency target it is late in any case, and all prompts behind it would be.
func (t *task) maxWait() time.Duration {
	if t.stream.started && t.route.EventTimeout > 0 {
		// The caller waits for the rest of the stream.
		return t.route.EventTimeout
	}

	if t.route.LatencyTarget > 0 {
		return t.route.LatencyTarget
	}

	return defaultMaxWait
}

// throttledWaitShare is the part of its latency target that a prompt may wait for throttled engines.
const throttledWaitShare = 0.5

// mayQueueFor reports whether the prompt may wait for throttled engines behind others. These take the
// same number of requests however many wait, so a long queue serves no more prompts and makes all
// of them late: the time to their first event comes on top of the wait.
func (t *task) mayQueueFor(l throttled, ahead int) bool {
	most := t.maxWait()
	if !t.stream.started {
		most = time.Duration(throttledWaitShare * float64(most))
	}

	return l.waitBehind(ahead) <= most
}

// awaitCapacity waits until an engine has capacity and returns that choice. It returns the last
// error that wraps errNoCapacity, lastErr at first, if the wait is too long or a planned stop ends, and
// errContended if the prompt is to wait in the admission queue from now on.
func (t *task) awaitCapacity(ctx context.Context, lastErr error) (choice, error) {
	began := time.Now()
	q := t.g.waitQueue

	if errors.Is(lastErr, errSlowStart) && q.wouldTimeOut(began, t.maxWait()) {
		return choice{}, lastErr
	}

	if l, ok := asThrottled(lastErr); ok && !t.mayQueueFor(l, len(q.waiting)) {
		return choice{}, t.refuseThrottled(began, l, len(q.waiting))
	}

	select {
	case q.waiting <- struct{}{}:
		defer func() { <-q.waiting }()
	default:
		return choice{}, lastErr
	}

	ctx, cancel := context.WithTimeout(ctx, t.maxWait())
	defer cancel()

	// At the end of a stop the prompt is refused: the end of the process would cut it off,
	// although it has certainly not run.
	ended := t.g.drain.endReached

	select {
	case q.head <- struct{}{}:
		defer func() { <-q.head }()
	case <-ctx.Done():
		return choice{}, t.queueError(time.Now(), lastErr)
	case <-ended:
		return choice{}, lastErr
	}

	ticker := time.NewTicker(capacityPollInterval)
	defer ticker.Stop()

	for {
		if t.usesAdmission() {
			return choice{}, errContended
		}

		c, err := t.choose(ctx, time.Now())
		if !errors.Is(err, errNoCapacity) {
			q.recordAdmission(time.Now())
			event.Log(t.g.cfg.Log, event.RoomAwaited, "request_id", t.logID(), "waited_ms", time.Since(began).Milliseconds(), "waiting", len(q.waiting))

			return c, err
		}

		lastErr = err

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return choice{}, t.queueError(time.Now(), lastErr)
		case <-ended:
			return choice{}, lastErr
		}
	}
}

// queueError returns the error for a prompt that waited in vain, given the last one. Prompts that wait
// for throttled engines have the time until the next request there, which all of them would return
// for.
func (t *task) queueError(now time.Time, err error) error {
	if l, ok := asThrottled(err); ok {
		return t.refuseThrottled(now, l, len(t.g.waitQueue.waiting))
	}

	return err
}

// maxMemoryShare is the share of an engine's memory up to which prompts are sent: the rest is
// for tokens that running requests still generate.
const maxMemoryShare = 0.95

// fitsMemory reports whether a prompt fits into an engine's memory beside the requests that run and
// wait there; an engine without requests takes any prompt. If more were sent, each would be
// prefilled in chunks between all the others, they would hold their memory for seconds, and
// fetched parts would be evicted and prefilled again: at twice the usual load an engine then does a
// quarter of its work.
func (t *task) fitsMemory(e roster.Engine) bool {
	if e.Report.Running+e.Report.Waiting+e.SentSince.Requests == 0 {
		return true
	}

	p := t.arrival.Prompt
	used := max(e.Report.UsedTokens+e.SentSince.CacheTokens, t.leasedTokens(e)) + t.profile().MeanKVTokens()*e.Report.Waiting

	return float64(used+p.Tokens+p.Output) <= maxMemoryShare*float64(t.service.Engines.CacheTokens)
}

// errSlowStart is returned if all engines that could take the prompt are in slow start and may
// get no more now. Prompts wait for them as for capacity.
var errSlowStart = failure.Wrap(failure.QueueFull, errNoCapacity, "all available engines are in slow start")

// errNoCapacity is returned if the engines that could take the prompt have no capacity for it now.
var errNoCapacity = failure.New(failure.QueueFull, "no engine has capacity for the prompt").WithRetryAfter(capacityRetryAfter)
