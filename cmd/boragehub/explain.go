package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"boragehub/failure"
	"boragehub/overlap"
	"boragehub/platform"
	"boragehub/story"
)

// fileCommands adds the subcommands that only read files.
func fileCommands() []command {
	return []command{explainCommand(), overlapCommand(), checkCommand()}
}

// explainCommand shows the log lines about one request.
func explainCommand() command {
	var (
		id    string
		json  bool
		files []string
	)

	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Shows what happened to a request, from the logs of any processes, and the decision due to which it was refused or late. Example: boragehub explain 9c41d07be2a35f68 --log edge-1.log --log edge-2.log"
	sub.AddPositionalValue(&id, "request", 1, true, "the request's id")
	sub.StringSlice(&files, "l", "log", "a log file; standard input by default")
	sub.Bool(&json, "j", "json", "write JSON")
	flaggy.AttachSubcommand(sub, 1)

	return command{sub, func() int { return exitStatus(writeExplanation(os.Stdout, id, files, json)) }}
}

func writeExplanation(w io.Writer, id string, files []string, json bool) error {
	s := story.New(id)

	if err := readLogs(s, files); err != nil {
		return err
	}

	if len(s.Lines()) == 0 {
		return failure.New(failure.BadRequest, "no log line mentions request %q; name the logs of all entries for the time of the request", id)
	}

	if json {
		return s.WriteJSON(w)
	}

	return s.WriteText(w)
}

// overlapCommand compares the deadlines of fetches with the releases of the fetched parts.
func overlapCommand() command {
	var (
		limit = 10
		files []string
	)

	sub := flaggy.NewSubcommand("overlap")
	sub.Description = "Shows how close the deadlines of fetches came to the release of the fetched parts, from the logs of all entries. Example: boragehub overlap --log edge-1.log --log edge-2.log"
	sub.StringSlice(&files, "l", "log", "a log file; standard input by default")
	sub.Int(&limit, "n", "limit", "how many pairs to show")
	flaggy.AttachSubcommand(sub, 1)

	return command{sub, func() int {
		var l overlap.Log
		if err := readLogs(&l, files); err != nil {
			return exitStatus(err)
		}

		return exitStatus(l.WriteText(os.Stdout, limit))
	}}
}

// logReader is what logs are read into.
type logReader interface {
	Read(r io.Reader) error
}

// readLogs reads log files, or standard input if there are none.
func readLogs(l logReader, files []string) error {
	if len(files) == 0 {
		if err := l.Read(os.Stdin); err != nil {
			return failure.Wrap(failure.BadRequest, err, "cannot read standard input")
		}
	}

	for _, name := range files {
		if err := readLog(l, name); err != nil {
			return err
		}
	}

	return nil
}

func readLog(l logReader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "cannot read log %s", name)
	}
	defer f.Close() //nolint:errcheck // only read

	if err := l.Read(f); err != nil {
		return failure.Wrap(failure.BadRequest, err, "cannot read log %s", name)
	}

	return nil
}

// checkCommand validates a deploy file and a settings file.
func checkCommand() command {
	var deploy, settings string

	sub := flaggy.NewSubcommand("check")
	sub.Description = "Validates a deploy file or a settings file of the users' platform. Example: boragehub check --deploy deploy/system.toml"
	sub.String(&deploy, "d", "deploy", "a deploy file (TOML)")
	sub.String(&settings, "s", "settings", "a settings file (JSON)")
	flaggy.AttachSubcommand(sub, 1)

	return command{sub, func() int {
		if deploy == "" && settings == "" {
			return exitStatus(failure.New(failure.BadRequest, "no file given; use --deploy or --settings"))
		}

		if deploy != "" {
			if err := platform.CheckDeploy(deploy); err != nil {
				return exitStatus(err)
			}
		}

		if settings != "" {
			if _, err := platform.LoadSettings(settings); err != nil {
				return exitStatus(err)
			}
		}

		fmt.Println("no errors found")

		return exitOK
	}}
}
