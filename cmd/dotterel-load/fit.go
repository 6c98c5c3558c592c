package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/fitter"
)

func newFit() *cobra.Command {
	return &cobra.Command{
		Use:   "fit",
		Short: "Fit lines through benchmarks that ran at several sizes",
		Long: `Reads the output of "go test -bench" from standard input and fits a line
through each metric of each benchmark whose name ends in /SIZE=NUMBER.`,
		Example: "  go test -run '^$' -bench . ./capacity | dotterel-load fit",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			series, err := fitter.ReadBenchmarks(command.InOrStdin())
			if err != nil {
				return fmt.Errorf("%w: %w", errRun, err)
			}
			table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "BENCHMARK\tUNIT\tSIZE\tPOINTS\tINTERCEPT\tSLOPE\tWORST ERROR")
			for _, s := range series {
				line := fitter.Fit(s.Points)
				fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.4g\t%.4g\t%.0f%%\n",
					s.Name, s.Unit, s.Size, line.Points, line.Intercept, line.Slope, 100*line.WorstError)
			}
			return table.Flush()
		},
	}
}
