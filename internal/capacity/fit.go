package capacity

import "math"

// Point is a cost measured at a size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Line is a straight line through measured points: Fixed + PerUnit * size.
type Line struct {
	Fixed   float64 `json:"fixed"`
	PerUnit float64 `json:"per_unit"`
	// Residual is the largest distance of a point from the line, as a share of the point's cost.
	Residual float64 `json:"residual"`
}

// At returns the line's cost at a size.
func (l Line) At(size float64) float64 {
	return l.Fixed + l.PerUnit*size
}

// Fit returns the line of least squares through points. Each point counts by the inverse square of its
// cost, so that the residual is kept small in proportion at every size.
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
