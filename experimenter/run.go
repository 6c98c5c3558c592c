package experimenter

import (
	"context"

	"github.com/sourcegraph/conc/pool"
	"gonum.org/v1/gonum/stat"

	"github.com/dotterelpulley/dotterelpulley/emulator"
)

// Cell is what one policy gave under one load.
type Cell struct {
	Policy string
	Load   string
	// Worths are the parts of the owed worth that were earned, one a seed; Mean and Deviation are theirs.
	Worths    []float64
	Mean      float64
	Deviation float64
	Kinds     []Kind
}

// Kind is what became of the requests of one kind, of all seeds.
type Kind struct {
	OnTime  float64
	Late    float64
	Refused float64
	// Largest is the served part of the largest tenth.
	Largest float64
}

// Run plays the table with as many seeds at once as there are workers; it ends early with the context.
func Run(ctx context.Context, t Table, workers int) ([]Cell, error) {
	cells := make([]Cell, 0, len(t.Policies)*len(t.Loads))
	all := make([]emulator.FleetResult, cap(cells)*t.Seeds)
	plays := pool.New().WithContext(ctx).WithMaxGoroutines(max(workers, 1))
	for _, l := range t.Loads {
		for _, p := range t.Policies {
			first := len(cells) * t.Seeds
			cells = append(cells, Cell{Policy: p.Name, Load: l.Name})
			for seed := range t.Seeds {
				plays.Go(func(ctx context.Context) error {
					if ctx.Err() != nil {
						return ctx.Err()
					}
					f := l.Fleet
					f.Seed, f.Policy, f.Forward, f.Reticent = uint64(seed+1), p.Policy, p.Forward, p.Reticent
					all[first+seed] = f.Run()
					return nil
				})
			}
		}
	}
	if err := plays.Wait(); err != nil {
		return nil, err
	}
	for i := range cells {
		cells[i].sum(all[i*t.Seeds : (i+1)*t.Seeds])
	}
	return cells, nil
}

func (c *Cell) sum(results []emulator.FleetResult) {
	for _, r := range results {
		c.Worths = append(c.Worths, r.Worth())
	}
	c.Mean, c.Deviation = stat.MeanStdDev(c.Worths, nil)
	if len(results) == 1 {
		c.Deviation = 0
	}
	for kind := range results[0].Kinds {
		var sum emulator.KindResult
		for _, r := range results {
			k := r.Kinds[kind]
			sum.Asked += k.Asked
			sum.OnTime += k.OnTime
			sum.Late += k.Late
			sum.Refused += k.Refused
			sum.Largest.Asked += k.Largest.Asked
			sum.Largest.Answered += k.Largest.Answered
		}
		asked := float64(max(sum.Asked, 1))
		c.Kinds = append(c.Kinds, Kind{
			OnTime: float64(sum.OnTime) / asked, Late: float64(sum.Late) / asked, Refused: float64(sum.Refused) / asked,
			Largest: float64(sum.Largest.Answered) / float64(max(sum.Largest.Asked, 1)),
		})
	}
}
