package placement

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// A snapshot is lines of JSON: a head, with the number of the others, then each instance by its name. Fields that this
// program does not know are kept as they are and written again.

// more are fields that a later version added, by name.
type more = UnknownFields

// UnknownFields are the fields of a JSON object that this program does not know, by name. Whoever writes the object again writes
// them too: a program of before a roll back must not take away what a later one keeps there.
type UnknownFields map[string]json.RawMessage

// UnmarshalKeepingUnknown decodes an object, and returns the fields that are not those of into, a pointer to a struct. A field that
// differs from one of those in its case alone is refused.
func UnmarshalKeepingUnknown(text []byte, into any) (UnknownFields, error) {
	return read(text, into, fields(reflect.TypeOf(into).Elem()))
}

// MarshalWithUnknown writes an object with what ReadMore returned at its end, on one line.
func MarshalWithUnknown(v any, m UnknownFields) ([]byte, error) {
	var buf bytes.Buffer
	err := write(&buf, v, m)
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), err
}

type head struct {
	V       int    `json:"v"`
	Version uint64 `json:"version"`
	Places  int    `json:"places"`
	Floor   uint64 `json:"floor,omitempty"`
	Since   uint64 `json:"since,omitempty"`
	Gone    []gone `json:"gone,omitempty"`
}

type line struct {
	At uint64 `json:"at"`
	Assignment
}

var headFields, lineFields = fields(reflect.TypeFor[head]()), fields(reflect.TypeFor[line]())

func fields(t reflect.Type) map[string]bool {
	all := map[string]bool{}
	for i := range t.NumField() {
		if f := t.Field(i); f.Anonymous {
			maps.Copy(all, fields(f.Type))
		} else if f.IsExported() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			all[name] = true
		}
	}
	return all
}

// FrozenTable is a table as it was at one moment. It may be written while the table goes on.
type FrozenTable struct {
	head head
	more more
	rows []row
}

// Freeze takes a table as it is now, for a snapshot that is written beside the steps that follow. It costs a copy of
// each place without what that points to.
func (t *Table) Freeze() *FrozenTable {
	f := &FrozenTable{more: t.more, rows: make([]row, 0, len(t.rows)), head: head{V: FormatVersion, Version: t.version,
		Places: len(t.rows), Floor: t.floor, Since: t.since, Gone: slices.Clone(t.gone)}}
	for _, r := range t.rows {
		f.rows = append(f.rows, row{place: r.place, at: r.at, more: r.more})
	}
	return f
}

// WriteTo writes the snapshot.
func (f *FrozenTable) WriteTo(w io.Writer) (int64, error) {
	slices.SortFunc(f.rows, func(a, b row) int { return cmp.Compare(a.place.Instance, b.place.Instance) })
	var buf bytes.Buffer
	var sum int64
	flush := func(least int) error {
		if buf.Len() < least {
			return nil
		}
		n, err := buf.WriteTo(w)
		sum += n
		return err
	}
	if err := write(&buf, f.head, f.more); err != nil {
		return 0, err
	}
	for i := range f.rows {
		if err := write(&buf, line{At: f.rows[i].at, Assignment: f.rows[i].place}, f.rows[i].more); err != nil {
			return sum, err
		}
		if err := flush(1 << 16); err != nil {
			return sum, err
		}
	}
	return sum, flush(0)
}

// write appends one line, what a later version added at its end.
func write(buf *bytes.Buffer, v any, m more) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	buf.Write(text)
	for _, name := range slices.Sorted(maps.Keys(m)) {
		key, _ := json.Marshal(name)
		buf.Truncate(buf.Len() - 1)
		buf.WriteByte(',')
		buf.Write(key)
		buf.WriteByte(':')
		buf.Write(m[name])
		buf.WriteByte('}')
	}
	buf.WriteByte('\n')
	return nil
}

// Snapshot is the whole table. The same log gives the same bytes.
func (t *Table) Snapshot() []byte {
	var buf bytes.Buffer
	_, _ = t.Freeze().WriteTo(&buf)
	return buf.Bytes()
}

// Restore replaces the table by a snapshot. One of a later version is handover.ErrVersion, one that is cut short or
// does not add up handover.ErrBad; the table is as before then.
func (t *Table) Restore(snapshot []byte) error {
	n, err := restored(snapshot)
	if err != nil {
		return err
	}
	*t = *n
	return nil
}

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: snapshot: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

