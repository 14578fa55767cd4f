package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotTimeline writes a PNG to file that shows, for each second of a run, the overhead
// and the number of submissions that weren't complete.
func plotTimeline(r Report, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %.0f tasks/s", r.Workload, r.RatePerSec)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "response time over the ideal, ms"
	var p50, p99, other plotter.XYs
	for _, s := range r.Timeline {
		x := float64(s.At)
		p50 = append(p50, plotter.XY{X: x, Y: s.P50Ms})
		p99 = append(p99, plotter.XY{X: x, Y: s.P99Ms})
		other = append(other, plotter.XY{X: x, Y: float64(s.Other)})
	}
	if err := plotutil.AddLinePoints(p, "p50", p50, "p99", p99, "not complete (count)", other); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
