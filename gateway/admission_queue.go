package gateway

import (
	"sync"
	"time"

	"boragehub/admission"
	"boragehub/event"
	"boragehub/profile"
)

const (
	// admissionTick is the interval between rounds of tries if nothing else starts one.
	admissionTick = 25 * time.Millisecond
	// minRoundInterval is the least time between the beginnings of two rounds. Load reports of 45
	// engines arrive every 3 ms, and a decision among these takes 0.1 ms: a round of eight at each
	// report would take a third of a core. Small VMs have a seventh of one, of which a round in this
	// time takes a fifth.
	minRoundInterval = 25 * time.Millisecond
)

// CapacityChanged lets the prompts that wait for an engine try again, as when a load report has
// arrived.
func (g *Gateway) CapacityChanged(now time.Time) {
	for _, q := range g.admission.all() {
		q.wake(now)
	}
}

// admissionQueues holds the admission queue of each service. The zero value is empty.
type admissionQueues struct {
	mu        sync.Mutex
	byService map[string]*admissionQueue
}

// forService returns the queue of a service of a gateway.
func (a *admissionQueues) forService(g *Gateway, service string) *admissionQueue {
	a.mu.Lock()
	defer a.mu.Unlock()

	q, ok := a.byService[service]
	if !ok {
		if a.byService == nil {
			a.byService = make(map[string]*admissionQueue)
		}

		q = &admissionQueue{g: g, queue: admission.New(admission.Config{}), waiters: make(map[*admission.Ticket]*admissionWaiter)}
		a.byService[service] = q
	}

	return q
}

// all returns the queues of all services.
func (a *admissionQueues) all() []*admissionQueue {
	a.mu.Lock()
	defer a.mu.Unlock()

	all := make([]*admissionQueue, 0, len(a.byService))
	for _, q := range a.byService {
		all = append(all, q)
	}

	return all
}

// admissionQueue runs the admission queue of one service. Rounds of tries are started by wake and by
// a timer. In a round, one waiter at a time has the turn to look for an engine: it may have to ask
// the process beside the engine, so mu is not held meanwhile.
type admissionQueue struct {
	g *Gateway

	shortFirstEvents, longFirstEvents profile.Mean

	mu         sync.Mutex
	queue      *admission.Queue
	waiters    map[*admission.Ticket]*admissionWaiter
	turn       *admissionWaiter // who has the turn; nil between rounds
	wanted     bool             // whether another round is wanted after the present one
	roundBegan time.Time
	timerAt    time.Time // when the timer starts the next round; zero if it isn't set
	reserved   *admission.Ticket
}

// admissionWaiter is a prompt that waits.
type admissionWaiter struct {
	task    *task
	ticket  *admission.Ticket
	turn    chan struct{}          // receives one element when the prompt has the turn
	refused chan admission.Refusal // receives one element if the prompt is refused
}

func (q *admissionQueue) mayPass(p admission.Prompt) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.queue.MayPass(p)
}

func (q *admissionQueue) use(organisation string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.queue.Use(organisation, tokens)
}

func (q *admissionQueue) release(now time.Time, organisation string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.queue.Release(organisation, tokens)
	q.requestRound(now)
}

// wake lets the waiting prompts try again.
func (q *admissionQueue) wake(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.requestRound(now)
}

// enter adds a prompt. If it is refused at once, its waiter receives the refusal.
func (q *admissionQueue) enter(now time.Time, t *task, p admission.Prompt, cause error) *admissionWaiter {
	q.mu.Lock()
	defer q.mu.Unlock()

	p.Obstacle = obstacle(now, cause, q.queue.Len())
	ticket, refusals := q.queue.Enter(now, p)
	w := &admissionWaiter{task: t, ticket: ticket, turn: make(chan struct{}, 1), refused: make(chan admission.Refusal, 1)}

	q.waiters[ticket] = w
	q.count(ticket, 1)
	q.notifyRefused(refusals)

	if _, ok := q.waiters[ticket]; ok {
		rate := q.queue.Rate(now)
		event.Log(q.g.cfg.Log, event.PromptQueued, "request_id", t.logID(), "route", t.route.Name, "rank", p.Rank,
			"organisation", p.Organisation, "in_use", q.queue.InUse(p.Organisation), "tokens", p.MemoryTokens, "short", p.Short, "late", ticket.Late(),
			"started", p.Started, "cause", cause.Error(), "ahead", ticket.Ahead(), "waiting", q.queue.Len(), "per_second", rate.PerSecond, "rate_age_ms", rate.Age.Milliseconds(),
			"target_left_ms", p.Target.Sub(now).Milliseconds(), "due_ms", ticket.Due().Sub(now).Milliseconds())
	}

	q.requestRound(now)

	return w
}

// refuse refuses a waiting prompt for a reason that the queue doesn't know by itself.
func (q *admissionQueue) refuse(now time.Time, w *admissionWaiter, reason admission.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.waiters[w.ticket]; ok {
		q.notifyRefused([]admission.Refusal{q.queue.Refuse(now, w.ticket, reason)})
		q.endTurn(now, w)
	}
}

// withdraw removes a prompt, unless it has left the queue already.
func (q *admissionQueue) withdraw(now time.Time, w *admissionWaiter, cause string) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.waiters[w.ticket]; !ok {
		return
	}

	event.Log(q.g.cfg.Log, event.PromptWithdrawn, "request_id", w.task.logID(), "waited_ms", w.ticket.Waited(now).Milliseconds(),
		"ahead", w.ticket.Ahead(), "overtaken", w.ticket.Overtaken(), "cause", cause)
	q.queue.Leave(now, w.ticket)
	q.removed(w.ticket)
	q.endTurn(now, w)
}

