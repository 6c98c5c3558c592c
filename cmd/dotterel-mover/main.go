// Command dotterel-mover carries out release notes; of all running movers, one is active at a time.
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

	"github.com/dotterelpulley/dotterelpulley/controller"
	"github.com/dotterelpulley/dotterelpulley/mover"
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
		Use:           "dotterel-mover SETTINGS",
		Short:         "Carry out release notes with a settings file",
		Example:       "  dotterel-mover examples/pollulaotus/mover-1.toml",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(_ *cobra.Command, args []string) error {
			return run(args[0])
		},
	}
}

// run runs the mover until a signal, then releases the lease.
func run(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings %q: %w", path, err)
	}
	settings, err := mover.ParseSettings(path, data)
	if err != nil {
		return err
	}
	writer := &spooler.Writer{Output: os.Stderr}
	logger := &log.Logger{Level: log.InfoLevel, Writer: writer}
	c := controller.New(settings, logger)
	c.Counters().Publish("dotterel-mover")
	if err := c.Start(); err != nil {
		return errors.Join(err, writer.Close())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	return errors.Join(c.Close(), writer.Close())
}
