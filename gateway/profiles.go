package gateway

import (
	"sync"

	"boragehub/profile"
)

// serviceProfiles holds what was measured of each service's engines and of the calls of each route. The zero value is empty.
//
// Services differ in the speed of their engines and the length of their prompts: measured
// together, the figures would fit neither.
type serviceProfiles struct {
	mu        sync.Mutex
	byService map[string]*profile.Service
	callTimes profile.CallTimes
}

// forService returns the profile of a service's engines.
func (p *serviceProfiles) forService(service string) *profile.Service {
	p.mu.Lock()
	defer p.mu.Unlock()

	x, ok := p.byService[service]
	if !ok {
		if p.byService == nil {
			p.byService = make(map[string]*profile.Service)
		}

		x = &profile.Service{}
		p.byService[service] = x
	}

	return x
}

// tokensPerMs returns the prefill speed of the fastest service's engines, zero while unknown.
func (p *serviceProfiles) tokensPerMs() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	best := 0.0
	for _, x := range p.byService {
		best = max(best, x.TokensPerMs())
	}

	return best
}
