package incident

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
)

// response is what a caller received.
type response struct {
	status     int
	code       string
	ran        string
	retryAfter string
	replayed   bool
	text       string
	finished   bool
	body       []byte
	err        error
}

func (s *system) post(ctx context.Context, url, key string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}

	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set("Content-Type", "application/json")

	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}

	return http.DefaultClient.Do(req)
}

// prompt sends a prompt and reads the streamed response. After each token, onToken is called
// with the number of tokens so far; nil is not called.
func (s *system) prompt(url, text string, tokens int, onToken func(int)) response {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()

	resp, err := s.post(ctx, url+"/v1/completions", "", map[string]any{
		"model": "shuttle-8b", "prompt": text, "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return response{err: err}
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return errorResponse(resp)
	}

	return readStream(resp.Body, onToken)
}

func errorResponse(resp *http.Response) response {
	var got struct {
		Error struct{ Code, Ran, Message string }
	}

	b, err := io.ReadAll(resp.Body)
	_ = json.Unmarshal(b, &got)

	return response{
		status: resp.StatusCode, code: got.Error.Code, ran: got.Error.Ran, body: b,
		retryAfter: resp.Header.Get("Retry-After"), err: err,
	}
}

func readStream(r io.Reader, onToken func(int)) response {
	a := response{status: http.StatusOK}
	text, n := &strings.Builder{}, 0

	b := make([]byte, 0, 64<<10)
	buf := make([]byte, 4<<10)

	for {
		k, err := r.Read(buf)
		b = append(b, buf[:k]...)

		for {
			i := bytes.Index(b, []byte("\n\n"))
			if i < 0 {
				break
			}

			data := strings.TrimPrefix(string(b[:i]), "data: ")
			b = b[i+2:]

			if data == "[DONE]" {
				a.finished = true

				continue
			}

			var piece struct {
				Choices []struct{ Text string }
				Error   struct{ Code string }
			}

			_ = json.Unmarshal([]byte(data), &piece)

			a.code += piece.Error.Code

			if len(piece.Choices) > 0 && piece.Choices[0].Text != "" {
				text.WriteString(piece.Choices[0].Text)

				n++

				if onToken != nil {
					onToken(n)
				}
			}
		}

		if err != nil {
			a.text = text.String()

			if !errors.Is(err, io.EOF) {
				a.err = err
			}

			return a
		}
	}
}

// oracleText returns the expected text for a prompt, from the oracle.
func (s *system) oracleText(text string, tokens int) string {
	s.t.Helper()

	a := s.prompt(s.oracleURL, text, tokens, nil)
	if !a.finished {
		s.t.Fatalf("incomplete response from the oracle: %+v", a)
	}

	return a.text
}

// book makes a booking.
func (s *system) book(url, key string, seats int) response {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()

	resp, err := s.post(ctx, url+"/v1/services/booking-api/bookings", key, map[string]int{"seats": seats})
	if err != nil {
		return response{err: err}
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode >= http.StatusBadRequest {
		return errorResponse(resp)
	}

	b, err := io.ReadAll(resp.Body)

	return response{status: resp.StatusCode, body: b, err: err, replayed: resp.Header.Get("Idempotency-Replayed") == "true"}
}

// runsByKey returns how often each idempotency key was run by the plain services that are up.
func (s *system) runsByKey() map[string]int {
	s.t.Helper()

	count := map[string]int{}

	for _, url := range s.plainServices {
		resp, err := http.Get(url + "/runs")
		if err != nil {
			continue // this service was killed; its list of runs is lost
		}

		var list []struct {
			Key string `json:"idempotency_key"`
		}

		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()

		if err := json.Unmarshal(b, &list); err != nil {
			s.t.Fatalf("runs: %v in %s", err, b)
		}

		for _, r := range list {
			count[r.Key]++
		}
	}

	return count
}

// waitForOwners waits until a booking is accepted, which needs an owner for the shard of its key.
func (s *system) waitForOwners() {
	s.t.Helper()
	s.eventually("a booking is made", func() bool {
		return s.book(s.entries[0], uuid.Must(uuid.NewV7()).String(), 1).status == http.StatusOK
	})
}
