// Package placement keeps where each running instance works: the state machine that every keeper steps by the same
// agreed log. The same entries in the same order give the same Table, byte for byte in its snapshot.
//
// An entry costs no more than the holders of its one instance, whatever the number of instances. A Table has no lock:
// one goroutine steps it; what it hands out may be read by any, and is never written again.
//
// Kind: state
package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode/utf8"
)

// Bounds of what an entry may say and of what is remembered.
const (
	mostName   = 256  // bytes of a name of an instance, a unit or a zone
	mostReason = 1024 // bytes
	mostHold   = 16   // holders of one instance
	mostKept   = 4    // older copies of one instance that are remembered
	mostGone   = 4096 // forgotten names that are remembered
)

// Table is where all instances run.
type Table struct {
	rows    map[string]*row
	owner   index // by the unit that owns them
	holder  index // by each unit that holds them
	zone    index // by their device's zone
	version uint64
	last    *row // changed last; each leads to the one changed before
	first   *row
	gone    []gone // forgotten last, in order; begins anew each mostGone
	goneMap map[string]gone
	floor   uint64 // the highest epoch of a name that is no longer remembered
	since   uint64 // the version up to which forgotten names are no longer remembered
	more    more   // what a later version added to the snapshot's head
}

// row is one instance. Its place is replaced, never written into.
type row struct {
	place        Assignment
	at           uint64 // the version that changed it last
	older, newer *row
	more         more
}

// gone is a forgotten instance.
type gone struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	At    uint64 `json:"at"`
}

// index finds rows by a word.
type index map[string]map[*row]struct{}

func (x index) add(word string, r *row) {
	if word == "" {
		return
	}
	if x[word] == nil {
		x[word] = map[*row]struct{}{}
	}
	x[word][r] = struct{}{}
}

func (x index) drop(word string, r *row) {
	if delete(x[word], r); len(x[word]) == 0 {
		delete(x, word)
	}
}

func (x index) places(word string) []Assignment {
	all := make([]Assignment, 0, len(x[word]))
	for r := range x[word] {
		all = append(all, r.place)
	}
	return sorted(all)
}

