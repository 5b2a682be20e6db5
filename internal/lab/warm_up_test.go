package lab

import (
	"testing"
)

// TestDay_AllBackendsCold checks that relays still serve requests, and do not overload a backend, if all backends
// restart at once. A relay limits its attempts at a cold backend to a fraction of the rate that it has measured at warm
// backends. A relay that starts together with the backends has not measured this rate. It begins with a rate that
// overloads no backend.
func TestDay_AllBackendsCold(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	for _, c := range []struct {
		name             string
		relays, backends int
		relaysRestart    bool // the relays restart together with the backends
		minShare         float64
	}{
		{"a few dozen", 30, 15, false, 0.6}, {"more", 60, 30, false, 0.6}, {"many", 120, 60, false, 0.6},
		{"relays that start together with the backends", 60, 30, true, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := Day{relays: c.relays, backends: c.backends, plan: func(f *fleetDay) {
				for i := range f.backends {
					f.after(8, func() { f.restartBackend(i, 0.1) })
				}
				for _, n := range f.relays {
					if c.relaysRestart {
						f.after(8.2, func() { f.killRelay(n) })
					}
				}
			}}
			for seed := range uint64(3) {
				r := d.Run(seed)
				for what, n := range r.Violations {
					t.Errorf("seed %d: %d violations: %s", seed, n, what)
				}
				accepted, onTime := 0, 0
				for s := 9; s < 12; s++ {
					if r.Seconds[s].OnTime == 0 && (s > 9 || !c.relaysRestart) { // relays that restart serve requests from second 9.2 on
						t.Errorf("seed %d: none of %d requests in second %d is served in time", seed, r.Seconds[s].Accepted, s)
					}
					accepted, onTime = accepted+r.Seconds[s].Accepted, onTime+r.Seconds[s].OnTime
				}
				share := float64(onTime) / float64(max(1, accepted))
				t.Logf("seed %d: a share of %.2f of %d requests in time while all backends are cold, %d attempts at them", seed, share, accepted, r.WarmUpAttempts)
				if share < c.minShare {
					t.Errorf("seed %d: a share of %.2f of %d requests in time while all backends are cold, want %.2f", seed, share, accepted, c.minShare)
				}
			}
		})
	}
}
