package overload

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// probeFailing lets every live relay probe one failing backend for some seconds. It returns the number of probes of all
// relays together, and the number for each relay. Reports pass only between live relays on the same side of a network
// partition.
func probeFailing(f *testFleet, side func(i int) int, seconds float64, live func(i int) bool) (probes int, byRelay map[int]int) {
	byRelay = map[int]int{}
	f.delivers = func(from, to int) bool { return side(from) == side(to) && live(from) && live(to) }
	f.run(seconds, func(i int, m *Manager) {
		if live(i) && m.AllowProbe(f.now, "unit-7") {
			probes++
			byRelay[i]++
			m.RecordOutcome(f.now, "unit-7", false)
		}
	})
	return probes, byRelay
}

func oneSide(int) int { return 0 }

func allLive(int) bool { return true }

func twoSides(i int) int { return i % 2 }

// TestAllowProbe_FewRelaysProbe: few relays probe a failing backend, together at most fleet.probes times per second on
// each side of a network partition. When the probers fall silent, the next relays take over. The other relays learn from
// the probers that the backend is healthy.
func TestAllowProbe_FewRelaysProbe(t *testing.T) {
	for _, n := range []int{2, 30, 300} {
		t.Run(fmt.Sprint(n, " relays"), func(t *testing.T) {
			f := newTestFleet(n, nil)
			f.exchangeReports()
			probeFailing(f, oneSide, 5, allLive)
			duration := map[bool]int{true: 10, false: 60}[n > 100]
			count, byRelay := probeFailing(f, oneSide, float64(duration), allLive)
			if count < duration/2 || count > duration || len(byRelay) != probersPerBackend {
				t.Errorf("%d probes in %d s by %d relays", count, duration, len(byRelay))
			}
			probeFailing(f, twoSides, 5, allLive)
			if count, byRelay = probeFailing(f, twoSides, float64(duration), allLive); count > 2*duration || len(byRelay) > 2*probersPerBackend {
				t.Errorf("split: %d probes in %d s by %d relays", count, duration, len(byRelay))
			}
			if n != 30 {
				return
			}
			probeFailing(f, oneSide, 5, allLive)
			_, byRelay = probeFailing(f, oneSide, 20, allLive)
			notProber := func(i int) bool { return byRelay[i] == 0 }
			probeFailing(f, oneSide, 10, notProber)
			count, successors := probeFailing(f, oneSide, 30, notProber)
			if count < 15 || len(successors) != probersPerBackend {
				t.Errorf("after the probers fell silent: %d probes in 30 s by %d other relays", count, len(successors))
			}
			for i := range successors {
				f.relays[i].RecordOutcome(f.now, "unit-7", true)
				f.relays[i].RecordOutcome(f.now, "unit-7", true)
			}
			f.run(1, nil)
			for i, m := range f.relays {
				if notProber(i) && !m.AllowProbe(f.now, "unit-7") {
					t.Fatalf("relay %d has not learned that the backend is healthy", i)
				}
			}
		})
	}
}

// TestAllowProbe_FailureOfOneRelay: a relay that is the only one to see a backend fail tries the backend, but rarely,
// even if it is not one of the backend's probers.
func TestAllowProbe_FailureOfOneRelay(t *testing.T) {
	f := newTestFleet(30, nil)
	f.run(1, nil)
	n := 0
	f.run(600, func(i int, m *Manager) {
		if i == 4 && m.AllowProbe(f.now, "unit-7") {
			n++
			m.RecordOutcome(f.now, "unit-7", false)
		}
	})
	if n < 3 || n > 20 {
		t.Errorf("%d probes in 600 s", n)
	}
}

// TestAllowProbe_StaysWithinRate: relays have different views of which relays are alive, and each view has a pair of
// probers. Under any order of network partitions, silent relays and reports, the probes of all relays at a backend stay
// within the combined rate of one pair of probers for each view.
func TestAllowProbe_StaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "relays")
		f := newTestFleet(n, nil)
		f.exchangeReports()
		sides := rapid.IntRange(1, 3).Draw(t, "sides")
		probes, seconds := 0, 0.0
		for range rapid.IntRange(1, 5).Draw(t, "periods") {
			live := make([]bool, n)
			for i := range live {
				live[i] = rapid.IntRange(0, 4).Draw(t, "live") > 0
			}
			duration := float64(rapid.IntRange(2, 30).Draw(t, "seconds"))
			count, _ := probeFailing(f, func(i int) int { return i % sides }, duration, func(i int) bool { return live[i] })
			probes, seconds = probes+count, seconds+duration
			// Each time that the relays' views of which relays are alive change, a new pair of probers may start. The
			// previous pair may also probe until its reports expire. A relay that has received no verdict for long may
			// probe too, by allowFallbackProbe.
			if limit := float64(sides)*(seconds+reportTTL.Duration().Seconds())*0.8 + float64(2*probersPerBackend*sides*n); float64(probes) > limit {
				t.Fatalf("%d probes in %.0f s, %d sides", probes, seconds, sides)
			}
		}
	})
}
