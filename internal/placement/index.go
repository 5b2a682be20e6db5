package placement

import (
	"slices"
)

// index maps the name of a node or a zone to the rows that refer to it.
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

// assignments returns the assignments of the rows under a name, sorted by instance name.
func (x index) assignments(name string) []Assignment {
	all := make([]Assignment, 0, len(x[name]))
	for r := range x[name] {
		all = append(all, r.assignment)
	}
	return sortByName(all)
}

// reindex updates the table's indexes for a row whose assignment changes from old to next.
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
