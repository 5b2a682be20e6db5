package fleetsim

import (
	"testing"

	"silvercove/internal/tick"
)

// A zone of 10 nodes and 500 instances is cut off twice, each time for six times Size.RestartAfter, while devices move into it.
// With remote replicas no effects are lost, and no instance is without a primary for longer than three leases of 2 s. Without
// remote replicas the zone's instances restart without their effects.
func TestRemoteReplicas_LongZonePartitionLosesNothing(t *testing.T) {
	script := "10000 split zone-1 for 60000\n40000 swarm zone-2 zone-1 for 100000 by 0.3\n90000 split zone-1 for 60000"
	for _, perInstance := range []int{1, 0} {
		s := fleetOf(30, 3, 1500)
		s.RemoteReplicas = perInstance
		f := playUntilQuiet(t, s, script, 150, 300)
		k := &f.checker
		if (k.Lost > 0) != (perInstance == 0) || perInstance > 0 && k.longestIdle > 3*2*tick.Second {
			t.Errorf("%d remote replicas: %d instances lost effects, at most %.1f s without a primary", perInstance, k.Lost, seconds(k.longestIdle))
		}
		found := 0
		for _, c := range f.devices {
			p, _ := f.cluster.table.Get(c.name)
			found += k.remoteReplicas(p)
		}
		if found < perInstance*len(f.devices) {
			t.Errorf("%d remote replicas of %d instances", found, len(f.devices))
		}
		t.Logf("%d remote replicas: %d operations, %d moves, %d lost", perInstance, f.cluster.Operations, k.Moves, k.Lost)
	}
}
