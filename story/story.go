// Package story reconstructs the timeline of one request from the logs of several
// processes.
//
// Each process logs every decision about a request as an event with the request's
// id. A Timeline collects the events with one id from any number of logs, in any
// order, and sorts them by time.
//
//	s := story.New("9c41d07be2a35f68")
//	err := s.Read(file)
//	err = s.WriteText(os.Stdout)
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// JSON keys of a log line that Line holds in fields of its own or omits.
const (
	keyRequest = "request_id"
	keyTime    = "time"
	keySelf    = "self"
	keyRole    = "role"
	keyName    = "message"
	keyEvent   = "event"
	keyLevel   = "level"
)

// Line is one log line, that is one event, about the request.
type Line struct {
	// At is the time of the event by its process's clock, to the millisecond.
	At time.Time `json:"at"`
	// Self is the name of the process's VM.
	Self string `json:"self"`
	// Event is the number of the event, Name is its name.
	Event int    `json:"event"`
	Name  string `json:"name"`
	// Fields holds the line's other keys and values.
	Fields map[string]any `json:"fields"`
}

// Timeline is the timeline of one request. Use New; it is not safe for concurrent use.
type Timeline struct {
	quotedID []byte
	id       string
	lines    []Line
}

// New returns an empty Timeline of the request with the given id.
func New(id string) *Timeline { return &Timeline{id: id, quotedID: []byte(`"` + id + `"`)} }

// maxLineBytes is the maximum length of a log line. Events are never longer; Read stops with an
// error at a longer line.
const maxLineBytes = 1 << 20

// Read adds the request's events from a log. It skips lines that aren't events,
// such as the last line of a log that was cut off.
func (s *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)

	for scanner.Scan() {
		if bytes.Contains(scanner.Bytes(), s.quotedID) {
			s.addLine(scanner.Bytes())
		}
	}

	return scanner.Err()
}

// addLine adds a log line if it is an event of the request. It ignores what precedes
// the first brace, such as a timestamp added by a log collector.
func (s *Timeline) addLine(text []byte) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return
	}

	var m map[string]any
	if json.Unmarshal(text[i:], &m) != nil || m[keyRequest] != s.id {
		return
	}

	ms, _ := m[keyTime].(float64)
	number, _ := m[keyEvent].(float64)
	self, _ := m[keySelf].(string)
	name, _ := m[keyName].(string)

	for _, k := range []string{keyRequest, keyTime, keySelf, keyRole, keyName, keyEvent, keyLevel} {
		delete(m, k)
	}

	s.lines = append(s.lines, Line{At: time.UnixMilli(int64(ms)), Self: self, Event: int(number), Name: name, Fields: m})
}

// Lines returns the lines sorted by time; lines of the same time stay in the order in which they
// were read.
func (s *Timeline) Lines() []Line {
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].At.Before(s.lines[j].At) })

	return s.lines
}

// WriteText writes the timeline as text, one line for each event, with times relative to the first,
// and a last line with the Decision if there is one.
func (s *Timeline) WriteText(w io.Writer) error {
	lines := s.Lines()

	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%+8d ms  %-18s %d %-18s %s\n", l.At.Sub(lines[0].At).Milliseconds(), l.Self, l.Event, l.Name, formatFields(l.Fields)); err != nil {
			return err
		}
	}

	if d := s.Decision(); d != "" {
		if _, err := fmt.Fprintf(w, "\ndecision: %s\n", d); err != nil {
			return err
		}
	}

	return nil
}

// WriteJSON writes the lines as a JSON array, for scripts.
func (s *Timeline) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(s.Lines())
}

// formatFields returns the pairs key=value, sorted by key and separated by spaces.
func formatFields(m map[string]any) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}

	sort.Strings(keys)

	parts := make([]string, len(keys))
	for i, k := range keys {
		parts[i] = fmt.Sprintf("%s=%v", k, m[k])
	}

	return strings.Join(parts, " ")
}