func restored(snapshot []byte) (*Table, error) {
	t := New()
	first, rest, whole := bytes.Cut(snapshot, []byte("\n"))
	var v struct{ V int }
	if json.Unmarshal(first, &v) == nil && v.V > FormatVersion {
		return nil, fmt.Errorf("%w: snapshot %d, this program reads %d", ErrUnsupportedVersion, v.V, FormatVersion)
	}
	var h head
	var err error
	if t.more, err = read(first, &h, headFields); err != nil || !whole || h.V < 1 {
		return nil, bad("head: %v", err)
	}
	if h.Since > h.Version || len(h.Gone) > mostGone || h.Places < 0 {
		return nil, bad("head does not add up")
	}
	t.version, t.floor, t.since = h.Version, h.Floor, h.Since
	seen := map[uint64]bool{}
	last := h.Since
	for _, g := range h.Gone {
		if g.Name == "" || g.At <= last || g.At > h.Version || g.Epoch == 0 {
			return nil, bad("forgotten %.40q does not add up", g.Name)
		}
		last, seen[g.At] = g.At, true
		t.remember(g)
	}
	rows := make([]*row, 0, min(h.Places, len(rest)/8))
	for prior := ""; len(rest) > 0; {
		var text []byte
		if text, rest, whole = bytes.Cut(rest, []byte("\n")); !whole {
			return nil, bad("cut short")
		}
		var l line
		m, err := read(text, &l, lineFields)
		if err != nil {
			return nil, bad("instance %d: %v", len(rows)+1, err)
		}
		if fault := unsound(l.Assignment); fault != "" {
			return nil, bad("instance %.40q: %s", l.Instance, fault)
		}
		if l.Instance <= prior || l.At == 0 || l.At > h.Version || seen[l.At] {
			return nil, bad("instance %.40q does not add up", l.Instance)
		}
		if g, ok := t.goneMap[l.Instance]; ok && (g.At >= l.At || g.Epoch >= l.Epoch) {
			return nil, bad("instance %.40q is older than when it was forgotten", l.Instance)
		}
		prior, seen[l.At] = l.Instance, true
		rows = append(rows, &row{place: l.Assignment, at: l.At, more: m})
	}
	if len(rows) != h.Places {
		return nil, bad("%d instances of %d", len(rows), h.Places)
	}
	for _, r := range rows {
		t.rows[r.place.Instance] = r
		t.owner.add(r.place.Primary, r)
		t.zone.add(r.place.Zone, r)
		for _, unit := range r.place.Replicas {
			t.holder.add(unit, r)
		}
	}
	slices.SortFunc(rows, func(a, b *row) int { return cmp.Compare(a.at, b.at) })
	for _, r := range rows {
		t.link(r)
	}
	return t, nil
}

// read decodes one line and returns its fields that are not known. A name that differs from a known one in its case
// alone would be taken for it and then be there twice: it is refused.
func read(text []byte, into any, known map[string]bool) (more, error) {
	if err := json.Unmarshal(text, into); err != nil {
		return nil, err
	}
	return names(text, known)
}

func names(text []byte, known map[string]bool) (more, error) {
	var all more
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, err
	}
	for name := range all {
		if known[name] {
			delete(all, name)
		} else if known[strings.ToLower(name)] {
			return nil, fmt.Errorf("field %.40q", name)
		}
	}
	if len(all) == 0 {
		return nil, nil
	}
	for name, v := range all {
		var tight bytes.Buffer
		if err := json.Compact(&tight, v); err != nil {
			return nil, err
		}
		all[name] = tight.Bytes()
	}
	return all, nil
}

// unsound says which invariant a place breaks, "" for none.
func unsound(p Assignment) string {
	e := Operation{Version: FormatVersion, Kind: OpDelete, Instance: p.Instance, Node: p.Primary, Target: p.CopyTarget, Zone: p.Zone,
		Reason: p.Reason, Weight: p.Weight, Size: p.Size, Index: p.Index, Epoch: p.Epoch}
	if fault := senseless(e); fault != "" {
		return fault
	}
	known := p.State == Running || p.State == Lost || p.State == Quarantined
	prior := ""
	for _, unit := range p.Replicas {
		if unit <= prior || unit == p.Primary || len(unit) > mostName {
			return "holders do not add up"
		}
		prior = unit
	}
	kept := map[string]bool{p.Primary: true}
	for _, k := range p.StaleCopies {
		if k.Node == "" || len(k.Node) > mostName || kept[k.Node] || slices.Contains(p.Replicas, k.Node) {
			return "older copies do not add up"
		}
		kept[k.Node] = true
	}
	switch {
	case !known:
		return fmt.Sprintf("state %.40q", p.State)
	case (p.State == Running) != (p.Primary != ""):
		return "an owner is there where it runs, and only there"
	case p.CopyTarget == p.Primary && p.CopyTarget != "", p.CopyTarget != "" && p.State != Running, p.CutOver && p.CopyTarget == "":
		return "the copy does not add up"
	case p.Epoch == 0 || p.Revision == 0 || p.Failures < 0 || len(p.StaleCopies) > mostKept || len(p.Replicas) > mostHold+2:
		return "counts do not add up"
	}
	return ""
}
