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

// The files of a controller's data directory. What is set aside is kept under its name with the time behind it.
const (
	markerFile  = "keeper.json"
	logFile     = "raft.db"
	snapshotDir = "snapshots"
)

const (
	// storeVersion is the version of the data directory and of snapshots as this program writes them. A later one is refused.
	storeVersion = 1

	// retainedSnapshots is how many snapshots are kept.
	retainedSnapshots = 2

	// logLockTimeout is how long another process may hold the log's file.
	logLockTimeout = time.Second
)

// storeMarker tells one controller's disk from all others. A disk that was emptied gets another identity. It is stored data.
type storeMarker struct {
	FormatVersion int                         `json:"v"`
	Fleet         string                      `json:"fleet"`
	Node          string                      `json:"node"`
	StoreID       string                      `json:"store"`           // the disk's identity
	Origin        *controllerclient.LogOrigin `json:"birth,omitempty"` // of the log that the disk takes part in, nil: of none yet
	Founding      bool                        `json:"found,omitempty"` // it is one of the origin's disks; else it was admitted later
	Started       bool                        `json:"begun,omitempty"` // its log is not empty: an empty one is a damaged one
	Generation    uint64                      `json:"line,omitempty"`  // of the log, where it is not the first
	unknown       placement.UnknownFields     // what a later program added
}

// Errors of the store, each with what to do.
var (
	ErrNewerVersion = errors.New("the store was written by a later version of this program; start that one")
	ErrCorrupt      = errors.New("the store is damaged")
	ErrLogWentBack  = errors.New("the agreed log went back behind what was carried out: old disks were put back, or a majority " +
		"was lost; silvercovectl fleet rebuild goes on from what the units hold")
)

// newIdentity draws a name that no other disk or log has.
func newIdentity() string { return rand.Text() }

// storeDir is a controller's data directory.
type storeDir struct {
	folder string

	mu     sync.Mutex
	marker storeMarker // as it is on the disk; guarded by mu
}

// currentMarker is the marker as it is on the disk.
func (d *storeDir) currentMarker() storeMarker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.marker
}

// putMarker replaces the marker, on the disk first.
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

// openStoreDir reads the marker, or writes that of an empty disk. A log without a marker, and a marker without its log, are
// set aside.
func openStoreDir(folder, fleet, node string) (*storeDir, error) {
	if err := os.MkdirAll(filepath.Join(folder, snapshotDir), 0o700); err != nil {
		return nil, err
	}
	d := &storeDir{folder: folder}
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
		return nil, fmt.Errorf("%s is of %s of fleet %s, not of %s of fleet %s", folder, d.marker.Node, d.marker.Fleet, node, fleet)
	}
	if _, err := os.Stat(d.path(logFile)); d.marker.Origin != nil && errors.Is(err, os.ErrNotExist) {
		return d, d.archive()
	}
	return d, nil
}

// readMarker decodes the marker's file. It fails with ErrNewerVersion, whatever else a later version says, or ErrCorrupt.
func (d *storeDir) readMarker(text []byte) (marker storeMarker, err error) {
	if version := versionOf(text); version > storeVersion {
		return marker, fmt.Errorf("%w: %s has version %d, this program reads %d", ErrNewerVersion, d.path(markerFile), version, storeVersion)
	}
	marker.unknown, err = placement.UnmarshalKeepingUnknown(text, &marker)
	if err != nil || marker.FormatVersion < 1 || marker.StoreID == "" {
		return marker, fmt.Errorf("%w: %s: move the folder away to begin as an emptied keeper", ErrCorrupt, d.path(markerFile))
	}
	return marker, nil
}

// path is where a file of the folder is.
func (d *storeDir) path(name string) string { return filepath.Join(d.folder, name) }

// reset makes the disk an empty one with a new identity.
func (d *storeDir) reset() error {
	marker := d.currentMarker()
	return d.putMarker(storeMarker{FormatVersion: storeVersion, Fleet: marker.Fleet, Node: marker.Node, StoreID: newIdentity()})
}

// archive moves the log and the snapshots out of the way and makes the disk an empty one.
func (d *storeDir) archive() error {
	if err := d.reset(); err != nil { // first: what is moved is never taken for this disk's again
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

// openLog opens the log after a check of the whole file, so that a cut one is ErrCorrupt here, and not a fault later.
func (d *storeDir) openLog() (s Store, err error) {
	defer func() {
		if r := recover(); r != nil { // bbolt panics, or a page lies behind the end of the file
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

// checkLog checks all pages of the log's file, which has so many bytes.
func (d *storeDir) checkLog(bytes int64) error {
	db, err := bbolt.Open(d.path(logFile), 0o600, &bbolt.Options{ReadOnly: true, Timeout: logLockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return d.logInUse()
	} else if err != nil {
		return d.corruptLog(err)
	}
	err = db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > bytes {
			return fmt.Errorf("it has %d bytes of %d", bytes, tx.Size())
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

// openSnapshots opens the snapshots and checks that the newest intact one and the log lead to one another. last is the last
// entry that the disk has. Newer snapshots that are damaged are removed: raft would fail at them.
func (d *storeDir) openSnapshots(log Store, logger hclog.Logger) (raft.SnapshotStore, controllerclient.LogPosition, error) {
	var last controllerclient.LogPosition
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(d.folder, retainedSnapshots, logger)
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
		return nil, last, fmt.Errorf("%w: %s: the log begins at %d, and the last whole snapshot ends at %d", ErrCorrupt,
			d.folder, firstIndex, last.Index)
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

// newestIntact is the place in the list, which begins with the newest, of the first snapshot that can be read, -1: there is
// none. It fails with ErrNewerVersion where a newer one is of a later program: raft would go on from an earlier one, behind
// what was confirmed.
func (d *storeDir) newestIntact(snapshots raft.SnapshotStore, list []*raft.SnapshotMeta) (int, error) {
	for i, meta := range list {
		err := checkSnapshot(snapshots, meta.ID)
		if err == nil {
			return i, nil
		}
		if errors.Is(err, ErrNewerVersion) {
			return -1, fmt.Errorf("%s: snapshot %s: %w", d.folder, meta.ID, err)
		}
	}
	return -1, nil
}

// checkSnapshot reads a snapshot whole, checks its checksum, and whether this program can read its form.
func checkSnapshot(snapshots raft.SnapshotStore, id string) error {
	_, reader, err := snapshots.Open(id)
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }() // it was read alone
	if _, err := readSnapshotHeader(reader); err != nil {
		return err
	}
	return checkTableVersion(reader)
}
