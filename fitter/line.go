package fitter

import "math"

// Point is the measurement Y at the size X.
type Point struct {
	X float64
	Y float64
}

// Line is a straight line fitted to points.
type Line struct {
	Intercept float64
	Slope     float64
	// WorstError is the largest distance of a point from the line, as a fraction of the largest measurement.
	WorstError float64
	// Points is the number of points that the line was fitted to.
	Points int
}

// Fit returns the least squares line; with fewer than two different sizes it is a flat line through the mean.
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
	if denominator := n*sumXX - sumX*sumX; denominator > 0 {
		line.Slope = (n*sumXY - sumX*sumY) / denominator
		line.Intercept = (sumY - line.Slope*sumX) / n
	}
	line.WorstError = worstError(line, points)
	return line
}

// At returns the line's value at the size x.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

func worstError(l Line, points []Point) float64 {
	maxError, maxValue := 0.0, 0.0
	for _, p := range points {
		maxError = max(maxError, math.Abs(p.Y-l.At(p.X)))
		maxValue = max(maxValue, math.Abs(p.Y))
	}
	if maxValue == 0 {
		return 0
	}
	return maxError / maxValue
}
