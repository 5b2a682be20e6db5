package devicehealth_test

import (
	"fmt"
	"testing"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

func BenchmarkAssess(b *testing.B) { // one second of a node with eight readings
	u := devicehealth.NewMonitor(0, nil)
	for i := 0; b.Loop(); i++ {
		now := tick.Tick(i) * second
		battery(u, now, 0.8-float64(i%1000)*1e-6, 20+float64(i%7)/10)
		for _, z := range []string{"z0", "z1", "z2", "z3"} {
			u.AddReading(now, ok(z, devicehealth.KindTemperature, 50+float64(i%5)/10))
		}
		u.AddReading(now, ok("AC", devicehealth.KindMains, 0))
		u.Assess(now)
	}
}

func BenchmarkVerifier_RecordOutcome(b *testing.B) { // at the leading controller, of one of 100 nodes
	k := devicehealth.NewVerifier()
	for i := range 100 {
		k.Verify(0, fmt.Sprint("u", i), "north", claim(devicehealth.StateAccepting))
	}
	for i := 0; b.Loop(); i++ {
		k.RecordOutcome(0, "u7", i%50 != 0)
	}
}

func BenchmarkReport_JSON(b *testing.B) {
	k := devicehealth.NewVerifier()
	r := claim(devicehealth.StateAccepting)
	for i := 0; b.Loop(); i++ {
		k.Verify(tick.Tick(i)*second, "u", "north", r)
	}
}
