package backpressure

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a signal that is missed because of the request that it responds to or of its status.
func TestSignalsOfAllResponsesArePassedOn(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRateLimit, r.Header.Get("Send"))
		w.Header().Set(HeaderLeaving, r.Header.Get("Leaving"))
		w.Header().Set("Retry-After", r.Header.Get("After"))

		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()

	var got []Signals

	c := &http.Client{Transport: Transport{Base: http.DefaultTransport, Observe: func(_ time.Time, _ string, s Signals) { got = append(got, s) }}}
	defer c.CloseIdleConnections()

	tests := []struct {
		path, limit, leaving, after string
		want                        Signals
	}{
		{"/run", "4.6", "", "", Signals{RateLimit: 4.6}},
		{"/refuse", "4.6", "", "", Signals{RateLimit: 4.6}},
		{"/run", "", "", "", Signals{}},
		{"/run", "0", "", "", Signals{RateLimit: minRateLimit}},
		{"/run", "-1", "", "", Signals{}},
		{"/run", "many", "", "", Signals{}},
		{"/run", "Inf", "", "", Signals{}},
		{"/run", "", "1", "", Signals{Leaving: true}},
		{"/refuse", "2", "1", "", Signals{RateLimit: 2, Leaving: true}},
		{"/run", "", "0", "", Signals{}},
		{"/refuse", "", "", "1.5", Signals{RetryAfter: 1500 * time.Millisecond}},
		{"/run", "", "", "1.5", Signals{}},
		{"/refuse", "", "", "soon", Signals{}},
		{"/refuse", "", "", "-1", Signals{}},
		{"/refuse", "", "", "1e300", Signals{RetryAfter: maxRetryAfter}},
	}

	for _, tt := range tests {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL+tt.path, nil)
		if err != nil {
			t.Fatal(err)
		}

		r.Header.Set("Send", tt.limit)
		r.Header.Set("Leaving", tt.leaving)
		r.Header.Set("After", tt.after)

		got = nil

		resp, err := c.Do(r)
		if err != nil {
			t.Fatal(err)
		}

		_ = resp.Body.Close()

		if len(got) != 1 || got[0] != tt.want {
			t.Errorf("%s, limit %q, leaving %q, time %q: got %v, want %v", tt.path, tt.limit, tt.leaving, tt.after, got, tt.want)
		}
	}
}
