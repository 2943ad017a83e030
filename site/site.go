// Package site holds the configuration that the operators of one site have
// published: routes, services, organisations and limits.
//
// # Model
//
// A Configuration is immutable; a newer version replaces it as a whole, so each
// reader sees a consistent set. A request is matched by host and path to a
// Route, which names the services that may run the request and says whether it
// may be retried.
//
// # Example
//
//	c := site.New(site.Published{Version: 7, Routes: routes, Services: services})
//	r, ok := c.Match("desk.example", "/seats/42")
package site

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether a route's requests may run more than once.
type Kind uint8

// The kinds. The zero value is the strictest: no retry once a request may have run.
const (
	// AtMostOnce requests run at most once each time a caller sends them.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests have a stream of events as their response; unless the route is
	// resumable they run at most once.
	Stream
)

// String returns the snake-case name of k.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// Share is one service of a route with its weight in the split of the route's requests.
type Share struct {
	// Service is the service's name.
	Service string
	// Weight is relative to the weights of the other shares; negative counts as zero.
	Weight int
}

// Route says which services run the requests of a host and path prefix, and how.
type Route struct {
	// Name is the route's name in logs and metrics.
	Name string
	// Host is the host name in the callers' requests, without a port; case doesn't matter.
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	// Kind says whether requests may run more than once.
	Kind Kind
	// Timeout is the maximum time that a caller waits for the response.
	Timeout time.Duration
	// LatencyTarget is the maximum time until a response, or a stream's first event, that is still
	// on time.
	LatencyTarget time.Duration
	// EventGapTarget is the maximum time between two events of a stream that is still on time.
	EventGapTarget time.Duration
	// EventTimeout is the callers' timeout for a stream's next event, after which they
	// disconnect; zero if unknown.
	EventTimeout time.Duration
	// Priority is the rank among requests; 0 is served first.
	Priority int
	// Shares are the services among which the requests are split.
	Shares []Share
	// MaxAttempts is the maximum number of targets that may run one request.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable streams may be resumed at another target.
	Resumable bool
}

// Retryable reports whether a request of the route may be retried once it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for a request, in proportion to the weights. draw is a
// uniformly distributed number that stays the same for the request. If all weights are
// zero, Pick returns the first service; without shares, an empty string.
func (r *Route) Pick(draw uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}

	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}

		return r.Shares[0].Service
	}

	remaining := int(draw % uint64(total))
	for _, s := range r.Shares {
		remaining -= max(s.Weight, 0)
		if remaining < 0 {
			return s.Service
		}
	}

	return r.Shares[len(r.Shares)-1].Service
}

// SlowStart limits the request rate of a target after its start. The zero value sets no
// limit.
type SlowStart struct {
	// Duration is how long a target is cold after its start.
	Duration time.Duration
	// RequestsPerSecond is the maximum number of requests a second while it is cold.
	RequestsPerSecond float64
}

// Engines describes the model engines of a service.
type Engines struct {
	// Slots is the number of batch slots: the requests that one engine runs at once.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's KV cache in bytes.
	TokenBytes float64
	// LinkMbps is the bandwidth, in Mbit/s, of the engine's link, over which it sends and
	// fetches parts of the KV cache.
	LinkMbps float64
	// Models are the names of the models that the engines run.
	Models []string
}

// TokensPerMs returns how many tokens of KV cache a link of mbps Mbit/s transfers per
// millisecond; zero if tokenBytes, the size of one token in bytes, is unknown (zero or less).
func TokensPerMs(mbps, tokenBytes float64) float64 {
	if tokenBytes <= 0 {
		return 0
	}

	const bytesPerMbitMs = 1e6 / 8 / 1e3

	return mbps * bytesPerMbitMs / tokenBytes
}

// Store describes a store: a process that keeps parts of prompts' KV caches.
type Store struct {
	// Address is the store's host and port.
	Address string
	// DataCentre is the data centre that it runs in.
	DataCentre string
	// CapacityTokens is its capacity in tokens.
	CapacityTokens int
	// MaxConcurrency is the maximum number of event streams that it keeps open at once.
	MaxConcurrency int
	// FirstByteLatency is the latency until the first byte of each transfer.
	FirstByteLatency time.Duration
	// LinkMbps is its link's bandwidth in Mbit/s.
	LinkMbps float64
}

// Service is a group of interchangeable targets.
type Service struct {
	// Name is the service's name.
	Name string
	// MaxConnections is the maximum number of connections that one target accepts in total.
	MaxConnections int
	// Engines describes the engines; nil if the targets aren't model engines.
	Engines *Engines
	// Store describes the store; nil if the service isn't a store.
	Store *Store
	// SlowStart limits the request rate of one target after its start.
	SlowStart SlowStart
	// HealthPath is the path of the targets' health check; empty if they have none.
	HealthPath string
}

