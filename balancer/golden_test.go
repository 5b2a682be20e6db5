package balancer_test

import (
	"fmt"
	"sync"
	"testing"

	"silvercove/balancer"
	"silvercove/internal/standin/goldentrace"
)

const (
	goldenSeeds    = 20
	goldenStart    = 100 * balancer.Second
	goldenDuration = 14 * balancer.Second
	goldenFile     = "golden_decisions.txt"
)

// TestGoldenDecisions simulates relays in front of backends that warm up, fail, stall, leave the list or run a new
// version, and compares every decision of each relay with the recorded ones. A change of the code that is not meant to
// change decisions must pass this test with the recorded file unchanged. If decisions are meant to change, run the test
// with -update and say in the commit which decisions change.
func TestGoldenDecisions(t *testing.T) {
	traces := map[string]*goldentrace.Trace{}
	var mu sync.Mutex
	t.Run("play", func(t *testing.T) {
		for _, s := range scenarios {
			for seed := range uint64(goldenSeeds) {
				name := fmt.Sprintf("%s/%d", s.name, seed)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					trace := s.play(seed)
					mu.Lock()
					defer mu.Unlock()
					traces[name] = trace
				})
			}
		}
	})
	goldentrace.Compare(t, goldenFile, traces)
}
