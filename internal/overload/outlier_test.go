package overload

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

func TestRecordOutcome_BoundsSuspects(t *testing.T) {
	m := NewManager(testStart, 1, "a", testSettings(3, nil))
	for i := range 10 * maxSuspects {
		for range 10 {
			m.RecordOutcome(testStart+tick.Tick(i), "another backend", true)
		}
		for range failingRun {
			m.RecordOutcome(testStart+tick.Tick(i), fmt.Sprint(i), false)
		}
	}
	if len(m.suspects) != maxSuspects || len(m.byVerdict) != maxSuspects {
		t.Errorf("%d suspects, %d by verdict", len(m.suspects), len(m.byVerdict))
	}
	if verdicts := m.LocalReport(testStart + 10*tick.Tick(maxSuspects)).Verdicts; len(verdicts) != maxVerdicts || verdicts[0].Age > 1 {
		t.Errorf("reported verdicts: %+v", verdicts)
	}
}

// suspectName is the name of the suspected backend.
const suspectName = "unit-7"

// reportFalsely makes relay 9 report the same false evidence on each of several backends to all other relays.
func reportFalsely(f *testFleet, evidence Evidence, backends ...string) {
	report := f.relays[9].LocalReport(f.now)
	report.Evidence, report.Verdicts = []Evidence{}, nil
	for _, name := range backends {
		evidence.Backend = xxhash.Sum64String(name)
		report.Evidence = append(report.Evidence, evidence)
		report.Verdicts = append(report.Verdicts, Verdict{Backend: evidence.Backend, Healthy: evidence.Successes > 0})
	}
	for to := range 9 {
		f.relays[to].UpdatePeer(f.now, PeerUpdate{Name: relayName(9), Report: report, State: PeerAlive})
	}
}

// failAt makes the first relays, as many as the parameter relays says, record failures at the backend suspectName. Each
// relay records one failure more than the parameter failures says: its first failure makes the backend a suspect and
// does not count as evidence.
func failAt(f *testFleet, relays, failures int) {
	for i := range relays {
		f.recordOutcomes(i, 1+failures, suspectName, false)
	}
}

var ejectionCases = []struct {
	name  string
	setup func(f *testFleet)
	want  bool
}{
	{"two failures at each of three relays", func(f *testFleet) { failAt(f, 3, 2) }, true},
	{"many failures at each of two relays", func(f *testFleet) { failAt(f, 2, 5) }, false},
	{"one failure at each of five relays", func(f *testFleet) { failAt(f, 5, 1) }, true},
	{"one failure at each of four relays", func(f *testFleet) { failAt(f, 4, 1) }, false},
	{"only the failures that made it a suspect", func(f *testFleet) { failAt(f, 9, 0) }, false},
	{"successes at other relays", func(f *testFleet) {
		failAt(f, 4, 2)
		f.run(1, nil)
		for i := 4; i < 8; i++ {
			f.recordOutcomes(i, 2, suspectName, true)
		}
	}, false},
	{"one relay's false failures", func(f *testFleet) {
		reportFalsely(f, Evidence{Failures: 2}, suspectName, suspectName, suspectName, "unit-8")
		failAt(f, 1, 2)
	}, false},
	{"one relay's false successes", func(f *testFleet) {
		reportFalsely(f, Evidence{Successes: 2}, suspectName)
		failAt(f, 5, 2)
	}, true},
	{"relays cut off from all backends", func(f *testFleet) { // a relay at which all backends fail does not report any evidence
		for i := range 3 {
			for b := range 9 {
				f.recordOutcomes(i, 8, fmt.Sprint("unit-", b), false)
			}
		}
		failAt(f, 3, 2)
	}, false},
	{"expired outcomes", func(f *testFleet) {
		failAt(f, 2, 2)
		f.run(11, nil)
		f.recordOutcomes(4, 3, suspectName, false)
	}, false},
	{"verdicts of an earlier version", func(f *testFleet) {
		for i := range 3 {
			report := Report{LocalFraction: 1, SharedFraction: 1, Verdicts: []Verdict{{Backend: xxhash.Sum64String(suspectName)}}}
			f.relays[5].UpdatePeer(f.now, PeerUpdate{Name: relayName(i), Incarnation: 1, Report: report, State: PeerAlive})
		}
		f.delivers = func(from, _ int) bool { return from > 3 }
	}, true},
	{"one relay that restarts again and again", func(f *testFleet) {
		for incarnation := range 9 {
			report := Report{LocalFraction: 1, SharedFraction: 1, Evidence: []Evidence{{Backend: xxhash.Sum64String(suspectName), Failures: 2}}}
			f.relays[5].UpdatePeer(f.now, PeerUpdate{Name: relayName(1), Incarnation: uint64(incarnation + 1), Report: report, State: PeerAlive})
		}
		f.delivers = func(from, _ int) bool { return from != 1 }
	}, false},
}

