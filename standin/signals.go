package standin

import (
	"net/http"
	"strconv"

	"github.com/emicklei/go-restful/v3"
)

// SignalFaults are what a target asks of its callers in the headers of all responses. The zero
// SignalFaults ask for nothing.
type SignalFaults struct {
	// RateLimit is the number of requests a second that it takes from all callers together; 0
	// names no limit.
	RateLimit float64 `json:"rate_limit"`
	// Leaving says that it is about to leave.
	Leaving bool `json:"leaving"`
	// RefuseForMS makes it refuse work with 503 and this Retry-After time, in ms; 0 refuses none.
	RefuseForMS int64 `json:"refuse_for_ms"`
}

func (f *SignalFaults) signals() SignalFaults { return *f }

// writeTo adds the headers that ask for f.
func (f SignalFaults) writeTo(h http.Header) {
	if f.RateLimit > 0 {
		h.Set("X-Request-Rate-Limit", strconv.FormatFloat(f.RateLimit, 'f', -1, 64))
	}

	if f.Leaving {
		h.Set("X-Leaving", "1")
	}
}

// addSignals adds the signals to a response.
func (b *BaseServer[F]) addSignals(q *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	faults := b.Faults()
	if s, ok := any(&faults).(interface{ signals() SignalFaults }); ok {
		f := s.signals()
		f.writeTo(w.Header())

		if f.RefuseForMS > 0 && b.cfg.IsWork != nil && b.cfg.IsWork(q.Request) {
			b.refused.Add(1)
			w.Header().Set("Retry-After", strconv.FormatFloat(Milliseconds(f.RefuseForMS).Seconds(), 'f', -1, 64))
			WriteError(w, http.StatusServiceUnavailable, "overloaded", "the target wants no requests now")

			return
		}
	}

	chain.ProcessFilter(q, w)
}

// Refused returns the number of requests that RefuseForMS refused.
func (b *BaseServer[F]) Refused() int64 { return b.refused.Load() }
