package experiment

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"boragehub/experiment/crashed"
	"boragehub/experiment/drawn"
	"boragehub/experiment/limited"
	"boragehub/experiment/repeated"
	"boragehub/experiment/skewed"
)

// Command is the subcommand "experiment" of the program. Create it with Attach.
type Command struct {
	sub                               *flaggy.Subcommand
	cfg                               Config
	loads, policies, ablations, fault string
	drawnSeeds                        int
	asJSON                            bool
	limitedSeeds, repeatedSeeds       int
	crashedSeeds, skewedSeeds         int
}

// allValues selects every value in a flag that takes a list of names.
const allValues = "all"

// Attach adds the subcommand to the command line at the given position.
func Attach(position int) *Command {
	c := &Command{sub: flaggy.NewSubcommand("experiment"), loads: "0.8", policies: allValues, ablations: NoAblation.String(), fault: NoFault.String()}
	c.cfg = Config{Deployment: Coastal().Name, Seed: 1, Seeds: 1}.withDefaults()
	c.sub.Description = "Measure the decisions against baselines on virtual time."
	c.sub.String(&c.cfg.Deployment, "d", "deployment", "coastal or bureau")
	c.sub.String(&c.loads, "l", "loads", "loads in parts of the capacity without reuse, as in 0.5,0.8,0.95,1.2")
	c.sub.String(&c.policies, "p", "policies", "all, or some of "+join(Policies()))
	c.sub.String(&c.ablations, "w", "without", "ideas to switch off in turn: all, or some of "+join(Ablations()))
	c.sub.String(&c.fault, "f", "fault", "one of "+join(Faults()))
	c.sub.UInt64(&c.cfg.Seed, "s", "seed", "the first seed")
	c.sub.Int(&c.cfg.Seeds, "n", "seeds", "how many seeds to run")
	c.sub.Duration(&c.cfg.Warmup, "", "warmup", "virtual time before anything is measured")
	c.sub.Duration(&c.cfg.Measured, "", "measured", "virtual time measured")
	c.sub.Int(&c.cfg.Entries, "e", "entries", "how many entries there are in each data centre")
	c.sub.Int(&c.cfg.Workers, "j", "workers", "how many runs go on at once")
	c.sub.String(&c.cfg.CSV, "", "csv", "file for a line of figures for each run and workload")
	c.sub.String(&c.cfg.Plot, "", "plot", "file for a plot over the loads, .svg or .png")
	c.sub.Int(&c.drawnSeeds, "", "drawn", "play where prompts go on so many deployments drawn from seeds, and nothing else")
	c.sub.Bool(&c.asJSON, "", "json", "write what --drawn gives as JSON")
	c.sub.Int(&c.limitedSeeds, "", "limited", "play how entries keep to rate limits of targets, with so many seeds, and nothing else")
	c.sub.Int(&c.repeatedSeeds, "", "repeated", "play how entries divide what they may repeat, with so many seeds, and nothing else")
	c.sub.Int(&c.crashedSeeds, "", "crashed", "play how entries find parts of prompts that crash engines, with so many seeds, and nothing else")
	c.sub.Int(&c.skewedSeeds, "", "skewed", "play an entry that gets most new connections, with so many seeds, and nothing else")
	flaggy.AttachSubcommand(c.sub, position)

	return c
}

// Subcommand returns the subcommand, whose Used field tells whether it was given.
func (c *Command) Subcommand() *flaggy.Subcommand { return c.sub }

// Run carries out the experiment and writes its table to w. It returns an error if a
// flag has an invalid value.
func (c *Command) Run(w io.Writer) error {
	if c.drawnSeeds > 0 {
		return drawn.Write(w, drawn.Compare(c.cfg.Seed, c.drawnSeeds), c.asJSON)
	}

	if c.limitedSeeds > 0 {
		return limited.Write(w, c.cfg.Seed, c.limitedSeeds)
	}

	if c.repeatedSeeds > 0 {
		return repeated.Write(w, c.cfg.Seed, c.repeatedSeeds)
	}

	if c.crashedSeeds > 0 {
		return crashed.Write(w, c.cfg.Seed, c.crashedSeeds)
	}

	if c.skewedSeeds > 0 {
		return skewed.Write(w, c.cfg.Seed, c.skewedSeeds)
	}

	cfg := c.cfg

	var err error

	if cfg.Policies, err = parseNames(Policies(), c.policies); err != nil {
		return err
	}

	if cfg.Ablations, err = parseNames(Ablations(), c.ablations); err != nil {
		return err
	}

	if cfg.Fault, err = byName(Faults(), c.fault); err != nil {
		return err
	}

	cfg.Loads = nil

	for _, word := range strings.Split(c.loads, ",") {
		load, err := strconv.ParseFloat(word, 64)
		if err != nil || load <= 0 {
			return fmt.Errorf("load %q: want a number over 0", word)
		}

		cfg.Loads = append(cfg.Loads, load)
	}

	return Run(cfg, w)
}

// parseNames parses a comma-separated list of names, or "all" for every value.
func parseNames[T fmt.Stringer](values []T, names string) ([]T, error) {
	if names == allValues {
		return values, nil
	}

	var chosen []T

	for _, name := range strings.Split(names, ",") {
		x, err := byName(values, name)
		if err != nil {
			return nil, err
		}

		chosen = append(chosen, x)
	}

	return chosen, nil
}

func join[T fmt.Stringer](values []T) string {
	names := make([]string, len(values))
	for i, v := range values {
		names[i] = v.String()
	}

	return strings.Join(names, ", ")
}
