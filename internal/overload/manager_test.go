package overload

import (
	"fmt"
	"testing"

	"silvercove/internal/tick"
)

// TestManager_StandaloneAllowsAll: without peers, every request is admitted, every retry and probe is allowed, and nothing
// waits, under any pressure.
func TestManager_StandaloneAllowsAll(t *testing.T) {
	for relays := range 2 {
		m, now := NewManager(testStart, 1, "only", testSettings(float64(relays), nil)), testStart
		for i := range 1000 {
			now += tick.Second / 10
			m.UpdatePressure(now, Pressure{SchedulingDelay: tick.Second, CPU: 3, Memory: 3, BackendUtilization: 100})
			m.RecordOutcome(now, "u", false)
			if ok, retryAfter := m.Admit(now, i%3, float64(i%3), fmt.Sprint(i)); !ok || retryAfter != 0 {
				t.Fatal("a request was shed")
			}
			if !m.AllowRetry(now, i%2 == 0) || !m.AllowProbe(now, "u") {
				t.Fatal("a retry or a probe was refused")
			}
			for _, step := range []StartupStep{StepAccept, StepListEndpoints, StepConnect} {
				if m.StartupDelay(now, step) != 0 {
					t.Fatal("a startup step was delayed")
				}
			}
		}
	}
}

// TestManager_IsolatedShedsNothing: a relay that hears of no other relay for 5 s sheds nothing and waits for nothing. Its
// own retry budget still applies.
func TestManager_IsolatedShedsNothing(t *testing.T) {
	f := newTestFleet(4, map[string]float64{"ramp": 60})
	m := f.relays[0]
	applyLoad := func(i int, m *Manager) {
		m.UpdatePressure(f.now, Pressure{BackendUtilization: 3})
		m.Admit(f.now, 0, 1, "x")
	}
	f.run(5, applyLoad)
	if m.AdmittedFraction() > 0.1 || m.StartupDelay(f.now, StepConnect) == 0 {
		t.Fatalf("under pressure: admitted fraction %v, or no startup delay", m.AdmittedFraction())
	}
	f.delivers = func(from, to int) bool { return to != 0 }
	f.run(4, applyLoad)
	if m.AdmittedFraction() > 0.1 {
		t.Errorf("admitted more because of old reports: fraction %v", m.AdmittedFraction())
	}
	f.run(2, applyLoad)
	for i := range 100 {
		if ok, _ := m.Admit(f.now, 0, 1, fmt.Sprint(i)); !ok {
			t.Fatal("shed while isolated")
		}
	}
	if m.StartupDelay(f.now, StepAccept) != 0 || m.StartupDelay(f.now, StepConnect) != 0 {
		t.Error("startup delayed while isolated")
	}
	m.budget.credit = 0
	if m.AllowRetry(f.now, false) {
		t.Error("a retry without budget while isolated")
	}
	f.delivers = func(from, to int) bool { return true }
	f.run(1, applyLoad)
	if m.AdmittedFraction() > 0.9 {
		t.Errorf("no longer isolated, but not drawn to the others' fraction: %v", m.AdmittedFraction())
	}
}

// TestRetryAfter_SpreadsEvenly: the delays are spread evenly from minDelay to maxDelay, both at one relay and over all
// relays.
func TestRetryAfter_SpreadsEvenly(t *testing.T) {
	const minDelay, maxDelay, n = tick.Second, 3 * tick.Second, 20
	var all [10]int
	for i := range 10 {
		m, own := NewManager(testStart, uint64(i), relayName(i), testSettings(10, nil)), [4]int{}
		for range n {
			delay := m.RetryAfter(testStart, minDelay, maxDelay)
			if delay < minDelay || delay >= maxDelay {
				t.Fatal(delay)
			}
			all[(delay-minDelay)*10/(maxDelay-minDelay)]++
			own[(delay-minDelay)*4/(maxDelay-minDelay)]++
		}
		for _, count := range own {
			if count < n/4-3 || count > n/4+3 {
				t.Errorf("relay %d: uneven delays: %v", i, own)
			}
		}
	}
	for _, count := range all {
		if count < 12 || count > 28 {
			t.Errorf("uneven delays over all relays: %v", all)
		}
	}
}
