package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat/distuv"

	"silvercove/internal/operatorconfig"
)

// Experiments is the table of an experiment's file.
var Experiments = operatorconfig.Table{Directives: []operatorconfig.Directive{
	{Name: "relays", Values: whole("number", 1, 1000), Default: "5", Text: "Relays."},
	{Name: "units", Values: whole("number", 2, 10000), Default: "30", Text: "Units."},
	{Name: "zones", Values: whole("number", 1, 100), Default: "3", Text: "Zones that the units are spread over."},
	{Name: "rate", Values: figure("a_second"), Default: "400", Text: "Commands a second at all relays together."},
	{Name: "op_type", Repeatable: true, Required: true, Values: []operatorconfig.Value{{Name: "name", Kind: operatorconfig.Name},
		{Name: "share", Kind: operatorconfig.Fraction}, {Name: "repeats", Kind: operatorconfig.Choice,
			Choices: []string{"redeliverable", "deduplicated", "at_most_once"}}}, Text: "An op type and its share of the commands."},
	{Name: "wave", Repeatable: true, Required: true, Values: []operatorconfig.Value{{Name: "part", Kind: operatorconfig.Fraction},
		{Name: "cap", Kind: operatorconfig.Fraction}}, Text: "A wave: the part of the units that get the package, and its cap."},
	{Name: "bake", Values: span("least"), Default: "2s", Text: "How long each wave lasts at the least."},
	{Name: "base", Values: share("failures"), Default: "1%", Text: "Failures of the earlier package."},
	{Name: "found", Values: share("wrong_answers"), Default: "50%", Text: "Share of wrong answers that clients find."},
	{Name: "watch", Values: span("span"), Default: "10s", Text: "How long a rollout goes on after the release."},
	{Name: "longest", Values: span("span"), Default: "120s", Text: "When a rollout without a verdict is given up."},
	{Name: "evidence_wait", Values: span("span"), Default: "0s", Text: "How long a wave waits where evidence on an op type lacks."},
	{Name: "report_within", Values: span("span"), Default: "0s", Text: "Within which flags of wrong answers are held to come."},
	{Name: "counts", Values: []operatorconfig.Value{{Name: "period", Kind: operatorconfig.Duration}, {Name: "share", Kind: operatorconfig.Fraction}},
		Text: "The platform counts a share of all relays' outcomes and tells each period's; without it, it tells none."},
	{Name: "rollouts", Values: whole("number", 1, 1e6), Default: "40", Text: "Of each package under each condition."},
	{Name: "false_alarms", Values: share("most"), Default: "5%", Text: "Declared: good packages taken back."},
	{Name: "misses", Values: share("most"), Default: "5%", Text: "Declared: bad packages released."},
	{Name: "package", Values: []operatorconfig.Value{{Name: "name", Kind: operatorconfig.Name}}, Repeatable: true, Block: true, Required: true,
		Text: "A kind of package; without parts it is like the earlier one."},
	{Parent: "package", Name: "bad", Text: "It is to be taken back."},
	{Parent: "package", Name: "errors", Repeatable: true, Values: []operatorconfig.Value{{Name: "op_type", Kind: operatorconfig.Name},
		{Name: "share", Kind: operatorconfig.Fraction}}, Text: "Failures beyond the base, of an op type or of all."},
	{Parent: "package", Name: "wrong", Values: share("answers"), Text: "Wrong answers."},
	{Parent: "package", Name: "silent", Values: share("commands"), Text: "Commands that are never answered."},
	{Parent: "package", Name: "slow", Values: figure("times"), Text: "Times the usual working time."},
	{Parent: "package", Name: "after", Values: span("span"), Text: "Shows only so long after a unit's start."},
	{Parent: "package", Name: "right_after", Values: []operatorconfig.Value{{Name: "package", Kind: operatorconfig.Name}},
		Text: "Another package is offered first, and this one as soon as that was taken back, or released and watched."},
	{Name: "condition", Values: []operatorconfig.Value{{Name: "name", Kind: operatorconfig.Name}}, Repeatable: true, Block: true, Required: true,
		Text: "What goes on beside a rollout; without parts nothing does."},
	{Parent: "condition", Name: "late", Values: span("middle"), Text: "Flags of wrong answers come so late."},
	{Parent: "condition", Name: "lost", Values: share("flags"), Text: "Share of flags that never come."},
	{Parent: "condition", Name: "burst", Values: []operatorconfig.Value{{Name: "times", Kind: operatorconfig.Decimal}, {Name: "from", Kind: operatorconfig.Duration},
		{Name: "for", Kind: operatorconfig.Duration}}, Text: "Times the usual traffic for a while."},
	{Parent: "condition", Name: "blind", Values: share("relays"), Text: "Relays that hear of lists and stages seconds late."},
	{Parent: "condition", Name: "restart", Values: span("between"), Text: "Relays are killed, one after the other."},
	{Parent: "condition", Name: "clump", Values: share("at_one_unit"), Text: "Share of the failures that is at one unit of six."},
	{Parent: "condition", Name: "garbage", Values: whole("relays", 1, 1000), Text: "Relays that read every tenth outcome as an error."},
	{Parent: "condition", Name: "garbage_from", Values: span("span"), Text: "They do so only from this time after the first offer on."},
	{Parent: "condition", Name: "base_fails", Values: share("more"), Text: "Failures of the earlier package beyond the base."},
	{Parent: "condition", Name: "slow_zone", Values: figure("times"), Text: "Times the usual working time in one zone."},
	{Parent: "condition", Name: "sick", Values: []operatorconfig.Value{{Name: "units", Kind: operatorconfig.Fraction}, {Name: "failures", Kind: operatorconfig.Fraction},
		{Name: "from", Kind: operatorconfig.Duration}}, Text: "From this time after the first offer on, so many units fail so much, at any build."},
}, Rules: []operatorconfig.Rule{soundExperiment}}

