package overload

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

// fleetSizes are the numbers of relays in the benchmarks. The cost of a decision must not grow with the number of relays.
// The cost of a peer's report may grow at most with its logarithm.
var fleetSizes = []int{100, 1000, 10000}

func largeFleet(n int) (*Manager, []string) {
	m, names := NewManager(testStart, 1, "self", testSettings(float64(n), nil)), make([]string, n)
	for i := range names {
		names[i] = relayName(i)
		m.UpdatePeer(testStart, PeerUpdate{Name: names[i], Incarnation: 1, Report: Report{LocalFraction: 1, SharedFraction: 0.5, OfferedWork: []float64{1, 2, 3}}, Age: tick.Tick(i % 20000), State: PeerAlive})
	}
	return m, names
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, _ := largeFleet(n)
			now := testStart
			for i := 0; b.Loop(); i++ {
				if i%100 == 0 { // each 100 requests take 0.01 s, so there are 10,000 per second
					now += tick.Second / 100
					m.fleet.newestReportAt = now
					m.UpdatePressure(now, Pressure{BackendUtilization: 1.1})
				}
				m.Admit(now, i%5, float64(i%3), benchNames[i%5])
			}
		})
	}
}

var benchNames = []string{"acme", "north", "south-desk", "ringside-4", "van-11"}

func BenchmarkAllowRetry(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, _ := largeFleet(n)
			for i := 0; b.Loop(); i++ {
				m.RecordFirstAttempt(testStart + tick.Tick(i))
				m.AllowRetry(testStart+tick.Tick(i), i%7 == 0)
			}
		})
	}
}

func BenchmarkAllowProbe(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, _ := largeFleet(n)
			for i := 0; b.Loop(); i++ {
				m.AllowProbe(testStart+tick.Tick(i), benchNames[i%5])
			}
		})
	}
}

func BenchmarkUpdatePeer(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, names := largeFleet(n)
			var evidence []Evidence
			for _, name := range benchNames {
				m.AllowProbe(testStart, name)
				evidence = append(evidence, Evidence{xxhash.Sum64String(name), 1, 1, 0})
			}
			now := testStart
			for i := 0; b.Loop(); i++ {
				if i%n == 0 {
					now += tick.Second
				}
				m.UpdatePeer(now+tick.Tick(i%n), PeerUpdate{Name: names[i%n], Incarnation: 1, Report: Report{LocalFraction: 1, SharedFraction: 0.5, OfferedWork: []float64{1, 2, 3}, Evidence: evidence}, State: PeerAlive})
			}
		})
	}
}
