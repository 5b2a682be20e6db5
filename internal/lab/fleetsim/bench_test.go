package fleetsim

import (
	"io"
	"testing"
	"time"

	"silvercove/internal/tick"
)

// BenchmarkEvent measures the cost of simulating a public event (see EventScript) in a fleet of 1,000 nodes, for 5 minutes and
// for 1 hour of simulated time. Run it with GOGC=400 go test -run - -bench Event/1h -benchtime 1x -cpuprofile FILE.
func BenchmarkEvent(b *testing.B) {
	for _, span := range []time.Duration{5 * time.Minute, time.Hour} {
		b.Run(span.String()[:2], func(b *testing.B) {
			for b.Loop() {
				PlayEvent(io.Discard, 1, Large(1000), tick.FromDuration(span))
			}
		})
	}
}
