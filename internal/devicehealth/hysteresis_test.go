package devicehealth_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

// However the temperature swings around a limit, the state changes at most 44 times in an hour. The dwell time doubles,
// so there are at most 8 rises. There are at most 4 falls before the first rise, and at most 4 after each rise. That makes
// at most 8 + 9*4 = 44 changes.
func TestAssess_TemperatureSwingsDoNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		middle, high := rapid.Float64Range(60, 90).Draw(t, "middle"), rapid.Float64Range(0, 25).Draw(t, "high")
		period := rapid.Float64Range(2, 3600).Draw(t, "period")
		square := rapid.Bool().Draw(t, "square")
		rng := rand.New(rand.NewPCG(seed, 1))
		monitor := devicehealth.NewMonitor(0, nil)
		monitor.AddReading(0, okReading("AC", devicehealth.KindMains, 1))
		var changes []tick.Tick
		previous := devicehealth.State("")
		for s := 0; s < 4500; s += 3 {
			now := tick.Tick(s) * second
			swing := math.Sin(2 * math.Pi * float64(s) / period)
			if square {
				swing = math.Copysign(1, swing)
			}
			monitor.AddReading(now, okReading("AC", devicehealth.KindMains, 1))
			monitor.AddReading(now, okReading("z", devicehealth.KindTemperature, middle+high*swing+0.3*rng.NormFloat64()))
			if r := monitor.Assess(now); r.State != previous {
				previous, changes = r.State, append(changes, now)
			}
			for len(changes) > 0 && now-changes[0] > 3600*second {
				changes = changes[1:]
			}
			if len(changes) > 44 {
				t.Fatalf("%d changes within an hour by %d s", len(changes), s)
			}
		}
	})
}

// The machine in this test is throttled whenever its node accepts instances. The node's state rises at most eight times
// in the first hour and at most four times in the second.
func TestAssess_DwellTimeDoubles(t *testing.T) {
	monitor := devicehealth.NewMonitor(0, nil)
	rises, previous, slow := [2]int{}, devicehealth.StateAccepting, 0.5
	for s := range 7200 {
		now := tick.Tick(s) * second
		monitor.AddReading(now, okReading("AC", devicehealth.KindMains, 1))
		monitor.AddReading(now, okReading("cpu", devicehealth.KindThrottle, slow))
		r := monitor.Assess(now)
		if rank(r.State) > rank(previous) {
			rises[s/3600]++
		}
		if previous = r.State; previous == devicehealth.StateAccepting {
			slow = 0.5
		} else {
			slow = 0
		}
	}
	if rises[0] < 4 || rises[0] > 8 || rises[1] < 2 || rises[1] > 4 {
		t.Errorf("rises in the first and second hour: %v", rises)
	}
}
