package wholepath

import (
	"sync"
	"testing"
)

// A caller sends a request that crashes its engine to two entries at the same
// moment. Two engines die before anybody can know; but each entry tries again
// after a few milliseconds, and if the other's crash has not been told by then, a
// third engine dies with all its riders.
func TestCrashingPromptSentToTwoEntriesAtOnce(t *testing.T) {
	const engines, entries = 5, 2

	w, crashes := crashWorld(t, engines, entries, 1e6)

	var callers sync.WaitGroup

	for i := range entries {
		callers.Go(func() {
			if _, err := w.entries[i].complete(t.Context(), desk, poison, 4); err == nil {
				t.Error("got an answer to a prompt that crashes its engine")
			}
		})
	}

	callers.Wait()

	if got, most := crashes.Load(), int32(2); got > most {
		t.Errorf("got %d engines crashed, want at most %d", got, most)
	}
}
