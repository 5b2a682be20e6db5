package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/leases"
	"silvercove/internal/placement"
	"silvercove/internal/replica"
)

// orderVersion is that of an entry of the agreed log around handover.Entry. A keeper that meets a later one ends: it
// can neither carry it out nor leave it out as those that can.
const orderVersion = 1

// errTerm: the order rested on its maker's lead, which ended before it was agreed.
var errTerm = errors.New("the lead that it rested on has ended")

// order is one entry of the agreed log.
type order struct {
	V     int                         `json:"v"`
	Term  uint64                      `json:"term,omitempty"`  // it holds in this term alone; 0: in any
	Steps []placement.Operation       `json:"steps,omitempty"` // each is carried out or refused by itself
	Unit  string                      `json:"unit,omitempty"`  // Run of Unit may have leases from now on, earlier ones may not
	Run   uint64                      `json:"run,omitempty"`
	Birth *controllerclient.LogOrigin `json:"birth,omitempty"` // the log's beginning, once
	Node  string                      `json:"node,omitempty"`  // the keeper Node has the disk Store from now on
	Store string                      `json:"store,omitempty"`

	// Of these an earlier keeper knows nothing, and passes an entry with them alone over: nothing that it knows rests on them.
	Kept   map[string]uint64        `json:"kept,omitempty"`   // units' counts, as leases.Marks
	Doubts []replica.UnverifiedCopy `json:"doubts,omitempty"` // of one unit's
}

// result is what became of one step.
type result struct {
	place placement.Assignment
	err   error
}

// head is the first line of a snapshot; the table's own lines follow.
type head struct {
	V          int                         `json:"v"`
	Applied    uint64                      `json:"applied"`
	Generation uint64                      `json:"generation"`
	Birth      *controllerclient.LogOrigin `json:"birth,omitempty"`
	Stores     map[string]string           `json:"stores,omitempty"`
	Runs       map[string]uint64           `json:"runs,omitempty"`
	Kept       map[string]uint64           `json:"kept,omitempty"`
	more       placement.UnknownFields     // what a later version added
}

// machine is what the log agrees on. Its lock is never held while another one is waited for.
type machine struct {
	told  func([]placement.Operation, []result) // each order's steps, in order
	fatal func(error)

	mu      sync.Mutex
	head    head
	table   *placement.Table
	changed chan struct{} // closed at the next change
	broken  bool          // no entry is carried out any more
}

func newMachine(told func([]placement.Operation, []result), fatal func(error)) *machine {
	return &machine{told: told, fatal: fatal, head: head{V: storeVersion, Generation: 1, Stores: map[string]string{},
		Runs: map[string]uint64{}, Kept: map[string]uint64{}}, table: placement.New(), changed: make(chan struct{})}
}

// Apply carries an agreed entry out.
func (m *machine) Apply(l *raft.Log) any {
	var o order
	if err := json.Unmarshal(l.Data, &o); err != nil {
		var v struct{ V int }
		if _ = json.Unmarshal(l.Data, &v); v.V <= orderVersion {
			m.end(fmt.Errorf("entry %d of the agreed log can't be read: %w", l.Index, err))
			return err
		}
		o.V = v.V
	}
	m.mu.Lock()
	if m.broken {
		m.mu.Unlock()
		return raft.ErrRaftShutdown
	}
	var later error // what those that know it carry out, and this one can't: it must not step on as if it were refused
	if o.V > orderVersion {
		later = fmt.Errorf("%w: entry %d of the agreed log has version %d", ErrNewerVersion, l.Index, o.V)
	}
	for _, e := range o.Steps {
		if err := placement.CheckSupported(e); err != nil && later == nil {
			later = fmt.Errorf("%w: entry %d of the agreed log: %w", ErrNewerVersion, l.Index, err)
		}
	}
	if later != nil {
		m.mu.Unlock()
		m.end(later)
		return later
	}
	m.head.Applied = l.Index
	if o.Term != 0 && o.Term != l.Term {
		m.mu.Unlock()
		return errTerm
	}
	var err error
	switch {
	case o.Unit != "" && o.Run < m.head.Runs[o.Unit]:
		err = leases.ErrStaleIncarnation
	case o.Unit != "":
		m.head.Runs[o.Unit] = o.Run
	case o.Birth != nil && m.head.Birth == nil:
		m.head.Birth = o.Birth
		maps.Copy(m.head.Stores, o.Birth.Stores)
	case o.Node != "":
		m.head.Stores[o.Node] = o.Store
	}
	leases.MergeRecordCounts(m.head.Kept, o.Kept)
	for _, d := range o.Doubts {
		m.table.SetUnverified(d.Instance, d.Epoch, d.Reason)
	}
	var all []result
	before := m.table.Version()
	for _, e := range o.Steps {
		p, err := m.table.Apply(e)
		all = append(all, result{p, err})
	}
	m.ring(before)
	m.mu.Unlock()
	if len(all) > 0 {
		m.told(o.Steps, all)
		return all
	}
	return err
}

