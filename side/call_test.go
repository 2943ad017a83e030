package side

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"boragehub/failure"
	"boragehub/message"
	"boragehub/wholebody"
)

// Guards against a response of a plain service that is cut off, at the limit or by the service, and recorded and
// returned as the whole one.
func TestCallGetsTheWholeResponseOrNone(t *testing.T) {
	whole := strings.Repeat("x", maxReplyBytes)

	tests := []struct {
		name, body string
		aborts     bool
		want       error
	}{
		{"at the limit", whole, false, nil},
		{"above the limit", whole + "x", false, wholebody.ErrTooLong},
		{"broken off", "half", true, io.ErrUnexpectedEOF},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				//nolint:errcheck,gosec // the caller leaves once it has read enough
				io.WriteString(w, tt.body)

				if tt.aborts {
					//nolint:errcheck,gosec // the response is aborted anyway
					http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}))
			defer service.Close()

			s := &Side{cfg: Config{Address: service.Listener.Addr().String()}, plainHTTP: service.Client()}

			got, err := s.forward(t.Context(), message.Call{Method: http.MethodGet, Path: "/"})
			if !errors.Is(err, tt.want) || err == nil && string(got.Body) != tt.body {
				t.Errorf("got %d bytes, %v, want %v", len(got.Body), err, tt.want)
			}

			if err != nil && failure.KindOf(err) != failure.TargetLost {
				t.Errorf("got kind %v, want %v", failure.KindOf(err), failure.TargetLost)
			}
		})
	}
}
