package overload

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

// sizes of a fleet: what a decision costs must not grow with them, nor what a member's news cost by more than a logarithm.
var sizes = []int{100, 1000, 10000}

func large(n int) (*Manager, []string) {
	f, names := NewManager(start, 1, "self", settings(float64(n), nil)), make([]string, n)
	for i := range names {
		names[i] = name(i)
		f.UpdatePeer(start, names[i], 1, "", Report{LocalFraction: 1, SharedFraction: 0.5, OfferedWork: []float64{1, 2, 3}}, tick.Tick(i%20000), "alive")
	}
	return f, names
}

func BenchmarkTake(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := large(n)
			now := start
			for i := 0; b.Loop(); i++ {
				if i%100 == 0 { // 10,000 commands a second
					now += tick.Second / 100
					f.heard = now
					f.UpdatePressure(now, Pressure{BackendUtilization: 1.1})
				}
				f.Admit(now, i%5, float64(i%3), names5[i%5])
			}
		})
	}
}

var names5 = []string{"acme", "north", "south-desk", "ringside-4", "van-11"}

func BenchmarkAgain(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := large(n)
			for i := 0; b.Loop(); i++ {
				f.RecordFirstAttempt(start + tick.Tick(i))
				f.AllowRetry(start+tick.Tick(i), i%7 == 0)
			}
		})
	}
}

func BenchmarkProbes(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, _ := large(n)
			for i := 0; b.Loop(); i++ {
				f.AllowProbe(start+tick.Tick(i), names5[i%5])
			}
		})
	}
}

func BenchmarkPeer(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, names := large(n)
			var signs []Evidence
			for _, u := range names5 {
				f.AllowProbe(start, u)
				signs = append(signs, Evidence{xxhash.Sum64String(u), 1, 1, 0})
			}
			now := start
			for i := 0; b.Loop(); i++ {
				if i%n == 0 {
					now += tick.Second
				}
				f.UpdatePeer(now+tick.Tick(i%n), names[i%n], 1, "", Report{LocalFraction: 1, SharedFraction: 0.5, OfferedWork: []float64{1, 2, 3}, Evidence: signs}, 0, "alive")
			}
		})
	}
}
