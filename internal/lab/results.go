package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// ReadResults reads results in the form in which Experiment.Run writes them.
func ReadResults(from io.Reader) (all []Result, err error) {
	dec := json.NewDecoder(from)
	dec.DisallowUnknownFields()
	for {
		var r Result
		if err := dec.Decode(&r); err == io.EOF {
			return all, nil
		} else if err != nil {
			return nil, fmt.Errorf("result %d: %w", len(all)+1, err)
		}
		all = append(all, r)
	}
}

// Rate is a count out of a total, with the exact 95 per cent confidence interval of its share (Clopper and Pearson).
type Rate struct {
	Count, Total int
	Low, High    float64
}

// NewRate returns the rate of k out of n.
func NewRate(k, n int) Rate {
	r := Rate{Count: k, Total: n, High: 1}
	if n == 0 {
		return r
	}
	if k > 0 {
		r.Low = distuv.Beta{Alpha: float64(k), Beta: float64(n - k + 1)}.Quantile(0.025)
	}
	if k < n {
		r.High = distuv.Beta{Alpha: float64(k + 1), Beta: float64(n - k)}.Quantile(0.975)
	}
	return r
}

// Share returns the count as a share of the total, or 0 if the total is 0.
func (r Rate) Share() float64 { return float64(r.Count) / float64(max(1, r.Total)) }

// String returns the text of the rate in tables.
func (r Rate) String() string {
	if r.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d, %.1f%% (%.1f to %.1f)", r.Count, r.Total, 100*r.Share(), 100*r.Low, 100*r.High)
}

// SummaryLine is the summary of the rollouts of one package under one condition.
type SummaryLine struct {
	Package, Condition string
	Bad                bool
	Wrong              Rate // rate of the rollouts in which a good package was rolled back, or a bad package was released
	Advanced           Rate // rate of the rollouts that advanced past the first stage
	Undecided          Rate
	P50, P95           float64   // median and 95th percentile of Verdicts
	Harm               float64   // share of the requests that failed
	Broken             int       // number of violations of the exposure rule (see checkExposure)
	Verdicts           []float64 // seconds from the start of each decided rollout to its verdict, in ascending order
}

// Summarize summarizes results by package and condition, in the order of their first occurrence.
func Summarize(all []Result) (lines []SummaryLine) {
	at := map[[2]string]int{}
	type tally struct{ n, wrong, advanced, undecided, requests, failed int }
	var tallies []tally
	for _, r := range all {
		key := [2]string{r.Condition, r.Package}
		i, ok := at[key]
		if !ok {
			i = len(lines)
			at[key] = i
			lines = append(lines, SummaryLine{Package: r.Package, Condition: r.Condition, Bad: r.Bad})
			tallies = append(tallies, tally{})
		}
		t, l := &tallies[i], &lines[i]
		t.n++
		t.requests += r.Requests
		t.failed += r.Failed
		l.Broken += r.ExposureBreaks
		if r.Bad && r.Released || !r.Bad && r.RolledBack {
			t.wrong++
		}
		if r.StagesPassed > 0 {
			t.advanced++
		}
		if r.Undecided {
			t.undecided++
		} else {
			l.Verdicts = append(l.Verdicts, r.VerdictSeconds)
		}
	}
	for i := range lines {
		l, t := &lines[i], tallies[i]
		l.Wrong, l.Advanced, l.Undecided = NewRate(t.wrong, t.n), NewRate(t.advanced, t.n), NewRate(t.undecided, t.n)
		l.Harm = float64(t.failed) / float64(max(1, t.requests))
		slices.Sort(l.Verdicts)
		l.P50, l.P95 = quantile(l.Verdicts, 0.5), quantile(l.Verdicts, 0.95)
	}
	return lines
}

// quantile returns the quantile q of sorted values, or 0 if there are no values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Totals returns the rates of false alarms and of misses over all packages and conditions.
func Totals(lines []SummaryLine) (falseAlarms, misses Rate) {
	var f, fn, m, mn int
	for _, l := range lines {
		if l.Bad {
			m, mn = m+l.Wrong.Count, mn+l.Wrong.Total
		} else {
			f, fn = f+l.Wrong.Count, fn+l.Wrong.Total
		}
	}
	return NewRate(f, fn), NewRate(m, mn)
}

