package placement

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
)

// A snapshot consists of lines of JSON. The first line is a header with the number of instances. Each further line is one
// instance, sorted by name. Fields that this program does not know are preserved and written again.

// snapshotChunkBytes is the approximate number of bytes that are buffered before a write.
const snapshotChunkBytes = 64 << 10

// snapshotHead is the first line of a snapshot. Format is its format version, and Instances is the number of lines that follow.
// The other fields have the values of the Table fields of the same names.
type snapshotHead struct {
	Format        int        `json:"v"`
	Version       uint64     `json:"version"`
	Instances     int        `json:"places"`
	PrunedEpoch   uint64     `json:"floor,omitempty"`
	PrunedVersion uint64     `json:"since,omitempty"`
	Deletions     []deletion `json:"gone,omitempty"`
}

// snapshotLine is one instance in a snapshot. ChangedAt is the table's version at the last change of the instance.
type snapshotLine struct {
	ChangedAt uint64 `json:"at"`
	Assignment
}

var (
	headFields = jsonFields(reflect.TypeFor[snapshotHead]())
	lineFields = jsonFields(reflect.TypeFor[snapshotLine]())
)

// FrozenTable is a copy of a table at one version. It can be written while further operations are applied to the table.
type FrozenTable struct {
	head    snapshotHead
	unknown UnknownFields
	rows    []row
}

// Freeze returns a copy of the table, for a snapshot that is written while further operations are applied. The cost is a
// shallow copy of each assignment.
func (t *Table) Freeze() *FrozenTable {
	f := &FrozenTable{unknown: t.unknown, rows: make([]row, 0, len(t.rows))}
	f.head = snapshotHead{Format: FormatVersion, Version: t.version, Instances: len(t.rows), PrunedEpoch: t.prunedEpoch,
		PrunedVersion: t.prunedVersion, Deletions: slices.Clone(t.deletions)}
	for _, r := range t.rows {
		f.rows = append(f.rows, row{assignment: r.assignment, changedAt: r.changedAt, unknown: r.unknown})
	}
	return f
}

// WriteTo writes the snapshot in chunks of about snapshotChunkBytes.
func (f *FrozenTable) WriteTo(w io.Writer) (int64, error) {
	slices.SortFunc(f.rows, func(a, b row) int { return cmp.Compare(a.assignment.Instance, b.assignment.Instance) })
	var buf bytes.Buffer
	var written int64
	flush := func(minBytes int) error {
		if buf.Len() < minBytes {
			return nil
		}
		n, err := buf.WriteTo(w)
		written += n
		return err
	}
	if err := writeLine(&buf, f.head, f.unknown); err != nil {
		return 0, err
	}
	for i := range f.rows {
		r := &f.rows[i]
		if err := writeLine(&buf, snapshotLine{ChangedAt: r.changedAt, Assignment: r.assignment}, r.unknown); err != nil {
			return written, err
		}
		if err := flush(snapshotChunkBytes); err != nil {
			return written, err
		}
	}
	return written, flush(0)
}

// Snapshot returns the table in its stored form. The same operations in the same order give the same bytes.
func (t *Table) Snapshot() []byte {
	var buf bytes.Buffer
	_, _ = t.Freeze().WriteTo(&buf) // cannot fail: a buffer accepts all writes, and every assignment can be encoded
	return buf.Bytes()
}

// Restore replaces the contents of the table with a snapshot. It returns ErrUnsupportedVersion for a snapshot of a later format
// version, and ErrInvalid for one that is truncated or violates an invariant. The table is unchanged after an error.
func (t *Table) Restore(snapshot []byte) error {
	restored, err := readSnapshot(snapshot)
	if err != nil {
		return err
	}
	*t = *restored
	return nil
}

// FromAssignments returns a table with the given assignments, which must be sorted by instance name. It is used after Rebuild
// of package migration. The error names the assignment that violates an invariant.
func FromAssignments(all []Assignment) (*Table, error) {
	var buf bytes.Buffer
	if err := writeLine(&buf, snapshotHead{Format: FormatVersion, Version: uint64(len(all)), Instances: len(all)}, nil); err != nil {
		return nil, err
	}
	for i, a := range all {
		if err := writeLine(&buf, snapshotLine{ChangedAt: uint64(i + 1), Assignment: a}, nil); err != nil {
			return nil, err
		}
	}
	t := New()
	return t, t.Restore(buf.Bytes())
}

