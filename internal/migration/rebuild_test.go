package migration

import (
	"slices"
	"strings"
	"testing"
)

func TestPlacementIsRebuiltFromWhatUnitsHave(t *testing.T) {
	one := func(unit string, h Holding) Found {
		h.Name = "camera-7"
		return Found{Unit: unit, Zone: "north", Holds: []Holding{h}}
	}
	owner := one("a", Holding{Epoch: 5, Seq: 10, Last: 5, Sum: 77, Owns: true, Acts: true})
	holder := one("b", Holding{Epoch: 5, Seq: 10, Last: 5, Sum: 77, Holds: true})
	behind := one("b", Holding{Epoch: 5, Seq: 10, Last: 4, Sum: 70, Holds: true})
	dropped := one("c", Holding{Epoch: 5, Seq: 8, Last: 4, Sum: 3})
	began := func(unit string, last, seq, sum uint64) Found {
		return one(unit, Holding{Epoch: last, Seq: seq, Last: last, Sum: sum})
	}
	was := []Place{{Name: "camera-7", State: Runs, Owner: "a", Epoch: 3, Zone: "south", Weight: 9, Holders: []string{"b"}, Seq: 4}}
	for _, c := range []struct {
		name    string
		found   []Found
		silent  []string
		old     []Place
		state   State
		owner   string
		holders string
		kept    string
		epoch   uint64
		told    string
	}{
		{"the owner goes on", []Found{owner, holder, dropped}, nil, was, Runs, "a", "b", "c", 1005, ""},
		{"whoever is silent", []Found{owner}, []string{"b", "c"}, was, Runs, "a", "", "", 1005, ""},
		{"a holder for a silent owner", []Found{holder, dropped}, []string{"a"}, was, Runs, "b", "", "c", 1005, ""},
		{"a holder with another sum is none", []Found{owner, behind}, nil, was, Runs, "a", "", "b", 1005, ""},
		{"a dropped copy alone is not enough", []Found{dropped}, []string{"a"}, was, Lost, "", "", "c", 1005, "a silent unit may have more"},
		{"nor a holder by an older word", []Found{holder, one("c", Holding{Epoch: 6, Seq: 2, Last: 2})}, []string{"a"}, was,
			Lost, "", "", "b,c", 1006, "a silent unit may have more"},
		{"all began anew: the latest line", []Found{began("a", 4, 12, 1), began("b", 5, 11, 2), began("c", 5, 9, 3)}, nil, was,
			Runs, "b", "", "a,c", 1005, "1 effects that were not counted on"},
		{"one that lacks what was counted on", []Found{one("a", Holding{Epoch: 5, Owns: true, Lacks: true}), holder}, nil, was,
			Runs, "b", "", "", 1005, ""},
		{"no unit has it", []Found{{Unit: "c"}}, []string{"b"}, was, Lost, "", "", "b", 1003, "no unit that answered has it"},
		{"without an earlier state", []Found{owner}, nil, nil, Runs, "a", "", "", 1005, "importance and its device's zone are not known"},
		{"quarantined stays so", []Found{owner}, nil, []Place{{Name: "camera-7", State: Quarantined, Epoch: 2, Zone: "south"}},
			Quarantined, "", "a", "", 1005, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			places, told := Rebuild(c.found, c.silent, c.old)
			if len(places) != 1 {
				t.Fatalf("%+v", places)
			}
			p := places[0]
			var kept []string
			for _, k := range p.Kept {
				kept = append(kept, k.Unit)
			}
			slices.Sort(kept)
			if p.State != c.state || p.Owner != c.owner || strings.Join(p.Holders, ",") != c.holders ||
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
