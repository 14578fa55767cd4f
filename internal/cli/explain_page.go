package cli

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"guavayoke/internal/explain"
	"guavayoke/internal/htmlplot"
)

// maxCharted limits the causes that have a color of their own in the chart; there are seven colors.
const maxCharted = 7

var lossesTemplate = template.Must(template.New("losses").Funcs(template.FuncMap{
	"clock":   formatLogTime,
	"causes":  formatCauses,
	"percent": func(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Lost requests</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 80em; }
table { border-collapse: collapse; } td, th { padding: .3em .8em; text-align: right; border-bottom: 1px solid #ccc; }
td:first-child, th:first-child, td.text, th.text { text-align: left; }
</style></head><body>
{{$relative := .Account.Relative}}{{with .Account.Total}}<h1>Lost requests</h1>
<p>{{clock $.Account.From $relative}} to {{clock $.Account.To $relative}}, {{$.Account.Hosts}} hosts: {{.Asked}} requests, {{.Refused}} refused, {{.Failed}} failed, {{.Late}} late ({{.RanLong}} by long runs), {{.Left}} left by their callers, {{.Unjudged}} unjudged, {{$.Account.Open}} open.
Late is counted against the objective that follows from declared run times.</p>{{end}}
{{.Chart}}
<h2>Causes</h2>
<table><tr><th>Cause</th><th class="text">Kind</th><th>Count</th><th>Share</th><th class="text">Example</th><th class="text">Meaning</th><th class="text">Look at</th></tr>
{{range .Account.Causes}}<tr><td>{{.Cause}}</td><td class="text">{{.Kind}}</td><td>{{.Count}}</td><td>{{percent .Share}}</td><td class="text">{{.Example}}</td><td class="text">{{.Doc}}</td><td class="text">{{.Look}}</td></tr>
{{end}}{{range $reason, $n := .Account.UnknownReasons}}<tr><td>Unknown</td><td class="text">{{$reason}}</td><td>{{$n}}</td></tr>
{{end}}</table>
{{range .Account.Tables}}<h2>By {{.Doc}}</h2>
<table><tr><th>{{.Dimension}}</th><th>Asked</th><th>Refused</th><th>Failed</th><th>Late</th><th>Of these, long runs</th><th>Left</th><th>Lost without long runs</th><th>Started and thrown away</th><th>Mean wait, ms</th><th>95 % of waits, ms</th><th>95 % of transits, ms</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Asked}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.Late}}</td><td>{{.RanLong}}</td><td>{{.Left}}</td><td>{{percent .LostShare}}</td><td>{{.ThrownAway}}</td><td>{{printf "%.0f" .MeanWaitMs}}</td><td>{{printf "%.0f" .P95WaitMs}}</td><td>{{printf "%.0f" .P95TransitMs}}</td></tr>
{{end}}</table>
{{end}}<h2>By time</h2>
<table><tr><th>From</th><th>Refused</th><th>Failed</th><th>Late</th><th>Left</th><th>Highest mean transit, ms</th><th class="text">Owner</th><th class="text">Causes</th></tr>
{{range .Steps}}<tr><td>{{clock .At $relative}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.Late}}</td><td>{{.Left}}</td><td>{{printf "%.0f" .TransitMs}}</td><td class="text">{{.TransitOwner}}</td><td class="text">{{causes .Causes}}</td></tr>
{{end}}</table>
<p>{{.Account.Lines}} lines: {{.Account.Events}} events, {{.Account.Foreign}} of other origin, {{.Account.Malformed}} malformed.</p>
<ul>{{range .Missing}}<li>missing: {{.}}</li>{{end}}</ul>
</body></html>
`))

// renderLosses returns an account as one self-contained HTML page with a chart.
func renderLosses(a explain.Account) ([]byte, error) {
	_, steps := a.Steps(maxSteps)
	chart, err := plotLosses(a, steps)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = lossesTemplate.Execute(&b, struct {
		Account explain.Account
		Steps   []explain.Step
		Chart   template.HTML
		Missing []string
	}{a, steps, chart, missingParts(a.Counts)})
	if err != nil {
		return nil, fmt.Errorf("render page: %w", err)
	}
	return b.Bytes(), nil
}

// plotLosses returns an SVG chart of the losses in each span of time, stacked by cause.
func plotLosses(a explain.Account, steps []explain.Step) (template.HTML, error) {
	if len(steps) == 0 {
		return "", nil
	}
	p := plot.New()
	p.X.Label.Text = "seconds from the first loss"
	p.Y.Label.Text = "losses"
	p.Legend.Top = true
	first := steps[0].Second
	span, _ := a.Steps(maxSteps)
	bars := int((steps[len(steps)-1].Second-first)/int64(span.Seconds())) + 1
	var below *plotter.BarChart
	for i, cause := range a.Causes {
		values := make(plotter.Values, bars)
		name, shade := cause.Cause, plotutil.Color(i)
		for _, s := range steps {
			bar := int((s.Second - first) / int64(span.Seconds()))
			if i < maxCharted {
				values[bar] = float64(s.Causes[cause.Cause])
				continue
			}
			for _, other := range a.Causes[maxCharted:] {
				values[bar] += float64(s.Causes[other.Cause])
			}
			name, shade = "others", color.Gray{Y: 128}
		}
		chart, err := plotter.NewBarChart(values, plotWidth/vg.Length(bars+4))
		if err != nil {
			return "", fmt.Errorf("plot: %w", err)
		}
		chart.Color, chart.LineStyle.Width = shade, 0
		if below != nil {
			chart.StackOn(below)
		}
		below = chart
		p.Add(chart)
		p.Legend.Add(name, chart)
		if i == maxCharted {
			break
		}
	}
	return htmlplot.SVG(p, plotWidth, plotHeight*2)
}