func sorted(all []Assignment) []Assignment {
	slices.SortFunc(all, func(a, b Assignment) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

// New is a table without instances.
func New() *Table {
	return &Table{rows: map[string]*row{}, owner: index{}, holder: index{}, zone: index{}, goneMap: map[string]gone{}}
}

// Len is the number of instances.
func (t *Table) Len() int { return len(t.rows) }

// Version counts the entries that changed something. It is the same at every keeper.
func (t *Table) Version() uint64 { return t.version }

// Get is where an instance runs, if there is one of this name.
func (t *Table) Get(name string) (Assignment, bool) {
	if r := t.rows[name]; r != nil {
		return r.place, true
	}
	return Assignment{}, false
}

// All are all instances by name. It costs as much as there are of them.
func (t *Table) All() []Assignment {
	all := make([]Assignment, 0, len(t.rows))
	for _, r := range t.rows {
		all = append(all, r.place)
	}
	return sorted(all)
}

// ByPrimary are the instances that a unit owns, by name; it costs as much as there are of them. So do Held, those that it
// holds for another owner, and In, those whose device is in a zone.
func (t *Table) ByPrimary(unit string) []Assignment { return t.owner.places(unit) }

// ByReplica are the instances that a unit holds.
func (t *Table) ByReplica(unit string) []Assignment { return t.holder.places(unit) }

// InZone are the instances whose device is in a zone.
func (t *Table) InZone(zone string) []Assignment { return t.zone.places(zone) }

// Changes are what is new since a version.
type Changes struct {
	Version     uint64       `json:"version"`
	Complete    bool         `json:"whole"` // Places are all there are: what is not among them is gone
	Assignments []Assignment `json:"places"`
	Deleted     []string     `json:"gone,omitempty"`
}

// Since is what has changed since a version: whole where that is 0, later than the table's or too old. It costs as
// much as has changed.
func (t *Table) Since(version uint64) Changes {
	c := Changes{Version: t.version, Assignments: []Assignment{}}
	if version == 0 || version < t.since || version > t.version {
		c.Complete, c.Assignments = true, t.All()
		return c
	}
	for r := t.last; r != nil && r.at > version; r = r.older {
		c.Assignments = append(c.Assignments, r.place)
	}
	for i := len(t.gone) - 1; i >= 0 && t.gone[i].At > version; i-- {
		if name := t.gone[i].Name; t.rows[name] == nil && t.goneMap[name].At == t.gone[i].At {
			c.Deleted = append(c.Deleted, name)
		}
	}
	slices.Sort(c.Deleted)
	sorted(c.Assignments)
	return c
}

// Apply steps the table by an entry. The place is the one after it, or with an error the one that stands, if any; an
// error is one of handover's and has changed nothing. An entry whose work is done already changes nothing and is no error.
func (t *Table) Apply(e Operation) (Assignment, error) {
	if e.Version > FormatVersion {
		return Assignment{}, fmt.Errorf("%w: entry %d, this program reads %d", ErrUnsupportedVersion, e.Version, FormatVersion)
	}
	if fault := senseless(e); fault != "" {
		return Assignment{}, fmt.Errorf("%w: %s", ErrInvalid, fault)
	}
	r := t.rows[e.Instance]
	if e.Kind == OpCreate {
		if r != nil {
			return r.place, ErrExists
		}
		epoch := t.floor // never one that this name may have had: an owner of before it was forgotten is older
		if g, ok := t.goneMap[e.Instance]; ok {
			epoch = max(epoch, g.Epoch)
		}
		r = &row{}
		t.rows[e.Instance] = r
		t.put(r, Assignment{Instance: e.Instance, State: Running, Primary: e.Target, Epoch: epoch + 1, Zone: e.Zone,
			Weight: max(1, e.Weight), Size: e.Size, Index: e.Index, Reason: e.Reason})
		return r.place, nil
	}
	if r == nil {
		return Assignment{}, ErrNotFound
	}
	p := r.place
	switch {
	case e.Epoch > p.Epoch:
		return p, fmt.Errorf("%w: epoch %d is not there yet", ErrInvalid, e.Epoch)
	case e.Epoch < p.Epoch && e.Kind != OpMoveDevice: // a device is where it is, whoever owns its instance
		return p, ErrStaleEpoch
	case e.Revision != 0 && e.Revision != p.Revision:
		return p, fmt.Errorf("%w: change %d, it stands at %d", ErrStaleEpoch, e.Revision, p.Revision)
	}
	next, err := step(p, e)
	switch {
	case err != nil:
		return p, err
	case e.Kind == OpDelete:
		next.Revision++
		next.State = Deleted
		t.forget(r)
		return next, nil
	case same(p, next):
		return p, nil
	}
	if e.Reason != "" {
		next.Reason = e.Reason
	}
	t.put(r, next)
	return r.place, nil
}

// SetUnverified notes that an owner goes on with a copy that may lack effects. It is no change of a place: nobody decides by it,
// and a keeper of an earlier version, which passes it over, must count the same changes. It is told with the next one, and
// whenever all places are asked for.
func (t *Table) SetUnverified(name string, epoch uint64, why string) {
	r := t.rows[name]
	if r == nil || r.place.Epoch < epoch || len(why) > mostReason || !utf8.ValidString(why) {
		return
	}
	r.place.UnverifiedReason = why // of the row's own copy: what was handed out is another one
}

// CheckSupported tells whether this program knows what an entry does, whatever stands in the table: handover.ErrVersion where it
// is of a later version or of a kind that is not known. Apply refuses such an entry, which is right for one table
// alone; of several that step by one log, those that know it carry it out, so one that does not must not go on.
func CheckSupported(e Operation) error {
	if e.Version > FormatVersion {
		return fmt.Errorf("%w: entry %d, this program reads %d", ErrUnsupportedVersion, e.Version, FormatVersion)
	}
	if !known(e.Kind) {
		return fmt.Errorf("%w: kind %.40q", ErrUnsupportedVersion, e.Kind)
	}
	return nil
}

func known(k OperationKind) bool {
	switch k {
	case OpCreate, OpStartCopy, OpReplicaReady, OpDropReplica, OpCutOver, OpRestart, OpRelease,
		OpMoveDevice, OpCancelCopy, OpFailOver, OpMarkServed, OpReportIncomplete, OpResetFailures, OpQuarantine,
		OpDelete:
		return true
	}
	return false
}

// senseless says what is wrong with an entry whatever stands in the table, "" for nothing.
func senseless(e Operation) string {
	for _, s := range []struct {
		what, text string
		most       int
	}{{"name", e.Instance, mostName}, {"by", e.Node, mostName}, {"to", e.Target, mostName}, {"zone", e.Zone, mostName},
		{"reason", e.Reason, mostReason}} {
		if len(s.text) > s.most || !utf8.ValidString(s.text) {
			return fmt.Sprintf("%s: over %d bytes, or not UTF-8", s.what, s.most)
		}
	}
	switch {
	case e.Version < 1:
		return "no version"
	case e.Instance == "":
		return "no name"
	case !(e.Weight >= 0 && e.Weight <= 100):
		return "a weight is 0 to 100"
	case e.Size < 0:
		return "a size below 0"
	case e.Index > math.MaxInt64 || e.Epoch > math.MaxInt64:
		return "a number beyond any count"
	}
	switch e.Kind {
	case OpCreate, OpStartCopy, OpReplicaReady, OpDropReplica, OpCutOver, OpRestart, OpRelease:
		if e.Target == "" {
			return "no unit to go to"
		}
	case OpMoveDevice:
		if e.Zone == "" {
			return "no zone"
		}
	default:
		if !known(e.Kind) {
			return fmt.Sprintf("kind %.40q", e.Kind)
		}
	}
	return ""
}

// step is the place that an entry of its epoch leads to. It does not write into what p holds.
func step(p Assignment, e Operation) (Assignment, error) {
	runs, holds := p.State == Running, slices.Contains(p.Replicas, e.Target)
	switch e.Kind {
	case OpStartCopy:
		switch {
		case !runs, e.Target == p.Primary, p.CopyTarget != "" && (p.CopyTarget != e.Target || p.CutOver || !e.CutOver), holds && !e.CutOver,
			!holds && len(p.Replicas) >= mostHold:
			return p, ErrWrongState
		}
		p.CopyTarget, p.CutOver = e.Target, e.CutOver

	case OpReplicaReady:
		switch {
		case !runs:
			return p, ErrWrongState
		case e.Node != p.Primary:
			return p, ErrNotPrimary
		case !holds && e.Target != p.CopyTarget:
			return p, ErrWrongState // the copy was given up
		}
		if e.Target == p.CopyTarget && !p.CutOver {
			p.CopyTarget = ""
		}
		if !holds {
			p = hold(p, e.Target)
		}
		p.Index = max(p.Index, e.Index)
		if e.Size > 0 {
			p.Size = e.Size
		}

	case OpDropReplica:
		switch {
		case !runs:
			return p, ErrWrongState
		case e.Node != p.Primary && e.Node != "":
			return p, ErrNotPrimary
		case e.Node == "" && p.CutOver && p.CopyTarget == e.Target:
			return p, ErrWrongState // Back comes first
		}
		p.Index = max(p.Index, e.Index)
		if holds {
			p.Replicas = without(p.Replicas, e.Target)
			p = keep(p, e.Target, p.Index)
		}

	case OpCutOver:
		switch {
		case !runs:
			return p, ErrWrongState
		case e.Node != p.Primary:
			return p, ErrNotPrimary
		case !p.CutOver || p.CopyTarget != e.Target:
			return p, ErrWrongState // the copy was given up
		case !holds:
			return p, ErrNotReplica
		case e.Index < p.Index:
			return p, fmt.Errorf("%w: %d effects, and %d were proven", ErrInvalid, e.Index, p.Index)
		}
		old := p.Primary
		p = hold(own(p, e.Target), old) // it stopped: it has all that was acked, until there is a further copy
		p.Index = e.Index
		if e.Size > 0 {
			p.Size = e.Size
		}

	case OpCancelCopy:
		switch {
		case p.CopyTarget == "", e.Target != "" && e.Target != p.CopyTarget:
			return p, ErrWrongState
		case e.Node != "" && e.Node != p.Primary:
			return p, ErrNotPrimary
		}
		p.CopyTarget, p.CutOver = "", false

	case OpFailOver:
		switch {
		case !runs:
			return p, ErrWrongState
		case e.Node == "" || e.Node != p.Primary:
			return p, ErrNotPrimary
		case e.Target != "" && !holds:
			return p, ErrNotReplica
		}
		if p.Failures++; e.Target != "" {
			old := p.Primary
			p = keep(own(p, e.Target), old, p.Index)
		} else {
			p = stop(p, Lost)
		}

	case OpMarkServed:
		switch {
		case !runs:
			return p, ErrWrongState
		case e.Node == "" || e.Node != p.Primary:
			return p, ErrNotPrimary
		}
		p.EverServed = true

	case OpReportIncomplete:
		switch owns := runs && e.Node != "" && e.Node == p.Primary; {
		case !owns && !slices.Contains(p.Replicas, e.Node):
			return p, ErrNotPrimary
		case owns && e.Target != "" && !holds:
			return p, ErrNotReplica
		case owns && e.Target != "":
			p.Failures++
			p = own(p, e.Target)
		case owns:
			p.Failures++
			p.State, p.Primary, p.CopyTarget, p.CutOver = Lost, "", "", false
		}
		p.Replicas = without(p.Replicas, e.Node)

	case OpRestart, OpRelease:
		if want := map[OperationKind]State{OpRestart: Lost,
			OpRelease: Quarantined}[e.Kind]; p.State != want {
			return p, ErrWrongState
		}
		if !holds { // what the others have beyond it is not of this line any more
			if p.Index > e.Index {
				p.MissingEntries += p.Index - e.Index
			}
			p.Index, p.Replicas = e.Index, nil
			p.StaleCopies = slices.DeleteFunc(slices.Clone(p.StaleCopies), func(k StaleCopy) bool { return k.Index > e.Index })
		}
		if p = own(p, e.Target); e.Kind == OpRelease {
			p.Failures = 0
		}

	case OpMoveDevice:
		p.Zone = e.Zone

	case OpResetFailures:
		if !runs {
			return p, ErrWrongState
		}
		p.Failures = 0

	case OpQuarantine, OpDelete:
		switch {
		case runs && e.Node != p.Primary: // it may be acting: nobody else may be let to
			return p, ErrNotPrimary
		case p.State == Quarantined && e.Kind == OpQuarantine:
			return p, ErrWrongState
		}
		if runs {
			p.Failures++
		}
		p = stop(p, Quarantined)
	}
	return p, nil
}

// own makes a unit the owner of the next epoch.
func own(p Assignment, unit string) Assignment {
	p.State, p.Primary, p.CopyTarget, p.CutOver = Running, unit, "", false
	p.Epoch++
	p.Replicas = without(p.Replicas, unit)
	p.StaleCopies = slices.DeleteFunc(slices.Clone(p.StaleCopies), func(k StaleCopy) bool { return k.Node == unit })
	return p
}

// stop leaves an instance without an owner; who owned it holds it, as nothing is acked from now on.
func stop(p Assignment, state State) Assignment {
	if p.Primary != "" {
		p = hold(p, p.Primary)
	}
	p.State, p.Primary, p.CopyTarget, p.CutOver = state, "", "", false
	return p
}

// hold makes a unit a holder.
func hold(p Assignment, unit string) Assignment {
	at, there := slices.BinarySearch(p.Replicas, unit)
	if !there {
		p.Replicas = slices.Insert(slices.Clone(p.Replicas), at, unit)
	}
	p.StaleCopies = slices.DeleteFunc(slices.Clone(p.StaleCopies), func(k StaleCopy) bool { return k.Node == unit })
	return p
}

// keep notes an older copy.
func keep(p Assignment, unit string, seq uint64) Assignment {
	p.StaleCopies = slices.DeleteFunc(slices.Clone(p.StaleCopies), func(k StaleCopy) bool { return k.Node == unit })
	p.StaleCopies = append(p.StaleCopies, StaleCopy{Node: unit, Index: seq})
	p.StaleCopies = p.StaleCopies[max(0, len(p.StaleCopies)-mostKept):]
	return p
}

func without(all []string, one string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == one })
}

