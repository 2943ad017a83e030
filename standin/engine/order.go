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
	// maxLoadAttempts is how often a load is attempted before the order fails.
	maxLoadAttempts   = 50
	loadRetryInterval = 100 * time.Millisecond
)

// Order is the body of POST /orders.
type Order struct {
	// Fence is the fencing number; one lower than the highest seen is rejected.
	Fence uint64 `json:"fence"`
	// Kind is "load_weights", "load_adapter" or "set_role".
	Kind string `json:"kind"`
	// WeightVersion is the version to load.
	WeightVersion string `json:"weight_version,omitempty"`
	// Adapter is the adapter to load.
	Adapter string `json:"adapter,omitempty"`
	// Role is the role to assume.
	Role string `json:"role,omitempty"`
}

func (s *Server) postOrder(q *restful.Request, w *restful.Response) {
	o, ok := standin.DecodeBody[Order](w, q.Request)
	if !ok {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if o.Fence < s.highestFence && !s.Faults().IgnoresFence {
		standin.WriteError(w, http.StatusConflict, "stale_fence", fmt.Sprintf("fence %d is older than %d", o.Fence, s.highestFence))
		return
	}

	s.highestFence = max(s.highestFence, o.Fence)

	switch o.Kind {
	case "set_role":
		s.role = o.Role
	case "load_weights":
		s.state = stateLoading
		s.loadGeneration++

		go s.runLoad(o, s.loadGeneration, o.WeightVersion)
	case "load_adapter":
		go s.runLoad(o, 0, o.Adapter)
	default:
		standin.WriteError(w, http.StatusBadRequest, "bad_request", "unknown order kind "+o.Kind)
		return
	}

	w.WriteHeader(http.StatusAccepted)
}

// runLoad downloads a weight version or adapter by name from the weight store and applies
// the order. If the server stops first, it applies nothing.
func (s *Server) runLoad(o Order, generation int, name string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() {
		select {
		case <-s.Stopping():
			cancel()
		case <-ctx.Done():
		}
	}()

	loaded := s.cfg.WeightStore == ""
	for i := 0; i < maxLoadAttempts && !loaded; i++ {
		if loaded = s.download(ctx, name); !loaded && !pause.For(ctx, loadRetryInterval) {
			return
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.finishLoad(time.Now(), o, generation, loaded)
}

// download makes one download attempt and reports whether all bytes arrived.
func (s *Server) download(ctx context.Context, name string) bool {
	target, err := url.JoinPath(s.cfg.WeightStore, "weights", s.cfg.Model, name)
	if err != nil {
		return false
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()

	_, err = io.Copy(io.Discard, resp.Body)

	return err == nil && resp.StatusCode == http.StatusOK
}

// finishLoad ends a load. A failed load leaves the old version in use, and a load of weights
// superseded by a later order changes nothing. The caller holds mu.
func (s *Server) finishLoad(now time.Time, o Order, generation int, loaded bool) {
	if o.Kind == "load_adapter" {
		if loaded && !slices.Contains(s.adapters, o.Adapter) {
			s.adapters = append(s.adapters, o.Adapter)
		}

		return
	}

	if generation != s.loadGeneration {
		return
	}

	if loaded && s.version != o.WeightVersion {
		s.version = o.WeightVersion
		s.clearCache(now)
	}

	s.state = stateReady
	s.admitWaiting(now)
}
