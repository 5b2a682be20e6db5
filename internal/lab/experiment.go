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

	"silvercove/internal/operatorconfig"
)

// Experiments is the table of the directives of an experiment's file. In such a file an op type is a request class, a unit
// is a backend and a wave is a stage.
var Experiments = operatorconfig.Table{Directives: []operatorconfig.Directive{
	{Name: "relays", Values: numberValue("number", 1, 1000), Default: "5", Text: "Relays."},
	{Name: "units", Values: numberValue("number", 2, 10000), Default: "30", Text: "Units."},
	{Name: "zones", Values: numberValue("number", 1, 100), Default: "3", Text: "Number of zones that the units are spread over."},
	{Name: "rate", Values: decimalValue("a_second"), Default: "400", Text: "Commands per second at all relays together."},
	{Name: "op_type", Repeatable: true, Required: true, Values: []operatorconfig.Value{{Name: "name", Kind: operatorconfig.Name},
		{Name: "share", Kind: operatorconfig.Fraction}, {Name: "repeats", Kind: operatorconfig.Choice,
			Choices: []string{"redeliverable", "deduplicated", "at_most_once"}}}, Text: "An op type and its share of the commands."},
	{Name: "wave", Repeatable: true, Required: true, Values: []operatorconfig.Value{{Name: "part", Kind: operatorconfig.Fraction},
		{Name: "cap", Kind: operatorconfig.Fraction}}, Text: "A wave: the part of the units that get the package, and the exposure cap."},
	{Name: "bake", Values: durationValue("least"), Default: "2s", Text: "Least duration of each wave."},
	{Name: "base", Values: fractionValue("failures"), Default: "1%", Text: "Share of failures of the earlier package."},
	{Name: "found", Values: fractionValue("wrong_answers"), Default: "50%", Text: "Share of the wrong answers that clients detect and report."},
	{Name: "watch", Values: durationValue("span"), Default: "10s", Text: "How long a rollout is simulated after the release."},
	{Name: "longest", Values: durationValue("span"), Default: "120s", Text: "Time after which a rollout without a verdict ends undecided."},
	{Name: "evidence_wait", Values: durationValue("span"), Default: "0s", Text: "How long a wave waits for evidence on op types that lack it."},
	{Name: "report_within", Values: durationValue("span"), Default: "0s", Text: "Time within which reports of wrong answers are expected."},
	{Name: "counts", Values: []operatorconfig.Value{{Name: "period", Kind: operatorconfig.Duration}, {Name: "share", Kind: operatorconfig.Fraction}},
		Text: "The platform counts a share of all relays' outcomes and reports the counts of each period to the relays; without it, none."},
	{Name: "rollouts", Values: numberValue("number", 1, 1e6), Default: "40", Text: "Number of rollouts of each package under each condition."},
	{Name: "false_alarms", Values: fractionValue("most"), Default: "5%", Text: "Declared rate of false alarms: good packages that are rolled back."},
	{Name: "misses", Values: fractionValue("most"), Default: "5%", Text: "Declared rate of misses: bad packages that are released."},
	{Name: "package", Values: []operatorconfig.Value{{Name: "name", Kind: operatorconfig.Name}}, Repeatable: true, Block: true, Required: true,
		Text: "A kind of package; without directives it behaves like the earlier one."},
	{Parent: "package", Name: "bad", Text: "The package is bad: it should be rolled back."},
	{Parent: "package", Name: "errors", Repeatable: true, Values: []operatorconfig.Value{{Name: "op_type", Kind: operatorconfig.Name},
		{Name: "share", Kind: operatorconfig.Fraction}}, Text: "Share of failures beyond the base, of an op type or of all."},
	{Parent: "package", Name: "wrong", Values: fractionValue("answers"), Text: "Share of wrong answers."},
	{Parent: "package", Name: "silent", Values: fractionValue("commands"), Text: "Share of commands that are never answered."},
	{Parent: "package", Name: "slow", Values: decimalValue("times"), Text: "Factor on the usual service time."},
	{Parent: "package", Name: "after", Values: durationValue("span"), Text: "The faults show only this long after the start of a unit."},
	{Parent: "package", Name: "right_after", Values: []operatorconfig.Value{{Name: "package", Kind: operatorconfig.Name}},
		Text: "Another package is offered first, and this one once that was rolled back, or was released and watched."},
	{Name: "condition", Values: []operatorconfig.Value{{Name: "name", Kind: operatorconfig.Name}}, Repeatable: true, Block: true, Required: true,
		Text: "What else happens during a rollout; without directives, nothing."},
	{Parent: "condition", Name: "late", Values: durationValue("middle"), Text: "Median delay of reports of wrong answers."},
	{Parent: "condition", Name: "lost", Values: fractionValue("flags"), Text: "Share of the reports of wrong answers that are lost."},
	{Parent: "condition", Name: "burst", Values: []operatorconfig.Value{{Name: "times", Kind: operatorconfig.Decimal}, {Name: "from", Kind: operatorconfig.Duration},
		{Name: "for", Kind: operatorconfig.Duration}}, Text: "Factor on the usual traffic, from a time and for a span."},
	{Parent: "condition", Name: "blind", Values: fractionValue("relays"), Text: "Share of the relays that learn of endpoints and stages seconds late."},
	{Parent: "condition", Name: "restart", Values: durationValue("between"), Text: "Time between two restarts of relays, one relay after the other."},
	{Parent: "condition", Name: "clump", Values: fractionValue("at_one_unit"), Text: "Share of the failures that occur at one unit of every six."},
	{Parent: "condition", Name: "garbage", Values: numberValue("relays", 1, 1000), Text: "Number of relays that read every tenth outcome as an error."},
	{Parent: "condition", Name: "garbage_from", Values: durationValue("span"), Text: "Time after the first offer from which they do so."},
	{Parent: "condition", Name: "base_fails", Values: fractionValue("more"), Text: "Share of failures of the earlier package beyond the base."},
	{Parent: "condition", Name: "slow_zone", Values: decimalValue("times"), Text: "Factor on the usual service time in one zone."},
	{Parent: "condition", Name: "sick", Values: []operatorconfig.Value{{Name: "units", Kind: operatorconfig.Fraction}, {Name: "failures", Kind: operatorconfig.Fraction},
		{Name: "from", Kind: operatorconfig.Duration}}, Text: "From a time after the first offer on, a share of the units fails a share of its commands, at any build."},
}, Rules: []operatorconfig.Rule{validateExperiment}}

