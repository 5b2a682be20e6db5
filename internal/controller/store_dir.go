package controller

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// The names in a controller's data directory. If a log or a snapshot directory is set aside, ".aside-" and the time are
// appended to its name.
const (
	markerFile  = "keeper.json"
	logFile     = "raft.db"
	snapshotDir = "snapshots"
)

const (
	// storeVersion is the format version of the marker and of snapshots. A file with a later version is refused.
	storeVersion = 1

	// retainedSnapshots is the number of snapshots that raft keeps.
	retainedSnapshots = 2

	// logLockTimeout is how long openLog waits for another process to release the lock on the log's file.
	logLockTimeout = time.Second
)

// storeMarker identifies a controller's disk. A disk that was emptied gets a new identity. The marker is stored as JSON, so the
// JSON names must not change.
type storeMarker struct {
	FormatVersion int                         `json:"v"`
	Fleet         string                      `json:"fleet"`
	Node          string                      `json:"node"`
	StoreID       string                      `json:"store"`           // the disk's identity
	Origin        *controllerclient.LogOrigin `json:"birth,omitempty"` // origin of the disk's log, or nil if it has none yet
	Founding      bool                        `json:"found,omitempty"` // the log was created on this disk, see LogOrigin.Stores; if false, the disk was admitted later
	// Started means that the disk has stored entries. If the log is nevertheless empty at a later start, openStore fails with
	// ErrCorrupt.
	Started    bool                    `json:"begun,omitempty"`
	Generation uint64                  `json:"line,omitempty"` // generation of the log; may be 0 for the first generation
	unknown    placement.UnknownFields // fields that a later version of the program added; putMarker keeps them
}

// Errors of Open and Run that concern the data directory or the log.
var (
	ErrNewerVersion = errors.New("the store was written by a later version of this program; start that one")
	ErrCorrupt      = errors.New("the store is damaged")
	ErrLogWentBack  = errors.New("the agreed log ends before an entry that was applied: old disks were restored, or a majority " +
		"was lost; silvercovectl fleet rebuild recovers the log from the edge nodes")
)

// newIdentity returns a random identity for a disk or a log.
func newIdentity() string { return rand.Text() }

// storeDir is a controller's data directory.
type storeDir struct {
	dirPath string

	mu     sync.Mutex
	marker storeMarker // content of the marker's file, as last read or written; guarded by mu
}

// currentMarker returns the content of the marker's file as it was last read or written.
func (d *storeDir) currentMarker() storeMarker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.marker
}

// putMarker replaces the marker's file and, if that succeeds, d.marker.
func (d *storeDir) putMarker(marker storeMarker) error {
	text, err := placement.MarshalWithUnknown(marker, marker.unknown)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(d.path(markerFile), text, 0o600); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.marker = marker
	return nil
}

// openStoreDir opens the data directory of the named controller, or creates one with the marker of an empty disk. If there is a
// log without a marker, or if the marker has the origin of a log that is missing, openStoreDir sets the log and the snapshots
// aside, and the disk counts as empty.
func openStoreDir(dir, fleet, node string) (*storeDir, error) {
	if err := os.MkdirAll(filepath.Join(dir, snapshotDir), 0o700); err != nil {
		return nil, err
	}
	d := &storeDir{dirPath: dir}
	text, err := os.ReadFile(d.path(markerFile))
	if errors.Is(err, os.ErrNotExist) {
		d.marker = storeMarker{Fleet: fleet, Node: node}
		if _, err := os.Stat(d.path(logFile)); err == nil {
			return d, d.archive()
		}
		return d, d.reset()
	}
	if err != nil {
		return nil, err
	}
	d.marker, err = d.readMarker(text)
	if err != nil {
		return nil, err
	}
	if d.marker.Fleet != fleet || d.marker.Node != node {
		return nil, fmt.Errorf("%s belongs to %s of fleet %s, not to %s of fleet %s", dir, d.marker.Node, d.marker.Fleet, node, fleet)
	}
	if _, err := os.Stat(d.path(logFile)); d.marker.Origin != nil && errors.Is(err, os.ErrNotExist) {
		return d, d.archive()
	}
	return d, nil
}

// readMarker decodes the marker's file. It fails with ErrNewerVersion if the file has a later version, whatever the form of the
// other fields, and with ErrCorrupt if the file can't be decoded or lacks the version or the disk's identity.
func (d *storeDir) readMarker(text []byte) (marker storeMarker, err error) {
	if version := versionOf(text); version > storeVersion {
		return marker, fmt.Errorf("%w: %s has version %d, this program reads %d", ErrNewerVersion, d.path(markerFile), version, storeVersion)
	}
	marker.unknown, err = placement.UnmarshalKeepingUnknown(text, &marker)
	if err != nil || marker.FormatVersion < 1 || marker.StoreID == "" {
		return marker, fmt.Errorf("%w: %s: move the directory away to start with an empty disk", ErrCorrupt, d.path(markerFile))
	}
	return marker, nil
}

// path returns the path of a file in the data directory.
func (d *storeDir) path(name string) string { return filepath.Join(d.dirPath, name) }

// reset writes the marker of an empty disk with a new identity.
func (d *storeDir) reset() error {
	marker := d.currentMarker()
	return d.putMarker(storeMarker{FormatVersion: storeVersion, Fleet: marker.Fleet, Node: marker.Node, StoreID: newIdentity()})
}

