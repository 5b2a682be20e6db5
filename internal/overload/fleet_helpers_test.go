package overload

import (
	"fmt"

	"silvercove/internal/tick"
)

// recordOutcomes has a relay see some outcomes at a backend.
func (c *testFleet) recordOutcomes(i, times int, backend string, succeeded bool) {
	for range times {
		c.relays[i].RecordOutcome(c.now, backend, succeeded)
	}
}

const testStart = 1000 * tick.Second

// testSettings are those of a fleet; more overrides single ones.
func testSettings(relays float64, more map[string]float64) map[string]any {
	set := map[string]any{"fleet.relays": relays, "fleet.repeats": 0.1, "fleet.floor": 0.05, "fleet.probes": 2.0, "fleet.ramp": 3.0}
	for name, v := range more {
		set["fleet."+name] = v
	}
	return set
}

// testFleet is some relays whose reports reach each other at once.
type testFleet struct {
	now          tick.Tick
	relays       []*Manager
	incarnations []uint64
	pass         func(from, to int) bool // whether reports do
}

func newTestFleet(n int, more map[string]float64) *testFleet {
	c := &testFleet{now: testStart, incarnations: make([]uint64, n), pass: func(int, int) bool { return true }}
	for i := range n {
		c.relays = append(c.relays, NewManager(testStart, uint64(i+1), relayName(i), testSettings(float64(n), more)))
	}
	return c
}

func relayName(i int) string { return fmt.Sprint("relay-", i) }

func (c *testFleet) exchangeReports() {
	for from, m := range c.relays {
		if m == nil {
			continue
		}
		report := m.LocalReport(c.now)
		for to, other := range c.relays {
			if from != to && other != nil && c.pass(from, to) {
				other.UpdatePeer(c.now, PeerUpdate{Name: relayName(from), Incarnation: c.incarnations[from], Report: report, State: PeerAlive})
			}
		}
	}
}

// run goes on for a while in steps of a tenth of a second; each relay reports every half.
func (c *testFleet) run(seconds float64, each func(i int, m *Manager)) {
	for step := range int(seconds * 10) {
		c.now += tick.Second / 10
		for i, m := range c.relays {
			for range 4 {
				if m != nil {
					m.RecordOutcome(c.now, "another unit", true)
				}
			}
			if m != nil && each != nil {
				each(i, m)
			}
		}
		if step%max(5, len(c.relays)/15) == 0 {
			c.exchangeReports()
		}
	}
}
