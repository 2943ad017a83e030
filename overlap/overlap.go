// Package overlap compares the fetches of stored parts with their releases, from the logs of
// several processes.
//
// The margin is the time from the deadline of a fetch to the release of the same part. If it is
// negative, an engine may read memory that its store has given to something else.
//
//	var l overlap.Log
//	err := l.Read(file)
//	err = l.WriteText(os.Stdout, 10)
package overlap

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"boragehub/event"
	"boragehub/vault"
)

// Pair is a fetch and a release of the same part of replaced weights.
type Pair struct {
	// Part is the part, Store the address of its store.
	Part  vault.Part
	Store string

	grant, free line
}

// Margin returns the time from the deadline of the fetch to the release, in ms on the engines' clock.
func (p Pair) Margin() int64 { return p.free.number("clock") - p.grant.number("fetch_until") }

// Outcome is what a release may have done to a fetch, in the words that are printed.
type Outcome string

// Outcomes.
const (
	// Released means that the store released the part.
	Released Outcome = "released"
	// Unconfirmed means that the store may have refused the release.
	Unconfirmed Outcome = "release not confirmed"
	// GrantedLater means that the store refused the fetch or held a later copy of the part.
	GrantedLater Outcome = "granted after the release"
)

// Outcome returns the pair's outcome.
func (p Pair) Outcome() Outcome {
	switch {
	case p.grant.number("clock") > p.free.number("until"):
		return GrantedLater
	case p.free["error"] != nil:
		return Unconfirmed
	default:
		return Released
	}
}

// line holds the fields of a log line.
type line map[string]any

func (l line) text(key string) string {
	s, _ := l[key].(string)

	return s
}

func (l line) number(key string) int64 {
	n, _ := l[key].(json.Number)
	i, _ := n.Int64()

	return i
}

// format returns the fields with these keys.
func (l line) format(keys ...string) string {
	parts := make([]string, 0, len(keys))

	for _, k := range keys {
		if v, ok := l[k]; ok {
			parts = append(parts, fmt.Sprintf("%s=%v", k, v))
		}
	}

	return strings.Join(parts, " ")
}

// stored identifies a part in a store as far as a line about releases does.
type stored struct {
	store, model, id string
}

// Log holds the fetches and releases of the logs that were read. The zero Log is empty; it is not safe
// for concurrent use.
type Log struct {
	grants []line
	frees  map[stored][]line
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read adds the fetches and releases of a log. It skips all other lines and ignores what precedes an event in
// its line.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)

	for scanner.Scan() {
		text := scanner.Bytes()
		if !bytes.Contains(text, []byte(`"fetch":`)) && !bytes.Contains(text, []byte(`"part":`)) {
			continue
		}

		// A process that stopped while writing leaves an incomplete event before another one's.
		d := json.NewDecoder(bytes.NewReader(text[max(0, bytes.LastIndex(text, []byte(`{"level":`))):]))
		d.UseNumber()

		var x line
		if d.Decode(&x) == nil {
			l.add(x)
		}
	}

	return scanner.Err()
}

func (l *Log) add(x line) {
	switch int(x.number("event")) {
	case event.AttemptSent.Number:
		l.grants = append(l.grants, x)
	case event.VaultFreed.Number, event.FreeUnknown.Number:
		if l.frees == nil {
			l.frees = make(map[stored][]line)
		}

		for id := range strings.SplitSeq(x.text("part"), ",") {
			k := stored{x.text("vault"), x.text("model"), id}
			l.frees[k] = append(l.frees[k], x)
		}
	}
}

// Pairs returns the pairs with the least margin first.
func (l *Log) Pairs() []Pair {
	var pairs []Pair

	for _, g := range l.grants {
		scope, _ := vault.ParseSalt(g.text("salt"))

		for at := range strings.SplitSeq(g.text("fetch"), ",") {
			id, store, _ := strings.Cut(at, "@")

			for _, f := range l.frees[stored{store, scope.Model, id}] {
				if scope.Version < f.number("before") {
					pairs = append(pairs, Pair{Part: vault.Part{Salt: g.text("salt"), ID: id}, Store: store, grant: g, free: f})
				}
			}
		}
	}

	slices.SortStableFunc(pairs, func(a, b Pair) int { return cmp.Compare(a.Margin(), b.Margin()) })

	return pairs
}

// WriteText writes for each outcome how many pairs there are, the least margin, and the worst pairs, at most limit,
// with what both entries decided by.
func (l *Log) WriteText(w io.Writer, limit int) error {
	pairs := make(map[Outcome][]Pair)
	for _, p := range l.Pairs() {
		pairs[p.Outcome()] = append(pairs[p.Outcome()], p)
	}

	var b strings.Builder

	for _, o := range []Outcome{Released, Unconfirmed, GrantedLater} {
		all := pairs[o]
		fmt.Fprintf(&b, "%s: %d pairs", o, len(all))

		if len(all) > 0 {
			fmt.Fprintf(&b, ", least margin %d ms", all[0].Margin())
		}

		b.WriteByte('\n')

		for _, p := range all[:min(limit, len(all))] {
			fmt.Fprintf(&b, "%+8d ms  %s@%s salt=%s\n    granted by %s\n    freed by %s\n", p.Margin(), p.Part.ID, p.Store, p.Part.Salt,
				p.grant.format("self", "request_id", "target", "clock", "clock_age_ms", "fetch_until", "newest", "newest_age_ms", "registered"),
				p.free.format("self", "clock", "clock_age_ms", "until", "before", "known_ms", "confirmed", "rank", "error"))
		}
	}

	_, err := io.WriteString(w, b.String())

	return err
}
