package failure

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"
)

func TestTableIsComplete(t *testing.T) {
	codes := map[string]Kind{}

	for _, k := range Kinds() {
		a := k.Response()
		if a.Status < 400 || a.Type == "" || a.Code == "" {
			t.Errorf("kind %d: got incomplete response %+v", k, a)
		}

		if other, ok := codes[a.Code]; ok {
			t.Errorf("kinds %d and %d: got the same code %q", other, k, a.Code)
		}

		codes[a.Code] = k
	}

	if got, want := len(table), kinds; got != want {
		t.Errorf("table: got %d rows, want %d", got, want)
	}
}

func TestKindOf(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want Kind
	}{
		{"Error", New(QueueFull, "full"), QueueFull},
		{"wrapped", fmt.Errorf("outer: %w", New(Draining, "leaving")), Draining},
		{"cancelled", context.Canceled, Cancelled},
		{"expired", context.DeadlineExceeded, Timeout},
		{"other error", io.EOF, Internal},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := KindOf(c.err); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestAfterDoesNotModifyOriginal(t *testing.T) {
	first := New(RateLimited, "slow down")
	second := first.WithRetryAfter(time.Second)

	if got, want := first.RetryAfter(), time.Duration(0); got != want {
		t.Errorf("first: got %v, want %v", got, want)
	}

	if got, want := second.RetryAfter(), time.Second; got != want {
		t.Errorf("second: got %v, want %v", got, want)
	}
}
