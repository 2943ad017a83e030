package experiment

import (
	"fmt"
	"time"

	"boragehub/setting"
)

// Deployment describes one installation to the experiment.
type Deployment struct {
	// Name selects the deployment on the command line.
	Name string
	// DataCentres are the names of its data centres; engines are distributed over
	// them in turn.
	DataCentres []string
	// EntriesPerDataCentre is the number of entries in each data centre.
	EntriesPerDataCentre int
	// Engines is the number of engines, all of which serve the same model.
	Engines int
	// Engine is the capability of each engine.
	Engine EngineSpec
	// Service is the name of its plain service, and PlainTargets the number of the
	// targets of that service.
	Service      string
	PlainTargets int
	// Stores are the cache stores.
	Stores []StoreSpec
	// InterDataCentreDelay is the one-way delay between two data centres.
	InterDataCentreDelay time.Duration
	// ClientDelay is the one-way delay between a client and an entry.
	ClientDelay time.Duration
	// LinkBytesPerSecond is the rate per direction of the link between two data
	// centres, and of the network that the stores and engines of one share.
	LinkBytesPerSecond float64
	// OrganisationShares are the fractions of the load by organisation.
	OrganisationShares []float64
	// Workloads are the kinds of contexts, the most urgent first.
	Workloads []Workload
	// FirstTokenWeight and RecomputedWeight are the site's settings for routing, as in
	// route.Config.
	FirstTokenWeight, RecomputedWeight float64
}

// EngineSpec describes the capability of an engine.
type EngineSpec struct {
	// PrefillTokensPerSecond is its prefill rate beside an empty batch.
	PrefillTokensPerSecond float64
	// CacheTokens is the capacity of its KV cache.
	CacheTokens int
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int64
	// MaxRunning is the number of batch slots.
	MaxRunning int
	// Step is the time between two tokens with an empty batch. Each running request
	// adds StepPerRequest.
	Step, StepPerRequest time.Duration
	// Interference is the fraction by which a full batch prolongs prefill.
	Interference float64
	// ChunkTokens is the size of a prefill chunk, after which a more urgent request
	// can take precedence.
	ChunkTokens int
	// LoadTime is the time to load new weights.
	LoadTime time.Duration
	// ConcurrentLoads is the number of engines that can load weights at once without
	// slowing each other down.
	ConcurrentLoads int
}

// StoreSpec describes a cache store.
type StoreSpec struct {
	// Name is the name of the store.
	Name string
	// DataCentre is the index of its data centre.
	DataCentre int
	// CapacityBytes is its capacity.
	CapacityBytes int64
}

// Workload describes a kind of conversation.
type Workload struct {
	// Name is its name in tables.
	Name string
	// Share is its fraction of all requests.
	Share float64
	// Class is the priority class of its requests.
	Class setting.Class
	// FirstPromptTokens is the median length of the first prompt.
	FirstPromptTokens int
	// AddedTokens is the median number of prompt tokens that each further visit adds.
	AddedTokens int
	// AnswerTokens is the median length of an answer.
	AnswerTokens int
	// Visits is the mean number of visits of a conversation.
	Visits float64
	// Gap is the median time between two visits.
	Gap time.Duration
	// Deadline is the time after arrival within which a first token is of use.
	Deadline time.Duration
}

// organisationShares are those of ten organisations. A few are large, as in both users'
// deployments.
var organisationShares = []float64{0.28, 0.18, 0.12, 0.08, 0.07, 0.06, 0.06, 0.05, 0.05, 0.05}

