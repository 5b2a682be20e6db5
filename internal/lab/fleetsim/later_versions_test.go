package fleetsim

import (
	"bytes"
	"strings"
	"testing"

	"silvercove/internal/tick"
)

// A node of a later version proposes operations that no controller knows, and sends messages that no other node can read. Each
// operation must be refused without any change. A controller that accepts such an operation into the log breaks a rule.
func TestLaterVersion_UnknownOperationIsRefusedBeforeAnyChange(t *testing.T) {
	f := New(3, Small())
	f.Play(script(t, "10000 later edge-1 for 200"))
	f.Run(10*tick.Second - 2)
	before := f.cluster.table.Snapshot()
	f.Run(tick.Second / 4) // too short for the primaries on edge-1 to drop the replicas that cannot read their messages; a drop would change the assignments
	if !bytes.Equal(before, f.cluster.table.Snapshot()) || f.refusedOperations == 0 {
		t.Errorf("%d operations refused, assignments changed: %v", f.refusedOperations, !bytes.Equal(before, f.cluster.table.Snapshot()))
	}
	f = New(3, Small())
	f.disabled.acceptUnknownOperations = true
	f.Play(script(t, "10000 later edge-1 for 3000"))
	if f.Run(20 * tick.Second); !strings.HasPrefix(f.Broken(), "rule 6") {
		t.Errorf("a controller that accepts an unknown operation does not break rule 6: %q", f.Broken())
	}
	// A leader of the later version knows the operation that edge-1 proposes. The other controllers end before they apply this
	// operation, and restart with the later version.
	f = playUntilQuiet(t, Small(), "5000 laterkeeper keeper-1 for 30000\n10000 later edge-1 for 3000", 36, 60)
	if !f.cluster.laterOperationAgreed || f.cluster.Elections < 2 || !strings.Contains(f.Timeline(), "ends (an entry of a later") {
		t.Errorf("later operation agreed: %v, %d elections", f.cluster.laterOperationAgreed, f.cluster.Elections)
	}
}

// All processes restart in turn under load, while one node and one controller run a later version. A zone is cut off during the
// restarts. No rule may be broken, no effects may be lost, and the field that the later controller added must be kept.
func TestLaterVersion_RollingRestartOfMixedVersionsDuringPartition(t *testing.T) {
	s := fleetOf(30, 5, 300)
	s.RestartAfter, s.RequestRate = 60, 50
	f := playUntilQuiet(t, s, "10000 laterkeeper keeper-2 for 100000\n12000 roll all for 120000\n40000 later edge-4 for 20000\n50000 split zone-1 for 10000", 140, 200)
	if k := &f.checker; k.Lost > 0 || k.Succeeded < k.Requests*95/100 || f.snapshotsChecked < 6 || !f.cluster.fieldAdded {
		t.Errorf("%d instances lost effects, %d of %d requests succeeded, %d snapshots checked", k.Lost, k.Succeeded, k.Requests, f.snapshotsChecked)
	}
	t.Logf("%d operations refused, later operation agreed: %v", f.refusedOperations, f.cluster.laterOperationAgreed)
}
