package soak

import (
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	// plotWidth is the width of a plot. It fits a laptop's screen.
	plotWidth = 26 * vg.Centimeter
	// plotHeight is the height of a plot.
	plotHeight = 7 * vg.Centimeter
	// headroom is the ratio of the y axis to the highest value. It keeps the lines clear
	// of the legend.
	headroom = 1.3
)

// Colors of a plot's lines and of the marks of faults.
var (
	blue      = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	orange    = color.RGBA{R: 0xe6, G: 0x7e, B: 0x22, A: 0xff}
	grey      = color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff}
	red       = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
	faultMark = color.NRGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0x40}
)

// plotLine is one line of a plot.
type plotLine struct {
	name  string
	color color.Color
	value func(second) float64
}

// chart is one plot of the page.
type chart struct {
	title string
	unit  string
	lines []plotLine
}

var charts = []chart{
	{"Latency of served requests, by the second in which they began", "ms", []plotLine{
		{"median", blue, func(s second) float64 { return milliseconds(s.quantile(0.5)) }},
		{"99th percentile", orange, func(s second) float64 { return milliseconds(s.quantile(0.99)) }},
	}},
	{"Requests by how they ended", "a second", []plotLine{
		{"served", blue, func(s second) float64 { return float64(s.ends[served]) }},
		{"refused", orange, func(s second) float64 { return float64(s.ends[refused]) }},
		{"closed", grey, func(s second) float64 { return float64(s.ends[closed]) }},
		{"failed", red, func(s second) float64 { return float64(s.ends[failed]) }},
	}},
	{"Processes that run", "", []plotLine{
		{"hosts", blue, func(s second) float64 { return float64(s.hosts) }},
		{"upstreams", orange, func(s second) float64 { return float64(s.upstreams) }},
	}},
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// pageTemplate renders a pageContent.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:0 1em 0 0;text-align:left}</style></head>
<body><h1>{{.Title}}</h1>
<p>{{.Served}} requests served, {{.Refused}} refused, {{.Closed}} closed, {{.Failed}} failed. Red lines mark where faults began.</p>
{{range .Plots}}{{.}}
{{end}}<h2>Faults</h2><table><tr><th>from second</th><th>for</th><th>what</th></tr>
{{range .Faults}}<tr><td>{{printf "%.1f" .At.Seconds}}</td><td>{{printf "%.1f" .For.Seconds}} s</td><td>{{.Name}}</td></tr>
{{end}}</table></body></html>
`))

// pageContent is the data of the page.
type pageContent struct {
	Title                           string
	Served, Refused, Closed, Failed int
	Plots                           []template.HTML
	Faults                          []recordedFault
}

// writePage writes the run as an HTML page.
func (r *recorder) writePage(w io.Writer) error {
	ends := r.totals()
	c := pageContent{Title: r.title, Served: ends[served], Refused: ends[refused], Closed: ends[closed], Failed: ends[failed], Faults: r.recordedFaults()}
	r.mu.Lock()
	seconds := slices.Clone(r.seconds)
	r.mu.Unlock()
	for _, ch := range charts {
		svg, err := ch.draw(seconds, c.Faults)
		if err != nil {
			return eris.Wrapf(err, "draw %q", ch.title)
		}
		c.Plots = append(c.Plots, svg)
	}
	return eris.Wrap(pageTemplate.Execute(w, c), "write page")
}

// draw returns the chart as an SVG element of the page.
func (c chart) draw(seconds []second, faults []recordedFault) (template.HTML, error) {
	p, err := c.plot(seconds, faults)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b strings.Builder
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	// The XML declaration is removed. The plot library escapes the texts that it
	// receives, so that its output is safe as HTML.
	text := b.String()
	return template.HTML(text[strings.Index(text, "<svg"):]), nil
}

func (c chart) plot(seconds []second, faults []recordedFault) (*plot.Plot, error) {
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

func TestAPageShowsWhatHappened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder("soak <seed 7>")
		for i := range 5 {
			began := time.Now()
			r.request(began, 20*time.Millisecond, served)
			r.alive(5, 9-i)
			time.Sleep(time.Second)
		}
		r.request(time.Now(), 0, refused)
		r.request(time.Now(), 0, closed)
		began := time.Now()
		time.Sleep(1500 * time.Millisecond)
		r.fault(began, "host-1 paused")
		r.fault(began.Add(-2*time.Second), "store silent")
		r.request(time.Now(), 0, failed)

		require.Equal(t, []recordedFault{
			{At: 3 * time.Second, For: 3500 * time.Millisecond, Name: "store silent"},
			{At: 5 * time.Second, For: 1500 * time.Millisecond, Name: "host-1 paused"},
		}, r.recordedFaults())
		var page strings.Builder
		require.NoError(t, r.writePage(&page))
		text := page.String()
		require.Contains(t, text, "soak &lt;seed 7&gt;")
		require.Contains(t, text, "5 requests served, 1 refused, 1 closed, 1 failed")
		require.Equal(t, 3, strings.Count(text, "<svg"))
		require.Contains(t, text, "<td>5.0</td><td>1.5 s</td><td>host-1 paused</td>")
		require.NotContains(t, text, "<?xml")
	})
}

func TestAnEmptyRunHasAPage(t *testing.T) {
	var page strings.Builder
	require.NoError(t, newRecorder("nothing").writePage(&page))
}
