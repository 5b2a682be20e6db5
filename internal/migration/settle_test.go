package migration_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

func contains(s, part string) bool { return strings.Contains(s, part) }
func join(lines []string) string   { return strings.Join(lines, "\n") }
func slicesOf(lines []string, part string) []string {
	return slices.DeleteFunc(slices.Clone(lines), func(s string) bool { return !contains(s, part) })
}

// busyWorld is a fleet under random faults for 20 s: falls, cuts, tired units, crossings, lost entries, leaders.
func busyWorld(t interface{ Fatalf(string, ...any) }, seed uint64, units, instances int) *world {
	zones := make([]string, 1+int(seed%4))
	for i := range zones {
		zones[i] = fmt.Sprint("z", i)
	}
	for i := range units {
		zones[i%len(zones)] += fmt.Sprintf(" u%02d", i)
	}
	w := made(t, seed, strings.Join(zones[:min(len(zones), units)], ";"), map[string]any{"fleet.copies": float64(seed % 3),
		"fleet.falls": 50.0})
	zones = strings.Fields(strings.Join(zones, " "))
	zones = slices.DeleteFunc(zones, func(s string) bool { return s[0] != 'z' })
	for i := range instances {
		w.create(fmt.Sprintf("i%03d", i), w.names[w.r.IntN(units)], zones[w.r.IntN(len(zones))], float64(1+w.r.IntN(100)))
	}
	w.run(2 * second)
	w.loss = 0.2
	end := w.now + 20*second
	cuts := map[string]bool{}
	w.cut = func(from, to string) bool { return cuts[from+to] }
	var fault func()
	fault = func() {
		if w.now >= end {
			return
		}
		w.after(tick.Tick(1+w.r.IntN(8000)), fault)
		e := w.edges[w.names[w.r.IntN(units)]]
		for range 1 + w.r.IntN(3) {
			switch w.r.IntN(12) {
			case 0:
				e.down = true
				clear(e.acts)
			case 1:
				e.down = false
			case 2:
				e.deaf = !e.deaf
			case 3:
				e.Evacuating, e.Accepting, e.Risk = true, false, w.r.Float64()
			case 4:
				e.Evacuating, e.Accepting, e.Risk, e.FreeSlots = false, true, w.r.Float64(), w.r.IntN(30)-5
			case 5:
				e.Draining = !e.Draining
			case 6:
				e.RollingBack = !e.RollingBack
			case 7, 8:
				w.device(fmt.Sprintf("i%03d", w.r.IntN(instances)), zones[w.r.IntN(len(zones))])
			case 9:
				cuts[w.names[w.r.IntN(units)]+w.names[w.r.IntN(units)]] = true
			case 10:
				w.lead()
			case 11:
				w.gone = w.r.IntN(3) == 0
			}
		}
	}
	fault()
	w.after(end-w.now, func() {
		w.loss, w.gone, w.cut = 0, false, nil
		for _, e := range w.edges {
			e.down, e.deaf, e.Draining, e.RollingBack, e.Evacuating, e.Accepting, e.FreeSlots = false, false, false, false, false, true, 50
			e.Risk = min(e.Risk, 0.5)
		}
		w.lead() // the keepers' majority is back
	})
	return w
}

// TestAHandoverEndsWhateverWasLost: rule 4, and the quiet after it.
func TestAHandoverEndsWhateverWasLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<40).Draw(t, "seed")
		units, instances := rapid.IntRange(3, 20).Draw(t, "units"), rapid.IntRange(1, 60).Draw(t, "instances")
		w := busyWorld(t, seed, units, instances)
		w.run(20 * second)
		under := map[string]uint64{} // what the faults left
		for _, p := range w.table.All() {
			if p.CopyTarget != "" {
				under[p.Instance] = p.Revision
			}
		}
		w.run(10*second + 2*lease)
		for _, p := range w.table.All() {
			if c, was := under[p.Instance]; was && p.Revision == c {
				t.Fatalf("a handover did not end: %+v", p)
			}
			if p.State == placement.Lost {
				t.Fatalf("lost for longer than restart_after: %+v", p)
			}
		}
		w.run(60 * second)
		clear(w.moves)
		steps := w.steps
		w.run(60 * second)
		for name, n := range w.moves {
			if n > 2 {
				t.Fatalf("%s was handed over %d times in a fleet at rest\n%s", name, n, join(slicesOf(w.lines, name)))
			}
		}
		zones := map[string]bool{}
		for _, e := range w.edges {
			zones[e.Zone] = true
		}
		for _, p := range w.table.All() {
			want := min(units-1, int(w.set["fleet.copies"].(float64)))
			if p.State != placement.Running || p.CopyTarget != "" || zones[p.Zone] && p.Zone != w.edges[p.Primary].Zone || len(p.Replicas) != want {
				t.Fatalf("not settled: %+v, %s\n%s", p, w.edges[p.Primary].Zone, join(slicesOf(w.lines, p.Instance)))
			}
		}
		if n := w.steps - steps; n > 3*instances {
			t.Fatalf("%d steps in a fleet at rest", n)
		}
	})
}
