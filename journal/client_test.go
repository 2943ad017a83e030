package journal_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"boragehub/failure"
	"boragehub/journal"
)

func TestClientAppendOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   failure.Kind
	}{
		{"unavailable", http.StatusServiceUnavailable, "", failure.LogUnavailable},
		{"over the rate", http.StatusTooManyRequests, "", failure.RateLimited},
		{"too large", http.StatusRequestEntityTooLarge, "", failure.TooLarge},
		{"incomplete response", http.StatusOK, `{"offs`, failure.OutcomeUnknown},
		{"unlisted status", http.StatusBadGateway, "", failure.OutcomeUnknown},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()

			_, err := journal.NewClient(journal.ClientConfig{URL: s.URL}).Append(t.Context(), "s", [][]byte{[]byte("a")})
			if got := failure.KindOf(err); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestClientReadsAndReportsTrimming(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "1" {
			w.WriteHeader(http.StatusGone)
		}

		_ = json.NewEncoder(w).Encode(map[string]any{
			"first_offset": 5, "next_offset": 6,
			"records": []map[string]any{{"offset": 5, "at_ms": 7, "data": []byte("x")}},
		})
	}))
	defer s.Close()

	c := journal.NewClient(journal.ClientConfig{URL: s.URL})

	var trimmed *journal.TrimmedError
	if _, err := c.Read(t.Context(), "s", 1, 10, 0); !errors.As(err, &trimmed) || trimmed.First != 5 {
		t.Errorf("read of a trimmed offset: got %v, want a TrimmedError with first offset 5", err)
	}

	b, err := c.Read(t.Context(), "s", 5, 10, 0)
	if err != nil || b.Next != 6 || len(b.Records) != 1 || string(b.Records[0].Data) != "x" {
		t.Errorf("read: got %+v %v, want one record", b, err)
	}
}

// A device between client and service loses the state of a connection: it still
// accepts data, but no response ever arrives, while new connections work. A
// client that kept the connection would regard the log as down for good.
func TestClientReplacesUnresponsiveConnection(t *testing.T) {
	var stalled atomic.Pointer[net.Conn]

	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)

		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		if p := stalled.Load(); p != nil && *p == conn {
			<-r.Context().Done()

			return
		}

		stalled.CompareAndSwap(nil, &conn)

		_, _ = w.Write([]byte(`{"offset": 1}`))
	}))
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Start()

	defer s.Close()

	c := journal.NewClient(journal.ClientConfig{URL: s.URL, Timeout: 100 * time.Millisecond})

	for i, want := range []failure.Kind{0, failure.OutcomeUnknown, 0} {
		_, err := c.Append(t.Context(), "s", [][]byte{[]byte("a")})
		if got := failure.KindOf(err); got != want {
			t.Errorf("append %d: got %v, want %v", i, err, want)
		}
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}
