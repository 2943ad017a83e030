package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"boragehub/certificate"
	"boragehub/failure"
	"boragehub/journal"
	"boragehub/setting/publication"
)

// controls are the operators' subcommands.
func controls() []command {
	ctl := flaggy.NewSubcommand("ctl")
	ctl.Description = "What operators do."

	dir, processes := new(string), new([]string)
	keys := flaggy.NewSubcommand("keys")
	keys.Description = "Makes a set of keys for a trial."
	keys.String(dir, "d", "dir", "folder to write")
	keys.StringSlice(processes, "p", "process", "NAME:ROLE; may be repeated")
	ctl.AttachSubcommand(keys, 1)

	config := flaggy.NewSubcommand("config")
	publish := flaggy.NewSubcommand("publish")
	log, author, file := new(string), new(string), new(string)
	publish.String(log, "l", "log", "URL of the log service")
	publish.String(author, "a", "author", "who publishes")
	publish.AddPositionalValue(file, "FILE", 1, true, "the tree")
	config.AttachSubcommand(publish, 1)
	ctl.AttachSubcommand(config, 1)
	flaggy.AttachSubcommand(ctl, 1)

	return []command{
		{keys, func() int { return exit(makeKeys(*dir, *processes)) }},
		{publish, func() int { return exit(publishTree(*log, *author, *file)) }},
	}
}

func makeKeys(dir string, processes []string) error {
	a, err := certificate.NewAuthority(time.Now())
	if err != nil {
		return err
	}

	if err := a.Write(dir); err != nil {
		return err
	}

	for _, p := range processes {
		vm, role, _ := strings.Cut(p, ":")

		pair, err := a.Issue(time.Now(), certificate.Subject{VM: vm, Role: role})
		if err != nil {
			return err
		}

		if err := pair.Write(dir, vm); err != nil {
			return err
		}
	}

	return nil
}

func publishTree(log, author, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "settings")
	}

	v, err := publication.Publish(context.Background(), publication.PublishConfig{Log: journal.NewClient(journal.ClientConfig{URL: log})},
		publication.Change{ID: uuid.NewString(), Author: author, Name: file, Text: text})
	if err != nil {
		return err
	}

	fmt.Println("published as version", v)

	return nil
}
