// Package event is the catalogue of numbered log events.
//
// Every line that a process writes for operators is one of these events, so
// that a search, an alert or a page of docs/EVENTS.md can name it by its number
// whatever the wording. Numbers are never used twice. They are grouped in
// blocks of a hundred, one block a file:
//
//	1000 process   1100 entry    1200 side      1300 journal
//	1400 setting   1500 route    1600 claim     1700 fleet
//	1800 limit     1900 context  2000 weights   2100 peer
//	9000 standin
//
// Log writes one line:
//
//	event.Log(logger, event.ProcessStarted, "role", "entry")
package event

import (
	"sort"

	"github.com/go-logr/logr"
)

// Event is a kind of log line.
type Event struct {
	// Number identifies the event for ever.
	Number int
	// Name is the snake-case message of the line.
	Name string
	// Text tells operators what the line means.
	Text string
}

// catalogue holds every event by number. It is written by register while the
// package's variables are set and only read afterwards.
var catalogue = map[int]Event{}

// register puts an event into the catalogue. A number used twice panics, so it
// is noticed by the first test run.
func register(number int, name, text string) Event {
	if _, ok := catalogue[number]; ok {
		panic("event number used twice: " + name)
	}

	e := Event{Number: number, Name: name, Text: text}
	catalogue[number] = e

	return e
}

// All returns the catalogue in order of number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}

	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })

	return all
}

// Log writes e as one line with keys and values in pairs; keys are snake case.
func Log(l logr.Logger, e Event, keysAndValues ...any) {
	l.Info(e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Fail writes e as one line at error level with its cause.
func Fail(l logr.Logger, err error, e Event, keysAndValues ...any) {
	l.Error(err, e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
}
