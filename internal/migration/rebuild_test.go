package migration

import (
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"slices"
	"strings"
	"testing"
)

func TestRebuild_FromNodeInventories(t *testing.T) {
	one := func(unit string, h replica.CopyStatus) NodeInventory {
		h.Instance = "camera-7"
		return NodeInventory{Node: unit, Zone: "north", Copies: []replica.CopyStatus{h}}
	}
	owner := one("a", replica.CopyStatus{Epoch: 5, Index: 10, LastEpoch: 5, Checksum: 77, IsPrimary: true, Serving: true})
	holder := one("b", replica.CopyStatus{Epoch: 5, Index: 10, LastEpoch: 5, Checksum: 77, IsReplica: true})
	behind := one("b", replica.CopyStatus{Epoch: 5, Index: 10, LastEpoch: 4, Checksum: 70, IsReplica: true})
	dropped := one("c", replica.CopyStatus{Epoch: 5, Index: 8, LastEpoch: 4, Checksum: 3})
	began := func(unit string, last, seq, sum uint64) NodeInventory {
		return one(unit, replica.CopyStatus{Epoch: last, Index: seq, LastEpoch: last, Checksum: sum})
	}
	was := []placement.Assignment{{Instance: "camera-7", State: placement.Running, Primary: "a", Epoch: 3, Zone: "south", Weight: 9, Replicas: []string{"b"}, Index: 4}}
	for _, c := range []struct {
		name    string
		found   []NodeInventory
		silent  []string
		old     []placement.Assignment
		state   placement.State
		owner   string
		holders string
		kept    string
		epoch   uint64
		told    string
	}{
		{"the owner goes on", []NodeInventory{owner, holder, dropped}, nil, was, placement.Running, "a", "b", "c", 1005, ""},
		{"whoever is silent", []NodeInventory{owner}, []string{"b", "c"}, was, placement.Running, "a", "", "", 1005, ""},
		{"a holder for a silent owner", []NodeInventory{holder, dropped}, []string{"a"}, was, placement.Running, "b", "", "c", 1005, ""},
		{"a holder with another sum is none", []NodeInventory{owner, behind}, nil, was, placement.Running, "a", "", "b", 1005, ""},
		{"a dropped copy alone is not enough", []NodeInventory{dropped}, []string{"a"}, was, placement.Lost, "", "", "c", 1005, "a silent unit may have more"},
		{"nor a holder by an older word", []NodeInventory{holder, one("c", replica.CopyStatus{Epoch: 6, Index: 2, LastEpoch: 2})}, []string{"a"}, was,
			placement.Lost, "", "", "b,c", 1006, "a silent unit may have more"},
		{"all began anew: the latest line", []NodeInventory{began("a", 4, 12, 1), began("b", 5, 11, 2), began("c", 5, 9, 3)}, nil, was,
			placement.Running, "b", "", "a,c", 1005, "1 effects that were not counted on"},
		{"one that lacks what was counted on", []NodeInventory{one("a", replica.CopyStatus{Epoch: 5, IsPrimary: true, Incomplete: true}), holder}, nil, was,
			placement.Running, "b", "", "", 1005, ""},
		{"no unit has it", []NodeInventory{{Node: "c"}}, []string{"b"}, was, placement.Lost, "", "", "b", 1003, "no unit that answered has it"},
		{"without an earlier state", []NodeInventory{owner}, nil, nil, placement.Running, "a", "", "", 1005, "importance and its device's zone are not known"},
		{"quarantined stays so", []NodeInventory{owner}, nil, []placement.Assignment{{Instance: "camera-7", State: placement.Quarantined, Epoch: 2, Zone: "south"}},
			placement.Quarantined, "", "a", "", 1005, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			places, told := Rebuild(c.found, c.silent, c.old)
			if len(places) != 1 {
				t.Fatalf("%+v", places)
			}
			p := places[0]
			var kept []string
			for _, k := range p.StaleCopies {
				kept = append(kept, k.Node)
			}
			slices.Sort(kept)
			if p.State != c.state || p.Primary != c.owner || strings.Join(p.Replicas, ",") != c.holders ||
				strings.Join(kept, ",") != c.kept || p.Epoch != c.epoch {
				t.Errorf("%+v", p)
			}
			if text := strings.Join(told, "\n"); (text != "") != (c.told != "") || !strings.Contains(text, c.told) {
				t.Errorf("told %q", text)
			}
			if c.old != nil && c.old[0].Zone != p.Zone {
				t.Errorf("zone %s", p.Zone)
			}
		})
	}
}
