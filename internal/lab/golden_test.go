package lab

import (
	"fmt"
	"sync"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/standin/goldentrace"
)

const (
	goldenSeeds = 20
	goldenFile  = "golden_decisions.txt"
)

// goldenDayNames are the names of the days in the recorded file. The names of the days in Days come first, in the order
// of Days. The names of the days that goldenRuns adds follow.
var goldenDayNames = []string{"calm", "rolling-restart", "relays-killed", "zone-lost", "partition", "pauses-and-errors",
	"uneven-traffic", "release", "all-cold"}

// goldenRun is a simulation whose decisions are compared with their recorded trace.
type goldenRun struct {
	name string
	play func(wrap hostWrapper)
}

// TestGoldenDecisions simulates the lab's days, rollouts and overloads with smaller fleets, and compares every decision
// of each relay with the recorded decision. It guards against unintended changes of behaviour. If a change is meant to
// alter decisions, run the test with -update and name the altered decisions in the commit message.
func TestGoldenDecisions(t *testing.T) {
	traces := map[string]*goldentrace.Trace{}
	var mu sync.Mutex
	t.Run("play", func(t *testing.T) {
		for _, run := range goldenRuns(t) {
			t.Run(run.name, func(t *testing.T) {
				t.Parallel()
				trace := goldentrace.New()
				run.play(func(host balancer.Host, relay int, now func() balancer.Tick) balancer.Host {
					return trace.WrapHost(host, relay, now)
				})
				mu.Lock()
				defer mu.Unlock()
				traces[run.name] = trace
			})
		}
	})
	goldentrace.Compare(t, goldenFile, traces)
}

// goldenRuns lists the simulations whose decisions are in the recorded file.
func goldenRuns(t *testing.T) (runs []goldenRun) {
	t.Helper()
	days := append(append([]Day(nil), Days...), FullSizeDay, ReleaseDay, Day{Name: "cold: all backends restart at once", plan: func(f *fleetDay) {
		for i := range f.backends {
			f.after(8, func() { f.restartBackend(i, 0.1) })
		}
		f.after(8.2, func() { f.killRelay(f.relays[0]) })
	}})
	for i, d := range days {
		d.relays, d.backends = 12, 10
		if d.Name == FullSizeDay.Name || d.Name == ReleaseDay.Name {
			d.relays = 16
		}
		name := goldenDayNames[i]
		for seed := range uint64(goldenSeeds) {
			runs = append(runs, goldenRun{fmt.Sprintf("day-%s/%d", name, seed), func(wrap hostWrapper) {
				d := d
				d.wrapHost = wrap
				d.Run(seed)
			}})
		}
	}
	runs = append(runs, goldenRollouts(t, "rollouts", 150)...)
	runs = append(runs, goldenRollouts(t, "thin", 150)...)
	for seed := range uint64(goldenSeeds) {
		o := smallDay(AllFeatures)
		o.Relays, o.Backends, o.From, o.Duration, o.Span, o.Seed = 6, 4, 2, 3, 8, seed
		if seed%2 == 1 {
			o.SickBackend, o.Onset, o.LoadFactor, o.KillShare, o.FailingShare = true, 2, 1, 0, 0.2
		}
		runs = append(runs, goldenRun{fmt.Sprintf("overload/%d", seed), func(wrap hostWrapper) {
			o.wrapHost = wrap
			o.Run()
		}})
	}
	return runs
}

// goldenRollouts lists one rollout for each package and condition of a shipped experiment, each with a seed of its own.
// rate is in requests a second. The rollouts are smaller and shorter than in the experiment: MaxSpan is 12 s, WatchSpan
// is 2 s, and there are at most 20 relays and 20 backends.
func goldenRollouts(t *testing.T, name string, rate float64) (runs []goldenRun) {
	t.Helper()
	e, err := ReadExperiment("../../deploy/"+name+".conf", "")
	if err != nil {
		t.Fatal(err)
	}
	e.Rollouts = 1
	for i, r := range e.all() {
		r.Rate, r.MaxSpan, r.WatchSpan, r.Seed = rate, 12, 2, uint64(i+1)
		r.Relays, r.Backends = min(r.Relays, 20), min(r.Backends, 20)
		runs = append(runs, goldenRun{fmt.Sprintf("%s-%s-%s/%d", name, r.Package.Name, r.Condition.Name, r.Seed), func(wrap hostWrapper) {
			r.wrapHost = wrap
			r.Run()
		}})
	}
	return runs
}
