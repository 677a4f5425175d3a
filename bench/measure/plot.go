package measure

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
)

// plotSlowdown writes a bar chart to path: the 95th percentile of the slowdown
// of each scenario, with one bar for each policy.
func plotSlowdown(path string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Slowdown, 95th percentile, geometric mean over seeds"
	p.Y.Label.Text = "job time / ideal time"
	p.Y.Min = 0
	var names []string
	bars := make([]plotter.Values, len(policies))
	for _, sc := range scenarios {
		first, ok := summarise(rows, sc.name, policies[0])
		if !ok {
			continue
		}
		names = append(names, sc.name)
		bars[0] = append(bars[0], first.p95)
		for i, policy := range policies[1:] {
			s, _ := summarise(rows, sc.name, policy)
			bars[i+1] = append(bars[i+1], s.p95)
		}
	}
	if len(names) == 0 {
		return p.Save(plotWidth, plotHeight, path)
	}
	for i, policy := range policies {
		b, err := plotter.NewBarChart(bars[i], barWidth)
		if err != nil {
			return err
		}
		b.Color = plotutil.Color(i)
		b.Offset = vg.Length(i)*barWidth - barWidth/2
		p.Add(b)
		p.Legend.Add(policy, b)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = -1
	return p.Save(plotWidth, plotHeight, path)
}
