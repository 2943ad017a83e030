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

// listWait bounds how long ctl waits for the list of VMs.
const listWait = 5 * time.Second

// console is what all operators' commands share.
type console struct {
	log    string
	vms    string
	keys   string
	name   string
	author string
	json   bool

	sub    *flaggy.Subcommand
	config *ctl.ConfigMenu
	made   *ctl.KeysMenu
	fleet  *ctl.FleetMenu
	edits  *ctl.EditMenu
	rolls  *ctl.WeightsMenu
}

// controls are the operators' subcommands.
func controls() []command {
	c := &console{
		log:    os.Getenv("BORAGEHUB_LOG"),
		vms:    os.Getenv("BORAGEHUB_VMS"),
		keys:   os.Getenv("BORAGEHUB_KEYS"),
		name:   fallback(os.Getenv("BORAGEHUB_NAME"), "operator"),
		author: fallback(os.Getenv("BORAGEHUB_AUTHOR"), os.Getenv("USER")),
		sub:    flaggy.NewSubcommand("ctl"),
	}

	c.sub.Description = "What operators do: settings, fleet, explanations, keys."
	c.sub.String(&c.log, "", "log", "URL of the log service (BORAGEHUB_LOG)")
	c.sub.String(&c.vms, "", "vms", "URL of the list of VMs (BORAGEHUB_VMS)")
	c.sub.String(&c.keys, "", "keys-from", "folder with ca.pem and the operator's keys (BORAGEHUB_KEYS)")
	c.sub.String(&c.name, "", "name", "name on the operator's certificate (BORAGEHUB_NAME)")
	c.sub.String(&c.author, "", "author", "who publishes (BORAGEHUB_AUTHOR)")
	c.sub.Bool(&c.json, "", "json", "write JSON for scripts")

	c.config = ctl.AttachConfig(c.sub)
	c.made = ctl.AttachKeys(c.sub)
	c.fleet = ctl.AttachFleet(c.sub)
	c.edits, c.rolls = ctl.AttachEdits(c.sub)

	flaggy.AttachSubcommand(c.sub, 1)

	return []command{{c.sub, c.run}}
}

func fallback(s, otherwise string) string {
	if s == "" {
		return otherwise
	}

	return s
}

// run carries out the chosen command and returns its documented exit status.
func (c *console) run() int {
	ctx, cancel := signalled()
	defer cancel()

	err := c.choose(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "boragehub:", err)
	}

	return ctl.Exit(err)
}

func (c *console) choose(ctx context.Context) error {
	terminal := ctl.Terminal{Out: os.Stdout, Err: os.Stderr, JSON: c.json}

	if ran, err := c.made.Run(time.Now(), terminal); ran {
		return err
	}

	log := journal.NewClient(journal.ClientConfig{URL: c.log})

	switch {
	case c.fleet.Chosen():
		return c.reach(ctx, func(r ctl.Client) error {
			return c.fleet.Run(ctx, ctl.Fleets{Terminal: terminal, Client: r})
		})
	case c.rolls.Chosen():
		return c.reach(ctx, func(r ctl.Client) error {
			return ctl.Fleets{Terminal: terminal, Client: r}.Weights(ctx)
		})
	case c.edits.Chosen():
		if err := c.needsLog(); err != nil {
			return err
		}

		return c.edits.Run(ctx, ctl.Edits{Terminal: terminal, Log: log, Author: c.author})
	case c.config.NeedsFleet():
		return c.reach(ctx, func(r ctl.Client) error {
			_, err := c.config.Run(ctx, ctl.ConfigConfig{Terminal: terminal, Log: log, Fleet: r, Author: c.author})

			return err
		})
	}

	if c.config.NeedsLog() {
		if err := c.needsLog(); err != nil {
			return err
		}
	}

	ran, err := c.config.Run(ctx, ctl.ConfigConfig{Terminal: terminal, Log: log, Author: c.author})
	if !ran {
		flaggy.ShowHelp("")

		return failure.New(failure.BadRequest, "ctl needs a command")
	}

	return err
}

func (c *console) needsLog() error {
	if c.log == "" {
		return failure.New(failure.BadSettings, "--log or BORAGEHUB_LOG must name the log service")
	}

	return nil
}

// reach gives do the means to ask the fleet.
func (c *console) reach(ctx context.Context, do func(ctl.Client) error) error {
	if c.vms == "" || c.keys == "" {
		return failure.New(failure.BadSettings, "--vms and --keys-from (or BORAGEHUB_VMS and BORAGEHUB_KEYS) are needed to ask the fleet")
	}

	keys, err := certificate.NewKeeper(certificate.KeeperConfig{
		CAFile:          filepath.Join(c.keys, certificate.AuthorityFile),
		CertificateFile: filepath.Join(c.keys, c.name+".pem"),
		KeyFile:         filepath.Join(c.keys, c.name+".key"),
		Protocols:       []string{peer.Protocol},
		Logger:          logr.Discard(),
	})
	if err != nil {
		return err
	}

	list, err := vm.Fetch(ctx, c.vms, listWait)
	if err != nil {
		return err
	}

	d := peer.NewDialer(peer.Config{TLS: keys.TLS()}, logr.Discard())
	defer d.Close()

	return do(ctl.Client{Asker: d, List: list})
}
