package wholepath

import (
	"sync"
	"sync/atomic"
)

// requestsAfterEvent is how many more requests each client sends after the event has ended.
const requestsAfterEvent = 20

// loadGenerator runs clients that send requests in a loop while an event, such as the
// stop of a process, takes place.
type loadGenerator struct {
	clients sync.WaitGroup
	started sync.WaitGroup
	ended   atomic.Bool
}

// addClient starts a client; j counts its requests from 0.
func (g *loadGenerator) addClient(request func(j int)) {
	g.started.Add(1)
	g.clients.Go(func() {
		for j, remaining := 0, requestsAfterEvent; remaining > 0; j++ {
			request(j)

			if j == 0 {
				g.started.Done()
			}

			if g.ended.Load() {
				remaining--
			}
		}
	})
}

// runDuring runs event after each client has had its first response, and returns when all
// clients have sent their requests after it.
func (g *loadGenerator) runDuring(event func()) {
	g.started.Wait()
	event()
	g.ended.Store(true)
	g.clients.Wait()
}
