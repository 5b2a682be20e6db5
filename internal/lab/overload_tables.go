package lab

import (
	"fmt"
	"io"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// overloadDay is the hard day: ten times the load for 10 s, seven in ten relays killed within it.
func overloadDay(parts Features, seed uint64) Overload {
	return Overload{Relays: 30, Backends: 20, Features: parts, Load: 0.6, LoadFactor: 10, From: 8, Duration: 10, Span: 34, KillShare: 0.7, Seed: seed}
}

// sickBackendDay is a backend that no longer answers from 4 s on, under so many relays; they are split in two 30 s later, and 20 s
// after that the backend is well again. With many relays the load is less: hundreds of them tip 20 backends over at 0.95 of what
// those can do, whoever is sick.
func sickBackendDay(parts Features, relays int, seed uint64) Overload {
	o := Overload{Relays: relays, Backends: 20, Features: parts, Load: 0.9, LoadFactor: 1, Span: 64, SickBackend: true, Onset: 4, Split: 34,
		Recovery: 54, Seed: seed}
	if relays > 100 {
		o.Load = 0.6
	}
	return o
}

// runAll plays days on all processors, and gives their results in the days' order.
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

// triggerGoodput is the goodput of an overload's trigger, from 1 s into it on, in parts of what the backends can do.
func (r OverloadResult) goodputDuringTrigger(o Overload) float64 {
	return MeanPerSecond(r.Goodput, o.From+1, o.From+o.Duration) / r.Capacity
}

// OverloadTables measures it all and prints tables; the same seed gives the same.
func OverloadTables(to io.Writer, seed uint64, full bool) error {
	w := &stickyWriter{to: to}
	noShed := Features{Budget: true, Probes: true, Ramp: true}
	parts := []Features{WithoutFleet, noShed, AllFeatures, {Shed: true}, {Budget: true}, {Probes: true}, {Ramp: true}}
	var days []Overload
	for _, p := range parts {
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
	totals := Table{Title: "The same in sums, simulated", Head: []string{"relay", "before", "at 10x", "of capacity", "worth a second",
		"customers whole", "back after", "deliveries per first", "per client's command", "worked for nobody", "list calls a second, most", "refused"}}
	for i, p := range parts {
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
	ejection := Table{Title: "Deliveries a second at a unit that no longer answers, simulated; the relays are split in two after 30 s",
		Head: []string{"relays", "relay", "first 5 s", "5 to 20 s", "20 to 30 s", "34 to 50 s", "half of its share again after"}}
	for i, d := range days[len(parts):] {
		ejection.Add(d.ejectionRow(results[len(parts)+i], fmt.Sprint(d.Relays), d.Features.String())...)
	}
	ejection.Print(w)
	if full {
		loadAndFailureTable(w, seed)
		reportLossTable(w, seed)
		ejectionTable(w, seed)
	}
	return w.err
}

// sickRow are the figures of a sick day.
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

// ejectionTable is what the finding of a sick backend stands: little news, relays that are wrong, backends that are only slow.
func ejectionTable(to io.Writer, seed uint64) {
	t := Table{Title: "A unit that no longer answers, 30 relays, all parts, simulated", Head: []string{"day", "first 5 s", "5 to 20 s",
		"20 to 30 s", "34 to 50 s", "half of its share again after", "times that another unit was left"}}
	var days []Overload
	var names []string
	for _, d := range []struct {
		name   string
		change func(o *Overload)
	}{
		{"as it is", func(o *Overload) {}},
		{"half of the news lost", func(o *Overload) { o.LostReports = 0.5 }},
		{"nine in ten lost", func(o *Overload) { o.LostReports = 0.9 }},
		{"one relay says that six well units are sick", func(o *Overload) { o.FalseReports = "bad" }},
		{"one relay says that the sick one is well", func(o *Overload) { o.FalseReports = "good" }},
		{"one relay's own link is cut", func(o *Overload) { o.FirstRelayCut = true }},
		{"a fifth of all deliveries fail for 20 s, no unit is sick", func(o *Overload) { o.SickBackend, o.FailingShare, o.From, o.Duration = false, 0.2, 4, 20 }},
		{"a unit takes five times as long for 5 s, none is sick", func(o *Overload) { o.SickBackend, o.SlowFactor, o.From, o.Duration = false, 5, 4, 5 }},
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

func perSecond(halves []int, from, to int) float64 {
	n := 0
	for _, h := range halves[2*from : min(len(halves), 2*to)] {
		n += h
	}
	return float64(n) / float64(to-from)
}

func secondsText(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1fs", s)
}

// overloadTable is load against failing share: after how many seconds the fleet is back, and what it did meanwhile.
func loadAndFailureTable(to io.Writer, seed uint64) {
	loads, errs := []float64{1.5, 3, 10}, []float64{0, 0.2, 0.5}
	parts := []Features{WithoutFleet, {Shed: true}, {Budget: true}, {Probes: true}, {Ramp: true}, AllFeatures}
	var days []Overload
	for _, p := range parts {
		for _, l := range loads {
			for _, e := range errs {
				o := overloadDay(p, seed)
				o.LoadFactor, o.FailingShare = l, e
				days = append(days, o)
			}
		}
	}
	results := runAll(days)
	for _, p := range parts {
		t := Table{Title: "Back after, goodput of capacity meanwhile, worth a second, deliveries per first, simulated: " + p.String(),
			Head: []string{"times the load"}}
		for _, e := range errs {
			t.Head = append(t.Head, fmt.Sprintf("%.0f%% of deliveries fail", 100*e))
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

// knowledgeTable is how little news do: all parts act, and less and less is known.
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
		{"half of the relays hear nothing", func(o *Overload) { o.NotReceivingShare = 0.5 }},
		{"split in two", func(o *Overload) { o.Split = 1 }},
	} {
		o := overloadDay(AllFeatures, seed)
		k.change(&o)
		names, days = append(names, k.name), append(days, o)
	}
	t := Table{Title: "What is left with less knowledge, simulated, all parts, the hard day", Head: []string{"news",
		"at 10x of capacity", "worth a second", "customers whole", "back after", "deliveries per first", "list calls a second, most"}}
	for i, r := range runAll(days) {
		t.Add(names[i], r.goodputDuringTrigger(days[i]), r.ServedWeight, r.AllOrNothingTenants, secondsText(r.RecoverySeconds(days[i])), r.AttemptsPerFirst(), r.MaxListCalls)
	}
	t.Print(to)
}
