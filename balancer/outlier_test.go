package balancer

import (
	"math"
	"slices"
	"testing"
)

func TestOutlier_EjectsAndReadmits(t *testing.T) {
	b := newFixture(nil)
	backend := b.addBackend(1, 1, 0)
	for range 3 {
		b.recordForBackend(backend, true)
	}
	check(t, "ejected", backend.ejected, true)
	for range 8 {
		b.recordForBackend(backend, false)
	}
	check(t, "ejected after successes on probation", backend.ejected, false)
	b.recentFailures = slices.Repeat([]float64{1}, sampleSize)
	for range 10 {
		b.recordForBackend(backend, true)
	}
	check(t, "ejected while all backends fail", backend.ejected, false)
}

// TestOutlier_RelayStallPutsMostOnProbation: a relay that stalls finds every backend silent at once. The cause is the
// relay and not the backends, and mostOnProbation records this.
func TestOutlier_RelayStallPutsMostOnProbation(t *testing.T) {
	b := newFixture(nil)
	for i := range 3 {
		b.addBackend(uint32(i), 1, 0)
		b.request(atMostOnce)
	}
	b.now += Second
	b.OnTimer(b.now, 0)
	check(t, "most on probation", b.mostOnProbation, true)
}

// TestOutlier_LeavesProbingToOtherRelays: a relay that may not probe a backend on probation sends its requests to other
// backends without a delay.
func TestOutlier_LeavesProbingToOtherRelays(t *testing.T) {
	for _, probesAllowed := range []bool{false, true} {
		b, host := newFleetFixture(1000, probesAllowed)
		failing := b.addBackend(1, 1, 0)
		for id := uint32(2); id < 6; id++ {
			b.addBackend(id, 1, 0)
		}
		b.status(1, 0, Released, 1)
		failing.ejected, failing.failureWealth, failing.probationInterval = true, 1000, probationExitInterval
		attempts := 0
		for range 300 {
			request := b.request(idempotent)
			check(t, "attempts sent at once", len(request.attempts), 1)
			if request.attempts[0].Backend == failing {
				attempts++
			}
			b.finish(request, Succeeded)
			b.advance(Second / 20)
		}
		if host.probeCalls == 0 || (attempts > 0) != probesAllowed {
			t.Errorf("probes allowed %v: asked %d times, %d attempts at the backend", probesAllowed, host.probeCalls, attempts)
		}
	}
}

// TestOutlier_AvoidsBackendEjectedByFleet: a relay avoids a backend that other relays have ejected, although it has not
// ejected the backend itself. It does not avoid the backend if many backends are ejected.
func TestOutlier_AvoidsBackendEjectedByFleet(t *testing.T) {
	for _, c := range []struct{ onProbation, want int }{{0, 0}, {3, 1}} {
		b, host := newFleetFixture(1000, false)
		failing := b.addBackend(1, 1, 0)
		for id := uint32(2); id < 9; id++ {
			if backend := b.addBackend(id, 1, 0); int(id) < 2+c.onProbation {
				backend.ejected, backend.failureWealth, backend.nextProbationAttempt = true, 1000, math.MaxInt64
			}
		}
		b.status(1, 0, Released, 1)
		host.ejected = failing
		attempted := 0
		for range 300 {
			for _, attempt := range b.request(idempotent).attempts {
				if attempt.Backend == failing {
					attempted = 1
				}
			}
			b.succeedAll()
			b.host.started = nil
			b.advance(Second / 20)
		}
		check(t, "attempts at the backend", attempted, c.want)
	}
}
