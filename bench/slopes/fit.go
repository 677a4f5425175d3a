package slopes

// line is a fitted straight line.
type line struct {
	slope, intercept, r2 float64
}

// fitLine returns the least-squares line through the points, with the
// coefficient of determination r2.
func fitLine(xs, ys []float64) line {
	n := float64(len(xs))
	var mx, my float64
	for i := range xs {
		mx += xs[i] / n
		my += ys[i] / n
	}
	var sxx, sxy, syy float64
	for i := range xs {
		dx, dy := xs[i]-mx, ys[i]-my
		sxx += dx * dx
		sxy += dx * dy
		syy += dy * dy
	}
	l := line{r2: 1}
	if sxx > 0 {
		l.slope = sxy / sxx
	}
	l.intercept = my - l.slope*mx
	if sxx > 0 && syy > 0 {
		l.r2 = sxy * sxy / (sxx * syy)
	}
	return l
}