// TestIsEjected_ByEvidenceOfAll: a relay whose own attempts do not fail ejects a backend if, and only if, the evidence of
// all relays together suffices.
func TestIsEjected_ByEvidenceOfAll(t *testing.T) {
	for _, tc := range ejectionCases {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestFleet(10, nil)
			f.run(1, nil)
			tc.setup(f)
			f.run(0.5, nil)
			f.exchangeReports()
			if got := f.relays[5].IsEjected(f.now, suspectName); got != tc.want || f.relays[5].IsEjected(f.now, "unit-8") {
				t.Errorf("ejected: %v; or unit-8, which no case may eject, was ejected", got)
			}
		})
	}
}

// TestIsEjected_NotByTwoRelays: relay 0 reports arbitrary false evidence and restarts any number of times. Relay 1
// records failures only, as a relay behind a cut link does. The other relays eject no backend that answers them or that
// they do not use.
func TestIsEjected_NotByTwoRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.IntRange(3, 8).Draw(t, "relays"), nil)
		n := len(f.relays)
		backend := func() string { return fmt.Sprint("unit-", rapid.IntRange(0, 3).Draw(t, "backend")) }
		incarnation := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"false evidence": func(t *rapid.T) {
				report := Report{LocalFraction: 1, SharedFraction: 1, Evidence: []Evidence{}}
				for range rapid.IntRange(0, maxEvidence).Draw(t, "evidence") {
					failures := rapid.IntRange(0, maxOutcomesPerRelay).Draw(t, "failures")
					report.Evidence = append(report.Evidence, Evidence{xxhash.Sum64String(backend()), failures, 0,
						tick.Tick(rapid.IntRange(0, 20).Draw(t, "age")) * tick.Second})
				}
				incarnation += uint64(rapid.IntRange(0, 1).Draw(t, "restarts"))
				for to := 1; to < n; to++ {
					f.relays[to].UpdatePeer(f.now, PeerUpdate{Name: relayName(0), Incarnation: incarnation, Report: report, Age: tick.Tick(rapid.IntRange(0, 9).Draw(t, "late")), State: PeerAlive})
				}
			},
			"failures behind a cut link": func(t *rapid.T) { f.recordOutcomes(1, rapid.IntRange(1, 5).Draw(t, "times"), backend(), false) },
			"successes": func(t *rapid.T) {
				f.recordOutcomes(rapid.IntRange(2, n-1).Draw(t, "at"), rapid.IntRange(1, 5).Draw(t, "times"), backend(), true)
			},
			"delivery": func(t *rapid.T) {
				from := rapid.IntRange(1, n-1).Draw(t, "from")
				for to := 1; to < n; to++ {
					if to != from && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
						f.relays[to].UpdatePeer(f.now, PeerUpdate{Name: relayName(from), Incarnation: 0, Report: f.relays[from].LocalReport(f.now), State: PeerAlive})
					}
				}
			},
			"time": func(t *rapid.T) { f.now += tick.Tick(rapid.IntRange(1, 50000).Draw(t, "ticks")) },
			"": func(t *rapid.T) {
				for i := 2; i < n; i++ {
					for b := range 4 {
						if f.relays[i].IsEjected(f.now, fmt.Sprint("unit-", b)) {
							t.Fatalf("relay %d ejects backend %d", i, b)
						}
					}
				}
			},
		})
	})
}

