package devicehealth_test

import (
	"fmt"
	"testing"

	"silvercove/internal/devicehealth"
	"silvercove/internal/tick"
)

// BenchmarkAssess measures the eight readings and the assessment of one second of one node.
func BenchmarkAssess(b *testing.B) {
	monitor := devicehealth.NewMonitor(0, nil)
	for i := 0; b.Loop(); i++ {
		now := tick.Tick(i) * second
		addBattery(monitor, now, 0.8-float64(i%1000)*1e-6, 20+float64(i%7)/10)
		for _, z := range []string{"z0", "z1", "z2", "z3"} {
			monitor.AddReading(now, okReading(z, devicehealth.KindTemperature, 50+float64(i%5)/10))
		}
		monitor.AddReading(now, okReading("AC", devicehealth.KindMains, 0))
		monitor.Assess(now)
	}
}

// BenchmarkVerifier_RecordOutcome measures how long the Verifier takes for one outcome of a node in a zone of 100 nodes.
func BenchmarkVerifier_RecordOutcome(b *testing.B) {
	verifier := devicehealth.NewVerifier()
	for i := range 100 {
		verifier.Verify(0, fmt.Sprint("u", i), "north", reportClaiming(devicehealth.StateAccepting))
	}
	for i := 0; b.Loop(); i++ {
		verifier.RecordOutcome(0, "u7", i%50 != 0)
	}
}

func BenchmarkReport_JSON(b *testing.B) {
	verifier := devicehealth.NewVerifier()
	r := reportClaiming(devicehealth.StateAccepting)
	for i := 0; b.Loop(); i++ {
		verifier.Verify(tick.Tick(i)*second, "u", "north", r)
	}
}
