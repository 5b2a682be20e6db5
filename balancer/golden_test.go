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

// TestGoldenDecisions plays simulated relays in front of backends that warm up, fail, stall, leave the list or run a
// new version, and holds every decision of each relay against the recorded ones. A change that is meant to change no
// decision must leave this test as it is. Where one is meant to, run it with -update and say in the commit what changes.
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
