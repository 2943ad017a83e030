package entry

import (
	"sync"
	"time"
)

// serviceTimes measures the mean time that the requests of each service take and counts
// the requests of this entry in flight at each target. Routing uses both to correct
// outdated load reports.
type serviceTimes struct {
	mu       sync.Mutex
	mean     map[string]time.Duration // by service
	inFlight map[string]int           // by VM
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{mean: map[string]time.Duration{}, inFlight: map[string]int{}}
}

// meanWeight is the weight of one request in the exponential moving average.
const meanWeight = 0.05

// begin counts a request sent to a target.
func (s *serviceTimes) begin(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.inFlight[vm]++
}

// end counts a request that has ended. Only the time of a successful one enters the mean.
func (s *serviceTimes) end(service, vm string, took time.Duration, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.inFlight[vm]--; s.inFlight[vm] <= 0 {
		delete(s.inFlight, vm)
	}

	if !succeeded {
		return
	}

	mean, ok := s.mean[service]
	if !ok {
		mean = took
	}

	s.mean[service] = mean + time.Duration(meanWeight*float64(took-mean))
}

// get returns the mean time of a service's requests, zero before the first success, and
// the number of requests of this entry in flight at a target.
func (s *serviceTimes) get(service, vm string) (mean time.Duration, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.mean[service], s.inFlight[vm]
}
