// Package experiment measures the decisions of the daemons on virtual time.
//
// # Model
//
// A seeded load made after the two users' deployments drives the packages route,
// directory, link and parking as the daemons use them, against small models of
// engine, link and store. It is a model of queues and links and no simulator of
// a cluster: messages are delays, processes have no faults of their own.
//
// An engine prefills one request at a time, in chunks and the most pressing
// class first, beside a batch that decodes and slows it; its cache drops the
// conversations least recently used. Transfers that are on a link at once share
// it evenly. A store drops the copy worth least. Load reports and cache events
// arrive late. The parameters stand with their units and reasons in Deployment.
//
// Policies are compared on the same load: the same conversations return at the
// same times whatever became of their last visit. A request that has no place
// when its deadline passes is refused, and counts with its deadline among the
// times to first token, so that a policy gains nothing by refusing.
//
// # Example
//
//	err := experiment.Run(experiment.Config{Deployment: "coastal", Seeds: 3}, os.Stdout)
//
// The same Config gives the same bytes.
package experiment

import (
	"io"
	"sync"
	"time"
)

// Config says what is measured. Zero fields take their defaults.
type Config struct {
	// Deployment is coastal or bureau; coastal when empty.
	Deployment string
	// Policies are those compared; all when empty.
	Policies []Policy
	// Loads are the loads in parts of Deployment.Capacity; 0.8 when empty.
	Loads []float64
	// Seed is the first seed, and Seeds how many are run; 1 when zero.
	Seed  uint64
	Seeds int
	// Fault is what goes wrong when a third of the measured time is over.
	Fault Fault
	// Without are the ideas switched off, one in each run; Nothing when empty.
	Without []Without
	// Warmup is the time before anything is measured, half an hour when zero,
	// and Measured the time measured after it, a quarter when zero.
	Warmup, Measured time.Duration
	// Entries is how many entries there are in each data centre; 1 when zero.
	Entries int
	// Workers is how many runs go on at once; 2 when zero.
	Workers int
	// CSV and Plot are files to write; a plot ends in .svg or .png.
	CSV, Plot string
}

func (c Config) withDefaults() Config {
	const (
		warmup   = 30 * time.Minute
		measured = 15 * time.Minute
		workers  = 2
		usual    = 0.8
	)

	if c.Deployment == "" {
		c.Deployment = Coastal().Name
	}

	if len(c.Policies) == 0 {
		c.Policies = Policies()
	}

	if len(c.Loads) == 0 {
		c.Loads = []float64{usual}
	}

	if len(c.Without) == 0 {
		c.Without = []Without{Nothing}
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

// Run carries out the experiment, writes its table to w and the files named in cfg.
func Run(cfg Config, w io.Writer) error {
	cfg = cfg.withDefaults()

	d, err := deploymentOf(cfg.Deployment)
	if err != nil {
		return err
	}

	d.EntriesEach = max(cfg.Entries, d.EntriesEach)
	groups := cfg.run(d)

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

// group is what the seeds of one load, policy and idea measured.
type group struct {
	load    float64
	policy  Policy
	without Without
	results []*Result
}

// run carries out all runs, some at once, and returns them in a fixed order.
func (c Config) run(d Deployment) []group {
	var groups []group

	for _, load := range c.Loads {
		for _, p := range c.Policies {
			for _, x := range c.Without {
				groups = append(groups, group{load, p, x, make([]*Result, c.Seeds)})
			}
		}
	}

	var wg sync.WaitGroup

	places := make(chan struct{}, c.Workers)

	for _, g := range groups {
		for i := range g.results {
			r := run{
				d: d, policy: g.policy, load: g.load, seed: c.Seed + uint64(i), fault: c.Fault,
				without: g.without, warmup: c.Warmup, measured: c.Measured,
			}

			places <- struct{}{}

			wg.Go(func() {
				g.results[i] = r.do()
				<-places
			})
		}
	}

	wg.Wait()

	return groups
}

// span is the mean of a figure over seeds with the least and the greatest.
type span struct{ mean, least, most float64 }

func (g group) span(of func(*Result) float64) span {
	s := span{least: of(g.results[0]), most: of(g.results[0])}

	for _, r := range g.results {
		x := of(r)
		s.mean += x / float64(len(g.results))
		s.least = min(s.least, x)
		s.most = max(s.most, x)
	}

	return s
}
