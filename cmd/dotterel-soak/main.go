// Command dotterel-soak injects seeded faults into gateways and checks that no guarantee is violated.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/internal/soaker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

var errFindings = errors.New("a promise was broken")

func command() *cobra.Command {
	var settings soaker.Settings
	var seeds int
	var minutes float64
	c := &cobra.Command{
		Use:   "dotterel-soak",
		Short: "Strike gateways with seeded faults and check that every promise holds",
		Long: "Starts gateways as processes beside stand-ins of the platform, strikes them with a seeded series of faults\n" +
			"from outside, and checks from what callers and endpoints see that every promise held.\n" +
			"Exits with 0 if all did, with 1 if one was broken or the soak could not be played.",
		Example:       "  dotterel-soak --seeds 50 --first-seed 1\n  dotterel-soak --minutes 5\n  dotterel-soak --processes 120 --callers 200 --strikes 60",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), settings, seeds, time.Duration(minutes*float64(time.Minute)))
		},
	}
	f := c.Flags()
	f.StringVar(&settings.Gateway, "gateway", "target/dotterel-gateway", "the program under test")
	f.StringVar(&settings.Production, "production", "", "the program that runs at first and is replaced by --gateway during the soak")
	f.StringVar(&settings.Directory, "directory", os.TempDir(), "where settings and the logs of failed seeds go")
	f.Uint64Var(&settings.Seed, "first-seed", 0, "the first seed; 0 takes a fresh one")
	f.IntVar(&seeds, "seeds", 1, "how many seeds to play, one after another")
	f.Float64Var(&minutes, "minutes", 0, "play fresh seeds for that long instead")
	f.IntVar(&settings.Hosts, "processes", 0, "how many gateways run (5)")
	f.IntVar(&settings.Callers, "callers", 0, "how many callers send (24)")
	f.IntVar(&settings.Faults, "strikes", 0, "how many faults strike (14)")
	f.IntVar(&settings.StoreCopies, "store-copies", 0, "how often the store returns from a copy, beside the other strikes")
	f.IntVar(&settings.UnprovedRefusals, "unproved-refusals", 0, "how often an endpoint answers runs with statuses that promise the contrary, beside the other strikes")
	f.IntVar(&settings.SilentStreams, "silent-streams", 0, "how often an endpoint falls silent in streams that can be resumed, beside the other strikes")
	f.IntVar(&settings.HeldBytes, "held-bytes", 0, "how often bytes to and from an endpoint are held up and delivered later, beside the other strikes")
	f.IntVar(&settings.StrayAnswers, "stray-answers", 0, "how often an endpoint writes answers once more, beside the other strikes")
	f.IntVar(&settings.RefusalCopies, "refusal-copies", 0, "how often endpoints write refusals once more when the same request comes again, beside the other strikes")
	f.DurationVar(&settings.FaultWindow, "span", 0, "the time within which all faults begin (12s)")
	return c
}

func run(ctx context.Context, settings soaker.Settings, seeds int, duration time.Duration) error {
	if seeds < 1 || duration < 0 {
		return fmt.Errorf("%d seeds for %s: there must be a seed, and the time can't be negative", seeds, duration)
	}
	if settings.Seed == 0 {
		settings.Seed = uint64(time.Now().UnixNano())
	}
	start := time.Now()
	violated := false
	for n := 0; ctx.Err() == nil; n++ {
		if duration > 0 && time.Since(start) >= duration || duration == 0 && n >= seeds {
			break
		}
		report, err := soaker.Run(ctx, settings)
		if err != nil {
			return fmt.Errorf("seed %d: %w", settings.Seed, err)
		}
		printReport(report)
		violated = violated || len(report.Findings) > 0
		settings.Seed++
	}
	if violated {
		return errFindings
	}
	return ctx.Err()
}

// printReport prints the report of one soak.
func printReport(r soaker.Report) {
	fmt.Printf("seed %d: %d sent, %d served, %d starts of hosts, %d faults, held up for %s, %d findings\n",
		r.Seed, r.Sent, r.Served, r.Starts, len(r.Faults), r.Stalled.Round(time.Millisecond), len(r.Findings))
	if r.Resent > 0 {
		fmt.Printf("  %d sent again, %d refusals written once more\n", r.Resent, r.RefusalCopies)
	}
	if len(r.Findings) == 0 {
		return
	}
	for _, f := range r.Findings {
		fmt.Println("  " + f.String())
	}
	for _, s := range r.Faults {
		fmt.Println("  fault: " + s)
	}
	for _, path := range r.Logs {
		fmt.Println("  log: " + path)
	}
}
