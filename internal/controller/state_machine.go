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

// stateMachine is what the log agrees on. It implements raft.FSM; raft calls it from one goroutine, and its other methods are
// safe for concurrent use. It calls onApplied and fatal without its lock.
type stateMachine struct {
	onApplied func([]placement.Operation, []operationResult) // called for each entry with operations, in order
	fatal     func(error)

	mu      sync.Mutex // guards the fields below; nothing is waited for under it
	header  snapshotHeader
	table   *placement.Table
	changed chan struct{} // closed at the next change of the table
	failed  bool          // no entry is applied any more
}

// newStateMachine is the state before the first entry.
func newStateMachine(onApplied func([]placement.Operation, []operationResult), fatal func(error)) *stateMachine {
	return &stateMachine{
		onApplied: onApplied,
		fatal:     fatal,
		header: snapshotHeader{
			FormatVersion: storeVersion,
			Generation:    1,
			StoreIDs:      map[string]string{},
			Incarnations:  map[string]uint64{},
			RecordCounts:  map[string]uint64{},
		},
		table:   placement.New(),
		changed: make(chan struct{}),
	}
}

// Apply applies an agreed entry. It returns the results of its operations, or where it has none an error or nil.
func (m *stateMachine) Apply(l *raft.Log) any {
	entry, err := decodeEntry(l.Data)
	if err != nil {
		m.fail(fmt.Errorf("entry %d of the agreed log can't be read: %w", l.Index, err))
		return err
	}
	if m.hasFailed() {
		return raft.ErrRaftShutdown
	}
	// What later programs apply and this one can't, it must not pass over as if it were refused.
	if err := checkEntrySupported(entry, l.Index); err != nil {
		m.fail(err)
		return err
	}
	results, err := m.applyEntry(entry, l)
	if len(results) > 0 {
		m.onApplied(entry.Operations, results)
		return results
	}
	return err
}

// decodeEntry reads an entry. Of one of a later version that can't be read only the version is there.
func decodeEntry(text []byte) (logEntry, error) {
	var entry logEntry
	err := json.Unmarshal(text, &entry)
	if err == nil {
		return entry, nil
	}
	if version := versionOf(text); version > entryVersion {
		return logEntry{FormatVersion: version}, nil
	}
	return logEntry{}, err
}

// checkEntrySupported fails with ErrNewerVersion for an entry that this program can't apply.
func checkEntrySupported(entry logEntry, index uint64) error {
	if entry.FormatVersion > entryVersion {
		return fmt.Errorf("%w: entry %d of the agreed log has version %d", ErrNewerVersion, index, entry.FormatVersion)
	}
	for _, op := range entry.Operations {
		if err := placement.CheckSupported(op); err != nil {
			return fmt.Errorf("%w: entry %d of the agreed log: %w", ErrNewerVersion, index, err)
		}
	}
	return nil
}

// applyEntry changes the state by an entry.
func (m *stateMachine) applyEntry(entry logEntry, l *raft.Log) ([]operationResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.header.Applied = l.Index
	if entry.Term != 0 && entry.Term != l.Term {
		return nil, errTermEnded
	}
	var err error
	switch {
	case entry.EdgeNode != "" && entry.Incarnation < m.header.Incarnations[entry.EdgeNode]:
		err = leases.ErrStaleIncarnation
	case entry.EdgeNode != "":
		m.header.Incarnations[entry.EdgeNode] = entry.Incarnation
	case entry.Origin != nil && m.header.Origin == nil:
		m.header.Origin = entry.Origin
		maps.Copy(m.header.StoreIDs, entry.Origin.Stores)
	case entry.Controller != "":
		m.header.StoreIDs[entry.Controller] = entry.StoreID
	}
	leases.MergeRecordCounts(m.header.RecordCounts, entry.RecordCounts)
	for _, unverified := range entry.Unverified {
		m.table.SetUnverified(unverified.Instance, unverified.Epoch, unverified.Reason)
	}
	before := m.table.Version()
	var results []operationResult
	for _, op := range entry.Operations {
		assignment, err := m.table.Apply(op)
		results = append(results, operationResult{assignment, err})
	}
	if m.table.Version() != before {
		m.signalChange()
	}
	return results, err
}

