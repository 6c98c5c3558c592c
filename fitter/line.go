package fitter

import "math"

// Point is one measurement at one size.
type Point struct {
	X float64
	Y float64
}

// Line is a straight line through points.
type Line struct {
	Intercept float64
	Slope     float64
	// WorstError is the largest distance of a point from the line, as a share of the largest measurement.
	WorstError float64
	// Points is how many points the line was drawn through.
	Points int
}

// Fit returns the line of least squares; fewer than two sizes give a flat line through the mean.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	line := Line{Points: len(points), Intercept: sumY / n}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		line.Slope = (n*sumXY - sumX*sumY) / spread
		line.Intercept = (sumY - line.Slope*sumX) / n
	}
	line.WorstError = worstError(line, points)
	return line
}

// At returns the line's height at the size.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

func worstError(l Line, points []Point) float64 {
	worst, largest := 0.0, 0.0
	for _, p := range points {
		worst = max(worst, math.Abs(p.Y-l.At(p.X)))
		largest = max(largest, math.Abs(p.Y))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}
