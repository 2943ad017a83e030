// Command boragehub runs every process of the system and the operators' tools, each as a
// subcommand: see boragehub --help.
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

// command is a subcommand of the program with the function that runs it and returns the
// exit status.
type command struct {
	sub *flaggy.Subcommand
	run func() int
}

func main() {
	flaggy.SetName("boragehub")
	flaggy.SetDescription("Serves language-model prompts and keeps their contexts for continuations after long gaps.")
	flaggy.SetVersion(version)
	flaggy.DefaultParser.ShowHelpOnUnexpected = true

	commands := attachCommands()

	flaggy.Parse()

	for _, c := range commands {
		if c.sub.Used {
			os.Exit(c.run())
		}
	}

	flaggy.ShowHelp("")
	os.Exit(exitUsage)
}

// attachCommands adds all subcommands to the program and returns them.
func attachCommands() []command {
	x := experiment.Attach(1)
	commands := append(roleCommands(), platformCommands()...)
	commands = append(commands, fileCommands()...)
	commands = append(commands, ctlCommands()...)
	commands = append(commands, command{x.Subcommand(), func() int { return exitStatus(x.Run(os.Stdout)) }})

	return append(commands, standinCommands()...)
}

// roleCommands adds the subcommands that run an entry or a side process.
func roleCommands() []command {
	var commands []command

	for _, r := range []struct {
		name, description string
		run               func(file string) error
	}{
		{"entry", "Runs an entry, which routes callers' requests to targets. Example: boragehub entry --settings entry-1.toml", runEntry},
		{"side", "Runs the side process of one target. Example: boragehub side --settings engine-1.toml", runSide},
	} {
		file := new(string)
		sub := flaggy.NewSubcommand(r.name)
		sub.Description = r.description
		sub.String(file, "s", "settings", "the process's settings file (TOML)")
		flaggy.AttachSubcommand(sub, 1)
		commands = append(commands, command{sub, func() int { return exitStatus(r.run(*file)) }})
	}

	return commands
}

// exitStatus prints err, if any, to standard error and returns the exit status.
func exitStatus(err error) int {
	if err == nil {
		return exitOK
	}

	fmt.Fprintln(os.Stderr, "boragehub:", err)

	return exitFailed
}
