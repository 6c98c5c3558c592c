package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley/sampler"
)

type wireCost struct {
	Processes      int     `json:"processes"`
	Over           string  `json:"over"`
	Cores          float64 `json:"cores"`
	BytesPerSecond float64 `json:"bytes-per-second"`
	Resident       int64   `json:"resident-bytes"`
	ResidentPeak   int64   `json:"resident-peak-bytes"`
	Private        int64   `json:"private-bytes"`
}

// takeSamples takes a sample of every process.
func takeSamples(pids []int) ([]sampler.Sample, error) {
	samples := make([]sampler.Sample, 0, len(pids))
	for _, pid := range pids {
		s, err := sampler.Take(sampler.PID(pid))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errRun, err)
		}
		samples = append(samples, s)
	}
	return samples, nil
}

// sumCosts sums the costs of the processes between their first and last samples.
func sumCosts(first, last []sampler.Sample) wireCost {
	var longest time.Duration
	sum := wireCost{Processes: len(first)}
	for i := range first {
		c := sampler.Between(first[i], last[i])
		longest = max(longest, c.Elapsed)
		sum.Cores += c.Cores
		sum.BytesPerSecond += c.BytesPerSecond
		sum.Resident += int64(c.Resident)
		sum.ResidentPeak += int64(c.ResidentPeak)
		sum.Private += int64(c.Private)
	}
	sum.Over = longest.Round(time.Millisecond).String()
	return sum
}

// writeBenchmark writes the means per process as one line of benchmark output.
func (w wireCost) writeBenchmark(to io.Writer, name string) error {
	n := float64(max(w.Processes, 1))
	_, err := fmt.Fprintf(to, "%s 1 %.6f cores %.0f B/s %.0f private-B %.0f resident-B\n",
		name, w.Cores/n, w.BytesPerSecond/n, float64(w.Private)/n, float64(w.Resident)/n)
	return err
}

func newCost() *cobra.Command {
	var pids []int
	var duration time.Duration
	var benchmark string
	command := &cobra.Command{
		Use:   "cost",
		Short: "Measure what running processes cost",
		Long: `Measures the processor time, memory and bytes of running processes and writes
their sums as one JSON line, or with --as their means in the form of a benchmark.`,
		Example: `  dotterel-load cost --pid 4242 --pid 4243 --over 20s
  dotterel-load cost --pid 4242 --as BenchmarkEntryIdle/entries=1`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			first, err := takeSamples(pids)
			if err != nil {
				return err
			}
			select {
			case <-command.Context().Done():
			case <-time.After(duration):
			}
			last, err := takeSamples(pids)
			if err != nil {
				return err
			}
			sum := sumCosts(first, last)
			if benchmark == "" {
				return json.NewEncoder(command.OutOrStdout()).Encode(sum)
			}
			return sum.writeBenchmark(command.OutOrStdout(), benchmark)
		},
	}
	command.Flags().IntSliceVar(&pids, "pid", nil, "process to measure (repeatable)")
	command.Flags().StringVar(&benchmark, "as", "", "name of the benchmark to write the means as")
	command.Flags().DurationVar(&duration, "over", 10*time.Second, "time to measure over")
	if err := command.MarkFlagRequired("pid"); err != nil {
		panic(err)
	}
	return command
}
