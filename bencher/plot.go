package bencher

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// PlotLoads returns the loads of the plot as shares of the capacity.
func PlotLoads() []float64 { return []float64{0.2, 0.4, 0.6, 0.8, 1, 1.2} }

// Plot plots the p95 program latency of every policy against the load and writes it to
// latency-<deployment>.png in a directory.
func Plot(directory, deployment string, rows []Row, policies []NamedPolicy) error {
	p := plot.New()
	p.Title.Text = "p95 program latency, " + deployment + ", no faults"
	p.X.Label.Text = "load / capacity"
	p.Y.Label.Text = "seconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for i, policy := range policies {
		var points plotter.XYs
		for _, r := range rows {
			if r.Deployment == deployment && r.Policy == policy.Name && r.Result.P95Latency > 0 {
				points = append(points, plotter.XY{X: r.Load, Y: r.Result.P95Latency})
			}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(policy.Name, line, dots)
	}
	p.Add(plotter.NewGrid())
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(directory, "latency-"+deployment+".png"))
}
