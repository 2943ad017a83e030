// Package experiment compares the daemons' routing and parking decisions with
// baseline policies in a discrete-event simulation.
//
// # Model
//
// A seeded load modelled on two users' deployments drives the packages route,
// directory, link, limit and parking as the daemons use them, against simple models
// of engine, link and store. Only queues and links are modelled: messages are
// delays, and processes have no faults of their own.
//
// An engine prefills one request at a time, in chunks and in order of class, while
// a batch decodes and slows the prefill down; its cache evicts the least recently
// used conversations. Concurrent transfers share a link evenly. A store evicts its
// least valuable part. Load reports and cache events arrive late. Deployment
// documents the parameters with their units.
//
// All policies get the same load: conversations return at the same times whatever
// the outcome of their previous visits. A request that has no batch slot when its
// deadline passes is refused, and its deadline is recorded as its time to first
// token, so that a policy gains nothing by refusing.
//
// # Example
//
//	err := experiment.Run(experiment.Config{Deployment: "coastal", Seeds: 3}, os.Stdout)
//
// The output is deterministic: the same Config gives the same bytes.
package experiment

import (
	"io"
	"sync"
	"time"
)

// Config selects what is measured. Zero fields take their defaults.
type Config struct {
	// Deployment is "coastal" or "bureau"; "coastal" when empty.
	Deployment string
	// Policies are the policies to compare; all when empty.
	Policies []Policy
	// Loads are the loads as fractions of Deployment.Capacity; 0.8 when empty.
	Loads []float64
	// Seed is the first seed, and Seeds the number of consecutive seeds; both are 1
	// when zero.
	Seed  uint64
	Seeds int
	// Fault is injected after a third of the measured time; NoFault when zero.
	Fault Fault
	// Ablations are compared one at a time; only NoAblation when empty.
	Ablations []Ablation
	// Warmup is the virtual time before the measurement, 30 minutes when zero, and
	// Measured the virtual time measured after it, 15 minutes when zero.
	Warmup, Measured time.Duration
	// Entries is the number of entries in each data centre; 1 when zero.
	Entries int
	// Workers is the number of concurrent runs; 2 when zero.
	Workers int
	// CSV and Plot name files to write; none when empty. The name of a plot ends in
	// .svg or .png.
	CSV, Plot string
}

func (c Config) withDefaults() Config {
	const (
		warmup   = 30 * time.Minute
		measured = 15 * time.Minute
		workers  = 2
		load     = 0.8
	)

	if c.Deployment == "" {
		c.Deployment = Coastal().Name
	}

	if len(c.Policies) == 0 {
		c.Policies = Policies()
	}

	if len(c.Loads) == 0 {
		c.Loads = []float64{load}
	}

	if len(c.Ablations) == 0 {
		c.Ablations = []Ablation{NoAblation}
	}

	c.Seed = max(c.Seed, 1)
	c.Seeds = max(c.Seeds, 1)

	if c.Warmup <= 0 {
		c.Warmup = warmup
	}

	if c.Measured <= 0 {
		c.Measured = measured
	}

	if c.Workers <= 0 {
		c.Workers = workers
	}

	return c
}

// Run carries out the experiment and writes its table to w and the files named in
// cfg. It returns an error if the deployment is unknown or a write fails.
func Run(cfg Config, w io.Writer) error {
	cfg = cfg.withDefaults()

	d, err := deploymentByName(cfg.Deployment)
	if err != nil {
		return err
	}

	d.EntriesPerDataCentre = max(cfg.Entries, d.EntriesPerDataCentre)
	groups := cfg.runAll(d)

	if err := writeTable(w, d, cfg, groups); err != nil {
		return err
	}

	if cfg.CSV != "" {
		if err := writeCSV(cfg.CSV, groups); err != nil {
			return err
		}
	}

	if cfg.Plot == "" {
		return nil
	}

	return writePlot(cfg.Plot, d, groups)
}

// group holds the results of all seeds for one load, policy and ablation.
type group struct {
	load     float64
	policy   Policy
	ablation Ablation
	results  []*Result
}

// runAll carries out all runs, up to c.Workers at once, and returns them in a fixed
// order.
func (c Config) runAll(d Deployment) []group {
	var groups []group

	for _, load := range c.Loads {
		for _, p := range c.Policies {
			for _, x := range c.Ablations {
				groups = append(groups, group{load, p, x, make([]*Result, c.Seeds)})
			}
		}
	}

	var wg sync.WaitGroup

	slots := make(chan struct{}, c.Workers)

	for _, g := range groups {
		for i := range g.results {
			r := run{
				d: d, policy: g.policy, load: g.load, seed: c.Seed + uint64(i), fault: c.Fault,
				ablation: g.ablation, warmup: c.Warmup, measured: c.Measured,
			}

			slots <- struct{}{}

			wg.Go(func() {
				g.results[i] = r.execute()
				<-slots
			})
		}
	}

	wg.Wait()

	return groups
}

// summary is the mean, minimum and maximum of a metric over the seeds.
type summary struct{ mean, min, max float64 }

func (g group) summarise(metric func(*Result) float64) summary {
	s := summary{min: metric(g.results[0]), max: metric(g.results[0])}

	for _, r := range g.results {
		x := metric(r)
		s.mean += x / float64(len(g.results))
		s.min = min(s.min, x)
		s.max = max(s.max, x)
	}

	return s
}
