package placement

import (
	"slices"
)

// Changes are what is new since a version of a table.
type Changes struct {
	Version     uint64       `json:"version"`
	Complete    bool         `json:"whole"` // Assignments are all there are: what is not among them is deleted
	Assignments []Assignment `json:"places"`
	Deleted     []string     `json:"gone,omitempty"`
}

// Since returns what has changed since a version, each instance once, by name. It is complete where the version is 0, later
// than the table's, or so early that deletions since then are no longer remembered. It costs as much as has changed.
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
