package experiment

import (
	"fmt"
	"time"

	"boragehub/setting"
)

// Deployment is one installation as the experiment models it.
type Deployment struct {
	// Name names it on the command line.
	Name string
	// DataCentres are its data centres; engines are spread over them in turn.
	DataCentres []string
	// EntriesEach is the number of entries in each data centre.
	EntriesEach int
	// Engines is the number of engines of its one model.
	Engines int
	// Engine is what one engine can do.
	Engine EngineSpec
	// Service is the name of its plain service, and Plain the number of targets.
	Service string
	Plain   int
	// Stores are the cache stores and the index of the data centre of each.
	Stores []StoreSpec
	// Apart is the delay between two data centres, one way.
	Apart time.Duration
	// Clients is the delay between a client and an entry, one way.
	Clients time.Duration
	// LinkBytesPerSecond is the rate of the link of a pair of data centres, and
	// of what a data centre's own stores and engines share, in one direction.
	LinkBytesPerSecond float64
	// Organisations are the parts of the load by organisation.
	Organisations []float64
	// Workloads are the kinds of context.
	Workloads []Workload
	// FirstTokenWeight and RecomputedWeight are the settings of the site.
	FirstTokenWeight, RecomputedWeight float64
}

// EngineSpec is what one engine can do.
type EngineSpec struct {
	// PrefillTokensPerSecond is its prefill with an empty batch.
	PrefillTokensPerSecond float64
	// CacheTokens is the room of its cache.
	CacheTokens int
	// BytesPerToken is the size of a token's cache.
	BytesPerToken int64
	// MaxRunning is how many requests run at once.
	MaxRunning int
	// Step is the time between two tokens with an empty batch; each running
	// request adds StepEach.
	Step, StepEach time.Duration
	// Interference is by how much a full batch slows prefill down, as a part of it.
	Interference float64
	// Chunk is how many tokens are prefilled before a more pressing request may go first.
	Chunk int
	// Load is the time that new weights take.
	Load time.Duration
	// ConcurrentLoads is how many engines load without slowing each other.
	ConcurrentLoads int
}

// StoreSpec is one cache store.
type StoreSpec struct {
	// Name is its name.
	Name string
	// DataCentre is the index of its data centre.
	DataCentre int
	// Bytes is its room.
	Bytes int64
}

// Workload is one kind of context that returns.
type Workload struct {
	// Name names it in tables.
	Name string
	// Part is its part of all requests.
	Part float64
	// Class orders its requests.
	Class setting.Class
	// Opening is the mean length of its first prompt in tokens.
	Opening int
	// Added is the mean number of tokens that each visit adds.
	Added int
	// Answer is the mean length of an answer in tokens.
	Answer int
	// Visits is the mean number of visits.
	Visits float64
	// Gap is the median time between two visits.
	Gap time.Duration
	// Deadline is how long after arrival a first token is still of use.
	Deadline time.Duration
}

// organisations are ten of which a few are large, as both users have them.
var organisations = []float64{0.28, 0.18, 0.12, 0.08, 0.07, 0.06, 0.06, 0.05, 0.05, 0.05}

// Coastal returns the model of the Coastal Transit Link Authority. An engine is
// taken for a model of 8 billion parameters: its cache takes 32 layers x 8 heads
// x 128 values x 2 bytes, twice, for a token, and 40 GB of an accelerator.
func Coastal() Deployment {
	return Deployment{
		Name:        "coastal",
		DataCentres: []string{"yvr-east", "yvr-west", "burnaby-a", "surrey-b"},
		EntriesEach: 1,
		Engines:     12,
		Engine: EngineSpec{
			PrefillTokensPerSecond: 10_000,
			CacheTokens:            305_000,
			BytesPerToken:          131_072,
			MaxRunning:             48,
			Step:                   20 * time.Millisecond,
			StepEach:               230 * time.Microsecond,
			Interference:           0.5,
			Chunk:                  1024,
			Load:                   500 * time.Millisecond,
			ConcurrentLoads:        2,
		},
		Service:            "booking-api",
		Plain:              4,
		Stores:             []StoreSpec{{"prompt-vault", 0, 2_500e9}, {"prompt-vault-b", 2, 2_500e9}},
		Apart:              time.Millisecond,
		Clients:            3 * time.Millisecond,
		LinkBytesPerSecond: 5e9,
		Organisations:      organisations,
		Workloads: []Workload{
			{"curb", 0.70, setting.Urgent, 2500, 80, 40, 6, 3 * time.Minute, 2 * time.Second},
			{"desk", 0.22, setting.Interactive, 5000, 200, 150, 6, 5 * time.Minute, 10 * time.Second},
			{"review", 0.08, setting.Background, 26_000, 1500, 600, 5, 8 * time.Minute, 2 * time.Minute},
		},
		FirstTokenWeight: 1,
		RecomputedWeight: 0.2,
	}
}

// Bureau returns the model of the Zhetysu Archival Records Bureau. An engine is
// taken for a model of 70 billion parameters on four accelerators: its cache
// takes 80 layers x 8 heads x 128 values x 2 bytes, twice, for a token, and 120
// GB beside the weights.
func Bureau() Deployment {
	return Deployment{
		Name:        "bureau",
		DataCentres: []string{"medeu-hall", "auezov-hall", "bostandyk-hall"},
		EntriesEach: 1,
		Engines:     18,
		Engine: EngineSpec{
			PrefillTokensPerSecond: 8000,
			CacheTokens:            366_000,
			BytesPerToken:          327_680,
			MaxRunning:             48,
			Step:                   20 * time.Millisecond,
			StepEach:               230 * time.Microsecond,
			Interference:           0.5,
			Chunk:                  1024,
			Load:                   450 * time.Millisecond,
			ConcurrentLoads:        3,
		},
		Service:            "request-desk",
		Plain:              3,
		Stores:             []StoreSpec{{"case-cache", 0, 10_000e9}, {"letter-cache", 1, 10_000e9}},
		Apart:              500 * time.Microsecond,
		Clients:            3 * time.Millisecond,
		LinkBytesPerSecond: 12.5e9,
		Organisations:      organisations,
		Workloads: []Workload{
			{"tag", 0.50, setting.Urgent, 2500, 300, 20, 5, 4 * time.Minute, 5 * time.Second},
			{"lookup", 0.35, setting.Interactive, 1200, 60, 60, 4, 5 * time.Minute, 5 * time.Second},
			{"determination", 0.15, setting.Background, 40_000, 2500, 800, 5, 8 * time.Minute, 5 * time.Minute},
		},
		FirstTokenWeight: 0.2,
		RecomputedWeight: 1,
	}
}

// deploymentOf returns the deployment with the given name.
func deploymentOf(name string) (Deployment, error) {
	for _, d := range []Deployment{Coastal(), Bureau()} {
		if d.Name == name {
			return d, nil
		}
	}

	return Deployment{}, fmt.Errorf("no deployment %q; there are coastal and bureau", name)
}

// Capacity returns the requests a second at which all engines are busy when
// nothing is ever reused: what an operator could count on without any cache.
func (d Deployment) Capacity() float64 {
	var tokens float64

	for _, w := range d.Workloads {
		// The mean over visits v = 1..Visits of the prompt at visit v; visits
		// are geometric, so the mean visit before this one is Visits-1.
		prompt := float64(w.Opening) + (w.Visits-1)*float64(w.Added+w.Answer)
		tokens += w.Part * prompt
	}

	return float64(d.Engines) * d.Engine.PrefillTokensPerSecond / tokens
}
