package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/loader"
)

var (
	errRun     = errors.New("the load did not run")
	errAnswers = errors.New("an answer was wrong, missing, repeated or untrue")
)

const longHelp = `Sends a mix of requests at seeded times that do not wait for answers, judges
each answer whole, and holds the answers against the stand-ins' ledgers.

Exit codes: 0 all answers were whole or truthful refusals; 1 the load did not
run; 2 wrong flags; 3 an answer was wrong or missing, or the ledgers show a
repeated run, a run that was denied, or an answer that nothing ran for.`

const examples = `  dotterel-load --entry 127.0.0.1:7100 --rate 50 --duration 30s
  dotterel-load --entry 127.0.0.1:7100 --profile swan-coastal --resend 0.2 \
      --ledger 127.0.0.1:7301 --ledger 127.0.0.1:7302 --json`

// flags holds the values of the command's flags.
type flags struct {
	entries     []string
	ledgers     []string
	profile     string
	seed        uint64
	duration    time.Duration
	rate        float64
	burstEvery  time.Duration
	burstLength time.Duration
	burstFactor float64
	resend      float64
	lengthScale float64
	deadline    time.Duration
	maxSends    int
	firstToken  time.Duration
	json        bool
}

func newCommand() *cobra.Command {
	var f flags
	command := &cobra.Command{
		Use:           "dotterel-load",
		Short:         "Send a seeded load to entry hosts and judge the answers",
		Long:          longHelp,
		Example:       examples,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(command *cobra.Command, _ []string) error { return run(command, f) },
	}
	flagSet := command.Flags()
	flagSet.StringArrayVar(&f.entries, "entry", nil, "address of an entry host to ask for addresses (repeatable)")
	flagSet.StringArrayVar(&f.ledgers, "ledger", nil, "address of a stand-in whose ledger to read (repeatable; give all)")
	flagSet.StringVar(&f.profile, "profile", string(loader.ProfilePollulaotus), fmt.Sprintf("mix of requests, one of %q", loader.ProfileNames()))
	flagSet.Uint64Var(&f.seed, "seed", 1, "seed of the arrivals")
	flagSet.DurationVar(&f.duration, "duration", 10*time.Second, "time over which requests arrive")
	flagSet.Float64Var(&f.rate, "rate", 20, "requests a second")
	flagSet.DurationVar(&f.burstEvery, "burst-every", 0, "time from one burst to the next; 0 for no bursts")
	flagSet.DurationVar(&f.burstLength, "burst-length", time.Second, "length of a burst")
	flagSet.Float64Var(&f.burstFactor, "burst-factor", 4, "rate within a burst against the rate outside")
	flagSet.Float64Var(&f.resend, "resend", 0, "share of requests that are sent again while the first send may still run")
	flagSet.Float64Var(&f.lengthScale, "length-scale", 1, "factor on the output lengths")
	flagSet.DurationVar(&f.deadline, "deadline", 0, "deadline of every request; 0 for the tiers' own")
	flagSet.IntVar(&f.maxSends, "sends", 0, "most sends of one request in turn; 0 for the default")
	flagSet.DurationVar(&f.firstToken, "first-token", 0, "target for the first token; 0 for 740 ms")
	flagSet.BoolVar(&f.json, "json", false, "write only the JSON line")
	command.AddCommand(newCost(), newFit(), newExperiment())
	return command
}

func run(command *cobra.Command, f flags) error {
	settings, err := f.planSettings()
	if err != nil {
		return err
	}
	runner := loader.Runner{
		Entries: toAddresses(f.entries),
		Retry:   loader.Retry{MaxSends: f.maxSends},
		Report:  newProgressLine(),
	}
	arrivals := loader.Plan(settings)
	log.Info().Str("profile", f.profile).Uint64("seed", f.seed).Int("arrivals", len(arrivals)).Msg("load-starts")
	results := runner.Run(command.Context(), arrivals)
	if runner.Report != nil {
		fmt.Fprintln(os.Stderr)
	}
	report := loader.NewReport(results, loader.Targets{FirstToken: f.firstToken}, time.Since(settings.Start))
	if err := f.audit(&report, results); err != nil {
		return err
	}
	return f.write(command, report)
}

func (f flags) planSettings() (loader.PlanSettings, error) {
	if len(f.entries) == 0 {
		return loader.PlanSettings{}, errors.New("no --entry is given")
	}
	if f.rate <= 0 || f.duration <= 0 || f.lengthScale <= 0 || f.burstFactor <= 0 {
		return loader.PlanSettings{}, errors.New("--rate, --duration, --length-scale and --burst-factor must be above 0")
	}
	if f.resend < 0 || f.resend > 1 {
		return loader.PlanSettings{}, fmt.Errorf("--resend %g is not within 0 and 1", f.resend)
	}
	profile, err := loader.ParseProfile(f.profile)
	if err != nil {
		return loader.PlanSettings{}, fmt.Errorf("--profile: %w", err)
	}
	return loader.PlanSettings{
		Profile:        profile,
		Seed:           loader.Seed(f.seed),
		Start:          time.Now(),
		Duration:       f.duration,
		Rate:           loader.Rate(f.rate),
		BurstInterval:  f.burstEvery,
		BurstLength:    f.burstLength,
		BurstFactor:    f.burstFactor,
		ResendFraction: f.resend,
		LengthScale:    f.lengthScale,
		Deadline:       f.deadline,
	}, nil
}

func toAddresses(texts []string) []dotterelpulley.Address {
	addresses := make([]dotterelpulley.Address, 0, len(texts))
	for _, text := range texts {
		addresses = append(addresses, dotterelpulley.Address(text))
	}
	return addresses
}

func (f flags) audit(report *loader.Report, results []loader.Result) error {
	if len(f.ledgers) == 0 {
		return nil
	}
	var runs []loader.Run
	for _, address := range toAddresses(f.ledgers) {
		ledger, err := loader.FetchLedger(address)
		if err != nil {
			return fmt.Errorf("%w: %w", errRun, err)
		}
		runs = append(runs, ledger...)
	}
	report.Audit = loader.AuditRuns(results, runs)
	report.Audited = true
	return nil
}

func (f flags) write(command *cobra.Command, report loader.Report) error {
	out := command.OutOrStdout()
	if !f.json {
		if err := report.WriteTable(out); err != nil {
			return fmt.Errorf("%w: %w", errRun, err)
		}
	}
	if err := report.WriteJSON(out); err != nil {
		return fmt.Errorf("%w: %w", errRun, err)
	}
	if report.HasFaults() {
		return errAnswers
	}
	return nil
}

// newProgressLine returns a function that rewrites one progress line, or nil if standard error is not a terminal.
func newProgressLine() func(loader.Progress) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(p loader.Progress) {
		fmt.Fprintf(os.Stderr, "\r%s: %d arrived, %d finished, %d whole ",
			p.Elapsed.Round(time.Second), p.Arrived, p.Finished, p.Completed)
	}
}
