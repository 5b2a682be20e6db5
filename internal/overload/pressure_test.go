package overload

import (
	"testing"

	"silvercove/internal/tick"
)

// TestUpdatePressure_RelaysConverge: relays under different pressure come to admit about the same fraction. A relay whose
// own process is overloaded sheds more.
func TestUpdatePressure_RelaysConverge(t *testing.T) {
	f := newTestFleet(10, nil)
	offer := func(i int, m *Manager) {
		m.Admit(f.now, 0, 1, "x")
		m.UpdatePressure(f.now, Pressure{BackendUtilization: map[bool]float64{true: 1.15, false: 0.99}[i < 6]})
	}
	f.run(10, offer)
	least, most := 1.0, 0.0
	for _, m := range f.relays {
		least, most = min(least, m.AdmittedFraction()), max(most, m.AdmittedFraction())
	}
	if most > 0.4 || most-least > 0.3 {
		t.Errorf("admitted fractions from %.2f to %.2f", least, most)
	}
	f.relays[0].UpdatePressure(f.now, Pressure{SchedulingDelay: tick.Second, BackendUtilization: 0.5})
	for range 20 {
		f.now += tick.Second / 10
		f.relays[0].UpdatePressure(f.now, Pressure{SchedulingDelay: tick.Second, BackendUtilization: 0.5})
	}
	if f.relays[0].AdmittedFraction() > 0.1 {
		t.Error("a relay that is overloaded itself does not shed more than the others")
	}
}

// TestUpdatePressure_FewReportsSlowRecovery: a relay that receives reports from few other relays raises its admitted
// fraction more slowly than a relay that receives all reports. An old report does not enter the median of the
// fractions.
func TestUpdatePressure_FewReportsSlowRecovery(t *testing.T) {
	recovery := func(peersHeard int) float64 {
		f := newTestFleet(10, nil)
		f.delivers = func(from, to int) bool { return from < peersHeard || to != 0 }
		offer := func(p float64) func(i int, m *Manager) {
			return func(i int, m *Manager) {
				m.Admit(f.now, 0, 1, "x")
				m.UpdatePressure(f.now, Pressure{BackendUtilization: p})
			}
		}
		f.run(4, offer(1.5))
		low := f.relays[0].AdmittedFraction()
		f.run(1.5, offer(0.5))
		return f.relays[0].AdmittedFraction() / low
	}
	if withAll, withOne := recovery(10), recovery(2); withAll < 1.5*withOne || withOne <= 1 {
		t.Errorf("growth of the admitted fraction in 1.5 s: %.2f with all reports, %.2f with one relay's", withAll, withOne)
	}
	m := NewManager(testStart, 1, "a", testSettings(2, nil))
	m.Admit(testStart, 0, 1, "x")
	m.UpdatePeer(testStart, PeerUpdate{Name: "b", Incarnation: 1, Report: Report{LocalFraction: 1, SharedFraction: 0.05, OfferedWork: []float64{1}}, Age: 2 * reportTTL, State: PeerAlive})
	if m.fleet.voters != 0 || len(m.fleet.fresh) != 0 {
		t.Error("an old report is counted")
	}
}
