//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// isolated plays a new configuration in which a tenant is isolated that was not before. Another tenant, whose prompts
// begin with the same part, comes some seconds later.
func isolated(root, dir string, rec *record, trouble bool) (ruleBroken bool, err error) {
	const (
		model      = "daka510000"
		engines    = 3
		changeAt   = 6 * time.Second
		comesAfter = 6 * time.Second // far beyond configDeadlineMs, 2 s
		length     = 20 * time.Second
	)

	zones := []string{"yvr-east", "yvr-west"}

	config := func(revision int, isolated bool) map[string]any {
		first := tenant("desk-a", "keya")
		first["isolated"] = isolated

		return map[string]any{
			"revision": revision, "limits": limits, "routes": []any{seatQuery("boragehub-llm")}, "services": []any{modelService("boragehub-llm", model)},
			"tenants": []any{first, tenant("desk-b", "keyb")},
		}
	}

	cfg := fleetConfig{root: root, dir: dir, zones: zones, rec: rec, config: config(1, false)}

	for i := range engines {
		cfg.engines = append(cfg.engines, engineConfig{
			name: fmt.Sprintf("llm%d", i+1), service: "boragehub-llm", models: []string{model},
			firstEvent: 80 * time.Millisecond, eventInterval: 20 * time.Millisecond, events: 5, loadTime: 570 * time.Millisecond,
		})
	}

	f, err := readyFleet(cfg)
	if err != nil {
		return false, err
	}
	defer f.close()

	t := newTally(rec)
	began := time.Now()

	var wg, sending sync.WaitGroup

	office := func(organisation string, zone int, stop <-chan struct{}) {
		c := newCaller(f, zone)

		sending.Go(func() {
			c.traffic(8, func() call {
				return call{
					method: "POST", path: fmt.Sprintf("/seat/%x", rand.Uint32()), key: "key" + organisation, body: fmt.Sprintf("question %x", rand.Uint64()),
					model: model, parts: fmt.Sprintf("5c1e07a2:301,e4%08x:82", rand.Uint32()), tokens: 383, output: 20,
					deadline: 5 * time.Second, gap: 2400 * time.Millisecond, events: 5,
				}
			}, stop, &wg, func(_ call, a answer) { t.add("desk-"+organisation, a) })
		})
	}

	stopFirst, stopSecond := make(chan struct{}), make(chan struct{})

	office("a", 0, stopFirst)
	time.Sleep(time.Until(began.Add(changeAt)))
	close(stopFirst)

	if trouble {
		rec.show("a new configuration isolates desk-a")
		f.store.putJSON("keyed.op", "config", config(2, true))
	}

	time.Sleep(comesAfter)
	rec.show("desk-b comes")
	office("b", 1, stopSecond)
	time.Sleep(time.Until(began.Add(length)))
	close(stopSecond)
	sending.Wait()
	wg.Wait()
	t.show()

	uses := 0

	for _, e := range f.engines {
		for i, u := range e.foreignUses() {
			uses++

			if i == 0 {
				rec.show("%s: request %s of %s uses part %s that a request of %s made", u.engine, u.request, u.tenant, u.part, u.maker)
			}
		}
	}

	rec.show("%d requests used a part that a request of another tenant made; desk-a is isolated: %v", uses, trouble)

	return trouble && uses > 0, nil
}
