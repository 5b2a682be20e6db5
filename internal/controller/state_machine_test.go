package controller

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/hashicorp/raft"

	"silvercove/internal/placement"
)

// A controller that reads an entry or an operation of an unknown version or kind stops before it applies any part of the entry.
// If it refused the operation and continued, its assignments would silently diverge from those of controllers with a later
// version.
func TestStateMachine_EndsAtAnEntryOfALaterVersion(t *testing.T) {
	first := placement.Operation{Version: 1, Kind: placement.OpCreate, Instance: "camera-0", Target: "edge-a", Weight: 1}
	for name, e := range map[string]placement.Operation{
		"version": {Version: 2, Kind: placement.OpMoveDevice, Instance: "camera-0", Epoch: 1, Zone: "south"},
		"kind":    {Version: 1, Kind: "merge", Instance: "camera-0", Epoch: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var ended error
			told := 0
			m := newStateMachine(func([]placement.Operation, []operationResult) { told++ }, func(err error) { ended = err })
			text, _ := json.Marshal(logEntry{FormatVersion: entryVersion, Operations: []placement.Operation{first, e}})
			m.Apply(&raft.Log{Index: 2, Term: 1, Data: text})
			if !errors.Is(ended, ErrNewerVersion) || told > 0 || m.assignmentsVersion() != 0 || m.lastApplied() != 0 {
				t.Errorf("fatal error %v; onApplied was called %d times, assignments version %d, applied index %d", ended, told, m.assignmentsVersion(), m.lastApplied())
			}
			text, _ = json.Marshal(logEntry{FormatVersion: entryVersion, Operations: []placement.Operation{first}})
			if m.Apply(&raft.Log{Index: 3, Term: 1, Data: text}); m.assignmentsVersion() != 0 {
				t.Error("a later entry is applied")
			}
			if _, err := m.Snapshot(); err == nil && m.lastApplied() > 0 {
				t.Error("a snapshot is taken")
			}
		})
	}
}
