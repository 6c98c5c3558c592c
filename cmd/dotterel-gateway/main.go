// Command dotterel-gateway runs a gateway host, which forwards opaque requests on the users' platform.
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
	"github.com/dotterelpulley/dotterelpulley/gateway"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/spooler"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var without []string
	c := &cobra.Command{
		Use:           "dotterel-gateway",
		Short:         "Forward requests on the platform that " + platform.SettingsVariable + " tells of",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(without)
		},
	}
	c.Flags().StringSliceVar(&without, "without", nil, "mechanisms to switch off, for experiments")
	return c
}

// run serves until a signal starts a drain; SIGINT ends the drain at once, while a repeated SIGTERM changes nothing. SIGHUP
// reloads the settings.
func run(without []string) error {
	// The handlers come first: until then, each of these signals would kill the process.
	reload, stop := notify(syscall.SIGHUP), notify(syscall.SIGTERM, syscall.SIGINT)
	mechanisms, err := gateway.ParseMechanisms(without)
	if err != nil {
		return err
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	budgeter.LimitHeap(budgeter.Bytes(settings.Memory))
	writer := &spooler.Writer{Output: os.Stdout}
	logger := &log.Logger{Level: log.InfoLevel, Writer: writer}
	g := gateway.New(settings, logger)
	g.SwitchOff(mechanisms)
	if err := g.Start(); err != nil {
		return errors.Join(err, writer.Close())
	}
	for serving := true; serving; {
		select {
		case <-reload:
			g.Reload()
		case <-stop:
			serving = false
		}
	}
	interrupted, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer cancel()
	g.Drain(interrupted)
	return errors.Join(g.Close(), writer.Close())
}

// notify returns a channel with the signals that have come since.
func notify(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}
