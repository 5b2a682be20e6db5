package placement

import (
	"slices"
)

// Changes lists the instances that were changed or deleted since a version of a table.
type Changes struct {
	Version     uint64       `json:"version"` // version of the table after the changes
	Complete    bool         `json:"whole"`   // Assignments lists all instances; any other instance is deleted
	Assignments []Assignment `json:"places"`
	Deleted     []string     `json:"gone,omitempty"`
}

// Since returns the changes since a version, sorted by instance name, with each instance once. The changes are Complete if the
// version is 0, is later than the table's version, or is so old that deletions since then are no longer recorded. Otherwise
// the cost depends only on the number of changes.
func (t *Table) Since(version uint64) Changes {
	c := Changes{Version: t.version, Assignments: []Assignment{}}
	if version == 0 || version < t.prunedVersion || version > t.version {
		c.Complete, c.Assignments = true, t.All()
		return c
	}
	for r := t.newest; r != nil && r.changedAt > version; r = r.older {
		c.Assignments = append(c.Assignments, r.assignment)
	}
	for i := len(t.deletions) - 1; i >= 0 && t.deletions[i].Version > version; i-- {
		d := t.deletions[i]
		latest := t.deletedByName[d.Instance].Version == d.Version
		if latest && t.rows[d.Instance] == nil {
			c.Deleted = append(c.Deleted, d.Instance)
		}
	}
	slices.Sort(c.Deleted)
	sortByName(c.Assignments)
	return c
}
