package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/experimenter"
)

func newExperiment() *cobra.Command {
	var out string
	workers := runtime.GOMAXPROCS(0) / 2
	command := &cobra.Command{
		Use:   "experiment TABLE",
		Short: "Play a table of policies and loads in the emulator and report their worth",
		Long: `Plays every policy of the table under every load, some seeds each, in the emulator.
Writes report.md, a row each, and worth.svg, a plot, into the folder of --out.`,
		Example: "  dotterel-load experiment experimenter/testdata/waiting.toml --out report",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("read the table: %w", err)
			}
			table, err := experimenter.Decode(data)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			cells, err := experimenter.Run(command.Context(), table, workers)
			if err != nil {
				return fmt.Errorf("%w: %w", errRun, err)
			}
			if err := writeReport(out, cells); err != nil {
				return fmt.Errorf("%w: %w", errRun, err)
			}
			return experimenter.WriteReport(command.OutOrStdout(), cells)
		},
	}
	command.Flags().StringVar(&out, "out", ".", "the folder for report.md and worth.svg")
	command.Flags().IntVar(&workers, "workers", workers, "how many seeds are played at once")
	return command
}

// writeReport writes the report and the plot into the folder, which it creates if necessary.
func writeReport(folder string, cells []experimenter.Cell) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return fmt.Errorf("folder of the report: %w", err)
	}
	file, err := os.Create(filepath.Join(folder, "report.md"))
	if err != nil {
		return fmt.Errorf("create the report: %w", err)
	}
	err = experimenter.WriteReport(file, cells)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return experimenter.WritePlot(filepath.Join(folder, "worth.svg"), cells)
}