// same tells whether an entry changed nothing.
func same(a, b Assignment) bool {
	return a.State == b.State && a.Primary == b.Primary && a.Epoch == b.Epoch && a.CopyTarget == b.CopyTarget && a.CutOver == b.CutOver && a.EverServed == b.EverServed &&
		a.Index == b.Index && a.Zone == b.Zone && a.Size == b.Size && a.Failures == b.Failures && a.MissingEntries == b.MissingEntries &&
		slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.StaleCopies, b.StaleCopies)
}

// put replaces the place of a row, as the newest change.
func (t *Table) put(r *row, p Assignment) {
	old := r.place
	if p.Revision = old.Revision + 1; len(p.StaleCopies) == 0 {
		p.StaleCopies = nil
	}
	if len(p.Replicas) == 0 {
		p.Replicas = nil
	}
	t.unlink(r)
	t.version++
	r.place, r.at = p, t.version
	t.link(r)
	if old.Primary != p.Primary {
		t.owner.drop(old.Primary, r)
		t.owner.add(p.Primary, r)
	}
	if old.Zone != p.Zone {
		t.zone.drop(old.Zone, r)
		t.zone.add(p.Zone, r)
	}
	if !slices.Equal(old.Replicas, p.Replicas) {
		for _, unit := range old.Replicas {
			t.holder.drop(unit, r)
		}
		for _, unit := range p.Replicas {
			t.holder.add(unit, r)
		}
	}
}

