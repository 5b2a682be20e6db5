package overload

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// probeFailing asks every relay for probes of one failing backend over some seconds, and counts them by relay.
func probeFailing(c *testFleet, side func(i int) int, seconds float64, live func(i int) bool) (probes int, by map[int]int) {
	by = map[int]int{}
	c.pass = func(from, to int) bool { return side(from) == side(to) && live(from) && live(to) }
	c.run(seconds, func(i int, m *Manager) {
		if live(i) && m.AllowProbe(c.now, "unit-7") {
			probes++
			by[i]++
			m.RecordOutcome(c.now, "unit-7", false)
		}
	})
	return probes, by
}

func oneSide(int) int { return 0 }

func allLive(int) bool { return true }

func twoSides(i int) int { return i % 2 }

// TestAllowProbe_FewRelaysProbe: few relays probe a failing backend, at most fleet.probes a second together, also in a
// split; when one goes silent the next takes over; the others learn that the backend is healthy.
func TestAllowProbe_FewRelaysProbe(t *testing.T) {
	for _, n := range []int{2, 30, 300} {
		t.Run(fmt.Sprint(n, " relays"), func(t *testing.T) {
			c := newTestFleet(n, nil)
			c.exchangeReports()
			probeFailing(c, oneSide, 5, allLive)
			span := map[bool]int{true: 10, false: 60}[n > 100]
			many, by := probeFailing(c, oneSide, float64(span), allLive)
			if many < span/2 || many > span || len(by) != probers {
				t.Errorf("%d probes in %d s by %d relays", many, span, len(by))
			}
			probeFailing(c, twoSides, 5, allLive)
			if many, by = probeFailing(c, twoSides, float64(span), allLive); many > 2*span || len(by) > 2*probers {
				t.Errorf("split: %d probes in %d s by %d relays", many, span, len(by))
			}
			if n != 30 {
				return
			}
			probeFailing(c, oneSide, 5, allLive)
			_, by = probeFailing(c, oneSide, 20, allLive)
			gone := func(i int) bool { return by[i] == 0 }
			probeFailing(c, oneSide, 10, gone)
			many, next := probeFailing(c, oneSide, 30, gone)
			if many < 15 || len(next) != probers {
				t.Errorf("silent probers: %d probes in 30 s by %d others", many, len(next))
			}
			for i := range next {
				c.relays[i].RecordOutcome(c.now, "unit-7", true)
				c.relays[i].RecordOutcome(c.now, "unit-7", true)
			}
			c.run(1, nil)
			for i, m := range c.relays {
				if gone(i) && !m.AllowProbe(c.now, "unit-7") {
					t.Fatalf("relay %d has not learnt that the backend is healthy", i)
				}
			}
		})
	}
}

// TestAllowProbe_FailureOfOneRelay: a backend that fails for one relay alone is tried by it, seldom, though others
// would be its probers.
func TestAllowProbe_FailureOfOneRelay(t *testing.T) {
	c := newTestFleet(30, nil)
	c.run(1, nil)
	n := 0
	c.run(600, func(i int, m *Manager) {
		if i == 4 && m.AllowProbe(c.now, "unit-7") {
			n++
			m.RecordOutcome(c.now, "unit-7", false)
		}
	})
	if n < 3 || n > 20 {
		t.Errorf("%d probes in 600 s", n)
	}
}

// TestAllowProbe_StaysWithinRate: under any order of splits, silences and reports the relays' probes at a backend stay
// within the rate of as many pairs of probers as there were views of which relays live.
func TestAllowProbe_StaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "relays")
		c := newTestFleet(n, nil)
		c.exchangeReports()
		sides := rapid.IntRange(1, 3).Draw(t, "sides")
		probes, seconds := 0, 0.0
		for range rapid.IntRange(1, 5).Draw(t, "spells") {
			live := make([]bool, n)
			for i := range live {
				live[i] = rapid.IntRange(0, 4).Draw(t, "live") > 0
			}
			span := float64(rapid.IntRange(2, 30).Draw(t, "seconds"))
			many, _ := probeFailing(c, func(i int) int { return i % sides }, span, func(i int) bool { return live[i] })
			probes, seconds = probes+many, seconds+span
			// each change of view may have one pair's successors come in beside it until its reports are old, and one
			// that probes for itself alone after long silence
			if most := float64(sides)*(seconds+reportTTL.Duration().Seconds())*0.8 + float64(2*probers*sides*n); float64(probes) > most {
				t.Fatalf("%d probes in %.0f s, %d sides", probes, seconds, sides)
			}
		}
	})
}