func whole(name string, least, most float64) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Number, Min: least, Max: most}}
}
func figure(name string) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Decimal}}
}
func span(name string) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Duration}}
}
func share(name string) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Fraction}}
}

func soundExperiment(all map[string]any) (directive, fault string) {
	total, names := 0.0, map[string]bool{"all": true}
	for _, v := range all["op_type"].([]any) {
		op := v.([]any)
		if names[op[0].(string)] {
			return "op_type", op[0].(string) + " is given twice, or is no name for one"
		}
		names[op[0].(string)] = true
		total += op[1].(float64)
	}
	if math.Abs(total-1) > 1e-6 {
		return "op_type", fmt.Sprintf("the shares add up to %g, allowed: 1", total)
	}
	part := 0.0
	for _, v := range all["wave"].([]any) {
		if p := v.([]any)[0].(float64); p <= part {
			return "wave", "each wave's part must be larger than that before"
		} else {
			part = p
		}
	}
	if part != 1 {
		return "wave", "the last wave's part must be 1"
	}
	if rate := all["rate"].(float64); rate <= 0 {
		return "rate", "must be above 0"
	}
	for _, kind := range []string{"package", "condition"} {
		seen := map[string]bool{}
		for _, v := range all[kind].([]any) {
			m := v.(map[string]any)
			if seen[m["name"].(string)] {
				return kind, m["name"].(string) + " is given twice"
			}
			if prior, ok := m["right_after"].(string); ok && !seen[prior] {
				return "package.right_after", prior + " is no package before it in the file"
			}
			seen[m["name"].(string)] = true
			errs, _ := m["errors"].([]any)
			for _, e := range errs {
				if !names[e.([]any)[0].(string)] {
					return "package.errors", e.([]any)[0].(string) + " is no op type"
				}
			}
		}
	}
	return "", ""
}

// Experiment is what a file asks for.
type Experiment struct {
	Rollout     Rollout // but for package, condition and seed
	Packages    []Package
	Conditions  []Condition
	Rollouts    int
	FalseAlarms float64
	Misses      float64
}

