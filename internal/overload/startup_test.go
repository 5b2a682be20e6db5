package overload

import (
	"testing"

	"silvercove/internal/tick"
)

// TestStartupDelay_SpreadsCommonRestart: after a common restart, the startup steps are spread over the window. A relay that
// restarts alone hardly waits.
func TestStartupDelay_SpreadsCommonRestart(t *testing.T) {
	const n = 30
	f := newTestFleet(n, nil)
	for _, peersKnown := range []bool{false, true} {
		for _, step := range []StartupStep{StepAccept, StepListEndpoints, StepConnect} {
			var perSecond [3]int // number of relays that take the step, by second of the window
			for _, m := range f.relays {
				perSecond[min(2, int(m.StartupDelay(f.now, step)/tick.Second))]++
			}
			for second, count := range perSecond {
				if limit := map[bool]int{true: n / 2, false: 2 * n / 3}[peersKnown && step != StepConnect]; count > limit || count < 2 {
					t.Errorf("peers known %v: %d of %d relays in second %d, step %d", peersKnown, count, n, second, step)
				}
			}
		}
		f.exchangeReports()
	}
	f.run(4, nil)
	for _, m := range f.relays {
		if m.StartupDelay(f.now, StepAccept) != 0 || m.StartupDelay(f.now, StepConnect) != 0 {
			t.Fatal("a delay after the end of the startup window")
		}
	}
	f.relays[3], f.incarnations[3] = NewManager(f.now, 99, relayName(3), testSettings(n, nil)), 1
	f.exchangeReports()
	for _, step := range []StartupStep{StepAccept, StepListEndpoints, StepConnect} {
		if delay := f.relays[3].StartupDelay(f.now, step); delay > tick.Second/5 {
			t.Errorf("a relay that restarts alone waits %v before step %d", delay.Duration(), step)
		}
	}
}