// Organisation is one customer with its callers' API keys.
type Organisation struct {
	// Name is the organisation's name.
	Name string
	// Keys are the API keys of its callers.
	Keys []string
	// Priority replaces the route's priority if HasPriority is true.
	Priority int
	// HasPriority reports whether Priority is set.
	HasPriority bool
	// Isolated organisations share no cached contexts with other organisations.
	Isolated bool
}

// Limits bound callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of header and body; zero means no limit.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is the timeout for receiving a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the timeout of an unused connection.
	IdleTimeout time.Duration
}

// Published is a configuration as the operators published it.
type Published struct {
	// Version increases with each change.
	Version int64
	// Routes, Services and Organisations are in no order.
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Limits bound callers' requests and connections.
	Limits Limits
}

// Configuration is one version of the published configuration, indexed. It is immutable. Use
// New.
type Configuration struct {
	version            int64
	routesByHost       map[string][]*Route
	services           map[string]Service
	organisationsByKey map[string]*Organisation
	organisations      map[string]*Organisation
	apart              string
	requiresKey        bool
	limits             Limits
}

// New returns the Configuration of p. It keeps pointers into p, which must not change afterwards.
func New(p Published) *Configuration {
	c := &Configuration{
		version:            p.Version,
		routesByHost:       make(map[string][]*Route),
		services:           make(map[string]Service, len(p.Services)),
		organisationsByKey: make(map[string]*Organisation),
		organisations:      make(map[string]*Organisation, len(p.Organisations)),
		requiresKey:        len(p.Organisations) > 0,
		limits:             p.Limits,
	}

	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}

	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}

	for _, s := range p.Services {
		c.services[s.Name] = s
	}

	var isolated []string

	for i := range p.Organisations {
		o := &p.Organisations[i]
		for _, k := range o.Keys {
			c.organisationsByKey[k] = o
		}

		c.organisations[o.Name] = o

		if o.Isolated {
			isolated = append(isolated, o.Name)
		}
	}

	c.apart = hashOfSet(isolated)

	return c
}

// hashOfSet returns a hash of a set of texts; empty for none.
func hashOfSet(all []string) string {
	if len(all) == 0 {
		return ""
	}

	h := xxhash.New()

	for _, s := range slices.Compact(slices.Sorted(slices.Values(all))) {
		_, _ = h.WriteString(strconv.Quote(s))
	}

	return strconv.FormatUint(h.Sum64(), 16)
}

// Apart identifies the set of isolated organisations; empty for none. Cached contexts that the other organisations share
// are kept under it: what an organisation left there before it was isolated is then out of their reach.
func (c *Configuration) Apart() string { return c.apart }

// Organisation returns an organisation by name; false if there is none.
func (c *Configuration) Organisation(name string) (*Organisation, bool) {
	o, ok := c.organisations[name]

	return o, ok
}

// Version returns the version, which increases with each change.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns the limits on callers' requests and connections.
func (c *Configuration) Limits() Limits { return c.limits }

// RequiresKey reports whether routes that aren't public require an API key: whether any
// organisation is configured.
func (c *Configuration) RequiresKey() bool { return c.requiresKey }

// Match returns the route with the longest prefix of path for host, which may include a port. It
// returns false if no route matches.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}

	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}

	return nil, false
}

// OrganisationOfKey returns the organisation of an API key; false if the key is unknown.
func (c *Configuration) OrganisationOfKey(key string) (*Organisation, bool) {
	o, ok := c.organisationsByKey[key]

	return o, ok
}

// Service returns a service by name; false if there is none.
func (c *Configuration) Service(name string) (Service, bool) {
	s, ok := c.services[name]

	return s, ok
}

// TokenBytes returns the size of one token's KV cache in bytes: the largest of all services, zero
// if none gives one.
func (c *Configuration) TokenBytes() float64 {
	largest := 0.0

	for _, s := range c.services {
		if s.Engines != nil {
			largest = max(largest, s.Engines.TokenBytes)
		}
	}

	return largest
}

// Stores returns the services that are stores, sorted by name.
func (c *Configuration) Stores() []Service {
	var stores []Service

	for _, s := range c.services {
		if s.Store != nil {
			stores = append(stores, s)
		}
	}

	sort.Slice(stores, func(i, j int) bool { return stores[i].Name < stores[j].Name })

	return stores
}
