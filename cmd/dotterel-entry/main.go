// Command dotterel-entry runs an entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/entry"
	"github.com/dotterelpulley/dotterelpulley/spooler"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	return &cobra.Command{
		Use:           "dotterel-entry SETTINGS",
		Short:         "Run an entry host with a settings file",
		Example:       "  dotterel-entry examples/pollulaotus/entry-1.toml",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			return run(args[0])
		},
	}
}

// run serves until a signal or an operator starts a drain; a second signal ends the drain at once.
func run(path string) error {
	settings, err := entry.LoadSettings(path)
	if err != nil {
		return err
	}
	budgeter.LimitHeap(budgeter.Bytes(settings.Limits.MemoryBytes))
	writer := &spooler.Writer{Output: os.Stderr}
	logger := &log.Logger{Level: log.InfoLevel, Writer: writer}
	e := entry.New(settings, logger)
	e.Counters().Publish("dotterel")
	if err := e.Start(); err != nil {
		return errors.Join(err, writer.Close())
	}
	first, stopFirst := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopFirst()
	select {
	case <-first.Done():
	case <-e.DrainStarted():
	}
	stopFirst()
	second, stopSecond := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSecond()
	e.Drain(second)
	return errors.Join(e.Close(), writer.Close())
}
