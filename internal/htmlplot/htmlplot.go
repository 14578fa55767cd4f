// Package htmlplot draws plots for self-contained HTML pages.
package htmlplot

import (
	"bytes"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// SVG returns a plot as an SVG element of the given size.
func SVG(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		// The XML declaration and the doctype are not allowed inside an HTML page.
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
