// Package lab measures parts of the program, either against stand-ins on loopback or in simulations. Its figures hold
// only for the machine on which it runs and for stand-ins, and its tables say so.
package lab

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table is a table of figures that Print writes as text.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Add adds a row. Durations and floating-point numbers are shortened to a few digits.
func (t *Table) Add(cells ...any) {
	var row []string
	for _, c := range cells {
		switch v := c.(type) {
		case time.Duration:
			row = append(row, shortDuration(v))
		case float64:
			row = append(row, fmt.Sprintf("%.4g", v))
		default:
			row = append(row, fmt.Sprint(v))
		}
	}
	t.Rows = append(t.Rows, row)
}

// shortDuration formats a duration with three significant digits.
func shortDuration(d time.Duration) string {
	switch {
	case d >= time.Second:
		return fmt.Sprintf("%.3gs", d.Seconds())
	case d >= time.Millisecond:
		return fmt.Sprintf("%.3gms", float64(d)/1e6)
	}
	return fmt.Sprintf("%.3gus", float64(d)/1e3)
}

// Print writes a table in plain text.
func (t *Table) Print(to io.Writer) {
	_, _ = fmt.Fprintln(to, t.Title)
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "  "+strings.Join(t.Head, "\t"))
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(w, "  "+strings.Join(row, "\t"))
	}
	_ = w.Flush()
	_, _ = fmt.Fprintln(to)
}

// Series is one curve of a plot.
type Series struct {
	Name string
	X, Y []float64
}

// Plot draws curves with logarithmic axes into an SVG file. It omits points with a coordinate that is not above 0.
func Plot(path, title, x, y string, all ...Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, s := range all {
		var points plotter.XYs
		for i := range s.X {
			if s.X[i] > 0 && s.Y[i] > 0 {
				points = append(points, plotter.XY{X: s.X[i], Y: s.Y[i]})
			}
		}
		args = append(args, s.Name, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 11*vg.Centimeter, path)
}

// latencies is a histogram of durations from 1 us to 10 minutes, with a resolution of 1 us and three significant
// digits.
type latencies struct{ *hdrhistogram.Histogram }

// newLatencies returns an empty histogram.
func newLatencies() latencies { return latencies{hdrhistogram.New(1, 600_000_000, 3)} }

// add records a duration.
func (l latencies) add(d time.Duration) { _ = l.RecordValue(max(1, d.Microseconds())) }

// at returns the duration at a percentile, from 0 to 100.
func (l latencies) at(percent float64) time.Duration {
	return time.Duration(l.ValueAtPercentile(percent)) * time.Microsecond
}

// stickyWriter forwards writes until one fails. Later writes return the error of the failed write.
type stickyWriter struct {
	to  io.Writer
	err error
}

// Write writes p unless an earlier write failed.
func (w *stickyWriter) Write(p []byte) (int, error) {
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.to.Write(p)
	w.err = err
	return n, err
}
