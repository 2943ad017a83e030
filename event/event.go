// Package event is the catalogue of numbered log events.
//
// Every line that a process logs for operators is one of these events, so that a
// search, an alert or docs/EVENTS.md can refer to it by a number that does not
// depend on the wording. Numbers are never reused. They are grouped in blocks of
// one hundred:
//
//	1000 process   1100 entry    1200 side      1300 journal
//	1400 setting   1500 route    1600 claim     1700 fleet
//	1800 limit     1900 context  2000 weights   2100 peer
//	2200 topic     2300 gateway  2400 loader    2500 vault
//	2600 controlcall  2700 intake
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

// Event is one type of log line.
type Event struct {
	// Number identifies the event and never changes.
	Number int
	// Name is the snake-case message of the line.
	Name string
	// Text explains the line to operators.
	Text string
}

// catalogue holds every event by number. It is written by register during package
// initialisation and only read afterwards.
var catalogue = map[int]Event{}

// register adds an event to the catalogue. It panics if the number is in use, so that
// the first test run reports it.
func register(number int, name, text string) Event {
	if _, ok := catalogue[number]; ok {
		panic("event number used twice: " + name)
	}

	e := Event{Number: number, Name: name, Text: text}
	catalogue[number] = e

	return e
}

// All returns the catalogue, sorted by number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}

	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })

	return all
}

// Log writes e as one line at info level. keysAndValues alternates snake-case keys
// and their values.
func Log(l logr.Logger, e Event, keysAndValues ...any) {
	l.Info(e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Fail writes e as one line at error level with its cause err. keysAndValues is as for
// Log.
func Fail(l logr.Logger, err error, e Event, keysAndValues ...any) {
	l.Error(err, e.Name, append([]any{"event", e.Number}, keysAndValues...)...)
}
