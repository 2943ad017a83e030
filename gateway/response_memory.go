package gateway

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"boragehub/intake"
)

const (
	// defaultResponseBytes is the default of Config.ResponseBytes.
	defaultResponseBytes = 64 << 20
	// heldFreely is how much of each response is held without a share of Config.ResponseBytes, so that a
	// target that sends without end takes nothing from the responses of others.
	heldFreely = 64 << 10
	// bufferCopies is how many times what is held of a response is in memory while its buffer grows.
	bufferCopies = 2
	// chargedAbove is how much of a response the memory of its connection covers.
	chargedAbove = 1 << 10
)

// errResponseMemory is the cause of a response that was given up as long ones take all memory for them.
var errResponseMemory = errors.New("the response is long, and the memory for long responses is used up")

// responseMemory bounds what an entry holds of all responses that it has yet to pass on, beyond heldFreely of
// each.
type responseMemory struct {
	limit int64
	used  atomic.Int64
}

func newResponseMemory(limit int64) *responseMemory {
	if limit <= 0 {
		limit = defaultResponseBytes
	}

	return &responseMemory{limit: limit}
}

// heldResponse is what is held of one response.
type heldResponse struct {
	memory  *responseMemory
	account *intake.Account // of the caller's connection
	charged bool
	share   int64
}

// grow takes the memory for a response of which n bytes are held. It returns errResponseMemory if there is none.
func (h *heldResponse) grow(n int) error {
	if n > chargedAbove {
		if h.account.SetResponse(time.Now(), bufferCopies*int64(n), bufferCopies*heldFreely) != nil {
			return errResponseMemory
		}

		h.charged = true
	}

	more := int64(n) - heldFreely - h.share
	if more <= 0 {
		return nil
	}

	if h.memory.used.Add(more) > h.memory.limit {
		h.memory.used.Add(-more)

		return errResponseMemory
	}

	h.share += more

	return nil
}

// growEvent is grow for an incomplete event of a stream, of at most maxEventBytes.
func (h *heldResponse) growEvent(n int) error {
	if n > maxEventBytes {
		return errEventTooLong
	}

	return h.grow(n)
}

// release returns the memory.
func (h *heldResponse) release() {
	h.memory.used.Add(-h.share)
	h.share = 0

	if h.charged {
		//nolint:errcheck,gosec // nothing is needed for no response
		h.account.SetResponse(time.Now(), 0, 0)
	}
}

// heldReader reads a response that is held to its end.
type heldReader struct {
	src  io.Reader
	held *heldResponse
	n    int
}

// Read implements io.Reader.
func (r *heldReader) Read(b []byte) (int, error) {
	n, err := r.src.Read(b)
	r.n += n

	if full := r.held.grow(r.n); full != nil {
		return n, full
	}

	return n, err
}
