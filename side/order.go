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

// orderState is what this process knows of the orders to its engine. It checks fencing
// numbers for engines that ignore them: a leader that was paused past its lease still
// sends its order when it resumes, and the engine would drop weights that the new leader
// relies on.
type orderState struct {
	mu             sync.Mutex
	fence          lease.Guard
	accepted       uint64
	pendingVersion string // ordered but not loaded yet; empty for none
	loadStarted    bool   // the engine has reported loading since that order

	loading       bool
	stateSince    time.Time
	role          string
	adapters      []string
	failedVersion string
	failedAt      time.Time
}

// check returns an error for an order that is out of date. A process that has just started
// does not know the newest fencing number, so it refuses all orders until the leader has
// announced its own.
func (o *orderState) check(m message.Order) error {
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
		return failure.New(failure.StaleFence, "order %d arrived after order %d", m.Number, o.accepted)
	}

	return nil
}

// recordAccepted records an order that the engine has accepted.
func (o *orderState) recordAccepted(m message.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.accepted = max(o.accepted, m.Number)

	if m.Kind == string(weights.LoadWeights) {
		o.pendingVersion = m.Version
		o.loadStarted = false
	}
}

// observe records the state that the engine reported, and returns the weight version of a
// load that has just failed, or an empty string.
func (o *orderState) observe(now time.Time, info engine.Info) (failed string) {
	o.mu.Lock()
	defer o.mu.Unlock()

	loading := !info.Ready()
	if loading != o.loading || o.stateSince.IsZero() {
		o.stateSince = now
	}

	o.loading = loading
	o.role = info.Role
	o.adapters = info.Adapters
	o.loadStarted = o.loadStarted || loading

	switch {
	case o.pendingVersion == "":
	case info.WeightVersion == o.pendingVersion:
		o.pendingVersion = ""
	case o.loadStarted && !loading:
		failed = o.pendingVersion
		o.failedVersion, o.failedAt = o.pendingVersion, now
		o.pendingVersion = ""
	}

	return failed
}

// fillState sets the fields of the target's state that follow from orders.
func (o *orderState) fillState(now time.Time, st *message.State) {
	o.mu.Lock()
	defer o.mu.Unlock()

	st.Loading = o.loading
	st.StateAgeMS = now.Sub(o.stateSince).Milliseconds()
	st.Role = o.role
	st.Adapters = o.adapters
	st.Fence = o.fence.Newest()
	st.Accepted = o.accepted
	st.FailedVersion = o.failedVersion

	if o.failedVersion != "" {
		st.FailedAgeMS = now.Sub(o.failedAt).Milliseconds()
	}
}

// handleOrder answers an Order.
func (s *Side) handleOrder(ctx context.Context, to *peer.Stream, m message.Order) error {
	if err := s.forwardOrder(ctx, m); err != nil {
		event.Fail(s.cfg.Log, err, event.OrderRefused, "kind", m.Kind, "fence", m.Fence, "number", m.Number)

		return err
	}

	event.Log(s.cfg.Log, event.OrderTaken, "kind", m.Kind, "fence", m.Fence, "number", m.Number, "weight_version", m.Version)

	return to.Send(message.Ack{})
}

func (s *Side) forwardOrder(ctx context.Context, m message.Order) error {
	s.orderMu.Lock()
	defer s.orderMu.Unlock()

	if err := s.orders.check(m); err != nil {
		return err
	}

	if m.Kind == string(weights.AnnounceFence) {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
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

	s.orders.recordAccepted(m)

	return nil
}
