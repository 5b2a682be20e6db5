package migration

import (
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"slices"
	"strings"
	"testing"
)

func TestRebuild_FromNodeInventories(t *testing.T) {
	inventory := func(node string, status replica.CopyStatus) NodeInventory {
		status.Instance = "camera-7"
		return NodeInventory{Node: node, Zone: "north", Copies: []replica.CopyStatus{status}}
	}
	primary := inventory("a", replica.CopyStatus{Epoch: 5, Index: 10, LastEpoch: 5, Checksum: 77, IsPrimary: true, Serving: true})
	upToDate := inventory("b", replica.CopyStatus{Epoch: 5, Index: 10, LastEpoch: 5, Checksum: 77, IsReplica: true})
	behind := inventory("b", replica.CopyStatus{Epoch: 5, Index: 10, LastEpoch: 4, Checksum: 70, IsReplica: true})
	dropped := inventory("c", replica.CopyStatus{Epoch: 5, Index: 8, LastEpoch: 4, Checksum: 3})
	restarted := func(node string, lastEpoch, index, checksum uint64) NodeInventory {
		return inventory(node, replica.CopyStatus{Epoch: lastEpoch, Index: index, LastEpoch: lastEpoch, Checksum: checksum})
	}
	previous := []placement.Assignment{{Instance: "camera-7", State: placement.Running, Primary: "a", Epoch: 3, Zone: "south", Weight: 9, Replicas: []string{"b"}, Index: 4}}
	for _, c := range []struct {
		name         string
		found        []NodeInventory
		unresponsive []string
		old          []placement.Assignment
		state        placement.State
		primary      string
		replicas     string
		stale        string
		epoch        uint64
		notes        string
	}{
		{"primary continues", []NodeInventory{primary, upToDate, dropped}, nil, previous, placement.Running, "a", "b", "c", 1005, ""},
		{"primary continues despite unresponsive nodes", []NodeInventory{primary}, []string{"b", "c"}, previous, placement.Running, "a", "", "", 1005, ""},
		{"replica continues for an unresponsive primary", []NodeInventory{upToDate, dropped}, []string{"a"}, previous, placement.Running, "b", "", "c", 1005, ""},
		{"replica with another checksum becomes a stale copy", []NodeInventory{primary, behind}, nil, previous, placement.Running, "a", "", "b", 1005, ""},
		{"stale copy alone is not enough", []NodeInventory{dropped}, []string{"a"}, previous, placement.Lost, "", "", "c", 1005, "a node that did not answer may have more"},
		{"replica of an older epoch is not enough", []NodeInventory{upToDate, inventory("c", replica.CopyStatus{Epoch: 6, Index: 2, LastEpoch: 2})}, []string{"a"}, previous,
			placement.Lost, "", "", "b,c", 1006, "a node that did not answer may have more"},
		{"all nodes restarted: the latest epoch wins", []NodeInventory{restarted("a", 4, 12, 1), restarted("b", 5, 11, 2), restarted("c", 5, 9, 3)}, nil, previous,
			placement.Running, "b", "", "a,c", 1005, "1 entries beyond the chosen copy"},
		{"incomplete copy of the primary is not used", []NodeInventory{inventory("a", replica.CopyStatus{Epoch: 5, IsPrimary: true, Incomplete: true}), upToDate}, nil, previous,
			placement.Running, "b", "", "", 1005, ""},
		{"no node has a copy", []NodeInventory{{Node: "c"}}, []string{"b"}, previous, placement.Lost, "", "", "b", 1003, "no unit that answered has it"},
		{"no previous assignment", []NodeInventory{primary}, nil, nil, placement.Running, "a", "", "", 1005, "importance and its device's zone are not known"},
		{"quarantined instance stays quarantined", []NodeInventory{primary}, nil, []placement.Assignment{{Instance: "camera-7", State: placement.Quarantined, Epoch: 2, Zone: "south"}},
			placement.Quarantined, "", "a", "", 1005, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			assignments, notes := Rebuild(c.found, c.unresponsive, c.old)
			if len(assignments) != 1 {
				t.Fatalf("%+v", assignments)
			}
			assignment := assignments[0]
			var stale []string
			for _, staleCopy := range assignment.StaleCopies {
				stale = append(stale, staleCopy.Node)
			}
			slices.Sort(stale)
			if assignment.State != c.state || assignment.Primary != c.primary || strings.Join(assignment.Replicas, ",") != c.replicas ||
				strings.Join(stale, ",") != c.stale || assignment.Epoch != c.epoch {
				t.Errorf("%+v", assignment)
			}
			if text := strings.Join(notes, "\n"); (text != "") != (c.notes != "") || !strings.Contains(text, c.notes) {
				t.Errorf("notes %q", text)
			}
			if c.old != nil && c.old[0].Zone != assignment.Zone {
				t.Errorf("the rebuilt assignment has zone %s", assignment.Zone)
			}
		})
	}
}
