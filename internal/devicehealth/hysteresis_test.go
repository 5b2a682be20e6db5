package devicehealth_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

// Whatever heat does around a limit, the state changes at most 44 times in an hour: at most eight rises,
// as the dwell time doubles, and four steps down after each.
func TestAssess_HeatSwingsDoNotChatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		middle, high := rapid.Float64Range(60, 90).Draw(t, "middle"), rapid.Float64Range(0, 25).Draw(t, "high")
		period := rapid.Float64Range(2, 3600).Draw(t, "period")
		square := rapid.Bool().Draw(t, "square")
		chance := rand.New(rand.NewPCG(seed, 1))
		u := devicehealth.NewMonitor(0, nil)
		u.AddReading(0, ok("AC", devicehealth.KindMains, 1))
		var changes []tick.Tick
		was := devicehealth.State("")
		for s := 0; s < 4500; s += 3 {
			now := tick.Tick(s) * second
			swing := math.Sin(2 * math.Pi * float64(s) / period)
			if square {
				swing = math.Copysign(1, swing)
			}
			u.AddReading(now, ok("AC", devicehealth.KindMains, 1))
			u.AddReading(now, ok("z", devicehealth.KindTemperature, middle+high*swing+0.3*chance.NormFloat64()))
			if r := u.Assess(now); r.State != was {
				was, changes = r.State, append(changes, now)
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

// A machine that slows itself as soon as it is given work again: at most eight rises in the first hour,
// four in the next ones.
func TestAssess_DwellTimeDoubles(t *testing.T) {
	u := devicehealth.NewMonitor(0, nil)
	rises, was, slow := [2]int{}, devicehealth.StateAccepting, 0.5
	for s := range 7200 {
		now := tick.Tick(s) * second
		u.AddReading(now, ok("AC", devicehealth.KindMains, 1))
		u.AddReading(now, ok("cpu", devicehealth.KindThrottle, slow))
		r := u.Assess(now)
		if rank(r.State) > rank(was) {
			rises[s/3600]++
		}
		if was = r.State; was == devicehealth.StateAccepting {
			slow = 0.5
		} else {
			slow = 0
		}
	}
	if rises[0] < 4 || rises[0] > 8 || rises[1] < 2 || rises[1] > 4 {
		t.Errorf("%v rises an hour", rises)
	}
}
