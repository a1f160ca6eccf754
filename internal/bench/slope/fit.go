package slope

import (
	"math"
	"slices"
)

// Point is the cost Y measured at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares fit through points.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// ResidualStdDev is the standard deviation of the residuals.
	ResidualStdDev float64 `json:"spread"`
}

// At returns the value of the line at x.
func (line Line) At(x float64) float64 { return line.Intercept + line.Slope*x }

// Fit returns the least-squares line through points. If all points have the same
// size, the line is flat at their mean.
func Fit(points []Point) Line {
	count := float64(len(points))
	var meanX, meanY float64
	for _, point := range points {
		meanX += point.X / count
		meanY += point.Y / count
	}
	var covariance, variance float64
	for _, point := range points {
		covariance += (point.X - meanX) * (point.Y - meanY)
		variance += (point.X - meanX) * (point.X - meanX)
	}
	line := Line{Intercept: meanY}
	if variance > 0 {
		line.Slope = covariance / variance
		line.Intercept = meanY - line.Slope*meanX
	}
	var squares float64
	for _, point := range points {
		residual := point.Y - line.At(point.X)
		squares += residual * residual
	}
	// Slope and intercept take two degrees of freedom.
	line.ResidualStdDev = math.Sqrt(squares / max(1, count-2))
	return line
}

// median returns the median of values, which it sorts in place.
func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
