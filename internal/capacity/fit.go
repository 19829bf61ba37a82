package capacity

import "math"

// Point is a measured cost at one size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Line is a linear cost model: Fixed + PerUnit * size.
type Line struct {
	Fixed   float64 `json:"fixed"`
	PerUnit float64 `json:"per_unit"`
	// Residual is the largest relative error of the line over the points, as a fraction of the point's cost.
	Residual float64 `json:"residual"`
}

// At returns the line's cost at a size.
func (l Line) At(size float64) float64 {
	return l.Fixed + l.PerUnit*size
}

// Fit returns the weighted least-squares line through points. The weight of a point is the inverse square
// of its cost, so that the relative error is small at every size.
func Fit(points []Point) Line {
	var sw, sx, sy, sxx, sxy float64
	for _, p := range points {
		w := 1 / math.Max(p.Cost*p.Cost, math.SmallestNonzeroFloat32)
		sw += w
		sx += w * p.Size
		sy += w * p.Cost
		sxx += w * p.Size * p.Size
		sxy += w * p.Size * p.Cost
	}
	var l Line
	if d := sw*sxx - sx*sx; d != 0 {
		l.PerUnit = (sw*sxy - sx*sy) / d
	}
	if sw > 0 {
		l.Fixed = (sy - l.PerUnit*sx) / sw
	}
	for _, p := range points {
		if p.Cost != 0 {
			l.Residual = math.Max(l.Residual, math.Abs(l.At(p.Size)-p.Cost)/p.Cost)
		}
	}
	return l
}