// Held reports whether a measured rate is compatible with a declared rate: the lower end of the measured rate's
// confidence interval must not be above the declared rate.
func (r Rate) Held(declared float64) bool { return r.Low <= declared }

// table returns a table of summary lines.
func table(title string, lines []SummaryLine) *Table {
	t := &Table{Title: title, Head: []string{"condition", "package", "wrong verdicts", "past the first stage", "undecided",
		"verdict p50", "p95", "failed", "exposure violations"}}
	for _, l := range lines {
		name := l.Package + " (good)"
		if l.Bad {
			name = l.Package + " (bad)"
		}
		t.Add(l.Condition, name, l.Wrong, fmt.Sprintf("%.0f%%", 100*l.Advanced.Share()),
			fmt.Sprintf("%.0f%%", 100*l.Undecided.Share()), fmt.Sprintf("%.1fs", l.P50), fmt.Sprintf("%.1fs", l.P95),
			fmt.Sprintf("%.2f%%", 100*l.Harm), l.Broken)
	}
	return t
}

// Print writes a summary of results as plain text. The title should say how the results were obtained. falseAlarms and
// misses are the declared rates.
func Print(to io.Writer, title string, all []Result, falseAlarms, misses float64) {
	lines := Summarize(all)
	table(title, lines).Print(to)
	f, m := Totals(lines)
	for _, x := range []struct {
		what     string
		rate     Rate
		declared float64
	}{{"false alarms", f, falseAlarms}, {"misses", m, misses}} {
		verdict := "held"
		if !x.rate.Held(x.declared) {
			verdict = "NOT HELD"
		}
		_, _ = fmt.Fprintf(to, "%s over all: %s; declared %.1f%%: %s\n", x.what, x.rate, 100*x.declared, verdict)
	}
}

// Compare writes a table that compares two sets of results and shows which differences are more than noise. It uses
// Fisher's exact test, two-sided. Because each line is tested, the significance level is 5 per cent divided by the
// number of lines in the summary of a.
func Compare(to io.Writer, nameA, nameB string, a, b []Result) error {
	la, lb := Summarize(a), Summarize(b)
	t := &Table{Title: "Wrong verdicts, " + nameA + " against " + nameB, Head: []string{"condition", "package", nameA, nameB,
		"p50", "difference"}}
	n := 0
	for _, x := range la {
		i := slices.IndexFunc(lb, func(y SummaryLine) bool { return y.Package == x.Package && y.Condition == x.Condition })
		if i < 0 {
			continue
		}
		n++
		y := lb[i]
		difference := "noise"
		if p := fisherPValue(x.Wrong, y.Wrong); p < 0.05/float64(len(la)) {
			difference = fmt.Sprintf("more than noise (p %.2g)", p)
		}
		t.Add(x.Condition, x.Package, x.Wrong, y.Wrong, fmt.Sprintf("%.1fs, %.1fs", x.P50, y.P50), difference)
	}
	if n == 0 {
		return fmt.Errorf("%s and %s have no package under the same condition", nameA, nameB)
	}
	t.Print(to)
	return nil
}

// fisherPValue returns the two-sided p-value of Fisher's exact test for the hypothesis that two rates are equal.
func fisherPValue(a, b Rate) float64 {
	k, n := a.Count+b.Count, a.Total+b.Total
	logC := func(n, k int) float64 {
		x, _ := math.Lgamma(float64(n + 1))
		y, _ := math.Lgamma(float64(k + 1))
		z, _ := math.Lgamma(float64(n - k + 1))
		return x - y - z
	}
	p := func(i int) float64 {
		if i < 0 || i > a.Total || k-i < 0 || k-i > b.Total {
			return 0
		}
		return math.Exp(logC(a.Total, i) + logC(b.Total, k-i) - logC(n, k))
	}
	seen, sum := p(a.Count), 0.0
	for i := 0; i <= min(k, a.Total); i++ {
		if q := p(i); q <= seen*(1+1e-9) {
			sum += q
		}
	}
	return min(1, sum)
}