// archive renames the log and the snapshots, so that they are no longer used. It gives the disk a new identity, so that the
// disk counts as an empty one.
func (d *storeDir) archive() error {
	// The marker is reset before the renames, so that a log that could not be renamed is never used under the old identity.
	if err := d.reset(); err != nil {
		return err
	}
	suffix := ".aside-" + time.Now().UTC().Format("20060102T150405.000000")
	for _, name := range []string{logFile, snapshotDir} {
		if err := os.Rename(d.path(name), d.path(name+suffix)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return os.MkdirAll(d.path(snapshotDir), 0o700)
}

// openLog opens the log after it has checked the whole file. A truncated file fails here with ErrCorrupt, rather than later with
// a memory fault.
func (d *storeDir) openLog() (s Store, err error) {
	defer func() {
		// bbolt has panicked on a damaged page, or has accessed a mapped page beyond the end of the file.
		if r := recover(); r != nil {
			s, err = nil, d.corruptLog(fmt.Errorf("%v", r))
		}
	}()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	if stat, err := os.Stat(d.path(logFile)); err == nil {
		if err := d.checkLog(stat.Size()); err != nil {
			return nil, err
		}
	}
	options := raftboltdb.Options{Path: d.path(logFile), BoltOptions: &bbolt.Options{Timeout: logLockTimeout}}
	opened, err := raftboltdb.New(options)
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, d.logInUse()
	} else if err != nil {
		return nil, err
	}
	return opened, nil
}

// checkLog checks all pages of the log's file. bytes is the size of the file on the disk.
func (d *storeDir) checkLog(bytes int64) error {
	db, err := bbolt.Open(d.path(logFile), 0o600, &bbolt.Options{ReadOnly: true, Timeout: logLockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return d.logInUse()
	} else if err != nil {
		return d.corruptLog(err)
	}
	err = db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > bytes {
			return fmt.Errorf("the file has %d bytes of %d", bytes, tx.Size())
		}
		for err := range tx.Check() {
			return err
		}
		return nil
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return d.corruptLog(err)
	}
	return nil
}

func (d *storeDir) corruptLog(err error) error {
	return fmt.Errorf("%w: %s: %w", ErrCorrupt, d.path(logFile), err)
}

func (d *storeDir) logInUse() error {
	return fmt.Errorf("%s is in use by another process", d.path(logFile))
}

// openSnapshots opens the snapshots and checks that no entry is missing between the newest intact snapshot and the log. It
// returns the position of the disk's last entry. Damaged snapshots that are newer than the newest intact one are removed,
// because raft would fail to start with them.
func (d *storeDir) openSnapshots(log Store, logger hclog.Logger) (raft.SnapshotStore, controllerclient.LogPosition, error) {
	var last controllerclient.LogPosition
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(d.dirPath, retainedSnapshots, logger)
	if err != nil {
		return nil, last, err
	}
	list, err := snapshots.List()
	if err != nil {
		return nil, last, err
	}
	intact, err := d.newestIntact(snapshots, list)
	if err != nil {
		return nil, last, err
	}
	if intact >= 0 {
		last = controllerclient.LogPosition{Term: list[intact].Term, Index: list[intact].Index}
	}
	lastIndex, err := log.LastIndex()
	if err != nil {
		return nil, last, err
	}
	firstIndex, err := log.FirstIndex()
	if err != nil {
		return nil, last, err
	}
	if len(list) > 0 && intact < 0 || firstIndex > last.Index+1 {
		return nil, last, fmt.Errorf("%w: %s: the log begins at index %d, but the newest intact snapshot ends at %d", ErrCorrupt,
			d.dirPath, firstIndex, last.Index)
	}
	for _, damaged := range list[:max(0, intact)] {
		if err := os.RemoveAll(filepath.Join(d.path(snapshotDir), damaged.ID)); err != nil {
			return nil, last, err
		}
	}
	for index := last.Index + 1; index <= lastIndex; index++ {
		var entry raft.Log
		if err := log.GetLog(index, &entry); err != nil {
			return nil, last, fmt.Errorf("%w: %s: entry %d: %w", ErrCorrupt, d.path(logFile), index, err)
		}
		last = controllerclient.LogPosition{Term: entry.Term, Index: index}
	}
	return snapshots, last, nil
}

// newestIntact returns the index of the first intact snapshot in list, or -1 if no snapshot is intact. list begins with the
// newest snapshot. newestIntact fails with ErrNewerVersion if a later version of the program wrote a snapshot that precedes the
// intact one in list. If that snapshot were skipped, raft would start from an earlier one, and entries that the disk has
// acknowledged would be lost.
func (d *storeDir) newestIntact(snapshots raft.SnapshotStore, list []*raft.SnapshotMeta) (int, error) {
	for i, meta := range list {
		err := checkSnapshot(snapshots, meta.ID)
		if err == nil {
			return i, nil
		}
		if errors.Is(err, ErrNewerVersion) {
			return -1, fmt.Errorf("%s: snapshot %s: %w", d.dirPath, meta.ID, err)
		}
	}
	return -1, nil
}

// checkSnapshot verifies a snapshot's checksum. It also checks that this version of the program can read the snapshot's format.
func checkSnapshot(snapshots raft.SnapshotStore, id string) error {
	_, reader, err := snapshots.Open(id)
	if err != nil {
		return err
	}
	// An error does not matter, because the snapshot was opened for reading only.
	defer func() { _ = reader.Close() }()
	if _, err := readSnapshotHeader(reader); err != nil {
		return err
	}
	return checkTableVersion(reader)
}
