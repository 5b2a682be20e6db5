package migration

import (
	"cmp"
	"fmt"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"slices"
)

// NodeInventory is what one unit has, as it told after the keepers' log was lost.
type NodeInventory struct {
	Node   string
	Zone   string
	Copies []replica.CopyStatus
}

// epochGap is by how much epochs are raised where placement is rebuilt: above all that were seen, and above any that a
// silent unit may have been given without another one hearing of it.
const epochGap = 1000

// Rebuild makes places anew from what units have, and from an earlier state of the table where there is one. An instance
// goes on at a unit that has every acked effect for sure: one that owned or held it by the latest word that anyone has,
// or the one that has most where no unit is silent. Else it is Lost: it waits for a unit that has it, and is restarted
// from an older copy that is known. told says by name what is lost, or may be.
func Rebuild(found []NodeInventory, silent []string, old []placement.Assignment) (places []placement.Assignment, told []string) {
	type copied struct {
		replica.CopyStatus
		unit, zone string
	}
	all := map[string][]copied{}
	for _, f := range found {
		for _, h := range f.Copies {
			all[h.Instance] = append(all[h.Instance], copied{h, f.Node, f.Zone})
		}
	}
	before := map[string]placement.Assignment{}
	var names []string
	for _, p := range old {
		before[p.Instance] = p
		names = append(names, p.Instance)
	}
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		was, known := before[name]
		var latest uint64 // epoch that anyone heard of
		for _, c := range all[name] {
			latest = max(latest, c.Epoch)
		}
		latest = max(latest, was.Epoch)
		counted := func(c copied) bool { return (c.IsPrimary || c.IsReplica) && !c.Incomplete && c.Epoch == latest }
		copies := slices.DeleteFunc(slices.Clone(all[name]), func(c copied) bool { return c.Incomplete && c.Index == 0 })
		slices.SortFunc(copies, func(a, b copied) int {
			return cmp.Or(-cmp.Compare(b2i(counted(a)), b2i(counted(b))), -cmp.Compare(b2i(a.IsPrimary), b2i(b.IsPrimary)),
				-cmp.Compare(a.LastEpoch, b.LastEpoch), -cmp.Compare(a.Index, b.Index), cmp.Compare(a.unit, b.unit))
		})
		p := placement.Assignment{Instance: name, State: placement.Lost, Epoch: latest + epochGap, Revision: 1, Zone: was.Zone, Weight: max(1, was.Weight),
			Size: was.Size, Index: was.Index, Extension: was.Extension, EverServed: true, Reason: "placement was rebuilt"}
		if len(copies) > 0 {
			best := copies[0]
			p.Index, p.Size = best.Index, best.Size
			if p.Zone == "" {
				p.Zone = best.zone
			}
			if !known {
				told = append(told, fmt.Sprintf("%s: its importance and its device's zone are not known; it has 1 and %s", name, p.Zone))
			}
			sure := counted(best) || len(silent) == 0
			if sure {
				p.State, p.Primary = placement.Running, best.unit
			} else {
				told = append(told, fmt.Sprintf("%s: lost for now: %s has %d effects, and a silent unit may have more", name, best.unit,
					best.Index))
			}
			for _, c := range copies {
				switch {
				case sure && c.unit == best.unit:
				case sure && c.Index == best.Index && c.Checksum == best.Checksum:
					p.Replicas = append(p.Replicas, c.unit)
				case len(p.StaleCopies) < 4:
					p.StaleCopies = append(p.StaleCopies, placement.StaleCopy{Node: c.unit, Index: c.Index})
				}
				if c.Index > best.Index {
					told = append(told, fmt.Sprintf("%s: %s has %d effects that were not counted on; it goes on without them", name,
						c.unit, c.Index-best.Index))
				}
			}
			slices.Sort(p.Replicas)
		} else {
			for _, unit := range append([]string{was.Primary}, was.Replicas...) {
				if slices.Contains(silent, unit) && len(p.StaleCopies) < 4 {
					p.StaleCopies = append(p.StaleCopies, placement.StaleCopy{Node: unit, Index: was.Index})
				}
			}
			told = append(told, fmt.Sprintf("%s: lost: no unit that answered has it", name))
		}
		if was.State == placement.Quarantined {
			p.State = placement.Quarantined
			if p.Primary != "" {
				p.Replicas = append(p.Replicas, p.Primary)
				slices.Sort(p.Replicas)
				p.Primary = ""
			}
		}
		places = append(places, p)
	}
	return places, told
}
