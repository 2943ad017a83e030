// Command boragehub is the one program of all roles: see boragehub --help.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"boragehub/experiment"
)

// version is the program's version, set when a release is built.
var version = "dev"

// Exit statuses, as documented in docs/OPERATIONS.md.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand that was attached to the program.
type command struct {
	sub *flaggy.Subcommand
	run func() int
}

func main() {
	flaggy.SetName("boragehub")
	flaggy.SetDescription("Serves language-model prompts whose context returns after long gaps.")
	flaggy.SetVersion(version)
	flaggy.DefaultParser.ShowHelpOnUnexpected = true

	commands := attach()

	flaggy.Parse()

	for _, c := range commands {
		if c.sub.Used {
			os.Exit(c.run())
		}
	}

	flaggy.ShowHelp("")
	os.Exit(exitUsage)
}

// attach puts all subcommands on the program.
func attach() []command {
	x := experiment.Attach(1)
	all := append(roles(), fleetRoles()...)
	all = append(all, logTools()...)
	all = append(all, controls()...)
	all = append(all, command{x.Subcommand(), func() int { return exit(x.Run(os.Stdout)) }})

	return append(all, standins()...)
}

// roles are the processes of a running system.
func roles() []command {
	var all []command

	for _, r := range []struct {
		name, text string
		run        func(file string) error
	}{
		{"entry", "Takes callers' requests. Example: boragehub entry --settings entry-1.toml", runEntry},
		{"side", "Guards one target. Example: boragehub side --settings engine-1.toml", runSide},
	} {
		file := new(string)
		sub := flaggy.NewSubcommand(r.name)
		sub.Description = r.text
		sub.String(file, "s", "settings", "the process's settings file (TOML)")
		flaggy.AttachSubcommand(sub, 1)
		all = append(all, command{sub, func() int { return exit(r.run(*file)) }})
	}

	return all
}

// exit reports err, if any, and returns the exit status.
func exit(err error) int {
	if err == nil {
		return exitOK
	}

	fmt.Fprintln(os.Stderr, "boragehub:", err)

	return exitFailed
}
