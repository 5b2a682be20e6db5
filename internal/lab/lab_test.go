package lab

import (
	"bytes"
	"context"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
)

// shippedExperiment returns the shipped experiment, reduced to the packages whose names occur in packages and the
// conditions whose names occur in conditions.
func shippedExperiment(t *testing.T, rollouts int, packages, conditions string) Experiment {
	t.Helper()
	e, err := ReadExperiment("../../deploy/rollouts.conf", "")
	if err != nil {
		t.Fatal(err)
	}
	var p []Package
	for _, x := range e.Packages {
		if strings.Contains(packages, x.Name) {
			p = append(p, x)
		}
	}
	var c []Condition
	for _, x := range e.Conditions {
		if strings.Contains(conditions, x.Name) {
			c = append(c, x)
		}
	}
	e.Packages, e.Conditions, e.Rollouts = p, c, rollouts
	return e
}

// runExperiment runs an experiment and checks that its written results are read back unchanged.
func runExperiment(t *testing.T, e Experiment) []Result {
	t.Helper()
	var b bytes.Buffer
	all, err := e.Run(context.Background(), &b, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	again, err := ReadResults(&b)
	if err != nil || !reflect.DeepEqual(all, again) {
		t.Errorf("results read back differ from those written: %v", err)
	}
	return all
}

// TestExperiment_DeclaredRates checks, with a fixed set of seeds, that the measured rates of false alarms and misses
// are compatible with the declared rates (see Rate.Held). It covers the packages and conditions for which these rates
// are promised. Every rollout must end with a verdict and keep the exposure rule (see checkExposure).
func TestExperiment_DeclaredRates(t *testing.T) {
	for _, c := range []struct{ name, packages, conditions string }{
		{"good packages", "same within_margin", "calm burst slow_zone blind_zone restarts earlier_fails"},
		{"PackageBadForOneOpTypeOfOnePerCent", "rare_op_type", "calm burst"},
		{"PackageBadForOneOpType", "one_op_type", "calm restarts clumps earlier_fails"},
		{"bad everywhere", "errors_everywhere", "calm burst blind_zone restarts clumps"},
		{"ReportsArriveLate", "wrong_answers", "half_lost"},
		{"TwoBadPackagesOneAfterTheOther", "errors_everywhere bad_after_bad", "calm clumps"},
		{"GoodPackageRightAfterABadOneWithFlagsStillArriving", "wrong_answers good_after_bad", "calm reports_late"},
		{"RelaysRestartMidwayThroughAWave", "same", "restarts"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := shippedExperiment(t, 6, c.packages, c.conditions)
			if len(e.Packages) == 0 || len(e.Conditions) == 0 {
				t.Fatal("the experiment has no packages or no conditions")
			}
			all := runExperiment(t, e)
			f, m := Totals(Summarize(all))
			if !f.Held(e.FalseAlarms) || !m.Held(e.Misses) {
				t.Errorf("false alarms %s, misses %s", f, m)
			}
			for _, r := range all {
				if r.Undecided {
					t.Errorf("%s, %s, seed %d: no verdict", r.Package, r.Condition, r.Seed)
				}
				if r.ExposureBreaks > 0 {
					t.Errorf("%s, %s, seed %d: %d violations of the exposure rule", r.Package, r.Condition, r.Seed, r.ExposureBreaks)
				}
			}
		})
	}
}

// TestExperiment_OneRelayMisreadsOutcomes checks that a good package is not rolled back if one of 300 relays reads
// every tenth outcome as an error, either from the start or from the middle of a canary stage on.
func TestExperiment_OneRelayMisreadsOutcomes(t *testing.T) {
	e, err := ReadExperiment("../../deploy/garbage.conf", "")
	if err != nil {
		t.Fatal(err)
	}
	e.Rollouts = 1
	for _, r := range runExperiment(t, e) {
		if r.RolledBack || !r.Released {
			t.Errorf("%+v", r)
		}
	}
}

// TestExperiment_ThinFleet runs 200 relays, each of which sees so few requests that it gets hardly any evidence on a
// package. With the platform's counts of outcomes, a package whose backends stop answering must be rolled back, and a
// good package must not. Without these counts, the relays do not roll back the package whose backends stop answering.
func TestExperiment_ThinFleet(t *testing.T) {
	e, err := ReadExperiment("../../deploy/thin.conf", "")
	if err != nil {
		t.Fatal(err)
	}
	e.Rollouts, e.Conditions = 2, e.Conditions[:1]
	if e.Rollout.MetricsPeriod != 2 || e.Rollout.MetricsShare != 0.1 {
		t.Fatalf("metrics have a period of %v s and a share of %v, want 2 and 0.1", e.Rollout.MetricsPeriod, e.Rollout.MetricsShare)
	}
	rolledBack := func() map[string]int {
		n := map[string]int{}
		for _, r := range runExperiment(t, e) {
			if r.ExposureBreaks > 0 {
				t.Errorf("%s, seed %d: %d violations of the exposure rule", r.Package, r.Seed, r.ExposureBreaks)
			}
			if r.RolledBack {
				n[r.Package]++
			}
		}
		return n
	}
	with := rolledBack()
	e.Rollout.MetricsPeriod = 0
	without := rolledBack()
	for _, p := range []string{"same", "within_margin"} {
		if with[p] > 0 {
			t.Errorf("%s was rolled back %d times", p, with[p])
		}
	}
	for _, p := range []string{"silent", "silent_after"} {
		if with[p] < 2 || without[p] > 0 {
			t.Errorf("%s was rolled back %d times of 2 with the metrics, %d without", p, with[p], without[p])
		}
	}
}

