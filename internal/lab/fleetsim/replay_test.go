package fleetsim

import (
	"strings"
	"testing"

	"silvercove/internal/standin/golden"
)

// The model must match the recorded runs of real processes: the same order of events, the same number of moves, and the same
// time without a primary within IdleTolerance. The model's timeline must match the golden timeline line by line. The runs of
// the processes are in testdata/processes. The command go test ./internal/standin/testcluster -courses FOLDER records them
// again.
func TestCompare_ModelMatchesProcesses(t *testing.T) {
	played := 0
	for _, c := range Compare("testdata/processes") {
		if !c.NotRecorded {
			played++
		}
		if c.Fault != nil {
			t.Errorf("%s: %v", c.Name, c.Fault)
		}
	}
	if played < len(ReplayedScripts) {
		t.Errorf("only %d scripts have a recorded run of processes", played)
	}
	for _, w := range ReplayedScripts {
		name := strings.ReplaceAll(strings.ReplaceAll(w.Name, ",", ""), " ", "-")
		golden.File(t, "timelines/"+name+".txt", w.play().Timeline())
	}
}
