package story

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a timeline from which an operator has to derive by hand why a request was refused or
// late.
func TestDecisionIsNamed(t *testing.T) {
	const (
		queued   = `{"event":2340,"request_id":"r1","ahead":31,"time":1000,"message":"prompt_queued"}` + "\n"
		admitted = `{"event":2341,"request_id":"r1","waited_ms":800,"ahead":5,"overtaken":2,"time":1800,"message":"prompt_admitted"}` + "\n"
		sent     = `{"event":2300,"request_id":"r1","target":"e7","cost_ms":320,"time":1800,"message":"attempt_sent"}` + "\n"
		refused  = `{"event":2342,"request_id":"r1","reason":"expected_wait","waited_ms":40,"ahead":31,"per_second":12.5,"expected_wait_ms":2480,"due_ms":1960,"retry_after_ms":520,"cause":"no capacity","time":1040,"message":"prompt_refused"}` + "\n"
		givenUp  = `{"event":2302,"request_id":"r1","kind":"queue_full","ran":"not_run","after_ms":41,"cause":"x","time":1041,"message":"request_given_up"}` + "\n"
		lost     = `{"event":2302,"request_id":"r1","kind":"target_lost","ran":"may_have_run","after_ms":90,"cause":"reset","time":1090,"message":"request_given_up"}` + "\n"
	)

	served := func(first string) string {
		return `{"event":2301,"request_id":"r1","first_ms":` + first + `,"target_ms":1000,"time":2300,"message":"request_served"}` + "\n"
	}

	tests := []struct {
		name, log string
		want      []string
	}{
		{"refused by the queue", queued + refused + givenUp, []string{"refused by the admission queue after 40 ms", "31 prompts were ahead", "12.5 admissions a second", "2480 ms", "within 1960 ms", "return after 520 ms"}},
		{"given up otherwise", sent + lost, []string{"given up (target_lost) after 90 ms: reset"}},
		{"late after a wait", queued + admitted + sent + served("1240"), []string{"after 1240 ms", "target is 1000 ms", "waited 800 ms", "5 ahead", "overtaken by 2", "at e7 a cost of 320 ms"}},
		{"on time", sent + served("900"), nil},
	}

	for _, tt := range tests {
		s := New("r1")
		if err := s.Read(strings.NewReader(tt.log)); err != nil {
			t.Fatal(err)
		}

		got := s.Decision()
		if tt.want == nil && got != "" {
			t.Errorf("%s: got %q, want nothing", tt.name, got)
		}

		for _, w := range tt.want {
			if !strings.Contains(got, w) {
				t.Errorf("%s: got %q, want %q in it", tt.name, got, w)
			}
		}

		var out bytes.Buffer
		if err := s.WriteText(&out); err != nil || strings.Contains(out.String(), "decision: ") != (tt.want != nil) {
			t.Errorf("%s: got %v and the text %s", tt.name, err, out.String())
		}
	}
}
