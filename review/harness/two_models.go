//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// twoModels names new weights of one model twice, and then new weights of another model of the same engines. All
// versions are in place long before the next one is named.
func twoModels(root, dir string, rec *record, trouble bool) (ruleBroken bool, err error) {
	const (
		first, second = "daka510000", "daka520000"
		engines       = 4
		pauseBetween  = 13 * time.Second
	)

	zones := []string{"yvr-east", "yvr-west"}

	cfg := fleetConfig{root: root, dir: dir, zones: zones, rec: rec, config: map[string]any{
		"revision": 1, "limits": limits, "routes": []any{seatQuery("boragehub-llm")}, "services": []any{modelService("boragehub-llm", first, second)},
		"tenants": []any{tenant("desk-a", "keya")},
	}}

	for i := range engines {
		cfg.engines = append(cfg.engines, engineConfig{
			name: fmt.Sprintf("llm%d", i+1), service: "boragehub-llm", models: []string{first, second},
			firstEvent: 80 * time.Millisecond, eventInterval: 20 * time.Millisecond, events: 5, loadTime: 570 * time.Millisecond,
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
		for _, model := range []string{first, second} {
			c := newCaller(f, zone)

			sending.Go(func() {
				c.traffic(8, func() call {
					return call{
						method: "POST", path: fmt.Sprintf("/seat/%x", rand.Uint32()), key: "keya", body: fmt.Sprintf("question %x", rand.Uint64()),
						model: model, parts: fmt.Sprintf("5c1e0700:55,e4%08x:82", rand.Uint32()), tokens: 137, output: 20,
						deadline: 5 * time.Second, gap: 2400 * time.Millisecond, events: 5,
					}
				}, stop, &wg, func(x call, a answer) { t.add("model "+x.model, a) })
			})
		}
	}

	name := func(model string, version int) {
		rec.show("new weights are named: %s version %d", model, version)
		f.store.putJSON("keyed.op", "version/"+model, map[string]any{"model": model, "revision": version})
		time.Sleep(pauseBetween)
	}

	name(first, 2)
	name(first, 3)

	if trouble {
		name(second, 2)
	}

	close(stop)
	sending.Wait()
	wg.Wait()
	t.show()

	return f.lowerFence(), nil
}

// lowerFence reports whether an engine got a lower fencing token after a higher one in one of its starts, and shows
// the first of each engine.
func (f *fleet) lowerFence() (found bool) {
	for _, e := range f.engines {
		highest := make(map[string]order) // by start

		for _, o := range e.received() {
			h, ok := highest[o.start]
			if ok && *o.Fence < *h.Fence {
				f.rec.show("%s: order for %s version %d with fence %d by %s, after one for %s version %d with fence %d by %s",
					o.start, o.Model, o.Revision, *o.Fence, o.Holder, h.Model, h.Revision, *h.Fence, h.Holder)

				found = true

				break
			}

			if !ok || *o.Fence > *h.Fence {
				highest[o.start] = o
			}
		}
	}

	return found
}