// TestIsEjected_TakenBackGradually: when all relays have ejected a backend, they try it at most fleet.probes times per
// second, counted over all relays. Once the backend answers, they take it back within seconds but not at once. Before it
// answers, false successes from one relay have little effect.
func TestIsEjected_TakenBackGradually(t *testing.T) {
	const backend, n = "unit-7", 100
	f := newTestFleet(n, nil)
	f.run(1, nil)
	for i := range 6 {
		f.recordOutcomes(i, 2, backend, false)
	}
	healthy, attempts := false, 0
	tryBackend := func(_ int, m *Manager) {
		if !m.IsEjected(f.now, backend) || m.AllowProbe(f.now, backend) {
			m.RecordOutcome(f.now, backend, healthy)
			attempts++
		}
	}
	f.run(1, nil)
	f.run(60, tryBackend)
	if attempts < 10 || attempts > 120 {
		t.Errorf("the ejected backend was tried %d times in 60 s", attempts)
	}
	falseReporter := 0
	for i := range n {
		if s := f.relays[i].suspects[xxhash.Sum64String(backend)]; s.higherRanked == 0 { // the first prober, whose reports reach all relays
			falseReporter = i
		}
	}
	attempts = 0
	f.run(60, func(i int, m *Manager) {
		if i == falseReporter {
			m.RecordOutcome(f.now, backend, true)
		} else {
			tryBackend(i, m)
		}
	})
	if attempts > 120 {
		t.Errorf("tried %d times in 60 s with false successes reported", attempts)
	}
	healthy = true
	var attemptsPerStep []int // number of attempts by all relays, per tenth of a second
	f.run(15, func(i int, m *Manager) {
		if i == 0 {
			attemptsPerStep = append(attemptsPerStep, 0)
		}
		before := attempts
		tryBackend(i, m)
		attemptsPerStep[len(attemptsPerStep)-1] += attempts - before
	})
	for i := range attemptsPerStep[1:] {
		if attemptsPerStep[i+1]-attemptsPerStep[i] > n/3 {
			t.Errorf("%d relays of %d take the backend back within a tenth of a second", attemptsPerStep[i+1]-attemptsPerStep[i], n)
		}
	}
	if attemptsPerStep[60] < n {
		t.Errorf("attempts once the backend answers again, by tenths of a second: %v", attemptsPerStep)
	}
}

// TestIsEjected_NotByCommonFailures: if a large part of all outcomes are failures, they cause no ejection, and no backend
// is left to a few probers. A backend that was ejected before stays ejected.
func TestIsEjected_NotByCommonFailures(t *testing.T) {
	f := newTestFleet(10, nil)
	for i := range f.relays {
		f.recordOutcomes(i, 3, "unit-99", false)
	}
	f.run(1, func(i int, m *Manager) { m.IsEjected(f.now, "unit-99") })
	f.run(3, func(i int, m *Manager) {
		for backend := range 10 {
			m.RecordOutcome(f.now, fmt.Sprint("unit-", backend), false)
		}
	})
	for i, m := range f.relays {
		if !m.AllowProbe(f.now, "unit-7") || m.IsEjected(f.now, "unit-7") {
			t.Errorf("relay %d blames one backend", i)
		}
		if !m.IsEjected(f.now, "unit-99") {
			t.Errorf("relay %d no longer ejects the backend that was ejected before", i)
		}
	}
}
