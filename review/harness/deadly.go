//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// deadlyRequest plays a request that crashes each engine which begins to run it, and comes again every some seconds
// with the same path, caller and body. Twice, after it has been quarantined, all processes of the entries are killed
// at once and started again.
func deadlyRequest(root, dir string, rec *record, trouble bool) (ruleBroken bool, err error) {
	const (
		model        = "daka510000"
		engines      = 7
		downTime     = 3 * time.Second
		every        = 6 * time.Second
		restartDelay = 500 * time.Millisecond
		stable       = 3 * time.Second // stableMs
		length       = 52 * time.Second
		maxRetries   = 3
		deadly       = "the request that crashes engines"
	)

	kills := []time.Duration{14 * time.Second, 32 * time.Second}
	zones := []string{"yvr-east", "yvr-west", "burnaby-a"}

	fareReview := map[string]any{
		"name": "fare-review", "host": host, "pathPrefix": "/fare/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 800,
		"priority": 1, "service": "boragehub-llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 300,
	}

	cfg := fleetConfig{root: root, dir: dir, zones: zones, rec: rec, config: map[string]any{
		"revision": 1, "limits": limits, "routes": []any{seatQuery("boragehub-llm"), fareReview}, "services": []any{modelService("boragehub-llm", model)},
		"tenants": []any{tenant("desk-a", "keya"), tenant("desk-b", "keyb")},
	}}

	var (
		mu        sync.Mutex
		crashedAt []time.Time
		startedAt = time.Now() // of the entries' processes
		counted   int
	)

	crash := func(e *engine, request string) {
		now := time.Now()

		mu.Lock()
		crashedAt = append(crashedAt, now)
		n := len(crashedAt)
		inTouch := now.Sub(startedAt) > stable
		late := n > maxRetries && now.Sub(crashedAt[2]) > stable

		if inTouch && late {
			counted++
		}
		mu.Unlock()

		broken := e.crash()
		rec.show("arrival %d of the deadly request (%s) crashes engine %s, breaking %d requests beside it; by an entry in touch: %v", n, request, e.cfg.name, max(broken-1, 0), inTouch)
		time.AfterFunc(downTime, func() {
			if err := e.start(); err != nil {
				rec.show("engine %s: %v", e.cfg.name, err)
			}
		})
	}

	for i := range engines {
		cfg.engines = append(cfg.engines, engineConfig{
			name: fmt.Sprintf("llm%d", i+1), service: "boragehub-llm", models: []string{model},
			firstEvent: 80 * time.Millisecond, eventInterval: 40 * time.Millisecond, events: 11, loadTime: 570 * time.Millisecond,
			deadly: deadly, onDeadly: crash,
		})
	}

	f, err := readyFleet(cfg)
	if err != nil {
		return false, err
	}
	defer f.close()

	t := newTally(rec)
	stop := make(chan struct{})

	var wg, sending sync.WaitGroup

	for zone := range zones {
		c := newCaller(f, zone)

		sending.Go(func() {
			c.traffic(10, func() call {
				return call{
					method: "POST", path: fmt.Sprintf("/seat/%x", rand.Uint32()), key: "keyb", body: fmt.Sprintf("question %x", rand.Uint64()),
					model: model, parts: fmt.Sprintf("5c1e0700:55,91bd%04x:246,e4%08x:82", rand.IntN(100), rand.Uint32()), tokens: 383, output: 44,
					deadline: 5 * time.Second, gap: 2400 * time.Millisecond, events: 11,
				}
			}, stop, &wg, func(_ call, a answer) { t.add("other requests", a) })
		})
	}

	began := time.Now()

	// The deadly request comes again at any entry.
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(began.Add(time.Second + time.Duration(i)*every))):
			}

			c := newCaller(f, i%len(zones))

			wg.Go(func() {
				a := c.do(call{
					method: "POST", path: "/fare/2f", key: "keya", body: deadly, model: model, parts: "77aa0001:900,77aa0002:400",
					tokens: 1300, output: 120, deadline: 10 * time.Second, gap: 3200 * time.Millisecond, events: 11,
				})
				rec.show("the deadly request comes to %s and gets status %d %s", a.entry, a.status, a.err)
			})
		}
	})

	for _, at := range kills {
		time.Sleep(time.Until(began.Add(at)))

		if !trouble {
			continue
		}

		rec.show("all entries are killed")

		for _, e := range f.entries {
			e.kill()
		}

		time.Sleep(restartDelay)

		mu.Lock()
		startedAt = time.Now()
		mu.Unlock()

		for _, e := range f.entries {
			if err := e.start(e.settings); err != nil {
				return false, err
			}
		}
	}

	time.Sleep(time.Until(began.Add(length)))
	close(stop)
	sending.Wait()
	wg.Wait()
	t.show()

	mu.Lock()
	defer mu.Unlock()

	rec.show("the deadly request reached engines %d times; %d of these were sent by entries in touch more than 3 s after its third crash; BUDGET allows %d", len(crashedAt), counted, maxRetries)

	return counted > maxRetries, nil
}
