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

// stateMachine holds the state that results from the agreed log's entries. It implements raft.FSM. raft calls Apply, Snapshot
// and Restore from one goroutine; the other methods are safe for concurrent use. onApplied and fatal are called without mu.
type stateMachine struct {
	onApplied func([]placement.Operation, []operationResult) // called for each entry with operations, in the log's order
	fatal     func(error)

	mu      sync.Mutex // guards the fields below; no goroutine blocks while it holds mu
	header  snapshotHeader
	table   *placement.Table
	changed chan struct{} // closed at the next change of the table
	failed  bool          // set by fail: no further entries are applied
}

// newStateMachine returns the state before the first entry.
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

// Apply applies an agreed entry. It returns the results of the entry's operations as []operationResult. If the entry has no
// operations or can't be applied, it returns nil or an error instead.
func (m *stateMachine) Apply(l *raft.Log) any {
	entry, err := decodeEntry(l.Data)
	if err != nil {
		m.fail(fmt.Errorf("entry %d of the agreed log can't be read: %w", l.Index, err))
		return err
	}
	if m.hasFailed() {
		return raft.ErrRaftShutdown
	}
	// An entry that only later versions of the program can apply must stop this controller. Controllers of those versions apply
	// the entry. If this controller refused the entry and continued, its state would diverge from their state.
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

// decodeEntry decodes an entry. If an entry of a later version can't be decoded, decodeEntry returns only the entry's version.
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

// checkEntrySupported fails with ErrNewerVersion if this version of the program can't apply the entry.
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

// applyEntry applies an entry that passed checkEntrySupported to the state.
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

// signalChange wakes the callers that wait for a change of the table. It is called with mu held.
func (m *stateMachine) signalChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// fail stops the controller. If the controller continued, its state would diverge from the state of the other controllers.
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

// freeze returns a copy of the current state.
func (m *stateMachine) freeze() *frozenState {
	m.mu.Lock()
	defer m.mu.Unlock()
	header := m.header
	header.Incarnations = maps.Clone(header.Incarnations)
	header.StoreIDs = maps.Clone(header.StoreIDs)
	header.RecordCounts = maps.Clone(header.RecordCounts)
	return &frozenState{header, m.table.Freeze()}
}

// Snapshot freezes the state for raft. It fails with raft.ErrRaftShutdown if the state contains applied entries and the state
// machine has failed.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	state := m.freeze()
	if state.header.Applied > 0 && m.hasFailed() {
		return nil, raft.ErrRaftShutdown
	}
	return state, nil
}

// Restore replaces the state by a snapshot. A snapshot that ends before the last applied entry stops the controller with
// ErrLogWentBack: the snapshot would undo operations whose results callers have received.
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
		err := fmt.Errorf("%w (the snapshot ends at index %d, but entries up to %d were applied)", ErrLogWentBack, header.Applied, applied)
		m.fail(err)
		return err
	}
	return nil
}

// lastApplied returns the index of the last applied entry.
func (m *stateMachine) lastApplied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.header.Applied
}

// lineage returns the lineage of the assignments, see controllerclient.Lineage. OriginID is "" until the entry with the log's
// origin is applied.
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

// incarnations returns, by edge node, the newest incarnation that may have leases.
func (m *stateMachine) incarnations() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.Incarnations)
}

// recordCounts returns, by edge node, the greatest record count that is agreed.
func (m *stateMachine) recordCounts() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.RecordCounts)
}

// storeIDs returns, by controller, the agreed identity of its disk.
func (m *stateMachine) storeIDs() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.header.StoreIDs)
}

// assignment returns the assignment of an instance, and whether the instance has one.
func (m *stateMachine) assignment(instance string) (placement.Assignment, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Get(instance)
}

// assignmentsVersion returns the version of the assignment table.
func (m *stateMachine) assignmentsVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Version()
}

// assignments returns the assignments of all instances.
func (m *stateMachine) assignments() []placement.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}

// changesSince returns the assignments that changed since a version of the table, or all assignments if originID is not the
// origin of this log. The returned channel is closed at the next change.
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
