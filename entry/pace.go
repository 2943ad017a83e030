package entry

import (
	"sync"
	"time"
)

// pace is how long the requests of each service keep their places, and how many
// calls this entry has open at each target; by it an old load report is brought up
// to date.
type pace struct {
	mu     sync.Mutex
	mean   map[string]time.Duration // by service
	flying map[string]int           // by VM
}

func newPace() *pace {
	return &pace{mean: map[string]time.Duration{}, flying: map[string]int{}}
}

// paceWeight is the weight of one request against those before.
const paceWeight = 0.05

// begin notes a request that goes to a target.
func (p *pace) begin(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.flying[vm]++
}

// end notes that it ended, and how long it took when it was answered.
func (p *pace) end(service, vm string, took time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.flying[vm]--; p.flying[vm] <= 0 {
		delete(p.flying, vm)
	}

	if !answered {
		return
	}

	mean, ok := p.mean[service]
	if !ok {
		mean = took
	}

	p.mean[service] = mean + time.Duration(paceWeight*float64(took-mean))
}

// of returns the mean time of a service's requests, zero when none was answered
// yet, and how many this entry has open at a target.
func (p *pace) of(service, vm string) (mean time.Duration, flying int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.mean[service], p.flying[vm]
}
