//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sameCall plays three crashes of engines of a plain service under lookups of one organisation, which have one path and
// differ in their queries. Thousands of them are answered, at every entry and after every crash. Then an entry is
// stopped and started again, as in an update.
func sameCall(root, dir string, rec *record, trouble bool) (ruleBroken bool, err error) {
	const (
		engines   = 4
		downTime  = time.Second
		restartAt = 16 * time.Second
		grace     = 8 * time.Second
		stable    = 3 * time.Second // stableMs
		length    = 40 * time.Second
	)

	crashes := []time.Duration{4 * time.Second, 7500 * time.Millisecond, 11 * time.Second}
	zones := []string{"yvr-east", "yvr-west", "burnaby-a"}

	cfg := fleetConfig{root: root, dir: dir, zones: zones, rec: rec, config: map[string]any{
		"revision": 1, "limits": limits, "routes": []any{manifestPull()}, "services": []any{bookingService()},
		"tenants": []any{tenant("desk-a", "keya"), tenant("desk-b", "keyb")},
	}}

	for i := range engines {
		cfg.engines = append(cfg.engines, engineConfig{name: fmt.Sprintf("booking%d", i+1), service: "booking-api", firstEvent: 60 * time.Millisecond})
	}

	f, err := readyFleet(cfg)
	if err != nil {
		return false, err
	}
	defer f.close()

	t := newTally(rec)
	stop := make(chan struct{})

	var (
		wg, sending sync.WaitGroup
		mu          sync.Mutex
		restarted   time.Time // when the restarted entry was started again; zero before its stop
		stopping    bool
	)

	// inTouch reports whether the entry that got a request was in touch.
	inTouch := func(a answer) bool {
		mu.Lock()
		defer mu.Unlock()

		return a.entry != f.entries[0].name || !stopping || !restarted.IsZero() && a.sentAt.Sub(restarted) > stable
	}

	for zone := range zones {
		for _, organisation := range []string{"a", "b"} {
			c := newCaller(f, zone)
			path := map[string]string{"a": "/manifest/today?driver=%d", "b": "/manifest/%d"}[organisation]

			sending.Go(func() {
				c.traffic(20, func() call {
					return call{method: http.MethodGet, path: fmt.Sprintf(path, rand.Uint32()), key: "key" + organisation, deadline: 1500 * time.Millisecond}
				}, stop, &wg, func(_ call, a answer) {
					if inTouch(a) {
						t.add(fmt.Sprintf("desk-%s at %s", organisation, a.entry), a)
					} else {
						t.skip("by an entry out of touch, not counted", a)
					}
				})
			})
		}
	}

	began := time.Now()

	for _, at := range crashes {
		time.Sleep(time.Until(began.Add(at)))

		if trouble {
			f.crashUnder("desk-a", downTime)
		}
	}

	time.Sleep(time.Until(began.Add(restartAt)))
	mu.Lock()
	stopping = true
	mu.Unlock()

	e := f.entries[0]
	rec.show("%s is stopped", e.name)
	e.stop(grace)

	if err := e.start(e.settings); err != nil {
		return false, err
	}

	mu.Lock()
	restarted = time.Now()
	mu.Unlock()
	rec.show("%s is started again", e.name)

	time.Sleep(time.Until(began.Add(length)))
	close(stop)
	sending.Wait()
	wg.Wait()

	return t.denied(), nil
}