// ReadExperiment reads a file; text is taken in its place where it isn't empty.
func ReadExperiment(path, text string) (e Experiment, err error) {
	var all map[string]any
	if text != "" {
		all, err = Experiments.ReadText(path, text)
	} else {
		all, err = Experiments.Read(path)
	}
	if err != nil {
		return e, err
	}
	num := func(m map[string]any, name string) float64 { f, _ := m[name].(float64); return f }
	e = Experiment{Rollouts: int(num(all, "rollouts")), FalseAlarms: num(all, "false_alarms"), Misses: num(all, "misses"),
		Rollout: Rollout{Relays: int(num(all, "relays")), Units: int(num(all, "units")), Zones: int(num(all, "zones")),
			Rate: num(all, "rate"), Bake: num(all, "bake"), Base: num(all, "base"), Found: num(all, "found"),
			Watch: num(all, "watch"), Longest: num(all, "longest"),
			EvidenceWait: num(all, "evidence_wait"), ReportWithin: num(all, "report_within")}}
	if c, ok := all["counts"].([]any); ok {
		e.Rollout.CountEvery, e.Rollout.CountShare = c[0].(float64), c[1].(float64)
	}
	for _, v := range all["op_type"].([]any) {
		op := v.([]any)
		e.Rollout.Ops = append(e.Rollout.Ops, Op{op[0].(string), op[1].(float64), op[2].(string)})
	}
	for _, v := range all["wave"].([]any) {
		e.Rollout.Waves = append(e.Rollout.Waves, Wave{v.([]any)[0].(float64), v.([]any)[1].(float64)})
	}
	for _, v := range all["package"].([]any) {
		m := v.(map[string]any)
		p := Package{Name: m["name"].(string), Wrong: num(m, "wrong"), Silent: num(m, "silent"), Slow: num(m, "slow"), After: num(m, "after"),
			Errors: map[string]float64{}}
		p.Bad, _ = m["bad"].(bool)
		p.Prior, _ = m["right_after"].(string)
		errs, _ := m["errors"].([]any)
		for _, x := range errs {
			p.Errors[x.([]any)[0].(string)] = x.([]any)[1].(float64)
		}
		e.Packages = append(e.Packages, p)
	}
	for _, v := range all["condition"].([]any) {
		m := v.(map[string]any)
		c := Condition{Name: m["name"].(string), Late: num(m, "late"), Lost: num(m, "lost"), Blind: num(m, "blind"),
			Restart: num(m, "restart"), Clump: num(m, "clump"), Garbage: int(num(m, "garbage")), GarbageFrom: num(m, "garbage_from"), BaseFails: num(m, "base_fails"),
			SlowZone: num(m, "slow_zone")}
		if b, ok := m["burst"].([]any); ok {
			c.Burst, c.From, c.For = b[0].(float64), b[1].(float64), b[2].(float64)
		}
		if b, ok := m["sick"].([]any); ok {
			c.Sick, c.SickFails, c.SickFrom = b[0].(float64), b[1].(float64), b[2].(float64)
		}
		e.Conditions = append(e.Conditions, c)
	}
	return e, nil
}

// before are the packages that are offered before one, the first of them first.
func (e Experiment) before(p Package) (list []Package) {
	for p.Prior != "" {
		i := slices.IndexFunc(e.Packages, func(o Package) bool { return o.Name == p.Prior })
		if i < 0 {
			break
		}
		p = e.Packages[i]
		list = append([]Package{p}, list...)
	}
	return list
}

// all lists the rollouts of an experiment in a fixed order.
func (e Experiment) all() (list []Rollout) {
	for _, c := range e.Conditions {
		for _, p := range e.Packages {
			for i := range e.Rollouts {
				r := e.Rollout
				r.Package, r.Before, r.Condition, r.Seed = p, e.before(p), c, uint64(i+1)
				list = append(list, r)
			}
		}
	}
	return list
}

// Run plays all rollouts, as many at once as there are cores, and writes their results as lines of JSON in a
// fixed order. progress is called with how many are done, from one goroutine at a time.
func (e Experiment) Run(ctx context.Context, to io.Writer, progress func(done, of int)) ([]Result, error) {
	list := e.all()
	results := make([]Result, len(list))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	done := 0
	for i, r := range list {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = r.Run()
			mu.Lock()
			defer mu.Unlock()
			done++
			progress(done, len(list))
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	w := bufio.NewWriter(to)
	enc := json.NewEncoder(w)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return nil, err
		}
	}
	return results, w.Flush()
}

// ReadResults reads what Run wrote.
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

// Rate is how often something happened, with its exact 95 per cent interval (Clopper and Pearson).
type Rate struct {
	K, N     int
	Low, Top float64
}

// NewRate makes the rate of k among n.
func NewRate(k, n int) Rate {
	r := Rate{K: k, N: n, Top: 1}
	if n == 0 {
		return r
	}
	if k > 0 {
		r.Low = distuv.Beta{Alpha: float64(k), Beta: float64(n - k + 1)}.Quantile(0.025)
	}
	if k < n {
		r.Top = distuv.Beta{Alpha: float64(k + 1), Beta: float64(n - k)}.Quantile(0.975)
	}
	return r
}

// Share is the rate itself.
func (r Rate) Share() float64 { return float64(r.K) / float64(max(1, r.N)) }

func (r Rate) String() string {
	if r.N == 0 {
		return "-"
	}
	return fmt.Sprintf("%d of %d, %.1f%% (%.1f to %.1f)", r.K, r.N, 100*r.Share(), 100*r.Low, 100*r.Top)
}

// Line is one package under one condition, summed up.
type Line struct {
	Package, Condition string
	Bad                bool
	Wrong              Rate // good: taken back; bad: released
	Advanced           Rate // bad: advanced past the first wave
	Undecided          Rate
	P50, P95           float64 // seconds to the verdict
	Harm               float64 // failed commands, share
	Broken             int     // times the exposure rule was broken
	Verdicts           []float64
}

