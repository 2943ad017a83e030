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
		s.signals().writeTo(w.Header())
	}

	chain.ProcessFilter(q, w)
}
