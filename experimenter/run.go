package experimenter

import (
	"context"

	"github.com/sourcegraph/conc/pool"
	"gonum.org/v1/gonum/stat"

	"github.com/dotterelpulley/dotterelpulley/emulator"
)

// Cell is the result of one policy under one load.
type Cell struct {
	Policy string
	Load   string
	// Worths are the fractions of the maximum worth achieved, one per seed, with their Mean and standard Deviation.
	Worths    []float64
	Mean      float64
	Deviation float64
	Kinds     []KindResult
}

// KindResult is the fractions of the requests of one kind by outcome, over all seeds.
type KindResult struct {
	OnTime  float64
	Late    float64
	Refused float64
	// Largest is the answered fraction of the requests with the longest tenth of the answers.
	Largest float64
}

// Run simulates all cells of the table, with at most workers simulations at once; it stops when the context ends.
func Run(ctx context.Context, t Table, workers int) ([]Cell, error) {
	cells := make([]Cell, 0, len(t.Policies)*len(t.Loads))
	results := make([]emulator.FleetResult, cap(cells)*t.Seeds)
	simulations := pool.New().WithContext(ctx).WithMaxGoroutines(max(workers, 1))
	for _, load := range t.Loads {
		for _, policy := range t.Policies {
			first := len(cells) * t.Seeds
			cells = append(cells, Cell{Policy: policy.Name, Load: load.Name})
			for seed := range t.Seeds {
				simulations.Go(func(ctx context.Context) error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					fleet := load.Fleet
					fleet.Seed, fleet.Policy, fleet.ForwardImmediately, fleet.OmitWaiting = uint64(seed+1), policy.Policy, policy.ForwardImmediately, policy.OmitWaiting
					results[first+seed] = fleet.Run()
					return nil
				})
			}
		}
	}
	if err := simulations.Wait(); err != nil {
		return nil, err
	}
	for i := range cells {
		cells[i].aggregate(results[i*t.Seeds : (i+1)*t.Seeds])
	}
	return cells, nil
}

func (c *Cell) aggregate(results []emulator.FleetResult) {
	for _, r := range results {
		c.Worths = append(c.Worths, r.WorthFraction())
	}
	c.Mean, c.Deviation = stat.MeanStdDev(c.Worths, nil)
	if len(results) == 1 {
		c.Deviation = 0
	}
	for kind := range results[0].Kinds {
		var sum emulator.KindResult
		for _, r := range results {
			k := r.Kinds[kind]
			sum.Requests += k.Requests
			sum.OnTime += k.OnTime
			sum.Late += k.Late
			sum.Refused += k.Refused
			sum.Largest.Requests += k.Largest.Requests
			sum.Largest.Answered += k.Largest.Answered
		}
		requests := float64(max(sum.Requests, 1))
		c.Kinds = append(c.Kinds, KindResult{
			OnTime: float64(sum.OnTime) / requests, Late: float64(sum.Late) / requests, Refused: float64(sum.Refused) / requests,
			Largest: float64(sum.Largest.Answered) / float64(max(sum.Largest.Requests, 1)),
		})
	}
}
