package main

import (
	"context"
	"sync"
	"time"

	"boragehub/roster"
)

const (
	// presenceTimeout is how long the VM of a target may take to reply whether a side process runs there.
	presenceTimeout = 300 * time.Millisecond
	// maxPresenceProbes bounds the VMs that are asked at the same time.
	maxPresenceProbes = 64
)

// probeSideProcesses asks the VMs of the targets from which no load report was ever received whether a side
// process runs there, until ctx ends.
func (e *gatewayProcess) probeSideProcesses(ctx context.Context) {
	t := time.NewTicker(roster.ProbeInterval)
	defer t.Stop()

	limit := make(chan struct{}, maxPresenceProbes)

	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}

		var wg sync.WaitGroup

		for _, address := range e.roster.SilentTargets(time.Now()) {
			limit <- struct{}{}

			wg.Go(func() {
				defer func() { <-limit }()

				c, cancel := context.WithTimeout(ctx, presenceTimeout)
				defer cancel()

				p := e.reports.SideProcess(c, address)
				e.roster.ObserveSideProcess(time.Now(), address, p)
			})
		}

		wg.Wait()
	}
}
