package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"

	"boragehub/certificate"
	"boragehub/ctl"
	"boragehub/failure"
	"boragehub/journal"
	"boragehub/peer"
	"boragehub/vm"
)

// vmListTimeout is the maximum wait for the platform's list of VMs.
const vmListTimeout = 5 * time.Second

// ctlCommand is the subcommand ctl, with the flags that its commands share and their menus.
type ctlCommand struct {
	logURL    string
	vmListURL string
	keyDir    string
	name      string
	author    string
	json      bool

	sub         *flaggy.Subcommand
	configMenu  *ctl.ConfigMenu
	keysMenu    *ctl.KeysMenu
	fleetMenu   *ctl.FleetMenu
	editMenu    *ctl.EditMenu
	weightsMenu *ctl.WeightsMenu
}

// ctlCommands adds the operators' subcommand ctl.
func ctlCommands() []command {
	c := &ctlCommand{
		logURL:    os.Getenv("BORAGEHUB_LOG"),
		vmListURL: os.Getenv("BORAGEHUB_VMS"),
		keyDir:    os.Getenv("BORAGEHUB_KEYS"),
		name:      valueOr(os.Getenv("BORAGEHUB_NAME"), "operator"),
		author:    valueOr(os.Getenv("BORAGEHUB_AUTHOR"), os.Getenv("USER")),
		sub:       flaggy.NewSubcommand("ctl"),
	}

	c.sub.Description = "Operators' commands: settings, fleet, drains, rollouts, explanations, keys."
	c.sub.String(&c.logURL, "", "log", "URL of the log service (BORAGEHUB_LOG)")
	c.sub.String(&c.vmListURL, "", "vms", "URL of the list of VMs (BORAGEHUB_VMS)")
	c.sub.String(&c.keyDir, "", "keys-from", "folder with ca.pem and the operator's keys (BORAGEHUB_KEYS)")
	c.sub.String(&c.name, "", "name", "name on the operator's certificate (BORAGEHUB_NAME)")
	c.sub.String(&c.author, "", "author", "author of published changes (BORAGEHUB_AUTHOR)")
	c.sub.Bool(&c.json, "", "json", "write JSON for scripts")

	c.configMenu = ctl.AttachConfig(c.sub)
	c.keysMenu = ctl.AttachKeys(c.sub)
	c.fleetMenu = ctl.AttachFleet(c.sub)
	c.editMenu, c.weightsMenu = ctl.AttachEdits(c.sub)

	flaggy.AttachSubcommand(c.sub, 1)

	return []command{{c.sub, c.run}}
}

func valueOr(s, fallback string) string {
	if s == "" {
		return fallback
	}

	return s
}

// run runs the chosen command and returns its documented exit status.
func (c *ctlCommand) run() int {
	ctx, cancel := stopContext()
	defer cancel()

	err := c.dispatch(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "boragehub:", err)
	}

	return ctl.ExitStatus(err)
}

func (c *ctlCommand) dispatch(ctx context.Context) error {
	terminal := ctl.Terminal{Out: os.Stdout, Err: os.Stderr, JSON: c.json}

	if ran, err := c.keysMenu.Run(time.Now(), terminal); ran {
		return err
	}

	log := journal.NewClient(journal.ClientConfig{URL: c.logURL})

	switch {
	case c.fleetMenu.Chosen():
		return c.withClient(ctx, func(r ctl.Client) error {
			return c.fleetMenu.Run(ctx, ctl.FleetCommands{Terminal: terminal, Client: r})
		})
	case c.weightsMenu.Chosen():
		return c.withClient(ctx, func(r ctl.Client) error {
			return ctl.FleetCommands{Terminal: terminal, Client: r}.Weights(ctx)
		})
	case c.editMenu.Chosen():
		if err := c.requireLog(); err != nil {
			return err
		}

		return c.editMenu.Run(ctx, ctl.EditCommands{Terminal: terminal, Log: log, Author: c.author})
	case c.configMenu.NeedsFleet():
		return c.withClient(ctx, func(r ctl.Client) error {
			_, err := c.configMenu.Run(ctx, ctl.ConfigOptions{Terminal: terminal, Log: log, Fleet: r, Author: c.author})

			return err
		})
	}

	if c.configMenu.NeedsLog() {
		if err := c.requireLog(); err != nil {
			return err
		}
	}

	ran, err := c.configMenu.Run(ctx, ctl.ConfigOptions{Terminal: terminal, Log: log, Author: c.author})
	if !ran {
		flaggy.ShowHelp("")

		return failure.New(failure.BadRequest, "ctl needs a subcommand")
	}

	return err
}

func (c *ctlCommand) requireLog() error {
	if c.logURL == "" {
		return failure.New(failure.BadSettings, "--log or BORAGEHUB_LOG must name the log service")
	}

	return nil
}

// withClient calls do with a client that can send requests to the fleet.
func (c *ctlCommand) withClient(ctx context.Context, do func(ctl.Client) error) error {
	if c.vmListURL == "" || c.keyDir == "" {
		return failure.New(failure.BadSettings, "--vms and --keys-from (or BORAGEHUB_VMS and BORAGEHUB_KEYS) are needed to query the fleet")
	}

	keys, err := certificate.NewReloader(certificate.ReloaderConfig{
		CAFile:          filepath.Join(c.keyDir, certificate.AuthorityFile),
		CertificateFile: filepath.Join(c.keyDir, c.name+".pem"),
		KeyFile:         filepath.Join(c.keyDir, c.name+".key"),
		Protocols:       []string{peer.Protocol},
		Logger:          logr.Discard(),
	})
	if err != nil {
		return err
	}

	list, err := vm.Fetch(ctx, c.vmListURL, vmListTimeout)
	if err != nil {
		return err
	}

	d := peer.NewDialer(peer.Config{TLS: keys.TLS()}, logr.Discard())
	defer d.Close()

	return do(ctl.Client{Peers: d, List: list})
}
