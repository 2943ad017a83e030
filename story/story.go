// Package story tells what happened to one request, from the logs of several
// processes.
//
// Each process writes a line for every decision that touches a request, with the
// request's id. A Story gathers the lines with one id from any number of logs, in
// any order, and sorts them by time.
//
//	s := story.New("9c41d07be2a35f68")
//	err := s.Read(file)
//	s.Write(os.Stdout)
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

// Keys that every line has.
const (
	keyRequest = "request_id"
	keyTime    = "time"
	keySelf    = "self"
	keyRole    = "role"
	keyName    = "message"
	keyEvent   = "event"
	keyLevel   = "level"
)

// Line is one line about the request.
type Line struct {
	// At is when it was written, by its process's clock.
	At time.Time `json:"at"`
	// Self is the process's VM.
	Self string `json:"self"`
	// Event is the event's number, Name its name.
	Event int    `json:"event"`
	Name  string `json:"name"`
	// Fields are the line's other keys and values.
	Fields map[string]any `json:"fields"`
}

// Story is what is known of one request. Use New.
type Story struct {
	request []byte
	id      string
	lines   []Line
}

// New returns a Story of a request without lines.
func New(id string) *Story { return &Story{id: id, request: []byte(`"` + id + `"`)} }

// maxLine is the longest line that is read; longer ones are no events.
const maxLine = 1 << 20

// Read takes the request's lines from a log. Lines that aren't events are passed
// over: a log may be cut off anywhere.
func (s *Story) Read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 64<<10), maxLine)

	for in.Scan() {
		if bytes.Contains(in.Bytes(), s.request) {
			s.take(in.Bytes())
		}
	}

	return in.Err()
}

// take takes one line if it is an event of the request. What stands before the
// first brace, as a time that a collector wrote, is passed over.
func (s *Story) take(text []byte) {
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

// Lines returns the lines in order of time.
func (s *Story) Lines() []Line {
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].At.Before(s.lines[j].At) })

	return s.lines
}

// Write writes the story for people: a line each, times counted from the first.
func (s *Story) Write(w io.Writer) error {
	lines := s.Lines()

	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%+8d ms  %-18s %d %-18s %s\n", l.At.Sub(lines[0].At).Milliseconds(), l.Self, l.Event, l.Name, fields(l.Fields)); err != nil {
			return err
		}
	}

	return nil
}

// WriteJSON writes the story for scripts.
func (s *Story) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(s.Lines())
}

// fields returns keys and values in order of key.
func fields(m map[string]any) string {
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
