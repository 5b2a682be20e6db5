package lab

import (
	"fmt"
	"io"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// overloadDay returns the main scenario of an overload: ten times the load for 10 s, with seven in ten relays killed
// during that time.
func overloadDay(features Features, seed uint64) Overload {
	return Overload{Relays: 30, Backends: 20, Features: features, Load: 0.6, LoadFactor: 10, From: 8, Duration: 10, Span: 34, KillShare: 0.7, Seed: seed}
}

// sickBackendDay returns a scenario in which one of 20 backends does not answer from second 4 to second 54. From second
// 34 on, the relays are split in two halves. The load is 0.9 of the capacity of all backends, which is about 0.95 of the
// capacity of the 19 healthy backends. With more than 100 relays, the load is 0.6 instead, because hundreds of relays
// overload 20 backends at 0.95 of their capacity even if no backend is sick.
func sickBackendDay(features Features, relays int, seed uint64) Overload {
	o := Overload{Relays: relays, Backends: 20, Features: features, Load: 0.9, LoadFactor: 1, Span: 64, SickBackend: true, Onset: 4, Split: 34,
		Recovery: 54, Seed: seed}
	if relays > 100 {
		o.Load = 0.6
	}
	return o
}

// runAll simulates overloads, as many at once as GOMAXPROCS allows, and returns their results in the order of
// the parameter days.
func runAll(days []Overload) []OverloadResult {
	results := make([]OverloadResult, len(days))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, d := range days {
		group.Go(func() error {
			results[i] = d.Run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// goodputDuringTrigger returns the mean goodput from 1 s after the start of the trigger to its end, as a share of the
// capacity of all backends.
func (r OverloadResult) goodputDuringTrigger(o Overload) float64 {
	return MeanPerSecond(r.Goodput, o.From+1, o.From+o.Duration) / r.Capacity
}

// OverloadTables simulates the overloads and prints their tables. The same seed always gives the same tables. If full
// is true, it also prints the tables of load against failing attempts, of lost load reports and of ejection.
func OverloadTables(to io.Writer, seed uint64, full bool) error {
	w := &stickyWriter{to: to}
	noShed := Features{Budget: true, Probes: true, Ramp: true}
	featureSets := []Features{WithoutFleet, noShed, AllFeatures, {Shed: true}, {Budget: true}, {Probes: true}, {Ramp: true}}
	var days []Overload
	for _, p := range featureSets {
		days = append(days, overloadDay(p, seed))
	}
	sizes := []int{10, 30, 300}
	if full {
		sizes = append(sizes, 1000)
	}
	for _, relays := range sizes {
		days = append(days, sickBackendDay(WithoutFleet, relays, seed), sickBackendDay(AllFeatures, relays, seed))
	}
	results := runAll(days)
	curves := Table{Title: "Goodput a second, simulated: ten times the load from 8 s to 18 s, seven in ten relays killed at 10 s",
		Head: []string{"second"}}
	totals := Table{Title: "Totals of the same overload, simulated", Head: []string{"relay", "before", "at 10x", "of capacity", "weight served a second",
		"tenants all or nothing", "recovered after", "attempts per first", "per client's request", "wasted attempts", "list calls a second, most", "refused"}}
	for i, p := range featureSets {
		o, r := days[i], results[i]
		if i < 3 {
			curves.Head = append(curves.Head, p.String())
		}
		totals.Add(p, MeanPerSecond(r.Goodput, 2, o.From), MeanPerSecond(r.Goodput, o.From+1, o.From+o.Duration), r.goodputDuringTrigger(o), r.ServedWeight, r.AllOrNothingTenants,
			secondsText(r.RecoverySeconds(o)), r.AttemptsPerFirst(), r.AttemptsPerRequest(), r.Wasted, r.MaxListCalls, r.ListRefused)
	}
	for s := range int(days[0].Span) {
		row := []any{s}
		for _, r := range results[:3] {
			row = append(row, MeanPerSecond(r.Goodput, float64(s), float64(s+1)))
		}
		curves.Add(row...)
	}
	curves.Print(w)
	totals.Print(w)
	ejection := Table{Title: "Attempts a second at a backend that no longer answers, simulated; the relays are split in two after 30 s",
		Head: []string{"relays", "relay", "first 5 s", "5 to 20 s", "20 to 30 s", "34 to 50 s", "half of its share again after"}}
	for i, d := range days[len(featureSets):] {
		ejection.Add(d.ejectionRow(results[len(featureSets)+i], fmt.Sprint(d.Relays), d.Features.String())...)
	}
	ejection.Print(w)
	if full {
		loadAndFailureTable(w, seed)
		reportLossTable(w, seed)
		ejectionTable(w, seed)
	}
	return w.err
}

// ejectionRow returns a row of a table on sickBackendDay. The first cells of the row are the elements of the parameter
// names. The next four cells are the mean attempts a second at the sick backend from 0 to 5 s, 5 to 20 s, 20 to 30 s
// and 34 to 50 s after Onset. The last cell is the time from Recovery until the backend again gets half of an equal
// share of the load.
func (o Overload) ejectionRow(r OverloadResult, names ...any) []any {
	at := func(from, to int) float64 { return perSecond(r.SickAttempts, int(o.Onset)+from, int(o.Onset)+to) }
	recovered := math.Inf(1)
	for i := int(2 * o.Recovery); i+1 < len(r.SickAttempts) && math.IsInf(recovered, 1); i++ {
		if share := o.Load * r.Capacity / float64(o.Backends); float64(r.SickAttempts[i]+r.SickAttempts[i+1]) >= share/2 {
			recovered = float64(i+2)/2 - o.Recovery
		}
	}
	return append(names, at(0, 5), at(5, 20), at(20, 30), at(34, 50), secondsText(recovered))
}

// ejectionTable prints how relays eject a sick backend while load reports are lost or false, or while backends are only
// slow.
func ejectionTable(to io.Writer, seed uint64) {
	t := Table{Title: "A backend that no longer answers, 30 relays, all features, simulated", Head: []string{"day", "first 5 s", "5 to 20 s",
		"20 to 30 s", "34 to 50 s", "half of its share again after", "wrong ejections"}}
	var days []Overload
	var names []string
	for _, d := range []struct {
		name   string
		change func(o *Overload)
	}{
		{"no further fault", func(o *Overload) {}},
		{"half of the load reports lost", func(o *Overload) { o.LostReports = 0.5 }},
		{"nine in ten load reports lost", func(o *Overload) { o.LostReports = 0.9 }},
		{"one relay reports six healthy backends as sick", func(o *Overload) { o.FalseReports = "bad" }},
		{"one relay reports the sick one as healthy", func(o *Overload) { o.FalseReports = "good" }},
		{"one relay's own link is cut", func(o *Overload) { o.FirstRelayCut = true }},
		{"a fifth of all attempts fail for 20 s, no backend is sick", func(o *Overload) { o.SickBackend, o.FailingShare, o.From, o.Duration = false, 0.2, 4, 20 }},
		{"a backend takes five times as long for 5 s, none is sick", func(o *Overload) { o.SickBackend, o.SlowFactor, o.From, o.Duration = false, 5, 4, 5 }},
	} {
		o := sickBackendDay(AllFeatures, 30, seed)
		d.change(&o)
		names, days = append(names, d.name), append(days, o)
	}
	for i, r := range runAll(days) {
		t.Add(append(days[i].ejectionRow(r, names[i]), r.WrongEjections)...)
	}
	t.Print(to)
}

// perSecond returns the mean count per second in a period. The parameter halves holds the counts per half second. The
// parameters from and to are the start and the end of the period in seconds.
func perSecond(halves []int, from, to int) float64 {
	n := 0
	for _, h := range halves[2*from : min(len(halves), 2*to)] {
		n += h
	}
	return float64(n) / float64(to-from)
}

// secondsText formats a number of seconds for a table, and +Inf as "never".
func secondsText(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1fs", s)
}

// loadAndFailureTable prints one table for each of several sets of features. A table shows the recovery time and the
// goodput for several loads and shares of failing attempts.
func loadAndFailureTable(to io.Writer, seed uint64) {
	loads, errs := []float64{1.5, 3, 10}, []float64{0, 0.2, 0.5}
	featureSets := []Features{WithoutFleet, {Shed: true}, {Budget: true}, {Probes: true}, {Ramp: true}, AllFeatures}
	var days []Overload
	for _, p := range featureSets {
		for _, l := range loads {
			for _, e := range errs {
				o := overloadDay(p, seed)
				o.LoadFactor, o.FailingShare = l, e
				days = append(days, o)
			}
		}
	}
	results := runAll(days)
	for _, p := range featureSets {
		t := Table{Title: "Recovery time, goodput of capacity during the trigger, weight served a second, attempts per first, simulated: " + p.String(),
			Head: []string{"factor on the load"}}
		for _, e := range errs {
			t.Head = append(t.Head, fmt.Sprintf("%.0f%% of attempts fail", 100*e))
		}
		for _, l := range loads {
			row := []any{l}
			for range errs {
				o, r := days[0], results[0]
				days, results = days[1:], results[1:]
				row = append(row, fmt.Sprintf("%s %.2f %.0f %.3f", secondsText(r.RecoverySeconds(o)), r.goodputDuringTrigger(o), r.ServedWeight, r.AttemptsPerFirst()))
			}
			t.Add(row...)
		}
		t.Print(to)
	}
}

// reportLossTable prints the results of a fleet with all features while load reports are lost or late.
func reportLossTable(to io.Writer, seed uint64) {
	names, days := []string{"without a fleet"}, []Overload{overloadDay(WithoutFleet, seed)}
	for _, k := range []struct {
		name   string
		change func(o *Overload)
	}{
		{"all", func(o *Overload) {}},
		{"half are lost", func(o *Overload) { o.LostReports = 0.5 }},
		{"nine in ten are lost", func(o *Overload) { o.LostReports = 0.9 }},
		{"all are lost", func(o *Overload) { o.LostReports = 1 }},
		{"2 s old", func(o *Overload) { o.ReportDelay = 2 }},
		{"5 s old", func(o *Overload) { o.ReportDelay = 5 }},
		{"2 min old", func(o *Overload) { o.ReportDelay = 120 }},
		{"half of the relays get none", func(o *Overload) { o.NotReceivingShare = 0.5 }},
		{"split in two", func(o *Overload) { o.Split = 1 }},
	} {
		o := overloadDay(AllFeatures, seed)
		k.change(&o)
		names, days = append(names, k.name), append(days, o)
	}
	t := Table{Title: "Overload with lost or late load reports, simulated, all features", Head: []string{"news",
		"at 10x of capacity", "weight served a second", "tenants all or nothing", "recovered after", "attempts per first", "list calls a second, most"}}
	for i, r := range runAll(days) {
		t.Add(names[i], r.goodputDuringTrigger(days[i]), r.ServedWeight, r.AllOrNothingTenants, secondsText(r.RecoverySeconds(days[i])), r.AttemptsPerFirst(), r.MaxListCalls)
	}
	t.Print(to)
}
