package side

import (
	"context"
	"sync"
	"time"

	"boragehub/engine"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/journal/lease"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/weights"
)

// orders is what this process knows of the orders to its engine. It is the fence
// for engines that ignore fencing numbers: a leader that was paused past its
// lease still sends its order when it wakes, and the engine would drop weights
// that the new leader counts on.
type orders struct {
	mu       sync.Mutex
	fence    lease.Guard
	accepted uint64
	version  string // ordered and not seen yet; empty for none
	began    bool   // the engine was seen loading since

	loading  bool
	since    time.Time
	role     string
	adapters []string
	failed   string
	failedAt time.Time
}

// check passes an order by the fence. A process that has just started has
// forgotten which fencing number was the newest, so it takes no order before the
// leader has announced its own.
func (o *orders) check(m message.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()

	announced := m.Kind == string(weights.AnnounceFence)
	if !announced && o.fence.Newest() == 0 {
		return failure.New(failure.StaleFence, "no fencing number was announced since this process started")
	}

	before := o.fence.Newest()

	if err := o.fence.Check(m.Fence); err != nil {
		return err
	}

	if m.Fence > before {
		o.accepted = 0
	}

	if !announced && m.Number <= o.accepted {
		return failure.New(failure.StaleFence, "order %d came after order %d", m.Number, o.accepted)
	}

	return nil
}

// accept notes an order that the engine took.
func (o *orders) accept(m message.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.accepted = max(o.accepted, m.Number)

	if m.Kind == string(weights.LoadWeights) {
		o.version = m.Version
		o.began = false
	}
}

// observe follows what the engine says, and returns the version of a load that
// has just failed.
func (o *orders) observe(now time.Time, info engine.Info) (failed string) {
	o.mu.Lock()
	defer o.mu.Unlock()

	loading := !info.Ready()
	if loading != o.loading || o.since.IsZero() {
		o.since = now
	}

	o.loading = loading
	o.role = info.Role
	o.adapters = info.Adapters
	o.began = o.began || loading

	switch {
	case o.version == "":
	case info.WeightVersion == o.version:
		o.version = ""
	case o.began && !loading:
		failed = o.version
		o.failed, o.failedAt = o.version, now
		o.version = ""
	}

	return failed
}

// describe adds what is known of orders to the target's state.
func (o *orders) describe(now time.Time, st *message.State) {
	o.mu.Lock()
	defer o.mu.Unlock()

	st.Loading = o.loading
	st.StateAgeMS = now.Sub(o.since).Milliseconds()
	st.Role = o.role
	st.Adapters = o.adapters
	st.Fence = o.fence.Newest()
	st.Accepted = o.accepted
	st.FailedVersion = o.failed

	if o.failed != "" {
		st.FailedAgeMS = now.Sub(o.failedAt).Milliseconds()
	}
}

// order answers an Order.
func (s *Side) order(ctx context.Context, to *peer.Stream, m message.Order) error {
	if err := s.obey(ctx, m); err != nil {
		event.Fail(s.cfg.Log, err, event.OrderRefused, "kind", m.Kind, "fence", m.Fence, "number", m.Number)

		return err
	}

	event.Log(s.cfg.Log, event.OrderTaken, "kind", m.Kind, "fence", m.Fence, "number", m.Number, "weight_version", m.Version)

	return to.Send(message.Ack{})
}

func (s *Side) obey(ctx context.Context, m message.Order) error {
	s.ordering.Lock()
	defer s.ordering.Unlock()

	if err := s.orders.check(m); err != nil {
		return err
	}

	if m.Kind == string(weights.AnnounceFence) {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	err := s.engine.Order(ctx, engine.Order{
		Fence:         m.Fence,
		Kind:          m.Kind,
		WeightVersion: m.Version,
		Adapter:       m.Adapter,
		Role:          m.Role,
	})
	if err != nil {
		return err
	}

	s.orders.accept(m)

	return nil
}