// signalChange wakes those that wait for a change of the table. It is called with mu.
func (m *stateMachine) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// fail ends the controller, which can't go on as the others do.
func (m *stateMachine) fail(err error) {
	m.mu.Lock()
	m.failed = true
	m.mu.Unlock()
	m.fatal(err)
}

func (m *stateMachine) hasFailed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed
}

// freeze returns the state as it is now.
func (m *stateMachine) freeze() *frozenState {
	m.mu.Lock()
	defer m.mu.Unlock()
	header := m.header
	header.Incarnations = maps.Clone(header.Incarnations)
	header.StoreIDs = maps.Clone(header.StoreIDs)
	header.RecordCounts = maps.Clone(header.RecordCounts)
	return &frozenState{header, m.table.Freeze()}
}

// Snapshot freezes the state for raft. A broken state machine has none but that of before the first entry.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	state := m.freeze()
	if state.header.Applied > 0 && m.hasFailed() {
		return nil, raft.ErrRaftShutdown
	}
	return state, nil
}

// Restore replaces the state by a snapshot. One that is earlier than what was applied here ends the controller with
// ErrLogWentBack: it would take back what was answered.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	header, table, err := readSnapshot(from)
	if err != nil {
		if errors.Is(err, ErrNewerVersion) {
			m.fail(err)
		}
		return err
	}
	m.mu.Lock()
	applied := m.header.Applied
	if header.Applied >= applied {
		m.header, m.table = header, table
		m.signalChange()
	}
	m.mu.Unlock()
	if header.Applied < applied {
		err := fmt.Errorf("%w (a snapshot of %d, and %d were carried out)", ErrLogWentBack, header.Applied, applied)
		m.fail(err)
		return err
	}
	return nil
}

// lastApplied is the index of the last entry that was applied.
func (m *stateMachine) lastApplied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.header.Applied
}

// lineage is the lineage of the assignments. Its origin is "" before the first entry.
func (m *stateMachine) lineage() controllerclient.Lineage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lineageLocked()
}

func (m *stateMachine) lineageLocked() controllerclient.Lineage {
	lineage := controllerclient.Lineage{Generation: m.header.Generation}
	if m.header.Origin != nil {
		lineage.OriginID = m.header.Origin.ID
	}
	return lineage
}

// incarnations is, by edge node, the newest incarnation that may have leases.
func (m *stateMachine) incarnations() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.Incarnations)
}

// recordCounts is, by edge node, the greatest count of records that is agreed.
func (m *stateMachine) recordCounts() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.RecordCounts)
}

// storeIDs is, by controller, the identity of the disk that is agreed.
func (m *stateMachine) storeIDs() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.StoreIDs)
}

// assignment is that of one instance.
func (m *stateMachine) assignment(instance string) (placement.Assignment, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(instance)
}

// assignmentsVersion is the version of the table.
func (m *stateMachine) assignmentsVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Version()
}

// assignments are those of all instances.
func (m *stateMachine) assignments() []placement.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}

// changesSince are the assignments that changed since a version, all of them where the version is of another origin, and
// what is closed at the next change.
func (m *stateMachine) changesSince(version uint64, originID string) (controllerclient.AssignmentChanges, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lineage := m.lineageLocked()
	if originID != lineage.OriginID {
		version = 0
	}
	changes := m.table.Since(version)
	return controllerclient.AssignmentChanges{
		Version:     changes.Version,
		Lineage:     lineage,
		Complete:    changes.Complete,
		Assignments: changes.Assignments,
		Deleted:     changes.Deleted,
	}, m.changed
}
