//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

// deadlyQuery plays a lookup that crashes each engine which begins to run it, and comes again every some seconds with
// the same path, caller and body. The organisation's other lookups have the same path and another query; they are
// harmless, and answered at every entry. Bookings run on the same engines. Nothing else is disturbed.
func deadlyQuery(root, dir string, rec *record, trouble bool) (ruleBroken bool, err error) {
	const (
		engines    = 4
		downTime   = 2 * time.Second
		every      = 2500 * time.Millisecond
		first      = 2 * time.Second
		comesFor   = 20 * time.Second // as in the day of letter 13
		stable     = 3 * time.Second  // stableMs
		length     = 28 * time.Second
		maxRetries = 3
		deadly     = "/manifest/today?driver=0"
	)

	zones := []string{"yvr-east", "yvr-west", "burnaby-a"}

	// With OTHERS=paths, the other lookups differ in their paths, for comparison.
	others := "/manifest/today?driver=%d"
	if os.Getenv("OTHERS") == "paths" {
		others = "/manifest/%d"
	}

	cfg := fleetConfig{root: root, dir: dir, zones: zones, rec: rec, config: map[string]any{
		"revision": 1, "limits": limits, "routes": []any{manifestPull(), bookingWrite()}, "services": []any{bookingService()},
		"tenants": []any{tenant("desk-a", "keya"), tenant("desk-b", "keyb")},
	}}

	var (
		mu        sync.Mutex
		crashedAt []time.Time
		counted   = make(map[string]bool) // comings of the request that count, by id
	)

	crash := func(e *engine, request string) {
		now := time.Now()

		mu.Lock()
		crashedAt = append(crashedAt, now)
		n := len(crashedAt)
		late := n > maxRetries && now.Sub(crashedAt[maxRetries-1]) > stable

		if late {
			counted[request] = true
		}
		mu.Unlock()

		broken := e.crash()
		rec.show("arrival %d of the deadly lookup (%s) crashes engine %s, breaking %d requests beside it; counted: %v", n, request, e.cfg.name, max(broken-1, 0), late)
		time.AfterFunc(downTime, func() {
			if err := e.start(); err != nil {
				rec.show("engine %s: %v", e.cfg.name, err)
			}
		})
	}

	for i := range engines {
		cfg.engines = append(cfg.engines, engineConfig{
			name: fmt.Sprintf("booking%d", i+1), service: "booking-api", firstEvent: 30 * time.Millisecond, deadly: deadly, onDeadly: crash,
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
		for _, organisation := range []string{"a", "b"} {
			c := newCaller(f, zone)

			sending.Go(func() {
				c.traffic(10, func() call {
					return call{
						method: http.MethodPost, path: fmt.Sprintf("/booking/%x", rand.Uint32()), key: "key" + organisation,
						body: fmt.Sprintf("seat %x", rand.Uint64()), deadline: 1500 * time.Millisecond,
					}
				}, stop, &wg, func(_ call, a answer) { t.add("bookings of desk-"+organisation, a) })
			})
			sending.Go(func() {
				c.traffic(5, func() call {
					return call{
						method: http.MethodGet, path: fmt.Sprintf(others, 1+rand.Uint32N(1<<30)), key: "key" + organisation,
						deadline: 1500 * time.Millisecond,
					}
				}, stop, &wg, func(_ call, a answer) { t.add("other lookups of desk-"+organisation, a) })
			})
		}
	}

	began := time.Now()

	if trouble {
		sending.Go(func() {
			for i := 0; time.Duration(i)*every <= comesFor; i++ {
				time.Sleep(time.Until(began.Add(first + time.Duration(i)*every)))

				c := newCaller(f, i%len(zones))

				wg.Go(func() {
					a := c.do(call{method: http.MethodGet, path: deadly, key: "keya", deadline: 1500 * time.Millisecond})
					rec.show("the deadly lookup comes to %s and gets status %d %s", a.entry, a.status, a.err)
				})
			}
		})
	}

	time.Sleep(time.Until(began.Add(length)))
	close(stop)
	sending.Wait()
	wg.Wait()
	t.show()

	mu.Lock()
	defer mu.Unlock()

	rec.show("the deadly lookup crashed engines %d times; it came again and reached engines %d times later than 3 s after its third crash; BUDGET allows %d", len(crashedAt), len(counted), maxRetries)

	return len(counted) > maxRetries, nil
}
