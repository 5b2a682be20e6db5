package fleetsim

import (
	"bytes"
	"strings"
	"testing"

	"silvercove/internal/tick"
)

// A node of a later landing asks for steps that no controller knows and writes messages that no node reads: each is refused
// and nothing moves for them; where a controller would let one into the log, a rule is broken.
func TestLaterVersion_UnknownOperationIsRefusedBeforeAnyChange(t *testing.T) {
	f := New(3, Small())
	f.Play(script(t, "10000 later edge-1 for 200"))
	f.Run(10*tick.Second - 2)
	before := f.cluster.table.Snapshot()
	f.Run(tick.Second / 4) // before a primary drops a replica that does not read what it writes
	if !bytes.Equal(before, f.cluster.table.Snapshot()) || f.refusedOperations == 0 {
		t.Errorf("%d steps refused, and places changed: %v", f.refusedOperations, !bytes.Equal(before, f.cluster.table.Snapshot()))
	}
	f = New(3, Small())
	f.disabled.acceptUnknownOperations = true
	f.Play(script(t, "10000 later edge-1 for 3000"))
	if f.Run(20 * tick.Second); !strings.HasPrefix(f.Broken(), "rule 6") {
		t.Errorf("a keeper that lets an unknown step in breaks no rule: %q", f.Broken())
	}
	// A leading controller of the later landing knows it: the others end before they carry it out, and come back as it is.
	f = playUntilQuiet(t, Small(), "5000 laterkeeper keeper-1 for 30000\n10000 later edge-1 for 3000", 36, 60)
	if !f.cluster.laterOperationAgreed || f.cluster.Elections < 2 || !strings.Contains(f.Timeline(), "ends (an entry of a later") {
		t.Errorf("spoken %v, %d leads", f.cluster.laterOperationAgreed, f.cluster.Elections)
	}
}

// All processes are rolled under load, with nodes and a controller of a later landing among them, and a zone is split off in the
// middle: no rule is broken, nothing is lost, what a later controller added is kept.
func TestLaterVersion_RollingRestartOfMixedVersionsDuringPartition(t *testing.T) {
	s := fleetOf(30, 5, 300)
	s.RestartAfter, s.RequestRate = 60, 50
	f := playUntilQuiet(t, s, "10000 laterkeeper keeper-2 for 100000\n12000 roll all for 120000\n40000 later edge-4 for 20000\n50000 split zone-1 for 10000", 140, 200)
	if k := &f.checker; k.Lost > 0 || k.Succeeded < k.Requests*95/100 || f.snapshotsChecked < 6 || !f.cluster.fieldAdded {
		t.Errorf("%d lost, %d of %d acked, %d snapshots", k.Lost, k.Succeeded, k.Requests, f.snapshotsChecked)
	}
	t.Logf("%d steps refused, spoken %v", f.refusedOperations, f.cluster.laterOperationAgreed)
}