// Coastal returns the model of the Coastal Transit Link Authority. Its engines are assumed
// to serve a model of 8 billion parameters: keys and values take 32 layers x 8 heads x 128
// values x 2 bytes each per token, and the cache takes 40 GB of an accelerator.
func Coastal() Deployment {
	return Deployment{
		Name:                 "coastal",
		DataCentres:          []string{"yvr-east", "yvr-west", "burnaby-a", "surrey-b"},
		EntriesPerDataCentre: 1,
		Engines:              12,
		Engine: EngineSpec{
			PrefillTokensPerSecond: 10_000,
			CacheTokens:            305_000,
			BytesPerToken:          131_072,
			MaxRunning:             48,
			Step:                   20 * time.Millisecond,
			StepPerRequest:         230 * time.Microsecond,
			Interference:           0.5,
			ChunkTokens:            1024,
			LoadTime:               500 * time.Millisecond,
			ConcurrentLoads:        2,
		},
		Service:              "booking-api",
		PlainTargets:         4,
		Stores:               []StoreSpec{{"prompt-vault", 0, 2_500e9}, {"prompt-vault-b", 2, 2_500e9}},
		InterDataCentreDelay: time.Millisecond,
		ClientDelay:          3 * time.Millisecond,
		LinkBytesPerSecond:   5e9,
		OrganisationShares:   organisationShares,
		Workloads: []Workload{
			{"curb", 0.70, setting.Urgent, 2500, 80, 40, 6, 3 * time.Minute, 2 * time.Second},
			{"desk", 0.22, setting.Interactive, 5000, 200, 150, 6, 5 * time.Minute, 10 * time.Second},
			{"review", 0.08, setting.Background, 26_000, 1500, 600, 5, 8 * time.Minute, 2 * time.Minute},
		},
		FirstTokenWeight: 1,
		RecomputedWeight: 0.2,
	}
}

// Bureau returns the model of the Zhetysu Archival Records Bureau. Its engines are assumed
// to serve a model of 70 billion parameters on four accelerators: keys and values take 80
// layers x 8 heads x 128 values x 2 bytes each per token, and the cache takes 120 GB beside
// the weights.
func Bureau() Deployment {
	return Deployment{
		Name:                 "bureau",
		DataCentres:          []string{"medeu-hall", "auezov-hall", "bostandyk-hall"},
		EntriesPerDataCentre: 1,
		Engines:              18,
		Engine: EngineSpec{
			PrefillTokensPerSecond: 8000,
			CacheTokens:            366_000,
			BytesPerToken:          327_680,
			MaxRunning:             48,
			Step:                   20 * time.Millisecond,
			StepPerRequest:         230 * time.Microsecond,
			Interference:           0.5,
			ChunkTokens:            1024,
			LoadTime:               450 * time.Millisecond,
			ConcurrentLoads:        3,
		},
		Service:              "request-desk",
		PlainTargets:         3,
		Stores:               []StoreSpec{{"case-cache", 0, 10_000e9}, {"letter-cache", 1, 10_000e9}},
		InterDataCentreDelay: 500 * time.Microsecond,
		ClientDelay:          3 * time.Millisecond,
		LinkBytesPerSecond:   12.5e9,
		OrganisationShares:   organisationShares,
		Workloads: []Workload{
			{"tag", 0.50, setting.Urgent, 2500, 300, 20, 5, 4 * time.Minute, 5 * time.Second},
			{"lookup", 0.35, setting.Interactive, 1200, 60, 60, 4, 5 * time.Minute, 5 * time.Second},
			{"determination", 0.15, setting.Background, 40_000, 2500, 800, 5, 8 * time.Minute, 5 * time.Minute},
		},
		FirstTokenWeight: 0.2,
		RecomputedWeight: 1,
	}
}

// deploymentByName returns the deployment with the given name, or an error.
func deploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Coastal(), Bureau()} {
		if d.Name == name {
			return d, nil
		}
	}

	return Deployment{}, fmt.Errorf("no deployment %q; there are coastal and bureau", name)
}

// Capacity returns the requests per second at which the prefill of all engines is saturated
// if nothing is reused, which is what an operator could rely on without a cache. It takes
// the medians of Workload as means.
func (d Deployment) Capacity() float64 {
	var tokens float64

	for _, w := range d.Workloads {
		// The mean prompt length over all requests. The number of visits is
		// geometric, so that Visits-1 visits precede a request on average.
		prompt := float64(w.FirstPromptTokens) + (w.Visits-1)*float64(w.AddedTokens+w.AnswerTokens)
		tokens += w.Share * prompt
	}

	return float64(d.Engines) * d.Engine.PrefillTokensPerSecond / tokens
}
