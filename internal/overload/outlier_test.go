package overload

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

func TestRecordOutcome_BoundsQuestionedBackends(t *testing.T) {
	m := NewManager(testStart, 1, "a", testSettings(3, nil))
	for i := range 10 * maxQuestioned {
		for range 10 {
			m.RecordOutcome(testStart+tick.Tick(i), "another unit", true)
		}
		for range failingRun {
			m.RecordOutcome(testStart+tick.Tick(i), fmt.Sprint(i), false)
		}
	}
	if len(m.questioned) != maxQuestioned || len(m.byVerdict) != maxQuestioned {
		t.Errorf("%d in question, %d by verdict", len(m.questioned), len(m.byVerdict))
	}
	if u := m.LocalReport(testStart + 10*tick.Tick(maxQuestioned)).Verdicts; len(u) != maxVerdicts || u[0].Age > 1 {
		t.Errorf("%+v", u)
	}
}

// questionedName is the backend that is in question.
const questionedName = "unit-7"

// reportFalsely has relay 9 report evidence of backends to all others.
func reportFalsely(c *testFleet, evidence Evidence, backends ...string) {
	report := c.relays[9].LocalReport(c.now)
	report.Evidence, report.Verdicts = []Evidence{}, nil
	for _, name := range backends {
		evidence.Backend = xxhash.Sum64String(name)
		report.Evidence = append(report.Evidence, evidence)
		report.Verdicts = append(report.Verdicts, Verdict{Backend: evidence.Backend, Healthy: evidence.Successes > 0})
	}
	for to := range 9 {
		c.relays[to].UpdatePeer(c.now, PeerUpdate{Name: relayName(9), Report: report, State: PeerAlive})
	}
}

// failAt has the first relays count so many failures each at the backend in question. The failure that puts it in
// question does not count.
func failAt(c *testFleet, relays, failures int) {
	for i := range relays {
		c.recordOutcomes(i, 1+failures, questionedName, false)
	}
}

var ejectionCases = []struct {
	name string
	do   func(c *testFleet)
	want bool
}{
	{"three relays", func(c *testFleet) { failAt(c, 3, 2) }, true},
	{"two", func(c *testFleet) { failAt(c, 2, 5) }, false},
	{"five with one outcome each", func(c *testFleet) { failAt(c, 5, 1) }, true},
	{"four with one", func(c *testFleet) { failAt(c, 4, 1) }, false},
	{"what put it in question", func(c *testFleet) { failAt(c, 9, 0) }, false},
	{"others get answers", func(c *testFleet) {
		failAt(c, 4, 2)
		c.run(1, nil)
		for i := 4; i < 8; i++ {
			c.recordOutcomes(i, 2, questionedName, true)
		}
	}, false},
	{"false failures", func(c *testFleet) {
		reportFalsely(c, Evidence{Failures: 2}, questionedName, questionedName, questionedName, "unit-8")
		failAt(c, 1, 2)
	}, false},
	{"false successes", func(c *testFleet) {
		reportFalsely(c, Evidence{Successes: 2}, questionedName)
		failAt(c, 5, 2)
	}, true},
	{"an own link that is cut", func(c *testFleet) { // and so the relay's report counts for nothing
		for i := range 3 {
			for u := range 9 {
				c.recordOutcomes(i, 8, fmt.Sprint("unit-", u), false)
			}
		}
		failAt(c, 3, 2)
	}, false},
	{"old outcomes", func(c *testFleet) {
		failAt(c, 2, 2)
		c.run(11, nil)
		c.recordOutcomes(4, 3, questionedName, false)
	}, false},
	{"of an earlier version", func(c *testFleet) {
		for i := range 3 {
			report := Report{LocalFraction: 1, SharedFraction: 1, Verdicts: []Verdict{{Backend: xxhash.Sum64String(questionedName)}}}
			c.relays[5].UpdatePeer(c.now, PeerUpdate{Name: relayName(i), Incarnation: 1, Report: report, State: PeerAlive})
		}
		c.pass = func(from, _ int) bool { return from > 3 }
	}, true},
	{"started again and again", func(c *testFleet) {
		for run := range 9 {
			report := Report{LocalFraction: 1, SharedFraction: 1, Evidence: []Evidence{{Backend: xxhash.Sum64String(questionedName), Failures: 2}}}
			c.relays[5].UpdatePeer(c.now, PeerUpdate{Name: relayName(1), Incarnation: uint64(run + 1), Report: report, State: PeerAlive})
		}
		c.pass = func(from, _ int) bool { return from != 1 }
	}, false},
}

// TestIsEjected_ByEvidenceOfAll: a backend is ejected at a relay that does not doubt it where what all count of it
// says so, and only then.
func TestIsEjected_ByEvidenceOfAll(t *testing.T) {
	for _, k := range ejectionCases {
		t.Run(k.name, func(t *testing.T) {
			c := newTestFleet(10, nil)
			c.run(1, nil)
			k.do(c)
			c.run(0.5, nil)
			c.exchangeReports()
			if got := c.relays[5].IsEjected(c.now, questionedName); got != k.want || c.relays[5].IsEjected(c.now, "unit-8") {
				t.Errorf("ejected: %v", got)
			}
		})
	}
}

