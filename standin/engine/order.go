package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/emicklei/go-restful/v3"

	"boragehub/pause"
	"boragehub/standin"
)

const (
	// maxLoadTries is how often a load is tried before the order counts as failed.
	maxLoadTries = 50
	loadPause    = 100 * time.Millisecond
)

// Order is the body of POST /orders.
type Order struct {
	// Fence is the fencing number; an older one than seen before is refused.
	Fence uint64 `json:"fence"`
	// Kind is "load_weights", "load_adapter" or "set_role".
	Kind string `json:"kind"`
	// WeightVersion is the version to load.
	WeightVersion string `json:"weight_version,omitempty"`
	// Adapter is the adapter to load.
	Adapter string `json:"adapter,omitempty"`
	// Role is the role to take.
	Role string `json:"role,omitempty"`
}

func (s *Server) order(q *restful.Request, w *restful.Response) {
	o, ok := standin.Decode[Order](w, q.Request)
	if !ok {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if o.Fence < s.fence && !s.Faults().IgnoresFence {
		standin.Fail(w, http.StatusConflict, "stale_fence", fmt.Sprintf("%d is older than %d", o.Fence, s.fence))
		return
	}

	s.fence = max(s.fence, o.Fence)

	switch o.Kind {
	case "set_role":
		s.role = o.Role
	case "load_weights":
		s.state = stateLoading
		s.attempt++

		go s.fetch(o, s.attempt, o.WeightVersion)
	case "load_adapter":
		go s.fetch(o, 0, o.Adapter)
	default:
		standin.Fail(w, http.StatusBadRequest, "bad_request", "unknown kind "+o.Kind)
		return
	}

	w.WriteHeader(http.StatusAccepted)
}

// fetch loads a name from the weight store and puts the order into force.
func (s *Server) fetch(o Order, attempt int, name string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() {
		select {
		case <-s.Stopping():
			cancel()
		case <-ctx.Done():
		}
	}()

	ok := s.cfg.WeightStore == ""
	for i := 0; i < maxLoadTries && !ok; i++ {
		if ok = s.try(ctx, name); !ok && !pause.For(ctx, loadPause) {
			return
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.finish(time.Now(), o, attempt, ok)
}

// try fetches once and reports whether all bytes came.
func (s *Server) try(ctx context.Context, name string) bool {
	at, err := url.JoinPath(s.cfg.WeightStore, "weights", s.cfg.Model, name)
	if err != nil {
		return false
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return false
	}

	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()

	_, err = io.Copy(io.Discard, answer.Body)

	return err == nil && answer.StatusCode == http.StatusOK
}

// finish ends a load. A load that failed leaves the old version in force, and
// one that a later order overtook changes nothing. The caller holds mu.
func (s *Server) finish(now time.Time, o Order, attempt int, ok bool) {
	if o.Kind == "load_adapter" {
		if ok && !slices.Contains(s.adapters, o.Adapter) {
			s.adapters = append(s.adapters, o.Adapter)
		}

		return
	}

	if attempt != s.attempt {
		return
	}

	if ok && s.version != o.WeightVersion {
		s.version = o.WeightVersion
		s.clear(now)
	}

	s.state = stateReady
	s.start(now)
}
