package report

import (
	"html/template"
	"image/color"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// headroom keeps the lines of a plot clear of its legend.
const headroom = 1.3

// The colours of a plot's lines, and of the marks of faults.
var (
	blue      = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	orange    = color.RGBA{R: 0xe6, G: 0x7e, B: 0x22, A: 0xff}
	red       = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
	faultMark = color.NRGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0x40}
)

// line is one line of a plot.
type line struct {
	name  string
	color color.Color
	value func(second) float64
}

// chart is one plot of the page.
type chart struct {
	title string
	unit  string
	lines []line
}

var charts = []chart{
	{"Latency of served requests, by the second in which they began", "ms", []line{
		{"median", blue, func(s second) float64 { return milliseconds(s.quantile(0.5)) }},
		{"99th percentile", orange, func(s second) float64 { return milliseconds(s.quantile(0.99)) }},
	}},
	{"Requests by how they ended", "a second", []line{
		{"served", blue, func(s second) float64 { return float64(s.ends[Served]) }},
		{"refused", orange, func(s second) float64 { return float64(s.ends[Refused]) }},
		{"failed", red, func(s second) float64 { return float64(s.ends[Failed]) }},
	}},
	{"Processes that run", "", []line{
		{"hosts", blue, func(s second) float64 { return float64(s.hosts) }},
		{"upstreams", orange, func(s second) float64 { return float64(s.upstreams) }},
	}},
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:0 1em 0 0;text-align:left}</style></head>
<body><h1>{{.Title}}</h1>
<p>{{.Served}} requests served, {{.Refused}} refused, {{.Failed}} failed. Red lines mark where faults began.</p>
{{range .Plots}}{{.}}
{{end}}<h2>Faults</h2><table><tr><th>from second</th><th>for</th><th>what</th></tr>
{{range .Faults}}<tr><td>{{printf "%.1f" .At.Seconds}}</td><td>{{printf "%.1f" .For.Seconds}} s</td><td>{{.What}}</td></tr>
{{end}}</table></body></html>
`))

// content is what the page shows.
type content struct {
	Title                   string
	Served, Refused, Failed int
	Plots                   []template.HTML
	Faults                  []Fault
}

// Write writes the page.
func (r *Recorder) Write(w io.Writer) error {
	c := content{Title: r.title, Faults: r.Faults()}
	r.mu.Lock()
	seconds := append([]second(nil), r.seconds...)
	r.mu.Unlock()
	for _, s := range seconds {
		c.Served += s.ends[Served]
		c.Refused += s.ends[Refused]
		c.Failed += s.ends[Failed]
	}
	for _, ch := range charts {
		svg, err := ch.draw(seconds, c.Faults)
		if err != nil {
			return eris.Wrapf(err, "draw %q", ch.title)
		}
		c.Plots = append(c.Plots, svg)
	}
	return eris.Wrap(page.Execute(w, c), "write page")
}

func (c chart) draw(seconds []second, faults []Fault) (template.HTML, error) {
	p, err := c.plot(seconds, faults)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	return svgOf(canvas)
}

func (c chart) plot(seconds []second, faults []Fault) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	highest := 1.0
	for _, l := range c.lines {
		points := make(plotter.XYs, len(seconds))
		for i, s := range seconds {
			points[i] = plotter.XY{X: float64(i), Y: l.value(s)}
			highest = max(highest, points[i].Y)
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		drawn.Color = l.color
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Y.Max = headroom * highest
	for _, f := range faults {
		at := f.At.Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: highest}})
		if err != nil {
			return nil, err
		}
		mark.Color = faultMark
		p.Add(mark)
	}
	return p, nil
}

// svgOf gives a canvas as an element of a page, without the XML declaration.
func svgOf(canvas *vgsvg.Canvas) (template.HTML, error) {
	var b strings.Builder
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	// The text comes from the plot library, which escapes what it is given.
	return template.HTML(text[strings.Index(text, "<svg"):]), nil
}
