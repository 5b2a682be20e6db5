package overload

import (
	"testing"

	"silvercove/internal/tick"
)

// TestStartupDelay_SpreadsCommonRestart: after a common restart starts and list calls are spread over the window; one
// that starts alone hardly waits.
func TestStartupDelay_SpreadsCommonRestart(t *testing.T) {
	const n = 30
	c := newTestFleet(n, nil)
	for _, knows := range []bool{false, true} {
		for _, what := range []StartupStep{StepAccept, StepList, StepConnect} {
			var in [3]int // a second of the window each
			for _, m := range c.relays {
				in[min(2, int(m.StartupDelay(c.now, what)/tick.Second))]++
			}
			for second, many := range in {
				if most := map[bool]int{true: n / 2, false: 2 * n / 3}[knows && what != StepConnect]; many > most || many < 2 {
					t.Errorf("knows %v: %d of %d in second %d of step %d", knows, many, n, second, what)
				}
			}
		}
		c.exchangeReports()
	}
	c.run(4, nil)
	for _, m := range c.relays {
		if m.StartupDelay(c.now, StepAccept) != 0 || m.StartupDelay(c.now, StepConnect) != 0 {
			t.Fatal("the window is over")
		}
	}
	c.relays[3], c.incarnations[3] = NewManager(c.now, 99, relayName(3), testSettings(n, nil)), 1
	c.exchangeReports()
	for _, what := range []StartupStep{StepAccept, StepList, StepConnect} {
		if w := c.relays[3].StartupDelay(c.now, what); w > tick.Second/5 {
			t.Errorf("one that restarts alone waits %v with step %d", w.Duration(), what)
		}
	}
}
