package wholepath

import (
	"sync"
	"sync/atomic"
)

// after is how many times each of a crowd asks once more when what it met is over.
const after = 20

// crowd is callers who ask again and again while something happens to the system.
type crowd struct {
	all   sync.WaitGroup
	begun sync.WaitGroup
	over  atomic.Bool
}

// add has one more caller ask; j counts his requests.
func (c *crowd) add(ask func(j int)) {
	c.begun.Add(1)
	c.all.Go(func() {
		for j, left := 0, after; left > 0; j++ {
			ask(j)

			if j == 0 {
				c.begun.Done()
			}

			if c.over.Load() {
				left--
			}
		}
	})
}

// during has the crowd ask while f runs, and returns when all have asked.
func (c *crowd) during(f func()) {
	c.begun.Wait()
	f()
	c.over.Store(true)
	c.all.Wait()
}
