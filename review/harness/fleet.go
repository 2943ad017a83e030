//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// fleetConfig configures a fleet: one entry in each zone, and engines in turn in the zones.
type fleetConfig struct {
	root, dir string
	zones     []string
	engines   []engineConfig // without address, zone, store and record
	config    map[string]any // the first configuration
	rec       *record
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	cfg     fleetConfig
	rec     *record
	store   *store
	entries []*entry
	loaders []*process
	engines []*engine
	closers []func()
}

// entry is an entry, and whether the balancer sends callers there.
type entry struct {
	*process

	zone     string
	settings map[string]any

	mu     sync.Mutex
	misses int
	ready  bool
}

func startFleet(cfg fleetConfig) (*fleet, error) {
	f := &fleet{cfg: cfg, rec: cfg.rec, store: newStore()}
	running.Store(f)

	run, err := commands(cfg.root)
	if err != nil {
		return nil, err
	}

	prefix, lock, err := freeSubnet()
	if err != nil {
		return nil, err
	}

	f.closers = append(f.closers, func() { _ = lock.Close() })

	l, err := net.Listen("tcp", prefix+".3.1:0")
	if err != nil {
		return nil, err
	}

	s := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()

	f.closers = append(f.closers, func() { _ = s.Close() })
	f.store.putJSON("keyed.op", "config", cfg.config)

	for i, e := range cfg.engines {
		e.zone, e.address = cfg.zones[i%len(cfg.zones)], fmt.Sprintf("%s.2.%d:28044", prefix, i+1)
		e.store, e.rec = f.store, cfg.rec
		f.engines = append(f.engines, newEngine(e))

		if err := f.engines[i].start(); err != nil {
			return f, err
		}
	}

	seeds := []string{}
	for i := range min(len(cfg.zones), 3) {
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:%d", prefix, i+1, controlPort))
	}

	for i, zone := range cfg.zones {
		name, ip := fmt.Sprintf("edge-%s-1", zone), fmt.Sprintf("%s.1.%d", prefix, i+1)
		e := &entry{
			process: f.process(name, ip, run["gateway"]), zone: zone,
			settings: settingsOf(name, "edge", ip, zone, cfg.zones, seeds, l.Addr().String(), true),
		}
		f.entries = append(f.entries, e)

		if err := e.start(e.settings); err != nil {
			return f, err
		}

		e.settings["bootstrap"] = false
	}

	for i, e := range f.engines {
		if len(e.cfg.models) == 0 {
			continue
		}

		host, _, _ := net.SplitHostPort(e.cfg.address)
		name := fmt.Sprintf("side-%s-%d", e.cfg.zone, i+1)
		settings := settingsOf(name, "side", host, e.cfg.zone, cfg.zones, seeds, l.Addr().String(), true)
		settings["app"], settings["service"] = e.cfg.address, e.cfg.service
		p := f.process(name, host, run["loader"])
		f.loaders = append(f.loaders, p)

		if err := p.start(settings); err != nil {
			return f, err
		}
	}

	go f.balance()

	return f, nil
}

// readyFleet starts a fleet and waits until its entries are in rotation and settled.
func readyFleet(cfg fleetConfig) (*fleet, error) {
	f, err := startFleet(cfg)

	if err == nil && !f.awaitReady(20*time.Second) {
		err = fmt.Errorf("%w: an entry is not ready", errSetup)
	}

	if err != nil {
		if f != nil {
			f.close()
		}

		return nil, err
	}

	time.Sleep(4 * time.Second)

	return f, nil
}

func (f *fleet) process(name, ip string, args []string) *process {
	return &process{
		name: name, ip: ip, args: args, rec: f.rec,
		settings: filepath.Join(f.cfg.dir, name+".json"), output: filepath.Join(f.cfg.dir, name+".log"),
	}
}

// balance asks each entry once a second whether it is ready. Two misses take it out of rotation.
func (f *fleet) balance() {
	c := &http.Client{Timeout: time.Second}

	for ; ; time.Sleep(time.Second) {
		for _, e := range f.entries {
			go func() {
				resp, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", e.ip, readyPort))
				ok := err == nil && resp.StatusCode == http.StatusOK

				if err == nil {
					_ = resp.Body.Close()
				}

				e.observe(ok)
			}()
		}
	}
}

func (e *entry) observe(ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if ok {
		e.misses, e.ready = 0, true

		return
	}

	if e.misses++; e.misses >= 2 {
		e.ready = false
	}
}

func (e *entry) isReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.ready
}

// entryFor returns the entry that a new connection from a zone reaches: that of the zone, or the next one in rotation.
func (f *fleet) entryFor(zone int) *entry {
	for i := range f.entries {
		if e := f.entries[(zone+i)%len(f.entries)]; e.isReady() {
			return e
		}
	}

	return f.entries[zone]
}

// awaitReady waits until all entries are in rotation.
func (f *fleet) awaitReady(d time.Duration) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, e := range f.entries {
			all = all && e.isReady()
		}

		if all {
			return true
		}
	}

	return false
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, e := range f.entries {
		if e.cmd != nil {
			e.kill()
		}
	}

	for _, p := range f.loaders {
		if p.cmd != nil {
			p.kill()
		}
	}

	for _, c := range f.closers {
		c()
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.cfg.dir)
	}
}
