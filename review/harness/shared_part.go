//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// sharedPart plays three crashes of engines, as the days of the deployment have them. The prompts of an organisation
// begin with a part of their own, and until then its callers are in one zone. Then a second office opens in another
// zone.
func sharedPart(root, dir string, rec *record, trouble bool) (ruleBroken bool, err error) {
	const (
		model       = "daka510000"
		engines     = 7
		crashed     = 2 // a share of 0.29; the standard days have 0.3
		downTime    = time.Second
		newOfficeAt = 20 * time.Second
		length      = 34 * time.Second
	)

	crashes := []time.Duration{4 * time.Second, 7500 * time.Millisecond, 11 * time.Second}
	zones := []string{"yvr-east", "yvr-west", "burnaby-a"}

	cfg := fleetConfig{root: root, dir: dir, zones: zones, rec: rec, config: map[string]any{
		"revision": 1, "limits": limits, "routes": []any{seatQuery("boragehub-llm")}, "services": []any{modelService("boragehub-llm", model)},
		"tenants": []any{tenant("desk-a", "keya"), tenant("desk-b", "keyb"), tenant("desk-c", "keyc")},
	}}

	for i := range engines {
		cfg.engines = append(cfg.engines, engineConfig{
			name: fmt.Sprintf("llm%d", i+1), service: "boragehub-llm", models: []string{model},
			firstEvent: 80 * time.Millisecond, eventInterval: 40 * time.Millisecond, events: 11, loadTime: 570 * time.Millisecond,
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

	// office starts the traffic of an organisation in a zone. All its prompts begin with one part; sessions have a
	// second one, and each prompt ends with its own.
	office := func(organisation string, zone int, perSecond float64) {
		c := newCaller(f, zone)
		n := 0

		sending.Go(func() {
			c.traffic(perSecond, func() call {
				n++

				return call{
					method: "POST", path: fmt.Sprintf("/seat/%x", rand.Uint32()), key: "key" + organisation, body: fmt.Sprintf("question %s %d %x", organisation, n, rand.Uint64()),
					model: model, parts: fmt.Sprintf("5c1e07%s0:55,91bd%s%03d:246,e4%08x:82", organisation, organisation, n%40, rand.Uint32()),
					tokens: 383, output: 44, deadline: 5 * time.Second, gap: 2400 * time.Millisecond, events: 11,
				}
			}, stop, &wg, func(_ call, a answer) { t.add(fmt.Sprintf("desk-%s in %s", organisation, zones[zone]), a) })
		})
	}

	began := time.Now()

	office("a", 0, 25)
	office("b", 1, 10)
	office("c", 2, 10)

	for _, at := range crashes {
		time.Sleep(time.Until(began.Add(at)))

		if trouble {
			f.crashBusiest(crashed, downTime)
		}
	}

	time.Sleep(time.Until(began.Add(newOfficeAt)))
	rec.show("desk-a opens a second office in %s", zones[1])
	office("a", 1, 8)

	time.Sleep(time.Until(began.Add(length)))
	close(stop)
	sending.Wait()
	wg.Wait()

	return t.denied(), nil
}