func numberValue(name string, least, most float64) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Number, Min: least, Max: most}}
}

func decimalValue(name string) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Decimal}}
}

func durationValue(name string) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Duration}}
}

func fractionValue(name string) []operatorconfig.Value {
	return []operatorconfig.Value{{Name: name, Kind: operatorconfig.Fraction}}
}

// validateExperiment checks the values of an experiment's file that depend on each other. It returns the first
// directive with a fault and the description of that fault, or two empty strings.
func validateExperiment(all map[string]any) (directive, fault string) {
	total, names := 0.0, map[string]bool{"all": true}
	for _, v := range all["op_type"].([]any) {
		op := v.([]any)
		if names[op[0].(string)] {
			return "op_type", op[0].(string) + " is given twice, or is reserved"
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
			return "wave", "the part of each wave must be larger than that of the wave before"
		} else {
			part = p
		}
	}
	if part != 1 {
		return "wave", "the part of the last wave must be 1"
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
				return "package.right_after", prior + " is not a package before it in the file"
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

// Experiment is a set of simulated rollouts. Each package is rolled out Rollouts times under each condition.
type Experiment struct {
	Rollout     Rollout // the parameters that all rollouts share; Package, Condition and Seed are not set
	Packages    []Package
	Conditions  []Condition
	Rollouts    int
	FalseAlarms float64 // declared rate of good packages that are rolled back, 0 to 1
	Misses      float64 // declared rate of bad packages that are released, 0 to 1
}

// ReadExperiment reads an experiment. If text is not empty, text is the content of the experiment's file, and errors
// give path as its name. Otherwise ReadExperiment reads the file at path.
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
		Rollout: Rollout{Relays: int(num(all, "relays")), Backends: int(num(all, "units")), Zones: int(num(all, "zones")),
			Rate: num(all, "rate"), Bake: num(all, "bake"), BaseFailures: num(all, "base"), FoundShare: num(all, "found"),
			WatchSpan: num(all, "watch"), MaxSpan: num(all, "longest"),
			EvidenceWait: num(all, "evidence_wait"), ReportWithin: num(all, "report_within")}}
	if c, ok := all["counts"].([]any); ok {
		e.Rollout.MetricsPeriod, e.Rollout.MetricsShare = c[0].(float64), c[1].(float64)
	}
	for _, v := range all["op_type"].([]any) {
		op := v.([]any)
		e.Rollout.Classes = append(e.Rollout.Classes, RequestClass{op[0].(string), op[1].(float64), op[2].(string)})
	}
	for _, v := range all["wave"].([]any) {
		e.Rollout.Stages = append(e.Rollout.Stages, Stage{v.([]any)[0].(float64), v.([]any)[1].(float64)})
	}
	for _, v := range all["package"].([]any) {
		m := v.(map[string]any)
		p := Package{Name: m["name"].(string), Wrong: num(m, "wrong"), SilentShare: num(m, "silent"), SlowFactor: num(m, "slow"), FaultDelay: num(m, "after"),
			Errors: map[string]float64{}}
		p.Bad, _ = m["bad"].(bool)
		p.PriorPackage, _ = m["right_after"].(string)
		errs, _ := m["errors"].([]any)
		for _, x := range errs {
			p.Errors[x.([]any)[0].(string)] = x.([]any)[1].(float64)
		}
		e.Packages = append(e.Packages, p)
	}
	for _, v := range all["condition"].([]any) {
		m := v.(map[string]any)
		c := Condition{Name: m["name"].(string), FlagDelay: num(m, "late"), LostFlags: num(m, "lost"), BlindShare: num(m, "blind"),
			RestartInterval: num(m, "restart"), ClumpShare: num(m, "clump"), GarbageRelays: int(num(m, "garbage")), GarbageFrom: num(m, "garbage_from"), MoreBaseFailures: num(m, "base_fails"),
			SlowZoneFactor: num(m, "slow_zone")}
		if b, ok := m["burst"].([]any); ok {
			c.BurstFactor, c.BurstFrom, c.BurstDuration = b[0].(float64), b[1].(float64), b[2].(float64)
		}
		if b, ok := m["sick"].([]any); ok {
			c.SickShare, c.SickFailures, c.SickFrom = b[0].(float64), b[1].(float64), b[2].(float64)
		}
		e.Conditions = append(e.Conditions, c)
	}
	return e, nil
}

// earlierPackages lists the packages that are rolled out before package p, in the order of their rollouts. It follows
// PriorPackage from package to package.
func (e Experiment) earlierPackages(p Package) (list []Package) {
	for p.PriorPackage != "" {
		i := slices.IndexFunc(e.Packages, func(o Package) bool { return o.Name == p.PriorPackage })
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
				r.Package, r.EarlierPackages, r.Condition, r.Seed = p, e.earlierPackages(p), c, uint64(i+1)
				list = append(list, r)
			}
		}
	}
	return list
}

// Run simulates all rollouts, as many at once as GOMAXPROCS allows, and writes their results as lines of JSON in a
// fixed order. It calls progress with the number of finished rollouts and the number of all rollouts. Calls of progress
// do not overlap.
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
