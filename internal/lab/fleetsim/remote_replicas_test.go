package fleetsim

import (
	"testing"

	"silvercove/internal/tick"
)

// A zone of 10 nodes and 500 instances is cut off for six times restart_after, twice, as devices cross into it: with replicas
// away nothing is lost and nobody waits longer than two leases for the next primary; without, the zone's instances begin anew.
func TestRemoteReplicas_LongZonePartitionLosesNothing(t *testing.T) {
	script := "10000 split zone-1 for 60000\n40000 swarm zone-2 zone-1 for 100000 by 0.3\n90000 split zone-1 for 60000"
	for _, away := range []int{1, 0} {
		s := fleetOf(30, 3, 1500)
		s.RemoteReplicas = away
		f := playUntilQuiet(t, s, script, 150, 300)
		k := &f.checker
		if (k.Lost > 0) != (away == 0) || away > 0 && k.longestIdle > 3*2*tick.Second {
			t.Errorf("away %d: %d lost, without an owner for %.1f s at most", away, k.Lost, seconds(k.longestIdle))
		}
		far := 0
		for _, c := range f.devices {
			p, _ := f.cluster.table.Get(c.name)
			far += k.remoteReplicas(p)
		}
		if far < away*len(f.devices) {
			t.Errorf("%d of %d instances have a holder away", far, len(f.devices))
		}
		t.Logf("away %d: %d steps, %d moves, %d lost", away, f.cluster.Operations, k.Moves, k.Lost)
	}
}
