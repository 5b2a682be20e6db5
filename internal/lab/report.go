package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// pageTemplate is the HTML template of the page that HTML writes.
var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #bbb;padding:.25em .6em;text-align:left}.bad{background:#fdd}.held{color:#060}.not{color:#a00}
</style></head><body>
<h1>{{.Title}}</h1>
<p>Simulated rollouts of a model; no figure here was measured in production. Rates have their exact
95 per cent confidence intervals.</p>
<table><tr><th></th><th>measured</th><th>declared</th><th></th></tr>
{{range .Totals}}<tr><td>{{.What}}</td><td>{{.Is}}</td><td>{{printf "%.1f%%" .Declared}}</td>
<td class="{{if .Held}}held{{else}}not{{end}}">{{if .Held}}held{{else}}not held{{end}}</td></tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr{{if .Bad}} class="bad"{{end}}>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
</body></html>
`))

// totalRow is a row of the table of false alarms and misses over all packages and conditions of the results.
// pageTemplate uses its fields.
type totalRow struct {
	What     string
	Is       string
	Declared float64
	Held     bool
}

// pageRow is a row of the table of packages and conditions. Bad marks a row whose measured rate of wrong verdicts is
// not compatible with the declared rate (see Rate.Held). pageTemplate uses the fields.
type pageRow struct {
	Bad   bool
	Cells []string
}

// HTML writes a page about results. The page has the rates of false alarms and misses, plots of the times to a verdict
// and of the rates of wrong verdicts, and a table of all packages and conditions.
func HTML(to io.Writer, title string, all []Result, falseAlarms, misses float64) error {
	lines := Summarize(all)
	f, m := Totals(lines)
	t := table("", lines)
	data := struct {
		Title  string
		Totals []totalRow
		Plots  []template.HTML
		Head   []string
		Rows   []pageRow
	}{Title: title, Head: t.Head, Totals: []totalRow{{"false alarms", f.String(), 100 * falseAlarms, f.Held(falseAlarms)},
		{"misses", m.String(), 100 * misses, m.Held(misses)}}}
	for i, row := range t.Rows {
		declared := falseAlarms
		if lines[i].Bad {
			declared = misses
		}
		data.Rows = append(data.Rows, pageRow{!lines[i].Wrong.Held(declared), row})
	}
	for _, draw := range []func([]SummaryLine) (template.HTML, error){drawTimes, drawRates} {
		svg, err := draw(lines)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	return pageTemplate.Execute(to, data)
}

// svg draws a plot as SVG for a page.
func svg(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(newCanvas(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, body, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(body)), nil // not escaped: the library draws the SVG from numbers and names that were checked
}

// drawTimes draws, for each package, the cumulative distribution of the times to a verdict under all conditions.
func drawTimes(lines []SummaryLine) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Time to the verdict", "seconds", "share of the rollouts"
	p.Y.Min, p.Y.Max = 0, 1
	byName := map[string][]float64{}
	var order []string
	for _, l := range lines {
		if _, ok := byName[l.Package]; !ok {
			order = append(order, l.Package)
		}
		byName[l.Package] = append(byName[l.Package], l.Verdicts...)
	}
	var args []any
	for _, name := range order {
		v := byName[name]
		sortFloats(v)
		var points plotter.XYs
		for i, x := range v {
			points = append(points, plotter.XY{X: x, Y: float64(i+1) / float64(len(v))})
		}
		if len(points) > 0 {
			args = append(args, name, points)
		}
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return "", err
	}
	p.Legend.Top = false
	return svg(p, 20*vg.Centimeter, 11*vg.Centimeter)
}

// drawRates draws the share of wrong verdicts with its confidence interval, for each package and condition.
func drawRates(lines []SummaryLine) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Wrong verdicts, with intervals", "share"
	p.Y.Min, p.Y.Max = 0, 1
	var points plotter.XYs
	var low, top plotter.YErrors
	var labels []string
	for i, l := range lines {
		s := l.Wrong.Share()
		points = append(points, plotter.XY{X: float64(i), Y: s})
		low = append(low, struct{ Low, High float64 }{s - l.Wrong.Low, l.Wrong.High - s})
		labels = append(labels, fmt.Sprint(i+1))
	}
	top = low
	bars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{points, top})
	if err != nil {
		return "", err
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return "", err
	}
	p.Add(bars, dots)
	p.NominalX(labels...)
	p.X.Label.Text = "line of the table"
	return svg(p, 24*vg.Centimeter, 9*vg.Centimeter)
}

// Elapsed formats the time since the given time.
func Elapsed(since time.Time) string { return shortDuration(time.Since(since)) }

func sortFloats(v []float64) { slices.Sort(v) }

func newCanvas(c *vgsvg.Canvas) draw.Canvas { return draw.New(c) }