// Sum sums results up, in their order.
func Sum(all []Result) (lines []Line) {
	at := map[[2]string]int{}
	type tally struct{ n, wrong, advanced, undecided, commands, failed int }
	var tallies []tally
	for _, r := range all {
		key := [2]string{r.Condition, r.Package}
		i, ok := at[key]
		if !ok {
			i = len(lines)
			at[key] = i
			lines = append(lines, Line{Package: r.Package, Condition: r.Condition, Bad: r.Bad})
			tallies = append(tallies, tally{})
		}
		t, l := &tallies[i], &lines[i]
		t.n++
		t.commands += r.Commands
		t.failed += r.Failed
		l.Broken += r.Broken
		if r.Bad && r.Released || !r.Bad && r.Back {
			t.wrong++
		}
		if r.Waves > 0 {
			t.advanced++
		}
		if r.Undecided {
			t.undecided++
		} else {
			l.Verdicts = append(l.Verdicts, r.Verdict)
		}
	}
	for i := range lines {
		l, t := &lines[i], tallies[i]
		l.Wrong, l.Advanced, l.Undecided = NewRate(t.wrong, t.n), NewRate(t.advanced, t.n), NewRate(t.undecided, t.n)
		l.Harm = float64(t.failed) / float64(max(1, t.commands))
		slices.Sort(l.Verdicts)
		l.P50, l.P95 = quantile(l.Verdicts, 0.5), quantile(l.Verdicts, 0.95)
	}
	return lines
}

// quantile of sorted values, 0 for none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Totals are the rates over all packages, beside what is declared.
func Totals(lines []Line) (falseAlarms, misses Rate) {
	var f, fn, m, mn int
	for _, l := range lines {
		if l.Bad {
			m, mn = m+l.Wrong.K, mn+l.Wrong.N
		} else {
			f, fn = f+l.Wrong.K, fn+l.Wrong.N
		}
	}
	return NewRate(f, fn), NewRate(m, mn)
}

// Held tells whether a measured rate is within a declared one: its interval does not lie above it.
func (r Rate) Held(declared float64) bool { return r.Low <= declared }

// table puts lines into a table.
func table(title string, lines []Line) *Table {
	t := &Table{Title: title, Head: []string{"condition", "package", "wrong verdicts", "past the first wave", "undecided",
		"verdict p50", "p95", "failed", "exposure broken"}}
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

// Print writes the rates in plain text, under a title that says how they came about.
func Print(to io.Writer, title string, all []Result, falseAlarms, misses float64) {
	lines := Sum(all)
	table(title, lines).Print(to)
	f, m := Totals(lines)
	for _, x := range []struct {
		what     string
		is       Rate
		declared float64
	}{{"false alarms", f, falseAlarms}, {"misses", m, misses}} {
		word := "held"
		if !x.is.Held(x.declared) {
			word = "NOT HELD"
		}
		_, _ = fmt.Fprintf(to, "%s over all: %s; declared %.1f%%: %s\n", x.what, x.is, 100*x.declared, word)
	}
}

// Compare sets two results side by side and says what is more than noise (Fisher's exact test, two-sided, 5 per
// cent shared out among all lines).
func Compare(to io.Writer, nameA, nameB string, a, b []Result) error {
	la, lb := Sum(a), Sum(b)
	t := &Table{Title: "Wrong verdicts, " + nameA + " against " + nameB, Head: []string{"condition", "package", nameA, nameB,
		"p50", "difference"}}
	n := 0
	for _, x := range la {
		i := slices.IndexFunc(lb, func(y Line) bool { return y.Package == x.Package && y.Condition == x.Condition })
		if i < 0 {
			continue
		}
		n++
		y := lb[i]
		word := "noise"
		if p := fisher(x.Wrong, y.Wrong); p < 0.05/float64(len(la)) {
			word = fmt.Sprintf("more than noise (p %.2g)", p)
		}
		t.Add(x.Condition, x.Package, x.Wrong, y.Wrong, fmt.Sprintf("%.1fs, %.1fs", x.P50, y.P50), word)
	}
	if n == 0 {
		return fmt.Errorf("%s and %s have no package under the same condition", nameA, nameB)
	}
	t.Print(to)
	return nil
}

// fisher is the two-sided p-value of two rates being one.
func fisher(a, b Rate) float64 {
	k, n := a.K+b.K, a.N+b.N
	logC := func(n, k int) float64 {
		x, _ := math.Lgamma(float64(n + 1))
		y, _ := math.Lgamma(float64(k + 1))
		z, _ := math.Lgamma(float64(n - k + 1))
		return x - y - z
	}
	p := func(i int) float64 {
		if i < 0 || i > a.N || k-i < 0 || k-i > b.N {
			return 0
		}
		return math.Exp(logC(a.N, i) + logC(b.N, k-i) - logC(n, k))
	}
	seen, sum := p(a.K), 0.0
	for i := 0; i <= min(k, a.N); i++ {
		if q := p(i); q <= seen*(1+1e-9) {
			sum += q
		}
	}
	return min(1, sum)
}
