package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"boragehub/failure"
	"boragehub/platform"
	"boragehub/story"
)

// logTools are the subcommands that read files alone.
func logTools() []command {
	return []command{explainCommand(), checkCommand()}
}

// explainCommand tells what happened to one request, from logs.
func explainCommand() command {
	var (
		id    string
		json  bool
		files []string
	)

	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Tells what happened to a request, from logs of any processes. Example: boragehub explain 9c41d07be2a35f68 --log edge-1.log --log edge-2.log"
	sub.AddPositionalValue(&id, "request", 1, true, "the request's id")
	sub.StringSlice(&files, "l", "log", "a log; standard input when none is named")
	sub.Bool(&json, "j", "json", "write JSON")
	flaggy.AttachSubcommand(sub, 1)

	return command{sub, func() int { return exit(tell(os.Stdout, id, files, json)) }}
}

func tell(w io.Writer, id string, files []string, json bool) error {
	s := story.New(id)

	if len(files) == 0 {
		if err := s.Read(os.Stdin); err != nil {
			return failure.Wrap(failure.BadRequest, err, "standard input can't be read")
		}
	}

	for _, name := range files {
		if err := readLog(s, name); err != nil {
			return err
		}
	}

	if len(s.Lines()) == 0 {
		return failure.New(failure.BadRequest, "no line tells of request %q; is the log of every entry there, and from that time?", id)
	}

	if json {
		return s.WriteJSON(w)
	}

	return s.Write(w)
}

func readLog(s *story.Story, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "log %s can't be read", name)
	}
	defer f.Close() //nolint:errcheck // only read

	if err := s.Read(f); err != nil {
		return failure.Wrap(failure.BadRequest, err, "log %s can't be read", name)
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
			return exit(failure.New(failure.BadRequest, "name a file: --deploy or --settings"))
		}

		if deploy != "" {
			if err := platform.CheckDeploy(deploy); err != nil {
				return exit(err)
			}
		}

		if settings != "" {
			if _, err := platform.LoadSettings(settings); err != nil {
				return exit(err)
			}
		}

		fmt.Println("all right")

		return exitOK
	}}
}
