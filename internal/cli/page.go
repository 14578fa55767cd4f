package cli

import (
	"bytes"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"guavayoke/internal/burn"
	"guavayoke/internal/htmlplot"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	maxPlots   = 20
)

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": formatTime, "until": formatTimeLeft,
	"percent": func(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) },
	"rate":    func(f float64) string { return fmt.Sprintf("%.2f", f) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Burn of {{.Report.Environment}}</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; } td, th { padding: .3em .8em; text-align: right; border-bottom: 1px solid #ccc; }
td:nth-child(-n+2), th:nth-child(-n+2) { text-align: left; } .alert { background: #fdd; font-weight: bold; }
</style></head><body>
<h1>Burn of {{.Report.Environment}}</h1>
<p>At {{clock .Report.AtMs}} UTC, worst first. A rate of 1 uses up the error budget exactly within its window.</p>
<table><tr><th>Service</th><th>Team</th><th>Target</th><th>Budget left (3d)</th><th>Exhausted in</th>{{range .Pairs}}<th>{{.Name}}</th>{{end}}</tr>
{{range .Report.Lines}}<tr><td>{{.Service}}</td><td>{{.Team}}</td><td>{{.TargetPercent}}%</td><td>{{percent .BudgetLeft}}</td><td>{{until .Exhausted}}</td>
{{range .Pairs}}<td{{if .Alert}} class="alert"{{end}}>{{rate .Short.Rate}} / {{rate .Long.Rate}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}
<h2>Sources</h2><ul>
{{range .Report.Sources}}<li>{{if .Error}}<b>missing</b>: {{.Name}} {{.Address}}: {{.Error}}{{else}}{{.Name}}, counted since {{clock .SinceMs}}{{end}}</li>
{{end}}</ul>
<p>Daemons keep counters in memory: the report lacks what was counted by daemons that have been restarted or replaced since.</p>
</body></html>
`))

type pagePlot struct {
	Title string
	SVG   template.HTML
}

// renderPage returns a report as one self-contained HTML page. It plots the errors of
// the first maxPlots lines.
func renderPage(r burnReport) ([]byte, error) {
	var plots []pagePlot
	for _, l := range r.Lines[:min(len(r.Lines), maxPlots)] {
		for _, c := range r.counters {
			if c.Key.Service != l.Service || c.Key.Team != l.Team {
				continue
			}
			svg, err := plotErrors(c)
			if err != nil {
				return nil, err
			}
			plots = append(plots, pagePlot{l.Service + " / " + l.Team, svg})
		}
	}
	var b bytes.Buffer
	err := pageTemplate.Execute(&b, struct {
		Report burnReport
		Pairs  []burn.WindowPair
		Plots  []pagePlot
	}{r, burn.Pairs, plots})
	if err != nil {
		return nil, fmt.Errorf("render page: %w", err)
	}
	return b.Bytes(), nil
}

// plotErrors returns an SVG plot of the percentage of bad answers in each minute of the
// last hour.
func plotErrors(c burn.Counter) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "minutes ago"
	p.Y.Label.Text = "bad answers, percent"
	p.Y.Min = 0
	p.Y.Max = 1
	var points plotter.XYs
	series := c.Series[0]
	for i, bucket := range series.Buckets {
		if all := bucket.Good + bucket.Bad; all > 0 {
			y := 100 * float64(bucket.Bad) / float64(all)
			points = append(points, plotter.XY{X: -float64(i), Y: y})
			p.Y.Max = max(p.Y.Max, y)
		}
	}
	p.X.Min, p.X.Max = -burn.Pairs[0].Long.Minutes(), 0
	line, dots, err := plotter.NewLinePoints(points)
	if len(points) > 0 {
		if err != nil {
			return "", fmt.Errorf("plot: %w", err)
		}
		p.Add(plotter.NewGrid(), line, dots)
	}
	return htmlplot.SVG(p, plotWidth, plotHeight)
}
