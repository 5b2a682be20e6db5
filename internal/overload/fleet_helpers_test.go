package overload

import (
	"fmt"

	"silvercove/internal/tick"
)

// recordOutcomes records the same outcome at a backend several times, at relay i.
func (f *testFleet) recordOutcomes(i, times int, backend string, succeeded bool) {
	for range times {
		f.relays[i].RecordOutcome(f.now, backend, succeeded)
	}
}

const testStart = 1000 * tick.Second

// testSettings returns the settings of a fleet. The map overrides replaces the values of some settings. Its keys are the
// names of these settings without the prefix "fleet.".
func testSettings(relays float64, overrides map[string]float64) map[string]any {
	directives := map[string]any{"fleet.relays": relays, "fleet.repeats": 0.1, "fleet.floor": 0.05, "fleet.probes": 2.0, "fleet.ramp": 3.0}
	for name, v := range overrides {
		directives["fleet."+name] = v
	}
	return directives
}

// testFleet is a fleet of relays whose reports reach each other without delay.
type testFleet struct {
	now          tick.Tick
	relays       []*Manager
	incarnations []uint64
	delivers     func(from, to int) bool // reports whether a report of relay from reaches relay to
}

func newTestFleet(n int, overrides map[string]float64) *testFleet {
	f := &testFleet{now: testStart, incarnations: make([]uint64, n), delivers: func(int, int) bool { return true }}
	for i := range n {
		f.relays = append(f.relays, NewManager(testStart, uint64(i+1), relayName(i), testSettings(float64(n), overrides)))
	}
	return f
}

func relayName(i int) string { return fmt.Sprint("relay-", i) }

// exchangeReports sends the report of each running relay to every other running relay that delivers lets it reach. A
// relay that is nil does not run.
func (f *testFleet) exchangeReports() {
	for from, m := range f.relays {
		if m == nil {
			continue
		}
		report := m.LocalReport(f.now)
		for to, other := range f.relays {
			if from != to && other != nil && f.delivers(from, to) {
				other.UpdatePeer(f.now, PeerUpdate{Name: relayName(from), Incarnation: f.incarnations[from], Report: report, State: PeerAlive})
			}
		}
	}
}

// run advances the clock in steps of a tenth of a second. At every step, each running relay records four successes at
// the backend named "another backend". Then run calls the parameter each, if not nil, for that relay. The relays
// exchange reports every half second or, in fleets of 90 relays or more, every len(relays)/15 steps.
func (f *testFleet) run(seconds float64, each func(i int, m *Manager)) {
	for step := range int(seconds * 10) {
		f.now += tick.Second / 10
		for i, m := range f.relays {
			for range 4 {
				if m != nil {
					m.RecordOutcome(f.now, "another backend", true)
				}
			}
			if m != nil && each != nil {
				each(i, m)
			}
		}
		if step%max(5, len(f.relays)/15) == 0 {
			f.exchangeReports()
		}
	}
}
