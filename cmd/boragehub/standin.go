package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/integrii/flaggy"

	"boragehub/failure"
	"boragehub/standin/engine"
	"boragehub/standin/logservice"
	"boragehub/standin/plain"
	"boragehub/standin/vault"
	"boragehub/standin/vmlist"
	"boragehub/standin/weightstore"
)

// standinServer is a stand-in that serves an address until its context ends.
type standinServer interface {
	Serve(ctx context.Context, addr string) error
}

// standinCommands adds the subcommands that simulate services of the platform in tests and
// trials.
func standinCommands() []command {
	parent := flaggy.NewSubcommand("standin")
	parent.Description = "Simulates a service of the platform, for tests and trials."

	var commands []command

	commands = append(commands, engineStandin(parent), plainStandin(parent), storeStandin(parent), weightStandin(parent), logStandin(parent), listStandin(parent))

	flaggy.AttachSubcommand(parent, 1)

	return commands
}

// standin adds the subcommand of one stand-in; flags adds its flags and create makes it.
func standin(parent *flaggy.Subcommand, name, description string, flags func(*flaggy.Subcommand), create func() (standinServer, error)) command {
	listen := new(string)
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.String(listen, "l", "listen", "IP and TCP port to listen on")
	flags(sub)
	parent.AttachSubcommand(sub, 1)

	return command{sub, func() int {
		s, err := create()
		if err != nil {
			return exitStatus(err)
		}

		ctx, cancel := stopContext()
		defer cancel()

		return exitStatus(s.Serve(ctx, *listen))
	}}
}

func engineStandin(parent *flaggy.Subcommand) command {
	var cfg engine.Config

	return standin(parent, "engine", "A model engine. Example: boragehub standin engine --listen 127.0.0.1:8000 --model m --weight-version v1",
		func(sub *flaggy.Subcommand) {
			sub.String(&cfg.Model, "m", "model", "name of the model")
			sub.String(&cfg.WeightVersion, "w", "weight-version", "weight version at the start")
			sub.String(&cfg.WeightStore, "", "weights", "URL of the weight store")
			sub.Int(&cfg.CacheBlocks, "", "cache-blocks", "blocks that the cache holds")
			sub.Int(&cfg.MaxRunning, "", "max-running", "maximum of concurrent requests")
			sub.Int(&cfg.BytesPerToken, "", "bytes-per-token", "bytes of a cached token")
			sub.Float64(&cfg.PrefillTokensPerSecond, "", "prefill", "prefill rate in tokens per second")
			sub.Float64(&cfg.DecodeTokensPerSecond, "", "decode", "decode rate in tokens per second")
		},
		func() (standinServer, error) { return engine.New(cfg), nil })
}

func plainStandin(parent *flaggy.Subcommand) command {
	var cfg plain.Config

	return standin(parent, "plain", "A plain service. Example: boragehub standin plain --listen 127.0.0.1:8100 --service booking-api --vm b1",
		func(sub *flaggy.Subcommand) {
			sub.String(&cfg.Service, "s", "service", "name of the service")
			sub.String(&cfg.VM, "", "vm", "name of its VM")
			sub.Int(&cfg.MaxRunning, "", "max-running", "maximum of concurrent calls")
		},
		func() (standinServer, error) { return plain.New(cfg), nil })
}

func storeStandin(parent *flaggy.Subcommand) command {
	var cfg vault.Config

	return standin(parent, "store", "A store VM. Example: boragehub standin store --listen 127.0.0.1:8200",
		func(sub *flaggy.Subcommand) {
			sub.Int64(&cfg.TotalBytes, "", "total-bytes", "capacity in bytes")
		},
		func() (standinServer, error) { return vault.New(cfg), nil })
}

func weightStandin(parent *flaggy.Subcommand) command {
	var cfg weightstore.Config

	return standin(parent, "weights", "The weight store. Example: boragehub standin weights --listen 127.0.0.1:8300",
		func(sub *flaggy.Subcommand) {
			sub.Int(&cfg.Bytes, "", "bytes", "bytes of each version")
		},
		func() (standinServer, error) { return weightstore.New(cfg), nil })
}

func logStandin(parent *flaggy.Subcommand) command {
	var cfg logservice.Config

	return standin(parent, "log", "The log service. Example: boragehub standin log --listen 127.0.0.1:8400",
		func(sub *flaggy.Subcommand) {
			sub.Duration(&cfg.Retention, "", "retention", "how long records are kept")
		},
		func() (standinServer, error) { return logservice.New(cfg), nil })
}

func listStandin(parent *flaggy.Subcommand) command {
	file := new(string)

	return standin(parent, "vms", "The list of VMs. Example: boragehub standin vms --listen 127.0.0.1:8500 --file vms.json",
		func(sub *flaggy.Subcommand) {
			sub.String(file, "f", "file", "the VMs at the start, as a JSON list")
		},
		func() (standinServer, error) {
			var cfg vmlist.Config

			if *file != "" {
				b, err := os.ReadFile(*file)
				if err != nil {
					return nil, failure.Wrap(failure.BadSettings, err, "cannot read the list of VMs")
				}

				if err := json.Unmarshal(b, &cfg.VMs); err != nil {
					return nil, failure.Wrap(failure.BadSettings, err, "cannot parse the list of VMs %s", *file)
				}
			}

			return vmlist.New(cfg), nil
		})
}
