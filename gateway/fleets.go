package gateway

import (
	"sync"

	"boragehub/profile"
)

// fleets are what was learned of each service's engines. The zero value is empty.
//
// Services have engines of different speed and prompts of different length: learned
// together, neither would be known.
type fleets struct {
	mu  sync.Mutex
	all map[string]*profile.Fleet
}

// of returns what was learned of a service's engines.
func (f *fleets) of(service string) *profile.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()

	x, ok := f.all[service]
	if !ok {
		if f.all == nil {
			f.all = make(map[string]*profile.Fleet)
		}

		x = &profile.Fleet{}
		f.all[service] = x
	}

	return x
}

// tokensPerMs returns how fast the fastest engines are known to read, zero while not
// known.
func (f *fleets) tokensPerMs() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	best := 0.0
	for _, x := range f.all {
		best = max(best, x.TokensPerMs())
	}

	return best
}
