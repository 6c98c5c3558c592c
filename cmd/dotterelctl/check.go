package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/publisher"
)

type checkFlags struct {
	kind    string
	against string
}

func checkCommand() *cobra.Command {
	var flags checkFlags
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings, configuration and release notes",
		Long: `Check settings, configuration and release notes.

Each fault is one line: file, line, key path, and what is allowed.`,
		Example: `  dotterelctl check settings.toml
  dotterelctl check --against configuration.toml release-note.toml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return check(flags, files)
		},
	}
	cmd.Flags().StringVar(&flags.kind, "kind", "", "settings, configuration or release-note; told by the keys if absent")
	cmd.Flags().StringVar(&flags.against, "against", "", "the configuration file that a release note is checked against")
	return cmd
}

func check(flags checkFlags, files []string) error {
	failed := 0
	for _, file := range files {
		if err := checkFile(flags, file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed++
			continue
		}
		fmt.Printf("%s: ok\n", file)
	}
	if failed > 0 {
		return exitError{exitFailed, fmt.Errorf("%d of %d files failed", failed, len(files))}
	}
	return nil
}

func checkFile(flags checkFlags, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read %q: %w", file, err)
	}
	kind, err := fileKind(flags.kind, data)
	if err != nil {
		return err
	}
	switch kind {
	case publisher.FileConfiguration:
		_, err = publisher.ParseConfiguration(file, data)
		return err
	case publisher.FileNote:
		return checkNote(flags.against, file, data)
	case publisher.FileSettings:
		return checkSettings(file, data)
	}
	return fmt.Errorf("file kind %d is unknown", int(kind))
}

func fileKind(name string, data []byte) (publisher.FileKind, error) {
	if name == "" {
		return publisher.GuessFileKind(data), nil
	}
	return publisher.ParseFileKind(name)
}

func checkNote(against, file string, data []byte) error {
	if against == "" {
		_, err := publisher.ParseNoteAlone(file, data, time.Now())
		return err
	}
	configurationData, err := os.ReadFile(against)
	if err != nil {
		return fmt.Errorf("read %q: %w", against, err)
	}
	configuration, err := publisher.ParseConfiguration(against, configurationData)
	if err != nil {
		return err
	}
	_, err = publisher.ParseNote(file, data, configuration, nil, time.Now())
	return err
}
