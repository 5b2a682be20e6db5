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

func TestAssess_SingleInvalidReadingKeepsState(t *testing.T) {
	for _, outlier := range []devicehealth.Reading{okReading("BAT0", devicehealth.KindCharge, 0.06), okReading("BAT0", devicehealth.KindCharge, math.Inf(-1)),
		{Name: "BAT0", Kind: devicehealth.KindCharge, Reason: "input/output error"}, okReading("z", devicehealth.KindTemperature, 124), okReading("BAT0", devicehealth.KindDraw, 90)} {
		monitor := devicehealth.NewMonitor(0, nil)
		for s := range tick.Tick(300) {
			now := s * second
			addBattery(monitor, now, 0.8-float64(s)*20/216000, 20)
			monitor.AddReading(now, okReading("z", devicehealth.KindTemperature, 50+float64(s%2)))
			if s == 200 {
				monitor.AddReading(now+second/2, outlier)
			}
			if r := monitor.Assess(now + second/2); r.State != devicehealth.StateAccepting {
				t.Fatalf("%+v: %d s: %s %v", outlier, s, r.State, r.Reasons)
			}
		}
	}
}

// A charge that stays the same while energy is drawn from the battery is reported as stuck, once 3% of the full charge
// have been drawn.
func TestAssess_StuckChargeDetectedByDraw(t *testing.T) {
	monitor := devicehealth.NewMonitor(0, nil)
	for s := range tick.Tick(600) {
		addBattery(monitor, s*second, 0.8, 30+float64(s%3)/10)
		r := monitor.Assess(s * second)
		found := r.State == devicehealth.StateHolding && strings.Contains(r.Reasons[0], "BAT0 charge unknown: stuck: the same while")
		if found != (s > 216) && (s < 215 || s > 218) { // at 30 W, 3% of 216 kJ are drawn after 216 s
			t.Fatalf("%d s: %s %v", s, r.State, r.Reasons)
		}
	}
}

func TestAddReading_BoundsSeries(t *testing.T) {
	monitor := devicehealth.NewMonitor(0, nil)
	for i := range 1000 {
		monitor.AddReading(0, okReading(fmt.Sprint("z", i), devicehealth.KindTemperature, 40))
	}
	monitor.AddReading(0, okReading("AC", devicehealth.KindMains, 1))
	if r := monitor.Assess(0); r.State != devicehealth.StateHolding || !slices.Contains(r.UnknownReadings, "more") {
		t.Errorf("more readings than the Monitor tracks: %+v", r)
	}
}

// A swapped battery looks like a jump of the charge. The new charge is accepted once it has stayed near the new value for
// jumpConfirmTime and has changed in that time.
func TestAddReading_SwappedBattery(t *testing.T) {
	monitor := devicehealth.NewMonitor(0, nil)
	acceptsAt := 0
	for s := range 900 {
		now, charge := tick.Tick(s)*second, 0.2-float64(s)*30/216000
		if s >= 300 {
			charge += 0.7
		}
		addBattery(monitor, now, charge, 30)
		r := monitor.Assess(now)
		switch {
		case s == 320 && r.State != devicehealth.StateHolding:
			t.Errorf("right after the swap: %s %v", r.State, r.Reasons)
		case s > 320 && r.State == devicehealth.StateAccepting && acceptsAt == 0:
			acceptsAt = s
		}
	}
	if acceptsAt < 360 || acceptsAt > 480 {
		t.Errorf("the node accepts instances again at %d s, want 360 to 480", acceptsAt)
	}
}
