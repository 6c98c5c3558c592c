package experimenter

import (
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	pointsPerInch = 72
	// barWidth is the width of a bar, gapWidth the space between the bars of two loads.
	barWidth   = 14 * vg.Inch / pointsPerInch
	gapWidth   = 40 * vg.Inch / pointsPerInch
	plotHeight = 9 * vg.Centimeter
)

// WriteReport writes the cells as a Markdown table.
func WriteReport(w io.Writer, cells []Cell) error {
	if _, err := fmt.Fprint(w, "| load | policy | worth | deviation | on time, late, refused, largest served, by kind |\n| --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, c := range cells {
		kinds := ""
		for i, k := range c.Kinds {
			if i > 0 {
				kinds += "; "
			}
			kinds += fmt.Sprintf("%.2f, %.2f, %.2f, %.2f", k.OnTime, k.Late, k.Refused, k.Largest)
		}
		if _, err := fmt.Fprintf(w, "| %s | %s | %.3f | %.3f | %s |\n", c.Load, c.Policy, c.Mean, c.Deviation, kinds); err != nil {
			return err
		}
	}
	return nil
}

// uniqueNames returns the distinct names of the cells in their order.
func uniqueNames(cells []Cell, name func(Cell) string) []string {
	var unique []string
	for _, c := range cells {
		if !slices.Contains(unique, name(c)) {
			unique = append(unique, name(c))
		}
	}
	return unique
}

// WritePlot writes a bar chart of the mean worth by load and policy to a file, in the format of its extension.
func WritePlot(path string, cells []Cell) error {
	policies := uniqueNames(cells, func(c Cell) string { return c.Policy })
	loads := uniqueNames(cells, func(c Cell) string { return c.Load })
	p := plot.New()
	p.Title.Text = "Worth by load and policy"
	p.Y.Label.Text = "part of the owed worth"
	// Leaves space for the legend above the bars.
	p.Y.Min, p.Y.Max = 0, 1+0.1*float64(len(policies))
	p.Legend.Top = true
	for i, policy := range policies {
		var worths plotter.Values
		for _, c := range cells {
			if c.Policy == policy {
				worths = append(worths, c.Mean)
			}
		}
		bars, err := plotter.NewBarChart(worths, barWidth)
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * (vg.Length(i) - vg.Length(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(loads...)
	p.X.Min, p.X.Max = -0.5, float64(len(loads))-0.5
	width := vg.Length(len(loads))*(barWidth*vg.Length(len(policies))+gapWidth) + 5*vg.Centimeter
	if err := p.Save(width, plotHeight, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