func (m *machine) ring(before uint64) {
	if m.table.Version() != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// end makes the keeper end, as it can't go on as the others do.
func (m *machine) end(err error) {
	m.mu.Lock()
	m.broken = true
	m.mu.Unlock()
	m.fatal(err)
}

type frozen struct {
	head  head
	table *placement.FrozenTable
}

func (m *machine) freeze() *frozen {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.head
	h.Runs, h.Stores, h.Kept = maps.Clone(h.Runs), maps.Clone(h.Stores), maps.Clone(h.Kept)
	return &frozen{h, m.table.Freeze()}
}

// Snapshot freezes the machine.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	f := m.freeze()
	if f.head.Applied == 0 {
		return f, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		return nil, raft.ErrRaftShutdown
	}
	return f, nil
}

// WriteTo writes a snapshot.
func (f *frozen) WriteTo(w io.Writer) (int64, error) {
	text, err := placement.MarshalWithUnknown(f.head, f.head.more)
	if err != nil {
		return 0, err
	}
	n, err := w.Write(append(text, '\n'))
	if err != nil {
		return int64(n), err
	}
	rest, err := f.table.WriteTo(w)
	return int64(n) + rest, err
}

// Persist writes it to where raft wants it.
func (f *frozen) Persist(to raft.SnapshotSink) error {
	if _, err := f.WriteTo(to); err != nil {
		_ = to.Cancel()
		return err
	}
	return to.Close()
}

// Release is of no need.
func (f *frozen) Release() {}

// Restore takes a snapshot over. One that is earlier than what was carried out here is refused: it would take back
// what was answered.
func (m *machine) Restore(from io.ReadCloser) error {
	h, t, err := readSnapshot(from)
	if err != nil {
		if errors.Is(err, ErrNewerVersion) {
			m.end(err)
		}
		return err
	}
	m.mu.Lock()
	if h.Applied < m.head.Applied {
		m.mu.Unlock()
		err := fmt.Errorf("%w (a snapshot of %d, and %d were carried out)", ErrLogWentBack, h.Applied, m.head.Applied)
		m.end(err)
		return err
	}
	m.head, m.table = h, t
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	return nil
}

func readSnapshot(from io.Reader) (h head, t *placement.Table, err error) {
	if h, err = readHead(from); err != nil {
		return h, nil, err
	}
	text, err := io.ReadAll(from)
	if err != nil {
		return h, nil, err
	}
	t = placement.New()
	if err = t.Restore(text); errors.Is(err, placement.ErrUnsupportedVersion) {
		return h, nil, fmt.Errorf("%w: %w", ErrNewerVersion, err)
	} else if err != nil {
		return h, nil, err
	}
	if h.Stores == nil {
		h.Stores = map[string]string{}
	}
	if h.Runs == nil {
		h.Runs = map[string]uint64{}
	}
	if h.Kept == nil {
		h.Kept = map[string]uint64{}
	}
	return h, t, nil
}

func (m *machine) applied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.head.Applied
}

// line is the line of placement, runs those of units, stores the disks that are agreed.
func (m *machine) line() controllerclient.Lineage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lineLocked()
}

func (m *machine) lineLocked() controllerclient.Lineage {
	l := controllerclient.Lineage{Generation: m.head.Generation}
	if m.head.Birth != nil {
		l.OriginID = m.head.Birth.ID
	}
	return l
}

func (m *machine) runs() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.head.Runs)
}

func (m *machine) kept() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.head.Kept)
}

func (m *machine) stores() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.head.Stores)
}

func (m *machine) get(name string) (placement.Assignment, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(name)
}

func (m *machine) version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Version()
}

func (m *machine) all() []placement.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}

// since are the places that changed since a version of a birth's, and what is closed at the next change.
func (m *machine) since(version uint64, birth string) (p controllerclient.AssignmentChanges, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	line := m.lineLocked()
	if birth != line.OriginID {
		version = 0
	}
	c := m.table.Since(version)
	return controllerclient.AssignmentChanges{Version: c.Version, Lineage: line, Complete: c.Complete, Assignments: c.Assignments, Deleted: c.Deleted}, m.changed
}
