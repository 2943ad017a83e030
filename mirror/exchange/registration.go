package exchange

import (
	"context"
	"sync"
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
	// Append writes records atomically in one call.
	Append(ctx context.Context, topic string, records ...mirror.Record) error
}

const (
	// registrationTimeout bounds each call to the log or to a registrar. It is also the delay
	// between retries.
	registrationTimeout = time.Second
	// registrationBatchWindow is how long a registrar collects registrations before it appends
	// them in one call to the log.
	registrationBatchWindow = 200 * time.Millisecond
)

// Registrant is an entry to register.
type Registrant struct {
	// Name is the key of its record in the log.
	Name string `cbor:"1,keyasint"`
	// Address is where other entries reach it.
	Address string `cbor:"2,keyasint"`
}

// RegistrationPeers are the other entries, some of which act as registrars: they register
// entries on request.
type RegistrationPeers interface {
	// Registrar returns the address of the entry that registers this one in a topic, or an empty
	// string if this entry registers itself.
	Registrar(topic string) string
	// Register requests that a registrar register an entry, and returns after the log has
	// accepted the record.
	Register(ctx context.Context, registrar string, entry Registrant) error
}

// RegistrationConfig configures a Registration.
type RegistrationConfig struct {
	// Log and Topic are where the registrations are stored.
	Log   Log
	Topic string
	// Peers are asked to register this entry. If nil, it calls the log directly.
	Peers RegistrationPeers
	// Logger receives a message when this entry is registered.
	Logger logr.Logger
}

// Registration stores this entry's address in the log, and reads the addresses of all entries. Use
// NewRegistration.
type Registration struct {
	cfg   RegistrationConfig
	since atomic.Pointer[time.Time]
	renew chan struct{} // holds a value after Renew

	mu    sync.Mutex
	batch *registrationBatch // collects registrations; nil if there are none
}

// registrationBatch holds registrations that are appended in one call to the log.
type registrationBatch struct {
	records []mirror.Record
	done    chan struct{} // closed when the call returns
	err     error         // result of the call, valid after done is closed
}

// NewRegistration returns a Registration with the given configuration.
func NewRegistration(cfg RegistrationConfig) *Registration {
	return &Registration{cfg: cfg, renew: make(chan struct{}, 1)}
}

// Run writes the entry's address under its name, again after each Renew, until ctx ends. It retries until
// the log has accepted it. The first attempt goes through a registrar, which keeps the number of calls to
// the log from growing with the fleet. Retries call the log directly.
func (r *Registration) Run(ctx context.Context, name, address string) {
	for ctx.Err() == nil {
		r.run(ctx, name, address)

		select {
		case <-r.renew:
		case <-ctx.Done():
		}
	}
}

// run registers the entry once.
func (r *Registration) run(ctx context.Context, name, address string) {
	entry := Registrant{Name: name, Address: address}

	for attempt := 0; ctx.Err() == nil; attempt++ {
		if err := r.register(ctx, entry, attempt == 0); err == nil {
			r.accept(time.Now())
			event.Log(r.cfg.Logger, event.EntryRegistered, "name", name, "address", address)

			return
		}

		if attempt > 0 {
			pause.For(ctx, registrationTimeout)
		}
	}
}

// accept records that the log has accepted the entry's address, unless Renew was called meanwhile.
func (r *Registration) accept(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.renew) == 0 {
		r.since.Store(&now)
	}
}

// Renew has the entry registered again, because the log may have lost its address. Until the log has
// accepted it, the entry counts as not registered.
func (r *Registration) Renew() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.since.Store(nil)

	select {
	case r.renew <- struct{}{}:
	default:
	}
}

// register makes one attempt, through a registrar if delegate is set and peers are configured.
func (r *Registration) register(ctx context.Context, entry Registrant, delegate bool) error {
	if !delegate || r.cfg.Peers == nil {
		ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
		defer cancel()

		return r.cfg.Log.Append(ctx, r.cfg.Topic, entry.record())
	}

	ctx, cancel := context.WithTimeout(ctx, registrationBatchWindow+registrationTimeout)
	defer cancel()

	if registrar := r.cfg.Peers.Registrar(r.cfg.Topic); registrar != "" {
		return r.cfg.Peers.Register(ctx, registrar, entry)
	}

	return r.Add(ctx, entry)
}

// record returns the record that registers the entry.
func (e Registrant) record() mirror.Record {
	return mirror.Record{Key: e.Name, Value: []byte(e.Address)}
}

// Add registers an entry, and returns after the log has accepted the record. Entries added within
// registrationBatchWindow share one call to the log.
func (r *Registration) Add(ctx context.Context, entry Registrant) error {
	r.mu.Lock()

	if r.batch == nil {
		r.batch = &registrationBatch{done: make(chan struct{})}

		go r.flush(context.WithoutCancel(ctx), r.batch)
	}

	batch := r.batch
	batch.records = append(batch.records, entry.record())
	r.mu.Unlock()

	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush waits for registrationBatchWindow, then closes the batch to new entries and appends it to
// the log.
func (r *Registration) flush(ctx context.Context, batch *registrationBatch) {
	time.Sleep(registrationBatchWindow)

	r.mu.Lock()
	r.batch = nil
	r.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()

	batch.err = r.cfg.Log.Append(ctx, r.cfg.Topic, batch.records...)
	close(batch.done)
}

// RegisteredAt returns when the log had accepted the entry's address; zero before that. Records
// read from the log earlier may be older than the registration.
func (r *Registration) RegisteredAt() time.Time {
	if t := r.since.Load(); t != nil {
		return *t
	}

	return time.Time{}
}

// Addresses reads the addresses of all entries ever registered from the log, without self. For
// each name it returns the latest address. Era is the era of the log that it was read in.
func (r *Registration) Addresses(ctx context.Context, self string) (all []string, era int64, err error) {
	c, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()

	b, err := r.cfg.Log.Newest(c, r.cfg.Topic)
	if err != nil {
		return nil, 0, err
	}

	for _, x := range b.Records {
		if a := string(x.Value); a != self {
			all = append(all, a)
		}
	}

	return all, b.Era, nil
}