// admitted removes a prompt that found an engine. It keeps the turn.
func (q *admissionQueue) admitted(now time.Time, w *admissionWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()

	a := q.queue.Admit(now, w.ticket)
	q.removed(w.ticket)

	if q.g.cfg.Meter != nil {
		q.g.cfg.Meter.Admitted(a.Waited)
	}

	event.Log(q.g.cfg.Log, event.PromptAdmitted, "request_id", w.task.logID(), "waited_ms", a.Waited.Milliseconds(), "ahead", a.Ahead,
		"overtaken", a.Overtaken, "reserved", a.Reserved, "late", w.ticket.Late(), "waiting", q.queue.Len(), "per_second", a.Rate.PerSecond, "rate_age_ms", a.Rate.Age.Milliseconds())
}

// failed records that a prompt found no engine in its turn.
func (q *admissionQueue) failed(now time.Time, w *admissionWaiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.queue.Failed(w.ticket, obstacle(now, err, 0))
	q.endTurn(now, w)
}

// notifyRefused passes refusals on to their waiters. The caller holds mu.
func (q *admissionQueue) notifyRefused(refusals []admission.Refusal) {
	for _, r := range refusals {
		q.waiters[r.Ticket].refused <- r
		q.removed(r.Ticket)
	}
}

// removed records that a prompt has left the queue. The caller holds mu.
func (q *admissionQueue) removed(t *admission.Ticket) {
	delete(q.waiters, t)
	q.count(t, -1)
}

func (q *admissionQueue) count(t *admission.Ticket, change int) {
	if q.g.cfg.Meter != nil {
		q.g.cfg.Meter.Waiting(t.Prompt().Rank, change)
	}
}

// requestRound starts a round, or has one start when the present one has ended and minRoundInterval
// has passed. The caller holds mu.
func (q *admissionQueue) requestRound(now time.Time) {
	wait := minRoundInterval - now.Sub(q.roundBegan)

	switch {
	case q.queue.Len() == 0:
	case q.turn != nil:
		q.wanted = true
	case wait > 0:
		q.startTimer(now, wait)
	default:
		q.roundBegan, q.wanted = now, false
		q.notifyRefused(q.queue.Sweep(now))
		q.queue.StartRound(now)
		q.passTurn(now)
	}
}

// endTurn passes the turn on if a waiter has it. The caller holds mu.
func (q *admissionQueue) endTurn(now time.Time, w *admissionWaiter) {
	if q.turn == w {
		q.passTurn(now)
	}
}

// passTurn gives the turn to the next prompt of the round, or ends the round. The caller holds mu.
func (q *admissionQueue) passTurn(now time.Time) {
	next := q.queue.Next(now)
	q.logReservation(now)

	if next != nil {
		q.turn = q.waiters[next]
		q.turn.turn <- struct{}{}

		return
	}

	q.turn = nil

	switch {
	case q.queue.Len() == 0:
	case q.wanted:
		q.startTimer(now, max(minRoundInterval-now.Sub(q.roundBegan), 0))
	default:
		q.startTimer(now, admissionTick)
	}
}

// logReservation logs that a prompt has got the reservation. The caller holds mu.
func (q *admissionQueue) logReservation(now time.Time) {
	holder := q.queue.Holder(now)
	if holder == q.reserved {
		return
	}

	q.reserved = holder

	if holder != nil {
		p := holder.Prompt()
		event.Log(q.g.cfg.Log, event.PromptReserved, "request_id", q.waiters[holder].task.logID(), "rank", p.Rank,
			"waited_ms", holder.Waited(now).Milliseconds(), "overtaken", holder.Overtaken(), "tokens", p.MemoryTokens, "waiting", q.queue.Len())
	}
}

// startTimer has a round start after a time, unless one starts earlier. The caller holds mu.
func (q *admissionQueue) startTimer(now time.Time, wait time.Duration) {
	at := now.Add(wait)
	if !q.timerAt.IsZero() && !at.Before(q.timerAt) {
		return
	}

	q.timerAt = at

	time.AfterFunc(wait, func() {
		q.mu.Lock()
		defer q.mu.Unlock()

		// The timer may have been replaced by an earlier one.
		if q.timerAt.Equal(at) {
			q.timerAt = time.Time{}
			q.requestRound(time.Now())
		}
	})
}

// maxLeadShare bounds leadTime: with more, all prompts would count as late while engines are slow, and
// their order would be that of their deadlines.
const maxLeadShare = 0.5

// leadTime returns how long before the end of its latency target a prompt has to be sent to be on
// time: the usual time from then to the first event.
func (q *admissionQueue) leadTime(short bool, target time.Duration) time.Duration {
	ms, _ := q.firstEvents(short).Value()

	return min(time.Duration(ms*float64(time.Millisecond)), time.Duration(maxLeadShare*float64(target)))
}

// firstEvents returns the mean of the times from sending to the first event, in ms. It differs by ten
// times between short prompts and others.
func (q *admissionQueue) firstEvents(short bool) *profile.Mean {
	if short {
		return &q.shortFirstEvents
	}

	return &q.longFirstEvents
}
