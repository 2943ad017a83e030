package wholepath

import (
	"sync"
	"testing"
)

// A caller sends a request that crashes its engine to two entries at the same time.
// Two engines crash before the cause can be known. Each entry retries after a few
// milliseconds; if the crash seen by the other entry has not been reported by then, a
// third engine crashes with all its requests.
func TestCrashingPromptSentToTwoEntriesAtOnce(t *testing.T) {
	const engines, entries = 5, 2

	env, crashes := startCrashEnv(t, engines, entries, 1e6)

	var callers sync.WaitGroup

	for i := range entries {
		callers.Go(func() {
			if _, err := env.entries[i].complete(t.Context(), deskKey, crashPrompt, 4); err == nil {
				t.Error("got a response to a prompt that crashes its engine")
			}
		})
	}

	callers.Wait()

	if got, maxCrashes := crashes.Load(), int32(2); got > maxCrashes {
		t.Errorf("got %d engines crashed, want at most %d", got, maxCrashes)
	}
}
