package story

import (
	"bytes"
	"strings"
	"testing"
)

const firstLog = `{"level":"info","role":"gateway","self":"edge-1","event":2301,"request_id":"r1","status":200,"first_ms":60,"time":1700,"message":"request_served"}
not a line
{"level":"info","self":"edge-1","event":2300,"request_id":"r2","time":1500,"message":"attempt_sent"}
{"level":"info","self":"edge-1","event":23`

const secondLog = `  12.3 edge-2 {"level":"info","self":"edge-2","event":2300,"request_id":"r1","target":"e7","time":1600,"message":"attempt_sent"}
{"event":1,"other":"r1","time":1,"message":"mentions it elsewhere"}
`

func TestTimelineIsSortedByTime(t *testing.T) {
	s := New("r1")
	for _, l := range []string{firstLog, secondLog} {
		if err := s.Read(strings.NewReader(l)); err != nil {
			t.Fatal(err)
		}
	}

	lines := s.Lines()
	if len(lines) != 2 || lines[0].Name != "attempt_sent" || lines[0].Self != "edge-2" || lines[1].Event != 2301 {
		t.Fatalf("got %+v", lines)
	}

	var out bytes.Buffer
	if err := s.WriteText(&out); err != nil {
		t.Fatal(err)
	}

	want := []string{"      +0 ms  edge-2", "target=e7", "    +100 ms  edge-1", "first_ms=60 status=200"}
	for _, w := range want {
		if !strings.Contains(out.String(), w) {
			t.Errorf("got no %q in:\n%s", w, out.String())
		}
	}

	out.Reset()

	if err := s.WriteJSON(&out); err != nil || !strings.Contains(out.String(), `"name":"attempt_sent"`) {
		t.Errorf("got %v %s", err, out.String())
	}
}

func TestUnknownRequestHasEmptyTimeline(t *testing.T) {
	s := New("r9")
	if err := s.Read(strings.NewReader(firstLog)); err != nil || len(s.Lines()) != 0 {
		t.Errorf("got %v %v, want nothing", s.Lines(), err)
	}
}