func invalidSnapshot(format string, args ...any) error {
	return fmt.Errorf("%w: snapshot: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

func readSnapshot(snapshot []byte) (*Table, error) {
	first, rest, ended := bytes.Cut(snapshot, []byte("\n"))
	r := &snapshotReader{table: New(), usedVersions: map[uint64]bool{}}
	if err := r.readHead(first, ended); err != nil {
		return nil, err
	}
	r.rows = make([]*row, 0, min(r.head.Instances, len(rest)/8))
	for len(rest) > 0 {
		var text []byte
		if text, rest, ended = bytes.Cut(rest, []byte("\n")); !ended {
			return nil, invalidSnapshot("truncated")
		}
		if err := r.readLine(text); err != nil {
			return nil, err
		}
	}
	if len(r.rows) != r.head.Instances {
		return nil, invalidSnapshot("it has %d instances, and its header says %d", len(r.rows), r.head.Instances)
	}
	return r.buildTable(), nil
}

// snapshotReader reads and validates a snapshot line by line, and builds a table from it.
type snapshotReader struct {
	table        *Table
	head         snapshotHead
	rows         []*row
	usedVersions map[uint64]bool // versions of the changes and deletions read so far; a version may occur only once
	lastInstance string          // name of the instance that was read last
}

// readHead reads the header. A later format version is reported as ErrUnsupportedVersion, whatever else the line contains.
func (r *snapshotReader) readHead(text []byte, ended bool) error {
	var v struct {
		Format int `json:"v"`
	}
	if json.Unmarshal(text, &v) == nil && v.Format > FormatVersion {
		return fmt.Errorf("%w: snapshot format %d, this program reads up to %d", ErrUnsupportedVersion, v.Format, FormatVersion)
	}
	var err error
	r.table.unknown, err = unmarshalWithKnownFields(text, &r.head, headFields)
	if err != nil || !ended || r.head.Format < 1 {
		return invalidSnapshot("malformed header: %v", err)
	}
	if r.head.PrunedVersion > r.head.Version || len(r.head.Deletions) > maxDeletions || r.head.Instances < 0 {
		return invalidSnapshot("inconsistent versions or counts in the header")
	}
	t := r.table
	t.version, t.prunedEpoch, t.prunedVersion = r.head.Version, r.head.PrunedEpoch, r.head.PrunedVersion
	last := r.head.PrunedVersion
	for _, d := range r.head.Deletions {
		if d.Instance == "" || d.Version <= last || d.Version > r.head.Version || d.Epoch == 0 {
			return invalidSnapshot("deleted instance %.40q has no name, no epoch or a wrong version", d.Instance)
		}
		last = d.Version
		r.usedVersions[d.Version] = true
		t.rememberDeletion(d)
	}
	return nil
}

// readLine reads and validates the line of one instance.
func (r *snapshotReader) readLine(text []byte) error {
	var l snapshotLine
	unknown, err := unmarshalWithKnownFields(text, &l, lineFields)
	if err != nil {
		return invalidSnapshot("instance %d: %v", len(r.rows)+1, err)
	}
	if fault := validateAssignment(l.Assignment); fault != "" {
		return invalidSnapshot("instance %.40q: %s", l.Instance, fault)
	}
	if l.Instance <= r.lastInstance || l.ChangedAt == 0 || l.ChangedAt > r.head.Version || r.usedVersions[l.ChangedAt] {
		return invalidSnapshot("instance %.40q is out of order or has a wrong version", l.Instance)
	}
	if d, ok := r.table.deletedByName[l.Instance]; ok && (d.Version >= l.ChangedAt || d.Epoch >= l.Epoch) {
		return invalidSnapshot("instance %.40q is older than the deletion of its name", l.Instance)
	}
	r.lastInstance = l.Instance
	r.usedVersions[l.ChangedAt] = true
	r.rows = append(r.rows, &row{assignment: l.Assignment, changedAt: l.ChangedAt, unknown: unknown})
	return nil
}

// buildTable adds the rows to the table and links them in the order of their changes.
func (r *snapshotReader) buildTable() *Table {
	for _, loaded := range r.rows {
		r.table.rows[loaded.assignment.Instance] = loaded
		r.table.reindex(loaded, Assignment{}, loaded.assignment)
	}
	slices.SortFunc(r.rows, func(a, b *row) int { return cmp.Compare(a.changedAt, b.changedAt) })
	for _, loaded := range r.rows {
		r.table.linkNewest(loaded)
	}
	return r.table
}
