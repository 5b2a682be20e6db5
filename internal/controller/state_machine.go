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
)

// stateMachine is what the log agrees on. Its lock is never held while another one is waited for.
type stateMachine struct {
	onApplied func([]placement.Operation, []operationResult) // each order's steps, in order
	fatal     func(error)

	mu      sync.Mutex
	header  snapshotHeader
	table   *placement.Table
	changed chan struct{} // closed at the next change
	broken  bool          // no entry is carried out any more
}

func newStateMachine(told func([]placement.Operation, []operationResult), fatal func(error)) *stateMachine {
	return &stateMachine{onApplied: told, fatal: fatal, header: snapshotHeader{FormatVersion: storeVersion, Generation: 1, StoreIDs: map[string]string{},
		Incarnations: map[string]uint64{}, RecordCounts: map[string]uint64{}}, table: placement.New(), changed: make(chan struct{})}
}

// Apply carries an agreed entry out.
func (m *stateMachine) Apply(l *raft.Log) any {
	var o logEntry
	if err := json.Unmarshal(l.Data, &o); err != nil {
		var v struct{ V int }
		if _ = json.Unmarshal(l.Data, &v); v.V <= entryVersion {
			m.fail(fmt.Errorf("entry %d of the agreed log can't be read: %w", l.Index, err))
			return err
		}
		o.FormatVersion = v.V
	}
	m.mu.Lock()
	if m.broken {
		m.mu.Unlock()
		return raft.ErrRaftShutdown
	}
	var later error // what those that know it carry out, and this one can't: it must not step on as if it were refused
	if o.FormatVersion > entryVersion {
		later = fmt.Errorf("%w: entry %d of the agreed log has version %d", ErrNewerVersion, l.Index, o.FormatVersion)
	}
	for _, e := range o.Operations {
		if err := placement.CheckSupported(e); err != nil && later == nil {
			later = fmt.Errorf("%w: entry %d of the agreed log: %w", ErrNewerVersion, l.Index, err)
		}
	}
	if later != nil {
		m.mu.Unlock()
		m.fail(later)
		return later
	}
	m.header.Applied = l.Index
	if o.Term != 0 && o.Term != l.Term {
		m.mu.Unlock()
		return errTermEnded
	}
	var err error
	switch {
	case o.EdgeNode != "" && o.Incarnation < m.header.Incarnations[o.EdgeNode]:
		err = leases.ErrStaleIncarnation
	case o.EdgeNode != "":
		m.header.Incarnations[o.EdgeNode] = o.Incarnation
	case o.Origin != nil && m.header.Origin == nil:
		m.header.Origin = o.Origin
		maps.Copy(m.header.StoreIDs, o.Origin.Stores)
	case o.Controller != "":
		m.header.StoreIDs[o.Controller] = o.StoreID
	}
	leases.MergeRecordCounts(m.header.RecordCounts, o.RecordCounts)
	for _, d := range o.Unverified {
		m.table.SetUnverified(d.Instance, d.Epoch, d.Reason)
	}
	var all []operationResult
	before := m.table.Version()
	for _, e := range o.Operations {
		p, err := m.table.Apply(e)
		all = append(all, operationResult{p, err})
	}
	m.signalChange(before)
	m.mu.Unlock()
	if len(all) > 0 {
		m.onApplied(o.Operations, all)
		return all
	}
	return err
}

func (m *stateMachine) signalChange(before uint64) {
	if m.table.Version() != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// fail makes the keeper end, as it can't go on as the others do.
func (m *stateMachine) fail(err error) {
	m.mu.Lock()
	m.broken = true
	m.mu.Unlock()
	m.fatal(err)
}

func (m *stateMachine) freeze() *frozenState {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.header
	h.Incarnations, h.StoreIDs, h.RecordCounts = maps.Clone(h.Incarnations), maps.Clone(h.StoreIDs), maps.Clone(h.RecordCounts)
	return &frozenState{h, m.table.Freeze()}
}

// Snapshot freezes the machine.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	f := m.freeze()
	if f.header.Applied == 0 {
		return f, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		return nil, raft.ErrRaftShutdown
	}
	return f, nil
}

// Restore takes a snapshot over. One that is earlier than what was carried out here is refused: it would take back
// what was answered.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	h, t, err := readSnapshot(from)
	if err != nil {
		if errors.Is(err, ErrNewerVersion) {
			m.fail(err)
		}
		return err
	}
	m.mu.Lock()
	if h.Applied < m.header.Applied {
		m.mu.Unlock()
		err := fmt.Errorf("%w (a snapshot of %d, and %d were carried out)", ErrLogWentBack, h.Applied, m.header.Applied)
		m.fail(err)
		return err
	}
	m.header, m.table = h, t
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	return nil
}

func (m *stateMachine) lastApplied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.header.Applied
}

// lineage is the line of placement, runs those of units, stores the disks that are agreed.
func (m *stateMachine) lineage() controllerclient.Lineage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lineageLocked()
}

func (m *stateMachine) lineageLocked() controllerclient.Lineage {
	l := controllerclient.Lineage{Generation: m.header.Generation}
	if m.header.Origin != nil {
		l.OriginID = m.header.Origin.ID
	}
	return l
}

func (m *stateMachine) incarnations() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.Incarnations)
}

func (m *stateMachine) recordCounts() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.RecordCounts)
}

func (m *stateMachine) storeIDs() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.StoreIDs)
}

func (m *stateMachine) assignment(name string) (placement.Assignment, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(name)
}

func (m *stateMachine) assignmentsVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Version()
}

func (m *stateMachine) assignments() []placement.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}

// changesSince are the places that changed since a version of a birth's, and what is closed at the next change.
func (m *stateMachine) changesSince(version uint64, birth string) (p controllerclient.AssignmentChanges, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	line := m.lineageLocked()
	if birth != line.OriginID {
		version = 0
	}
	c := m.table.Since(version)
	return controllerclient.AssignmentChanges{Version: c.Version, Lineage: line, Complete: c.Complete, Assignments: c.Assignments, Deleted: c.Deleted}, m.changed
}