// TestExperiment_GoodPackageWithSickBackends shows a known gap: a few sick backends cause the rollback of a good
// package. Sick backends fail requests at any version, and a single vote of any of the 200 relays decides. The rollback
// can also happen in the last stage, where no backend of the earlier package is left for a comparison.
func TestExperiment_GoodPackageWithSickBackends(t *testing.T) {
	e, err := ReadExperiment("../../deploy/thin.conf", "")
	if err != nil {
		t.Fatal(err)
	}
	e.Rollouts, e.Packages, e.Conditions = 16, e.Packages[:1], e.Conditions[len(e.Conditions)-1:]
	if c := e.Conditions[0]; c.SickShare == 0 || c.SickFailures == 0 {
		t.Fatalf("%+v", c)
	}
	rolledBack := 0
	for _, r := range runExperiment(t, e) {
		if r.RolledBack && r.StagesPassed >= len(e.Rollout.Stages)-1 {
			rolledBack++
		}
	}
	if rolledBack < 2 { // with these seeds, 4 of the 16 rollouts are rolled back in the last stage
		t.Errorf("the experiment no longer shows the gap: %d of %d rolled back in the last stage", rolledBack, e.Rollouts)
	}
}

// TestExperiment_WithoutEvidenceWait shows a known gap. With an EvidenceWait of 0, relays may vote to promote a package
// without evidence on rare request classes. A package that is bad for such a class is then released.
func TestExperiment_WithoutEvidenceWait(t *testing.T) {
	e := shippedExperiment(t, 8, "rare_op_type", "calm")
	e.Rollout.EvidenceWait = 0
	if _, m := Totals(Summarize(runExperiment(t, e))); m.Count < 4 {
		t.Errorf("the experiment no longer shows the gap: misses %s", m)
	}
}

// TestExperiment_SameResultsEachTime checks that an experiment with the same seeds gives the same results.
func TestExperiment_SameResultsEachTime(t *testing.T) {
	e := shippedExperiment(t, 2, "errors_some", "calm restarts")
	if a, b := runExperiment(t, e), runExperiment(t, e); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// TestNewRate_Intervals checks the confidence intervals of NewRate and the p-values of fisherPValue against known
// values.
func TestNewRate_Intervals(t *testing.T) {
	for _, c := range []struct {
		k, n     int
		low, top float64
	}{{0, 10, 0, 0.3085}, {10, 10, 0.6915, 1}, {1, 20, 0.0013, 0.2487}, {0, 0, 0, 1}} {
		r := NewRate(c.k, c.n)
		if math.Abs(r.Low-c.low) > 1e-3 || math.Abs(r.High-c.top) > 1e-3 {
			t.Errorf("interval of %d of %d: %g to %g", c.k, c.n, r.Low, r.High)
		}
	}
	if p := fisherPValue(NewRate(0, 10), NewRate(10, 10)); p > 1e-4 {
		t.Errorf("p %g", p)
	}
	if p := fisherPValue(NewRate(3, 10), NewRate(3, 10)); p < 0.99 {
		t.Errorf("p %g", p)
	}
}

// TestReport_Outputs checks the page, the text and the comparison of results. It also checks that JSON objects of
// another form are refused as results.
func TestReport_Outputs(t *testing.T) {
	e := shippedExperiment(t, 2, "same errors_everywhere", "calm")
	all := runExperiment(t, e)
	var page, text, comparison bytes.Buffer
	if err := HTML(&page, "A <title>", all, 0.05, 0.05); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"A &lt;title&gt;", "<svg", "errors_everywhere (bad)", "false alarms"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	Print(&text, "Simulated", all, 0.05, 0.05)
	if !strings.Contains(text.String(), "misses over all") {
		t.Error(text.String())
	}
	if err := Compare(&comparison, "a", "b", all, all); err != nil || !strings.Contains(comparison.String(), "noise") {
		t.Errorf("%v\n%s", err, comparison.String())
	}
	if err := Compare(&comparison, "a", "b", all, nil); err == nil {
		t.Error("comparing with no results gave no error")
	}
	if _, err := ReadResults(strings.NewReader("{\"x\":1}")); err == nil {
		t.Error("other JSON was read as results")
	}
}

// TestReadExperiment_RefusesFaults checks that an experiment's file with inconsistent values is refused.
func TestReadExperiment_RefusesFaults(t *testing.T) {
	valid, err := os.ReadFile("../../deploy/rollouts.conf")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, replacement, want string }{
		{"op_type rare 1%", "op_type rare 2%", "add up to"}, {"wave 35%", "wave 5%", "larger than"},
		{"wave 100% 100%", "wave 90% 100%", "must be 1"}, {"errors rare", "errors other", "no op type"},
		{"package late", "package slow", "given twice"}, {"rate 400", "rate 0", "above 0"},
	} {
		if _, err := ReadExperiment("f", strings.Replace(string(valid), c.old, c.replacement, 1)); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.replacement, err)
		}
	}
}

// TestCompareLoopback_AgreesWithModel checks that real relays on sockets release a good package and roll back a bad
// one, as the simulated relays do.
func TestCompareLoopback_AgreesWithModel(t *testing.T) {
	e, err := ReadExperiment("../../deploy/loopback.conf", "")
	if err != nil {
		t.Fatal(err)
	}
	e.Packages = e.Packages[:2]
	var b bytes.Buffer
	all, err := e.CompareLoopback(context.Background(), 1, 2, &b, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range all {
		if r.Released == r.Bad || r.RolledBack != r.Bad || r.Requests < 100 || r.Failed > r.Requests/5 {
			t.Errorf("%+v", r)
		}
	}
}
