package devicehealth_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

func TestAssess_OneOddReadingChangesNothing(t *testing.T) {
	for _, odd := range []devicehealth.Reading{ok("BAT0", devicehealth.KindCharge, 0.06), ok("BAT0", devicehealth.KindCharge, math.Inf(-1)),
		{Name: "BAT0", Kind: devicehealth.KindCharge, Reason: "input/output error"}, ok("z", devicehealth.KindTemperature, 124), ok("BAT0", devicehealth.KindDraw, 90)} {
		u := devicehealth.NewMonitor(0, nil)
		for s := range tick.Tick(300) {
			now := s * second
			battery(u, now, 0.8-float64(s)*20/216000, 20)
			u.AddReading(now, ok("z", devicehealth.KindTemperature, 50+float64(s%2)))
			if s == 200 {
				u.AddReading(now+second/2, odd)
			}
			if r := u.Assess(now + second/2); r.State != devicehealth.StateAccepting {
				t.Fatalf("%+v: %d s: %s %v", odd, s, r.State, r.Reasons)
			}
		}
	}
}

// A gauge that stands still while the draw goes on.
func TestAssess_StuckChargeIsFoundByDraw(t *testing.T) {
	u := devicehealth.NewMonitor(0, nil)
	for s := range tick.Tick(600) {
		battery(u, s*second, 0.8, 30+float64(s%3)/10)
		r := u.Assess(s * second)
		found := r.State == devicehealth.StateHolding && strings.Contains(r.Reasons[0], "BAT0 charge unknown: stuck: the same while")
		if found != (s > 216) && (s < 215 || s > 218) { // 3% of 216 kJ at 30 W
			t.Fatalf("%d s: %s %v", s, r.State, r.Reasons)
		}
	}
}

func TestAddReading_BoundsSeries(t *testing.T) {
	u := devicehealth.NewMonitor(0, nil)
	for i := range 1000 {
		u.AddReading(0, ok(fmt.Sprint("z", i), devicehealth.KindTemperature, 40))
	}
	u.AddReading(0, ok("AC", devicehealth.KindMains, 1))
	if r := u.Assess(0); r.State != devicehealth.StateHolding || !slices.Contains(r.UnknownReadings, "more") {
		t.Errorf("%+v", r)
	}
}

// A swapped battery is believed once its charge has stood and moved.
func TestAddReading_SwappedBattery(t *testing.T) {
	u := devicehealth.NewMonitor(0, nil)
	back := 0
	for s := range 900 {
		now, charge := tick.Tick(s)*second, 0.2-float64(s)*30/216000
		if s >= 300 {
			charge += 0.7
		}
		battery(u, now, charge, 30)
		r := u.Assess(now)
		switch {
		case s == 320 && r.State != devicehealth.StateHolding:
			t.Errorf("right after it: %s %v", r.State, r.Reasons)
		case s > 320 && r.State == devicehealth.StateAccepting && back == 0:
			back = s
		}
	}
	if back < 360 || back > 480 {
		t.Errorf("it accepts again at %d s", back)
	}
}