// TestIsEjected_NotByTwoRelays: whatever one relay reports, and restarted how often, and whatever a second one finds
// whose link is cut, the others eject no backend that answers them, or that they do not use.
func TestIsEjected_NotByTwoRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestFleet(rapid.IntRange(3, 8).Draw(t, "relays"), nil)
		n := len(c.relays)
		backend := func() string { return fmt.Sprint("unit-", rapid.IntRange(0, 3).Draw(t, "unit")) }
		run := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"false evidence": func(t *rapid.T) {
				report := Report{LocalFraction: 1, SharedFraction: 1, Evidence: []Evidence{}}
				for range rapid.IntRange(0, maxEvidence).Draw(t, "signs") {
					bad := rapid.IntRange(0, maxOutcomes).Draw(t, "bad")
					report.Evidence = append(report.Evidence, Evidence{xxhash.Sum64String(backend()), bad, 0,
						tick.Tick(rapid.IntRange(0, 20).Draw(t, "age")) * tick.Second})
				}
				run += uint64(rapid.IntRange(0, 1).Draw(t, "starts again"))
				for to := 1; to < n; to++ {
					c.relays[to].UpdatePeer(c.now, PeerUpdate{Name: relayName(0), Incarnation: run, Report: report, Age: tick.Tick(rapid.IntRange(0, 9).Draw(t, "late")), State: PeerAlive})
				}
			},
			"cut": func(t *rapid.T) { c.recordOutcomes(1, rapid.IntRange(1, 5).Draw(t, "times"), backend(), false) },
			"answers": func(t *rapid.T) {
				c.recordOutcomes(rapid.IntRange(2, n-1).Draw(t, "at"), rapid.IntRange(1, 5).Draw(t, "times"), backend(), true)
			},
			"delivery": func(t *rapid.T) {
				from := rapid.IntRange(1, n-1).Draw(t, "from")
				for to := 1; to < n; to++ {
					if to != from && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
						c.relays[to].UpdatePeer(c.now, PeerUpdate{Name: relayName(from), Incarnation: 0, Report: c.relays[from].LocalReport(c.now), State: PeerAlive})
					}
				}
			},
			"time": func(t *rapid.T) { c.now += tick.Tick(rapid.IntRange(1, 50000).Draw(t, "ticks")) },
			"": func(t *rapid.T) {
				for i := 2; i < n; i++ {
					for u := range 4 {
						if c.relays[i].IsEjected(c.now, fmt.Sprint("unit-", u)) {
							t.Fatalf("relay %d ejects backend %d", i, u)
						}
					}
				}
			},
		})
	})
}

// TestIsEjected_TakenBackGradually: a backend that all eject is tried fleet.probes times a second at the most; once it
// answers they take it back within seconds, but not at once, and one relay that reports successes before counts for
// little.
func TestIsEjected_TakenBackGradually(t *testing.T) {
	const backend, n = "unit-7", 100
	c := newTestFleet(n, nil)
	c.run(1, nil)
	for i := range 6 {
		c.recordOutcomes(i, 2, backend, false)
	}
	well, tried := false, 0
	taken := func(_ int, m *Manager) {
		if !m.IsEjected(c.now, backend) || m.AllowProbe(c.now, backend) {
			m.RecordOutcome(c.now, backend, well)
			tried++
		}
	}
	c.run(1, nil)
	c.run(60, taken)
	if tried < 10 || tried > 120 {
		t.Errorf("tried %d times in 60 s", tried)
	}
	liar := 0
	for i := range n {
		if s := c.relays[i].questioned[xxhash.Sum64String(backend)]; s.higherRanked == 0 { // a prober, so that all hear it
			liar = i
		}
	}
	tried = 0
	c.run(60, func(i int, m *Manager) {
		if i == liar {
			m.RecordOutcome(c.now, backend, true)
		} else {
			taken(i, m)
		}
	})
	if tried > 120 {
		t.Errorf("tried %d times in 60 s on a false report", tried)
	}
	well = true
	var in []int // that use it, by tenths of a second
	c.run(15, func(i int, m *Manager) {
		if i == 0 {
			in = append(in, 0)
		}
		was := tried
		taken(i, m)
		in[len(in)-1] += tried - was
	})
	for i := range in[1:] {
		if in[i+1]-in[i] > n/3 {
			t.Errorf("%d relays of %d take it back in one tenth of a second", in[i+1]-in[i], n)
		}
	}
	if in[60] < n {
		t.Errorf("relays that use it once it is well, by tenths of a second: %v", in)
	}
}

// TestIsEjected_NotByCommonFailures: where a good part of all outcomes fails no backend is left to few probers, nor
// ejected, for it; one that was before still is.
func TestIsEjected_NotByCommonFailures(t *testing.T) {
	c := newTestFleet(10, nil)
	for i := range c.relays {
		c.recordOutcomes(i, 3, "unit-99", false)
	}
	c.run(1, func(i int, m *Manager) { m.IsEjected(c.now, "unit-99") })
	c.run(3, func(i int, m *Manager) {
		for backend := range 10 {
			m.RecordOutcome(c.now, fmt.Sprint("unit-", backend), false)
		}
	})
	for i, m := range c.relays {
		if !m.AllowProbe(c.now, "unit-7") || m.IsEjected(c.now, "unit-7") {
			t.Errorf("relay %d blames one backend", i)
		}
		if !m.IsEjected(c.now, "unit-99") {
			t.Errorf("relay %d no longer ejects the one that was ejected before", i)
		}
	}
}
