package capacity

import (
	"fmt"
	"math"
)

// Line is a least-squares fit y = Intercept + Slope*x.
type Line struct {
	Intercept, Slope float64
	// Residual is the largest vertical distance of a point from the line, as a share of
	// the largest absolute y.
	Residual float64
}

// Fit returns the least-squares line through points.
func Fit(x, y []float64) Line {
	var mx, my float64
	for i := range x {
		mx += x[i] / float64(len(x))
		my += y[i] / float64(len(x))
	}
	var xx, xy float64
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
	}
	var l Line
	if xx > 0 {
		l.Slope = xy / xx
	}
	l.Intercept = my - l.Slope*mx
	top := 0.0
	for i := range x {
		l.Residual = max(l.Residual, math.Abs(y[i]-l.At(x[i])))
		top = max(top, math.Abs(y[i]))
	}
	if top > 0 {
		l.Residual /= top
	}
	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// String returns the line with its residual.
func (l Line) String() string {
	return fmt.Sprintf("%.3g + %.3g x, residual %.0f%%", l.Intercept, l.Slope, 100*l.Residual)
}
