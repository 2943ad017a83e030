package exchange

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/mirror"
	"boragehub/pause"
)

// Log is the log that entries register in.
type Log interface {
	// Newest returns the newest record of every key of a topic.
	Newest(ctx context.Context, topic string) (mirror.Batch, error)
	// Append writes a record.
	Append(ctx context.Context, topic, key string, value []byte) error
}

// registrationTimeout bounds a call of the log.
const registrationTimeout = time.Second

// Registration writes into the log where this entry can be asked, and reads where
// all others can. Use NewRegistration.
type Registration struct {
	log   Log
	topic string
	lines logr.Logger
	since atomic.Pointer[time.Time]
}

// NewRegistration returns a Registration in a topic of the log.
func NewRegistration(l Log, topic string, lines logr.Logger) *Registration {
	return &Registration{log: l, topic: topic, lines: lines}
}

// Run writes the entry's address under its name, again until the log has taken it.
func (r *Registration) Run(ctx context.Context, name, address string) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, registrationTimeout)
		err := r.log.Append(c, r.topic, name, []byte(address))

		cancel()

		if err == nil {
			now := time.Now()
			r.since.Store(&now)
			event.Log(r.lines, event.EntryRegistered, "name", name, "address", address)

			return
		}

		pause.For(ctx, registrationTimeout)
	}
}

// Since returns when the log had taken the entry's address, zero before that. What
// was read of the log earlier may be older than the registration.
func (r *Registration) Since() time.Time {
	if t := r.since.Load(); t != nil {
		return *t
	}

	return time.Time{}
}

// All reads the addresses of all entries that ever registered under their present
// name, without self.
func (r *Registration) All(ctx context.Context, self string) ([]string, error) {
	c, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()

	b, err := r.log.Newest(c, r.topic)
	if err != nil {
		return nil, err
	}

	var all []string

	for _, x := range b.Records {
		if a := string(x.Value); a != self {
			all = append(all, a)
		}
	}

	return all, nil
}
