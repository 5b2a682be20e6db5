package placement

import (
	"slices"
)

// index finds rows by the name of a node or a zone.
type index map[string]map[*row]struct{}

func (x index) add(name string, r *row) {
	if name == "" {
		return
	}
	if x[name] == nil {
		x[name] = map[*row]struct{}{}
	}
	x[name][r] = struct{}{}
}

func (x index) remove(name string, r *row) {
	delete(x[name], r)
	if len(x[name]) == 0 {
		delete(x, name)
	}
}

func (x index) assignments(name string) []Assignment {
	all := make([]Assignment, 0, len(x[name]))
	for r := range x[name] {
		all = append(all, r.assignment)
	}
	return sortByName(all)
}

// reindex moves a row in the indexes from what its old assignment says to what the next one says.
func (t *Table) reindex(r *row, old, next Assignment) {
	if old.Primary != next.Primary {
		t.byPrimary.remove(old.Primary, r)
		t.byPrimary.add(next.Primary, r)
	}
	if old.Zone != next.Zone {
		t.byZone.remove(old.Zone, r)
		t.byZone.add(next.Zone, r)
	}
	if slices.Equal(old.Replicas, next.Replicas) {
		return
	}
	for _, node := range old.Replicas {
		t.byReplica.remove(node, r)
	}
	for _, node := range next.Replicas {
		t.byReplica.add(node, r)
	}
}