// link makes a row the newest.
func (t *Table) link(r *row) {
	if r.older, r.newer = t.last, nil; t.last != nil {
		t.last.newer = r
	} else {
		t.first = r
	}
	t.last = r
}

func (t *Table) unlink(r *row) {
	switch {
	case r.older != nil:
		r.older.newer = r.newer
	case t.first == r:
		t.first = r.newer
	}
	switch {
	case r.newer != nil:
		r.newer.older = r.older
	case t.last == r:
		t.last = r.older
	}
	r.older, r.newer = nil, nil
}

// forget takes a row out. The earliest of too many forgotten names leaves its epoch as a floor for all.
func (t *Table) forget(r *row) {
	p := r.place
	t.unlink(r)
	t.owner.drop(p.Primary, r)
	t.zone.drop(p.Zone, r)
	for _, unit := range p.Replicas {
		t.holder.drop(unit, r)
	}
	delete(t.rows, p.Instance)
	t.version++
	t.remember(gone{Name: p.Instance, Epoch: p.Epoch, At: t.version})
}

func (t *Table) remember(g gone) {
	t.gone = append(t.gone, g)
	t.goneMap[g.Name] = g
	if len(t.gone) > mostGone {
		first := t.gone[0]
		if t.gone = t.gone[1:]; t.goneMap[first.Name].At == first.At {
			delete(t.goneMap, first.Name)
		}
		t.floor, t.since = max(t.floor, first.Epoch), first.At
	}
}

// Summary is a place in a few words, for timelines and logs: "edge-a@4 +edge-b >edge-c".
func Summary(p Assignment) string {
	var b strings.Builder
	switch p.State {
	case Running:
		fmt.Fprintf(&b, "%s@%d", p.Primary, p.Epoch)
	default:
		fmt.Fprintf(&b, "%s@%d", p.State, p.Epoch)
	}
	for _, unit := range p.Replicas {
		b.WriteString(" +" + unit)
	}
	if p.CopyTarget != "" {
		b.WriteString(map[bool]string{true: " >>", false: " >"}[p.CutOver] + p.CopyTarget)
	}
	return b.String()
}
