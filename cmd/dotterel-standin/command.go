package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

// closer is a running stand-in or set of stand-ins.
type closer interface {
	Close() error
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "dotterel-standin",
		Short:        "Stands in for the log service, host list, weight store, engines and plain services",
		SilenceUsage: true,
	}
	root.AddCommand(newAll(), newLog(), newHosts(), newWeights(), newEngine(), newPlain())
	return root
}

// serve prints the address and waits until the context of the command is cancelled.
func serve(cmd *cobra.Command, s closer, address string) error {
	if _, err := fmt.Fprintln(cmd.OutOrStdout(), "ready", address); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return s.Close()
}

func newAll() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "all",
		Short:   "Runs all stand-ins of a file in one process",
		Example: "  dotterel-standin all --file internal/standin/testdata/pollulaotus.toml",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().StringVar(&file, "file", "", "TOML file with the stand-ins")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		set, err := standin.ReadFile(file)
		if err != nil {
			return err
		}
		if err := set.Start(); err != nil {
			return err
		}
		return serve(cmd, set, string(set.Control))
	}
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(err)
	}
	return cmd
}

// addressFlag adds the flag for the listen address.
func addressFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("address", "127.0.0.1:0", "IP address and port to listen on")
}

func newLog() *cobra.Command {
	s := &standin.Log{}
	cmd := &cobra.Command{Use: "log", Short: "Runs a log service", Args: cobra.NoArgs}
	address := addressFlag(cmd)
	cmd.Flags().DurationVar(&s.Retention, "retention", 0, "age at which records expire")
	cmd.Flags().IntVar(&s.MaxRecords, "max-records", 0, "records kept in a stream")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.Start(dotterelpulley.Address(*address)); err != nil {
			return err
		}
		return serve(cmd, s, string(s.Address()))
	}
	return cmd
}

func newHosts() *cobra.Command {
	s := &standin.Hosts{}
	cmd := &cobra.Command{Use: "hosts", Short: "Runs a host list", Args: cobra.NoArgs}
	address := addressFlag(cmd)
	cmd.Flags().DurationVar(&s.Lag, "lag", 0, "time until a change shows")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.Start(dotterelpulley.Address(*address)); err != nil {
			return err
		}
		return serve(cmd, s, string(s.Address()))
	}
	return cmd
}

func newWeights() *cobra.Command {
	s := &standin.Weights{}
	cmd := &cobra.Command{Use: "weights", Short: "Runs a weight store", Args: cobra.NoArgs}
	address := addressFlag(cmd)
	cmd.Flags().Float64Var(&s.Rate, "rate", 0, "fetches a second")
	cmd.Flags().IntVar(&s.Burst, "burst", 1, "fetches at once")
	cmd.Flags().DurationVar(&s.FetchTime, "fetch-time", 0, "time of a fetch")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := s.Start(dotterelpulley.Address(*address)); err != nil {
			return err
		}
		return serve(cmd, s, string(s.Address()))
	}
	return cmd
}

func newEngine() *cobra.Command {
	s := &standin.Engine{}
	cmd := &cobra.Command{Use: "engine", Short: "Runs a model engine", Args: cobra.NoArgs}
	address := addressFlag(cmd)
	weights := cmd.Flags().String("weight-store", "", "address of the weight store")
	id := cmd.Flags().String("id", "engine", "endpoint id in the ledger")
	cmd.Flags().StringSliceVar(&s.Versions, "versions", nil, "versions loaded, each MODEL@VERSION")
	cmd.Flags().Float64Var(&s.Speed, "speed", 1, "how many times faster than 25 ms a step")
	cmd.Flags().IntVar(&s.Slots, "slots", 0, "requests that run at once")
	cmd.Flags().BoolVar(&s.ChecksFence, "checks-fence", false, "refuse orders with an old fencing number")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s.ID = dotterelpulley.EndpointID(*id)
		s.WeightStore = dotterelpulley.Address(*weights)
		if err := s.Start(dotterelpulley.Address(*address)); err != nil {
			return err
		}
		return serve(cmd, s, string(s.Address()))
	}
	return cmd
}

func newPlain() *cobra.Command {
	s := &standin.Plain{}
	cmd := &cobra.Command{Use: "plain", Short: "Runs a plain service", Args: cobra.NoArgs}
	address := addressFlag(cmd)
	id := cmd.Flags().String("id", "plain", "endpoint id in the ledger")
	cmd.Flags().DurationVar(&s.CallTime, "call-time", 0, "time of a call")
	cmd.Flags().IntVar(&s.Slots, "slots", 0, "calls that run at once")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s.ID = dotterelpulley.EndpointID(*id)
		if err := s.Start(dotterelpulley.Address(*address)); err != nil {
			return err
		}
		return serve(cmd, s, string(s.Address()))
	}
	return cmd
}
