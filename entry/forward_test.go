package entry

import (
	"testing"

	"boragehub/failure"
	"boragehub/message"
)

// Guards against a caller whose connection breaks because a side process passes on a status that HTTP doesn't have, and
// against telling it that the call has not run.
func TestReplyWithABrokenStatusIsNoResponse(t *testing.T) {
	for _, tt := range []struct {
		status int
		want   bool
	}{{0, false}, {-20, false}, {99, false}, {100, false}, {101, false}, {199, false}, {200, true}, {204, true}, {404, true}, {599, true}, {600, false}, {999, false}, {1000, false}} {
		err := checkReply(message.Reply{Status: tt.status})
		if got := err == nil; got != tt.want {
			t.Errorf("status %d: got accepted %v, want %v", tt.status, got, tt.want)
		}

		if err != nil && failure.KindOf(err).Response().Ran != failure.MayHaveRun {
			t.Errorf("status %d: got %v, want an error that says that it may have run", tt.status, err)
		}
	}
}
