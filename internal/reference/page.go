package reference

import (
	"fmt"
	"html/template"
	"io"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"guavayoke/internal/htmlplot"
)

// The size of the charts and the width of their lines.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
	lineWidth   = vg.Length(1.4)
)

var pageTemplate = template.Must(template.New("reference").Funcs(template.FuncMap{
	"share": func(f float64) string { return fmt.Sprintf("%.3f", f) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Reference policies</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 90em; }
table { border-collapse: collapse; } td, th { padding: .3em .8em; text-align: right; border-bottom: 1px solid #ccc; }
td:first-child, th:first-child, td.text, th.text { text-align: left; }
</style></head><body>
{{$r := .Result}}<h1>How far from the best</h1>
<p>{{$r.Jobs}} jobs, {{$r.Servers}} servers, {{$r.Changes}} changes of servers, {{$r.Seeds}} seeds. All shares are shares of jobs on time, within their latency objective.</p>
{{.Seconds}}
{{if $r.Observed}}{{.Lost}}{{end}}
<h2>Policies</h2>
<table><tr><th>Policy</th><th class="text">What it knows</th><th class="text">Order</th><th>Deviation over seeds</th></tr>
{{range .Policies}}<tr><td>{{.Name}}</td><td class="text">{{.Doc}}</td><td class="text">{{.Order}}</td><td>{{share .Deviation}}</td></tr>
{{end}}</table>
{{range .Tables}}<h2>{{.Dimension}}</h2>
<table><tr><th></th><th>Asked</th>{{range $r.Policies}}<th>{{.}}</th>{{end}}{{if $r.Observed}}<th>Observed</th><th>Late</th><th>Refused</th><th>Failed</th>{{range $.Losses}}<th>Lost to {{.}}</th>{{end}}{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Asked}}</td>{{range .OnTime}}<td>{{share .}}</td>{{end}}{{if $r.Observed}}<td>{{share .Observed}}</td><td>{{share .Late}}</td><td>{{share .Refused}}</td><td>{{share .Failed}}</td>{{range .Losses}}<td>{{share .}}</td>{{end}}{{end}}</tr>
{{end}}</table>
{{end}}{{with $r.Problems}}<h2>Left out</h2><ul>{{range .}}<li>{{.}}</li>{{end}}</ul>{{end}}
</body></html>
`))

type pagePolicy struct {
	Name, Doc, Order string
	Deviation        float64
}

// writePage writes a result as one self-contained HTML page.
func writePage(w io.Writer, res *Result) error {
	seconds, err := plotSeconds(res)
	if err != nil {
		return err
	}
	lost, err := plotLosses(res)
	if err != nil {
		return err
	}
	page := struct {
		Result        *Result
		Policies      []pagePolicy
		Tables        []Table
		Losses        []string
		Seconds, Lost template.HTML
	}{res, nil, append([]Table{{Dimension: "All", Rows: []Row{res.Total, res.QueuesAlike}}}, res.Tables...), nil, seconds, lost}
	for _, l := range losses {
		page.Losses = append(page.Losses, l.name)
	}
	for i, p := range Policies {
		page.Policies = append(page.Policies, pagePolicy{p.Name, p.Doc, res.Orders[i], res.Deviations[i]})
	}
	if err := pageTemplate.Execute(w, page); err != nil {
		return fmt.Errorf("render page: %w", err)
	}
	return nil
}

// bySecond returns the rows of each second.
func (res *Result) bySecond() []Row { return res.Tables[len(res.Tables)-1].Rows }

// plotSeconds draws the shares on time in each second.
func plotSeconds(res *Result) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds from the first job", "share on time"
	p.Y.Min, p.Y.Max = 0, 1
	names := res.Policies
	if res.Observed {
		names = append(append([]string{}, names...), "Observed")
	}
	for i, name := range names {
		var points plotter.XYs
		for _, r := range res.bySecond() {
			second, err := strconv.ParseFloat(strings.TrimSpace(r.Name), 64)
			if err != nil {
				return "", fmt.Errorf("plot: %w", err)
			}
			y := r.Observed
			if i < len(r.OnTime) {
				y = r.OnTime[i]
			}
			points = append(points, plotter.XY{X: second, Y: y})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plot: %w", err)
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i), lineWidth
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Legend.Left, p.Legend.YOffs = true, vg.Centimeter
	return htmlplot.SVG(p, chartWidth, chartHeight)
}

// plotLosses draws what was lost in each second, by reason.
func plotLosses(res *Result) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds from the first job", "share of jobs lost"
	for i, l := range losses {
		var points plotter.XYs
		for _, r := range res.bySecond() {
			second, err := strconv.ParseFloat(strings.TrimSpace(r.Name), 64)
			if err != nil {
				return "", fmt.Errorf("plot: %w", err)
			}
			points = append(points, plotter.XY{X: second, Y: r.Losses()[i]})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("plot: %w", err)
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i), lineWidth
		p.Add(line)
		p.Legend.Add("lost to "+l.name, line)
	}
	p.Legend.Top, p.Legend.Left, p.Legend.XOffs = true, true, vg.Centimeter
	return htmlplot.SVG(p, chartWidth, chartHeight)
}
