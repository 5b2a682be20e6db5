package controller

import (
	"crypto/rand"
	"encoding/json"
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

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// Files of a keeper's folder. What is set aside is kept under its name with the time behind it.
const (
	markerFile  = "keeper.json"
	logFile     = "raft.db"
	snapshotDir = "snapshots"
)

// storeVersion is that of the folder and of snapshots as this program writes them; a later one is refused whole.
const storeVersion = 1

// storeMarker tells a keeper's disk from all others. A disk that was emptied gets another identity.
type storeMarker struct {
	FormatVersion int                         `json:"v"`
	Fleet         string                      `json:"fleet"`
	Node          string                      `json:"node"`
	StoreID       string                      `json:"store"`           // the disk's identity
	Origin        *controllerclient.LogOrigin `json:"birth,omitempty"` // none: it has not begun
	Founding      bool                        `json:"found,omitempty"` // it is of the birth's disks; else it was let in later
	Started       bool                        `json:"begun,omitempty"` // its log is not empty any more
	Generation    uint64                      `json:"line,omitempty"`  // generation of the log, where it is not the first
	unknown       placement.UnknownFields     // what a later version added
}

// Disk errors, each with what to do.
var (
	ErrNewerVersion = errors.New("the store was written by a later version of this program; start that one")
	ErrCorrupt      = errors.New("the store is damaged")
	ErrLogWentBack  = errors.New("the agreed log went back behind what was carried out: old disks were put back, or a majority " +
		"was lost; silvercovectl fleet rebuild goes on from what the units hold")
)

// newIdentity draws a name that no other disk or beginning has.
func newIdentity() string { return rand.Text() }

// storeDir is a keeper's folder.
type storeDir struct {
	dir    string
	mu     sync.Mutex
	marker storeMarker
}

func (d *storeDir) currentMarker() storeMarker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.marker
}

// putMarker replaces the marker, on the disk first.
func (d *storeDir) putMarker(m storeMarker) error {
	text, err := placement.MarshalWithUnknown(m, m.unknown)
	if err == nil {
		err = renameio.WriteFile(d.path(markerFile), text, 0o600)
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.marker = m
	return nil
}

// openStoreDir reads the marker, or makes that of an empty disk.
func openStoreDir(dir, fleet, node string) (*storeDir, error) {
	if err := os.MkdirAll(filepath.Join(dir, snapshotDir), 0o700); err != nil {
		return nil, err
	}
	d := &storeDir{dir: dir}
	text, err := os.ReadFile(d.path(markerFile))
	switch {
	case err == nil:
		var v struct{ V int }
		if _ = json.Unmarshal(text, &v); v.V > storeVersion { // whatever else it says
			return nil, fmt.Errorf("%w: %s has version %d, this program reads %d", ErrNewerVersion, d.path(markerFile), v.V, storeVersion)
		}
		if d.marker.unknown, err = placement.UnmarshalKeepingUnknown(text, &d.marker); err != nil || d.marker.FormatVersion < 1 || d.marker.StoreID == "" {
			return nil, fmt.Errorf("%w: %s: move the folder away to begin as an emptied keeper", ErrCorrupt, d.path(markerFile))
		}
		if m := d.marker; m.Fleet != fleet || m.Node != node {
			return nil, fmt.Errorf("%s is of %s of fleet %s, not of %s of fleet %s", dir, m.Node, m.Fleet, node, fleet)
		}
		if _, err := os.Stat(d.path(logFile)); d.marker.Origin != nil && errors.Is(err, os.ErrNotExist) {
			return d, d.setAside() // its log is gone
		}
		return d, nil
	case !errors.Is(err, os.ErrNotExist):
		return nil, err
	}
	d.marker = storeMarker{Fleet: fleet, Node: node}
	if _, err := os.Stat(d.path(logFile)); err == nil {
		return d, d.setAside() // a log of nobody knows whom
	}
	return d, d.reset()
}

func (d *storeDir) path(name string) string { return filepath.Join(d.dir, name) }

// reset makes the disk one that has not begun.
func (d *storeDir) reset() error {
	m := d.currentMarker()
	return d.putMarker(storeMarker{FormatVersion: storeVersion, Fleet: m.Fleet, Node: m.Node, StoreID: newIdentity()})
}

// setAside moves log and snapshots out of the way and makes the disk one that has not begun.
func (d *storeDir) setAside() error {
	if err := d.reset(); err != nil { // first: what is moved is never taken for this disk's again
		return err
	}
	to := ".aside-" + time.Now().UTC().Format("20060102T150405.000000")
	for _, name := range []string{logFile, snapshotDir} {
		if err := os.Rename(d.path(name), d.path(name+to)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return os.MkdirAll(d.path(snapshotDir), 0o700)
}

// openLog opens the log after a look at whether it is whole. A cut file is an error here, not a fault later.
func (d *storeDir) openLog() (s Store, err error) {
	damaged := func(err error) error { return fmt.Errorf("%w: %s: %w", ErrCorrupt, d.path(logFile), err) }
	defer func() {
		if r := recover(); r != nil { // bbolt panics, or a page lies behind the end of the file
			s, err = nil, damaged(fmt.Errorf("%v", r))
		}
	}()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	if at, err := os.Stat(d.path(logFile)); err == nil {
		db, err := bbolt.Open(d.path(logFile), 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
		if errors.Is(err, bbolt.ErrTimeout) {
			return nil, fmt.Errorf("%s is in use by another process", d.path(logFile))
		} else if err != nil {
			return nil, damaged(err)
		}
		err = db.View(func(tx *bbolt.Tx) error {
			if tx.Size() > at.Size() {
				return fmt.Errorf("it has %d bytes of %d", at.Size(), tx.Size())
			}
			for err := range tx.Check() {
				return err
			}
			return nil
		})
		if err = errors.Join(err, db.Close()); err != nil {
			return nil, damaged(err)
		}
	}
	b, err := raftboltdb.New(raftboltdb.Options{Path: d.path(logFile), BoltOptions: &bbolt.Options{Timeout: time.Second}})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s is in use by another process", d.path(logFile))
	} else if err != nil {
		return nil, err
	}
	return b, nil
}

// openSnapshots opens the snapshots and looks whether the newest whole one and the log lead to one another. last is the
// last entry that the disk has.
func (d *storeDir) openSnapshots(s Store, log hclog.Logger) (snaps raft.SnapshotStore, last controllerclient.LogPosition, err error) {
	snaps, err = raft.NewFileSnapshotStoreWithLogger(d.dir, 2, log)
	if err != nil {
		return nil, last, err
	}
	list, err := snaps.List()
	if err != nil {
		return nil, last, err
	}
	whole := -1
	for i, m := range list {
		_, r, err := snaps.Open(m.ID) // reads it whole, and checks its sum
		if err == nil {
			_, err = readSnapshotHeader(r)
			if err == nil {
				err = checkTableVersion(r) // raft would go on from an earlier one, behind what was confirmed
			}
			_ = r.Close()
		}
		if errors.Is(err, ErrNewerVersion) {
			return nil, last, fmt.Errorf("%s: snapshot %s: %w", d.dir, m.ID, err)
		}
		if err == nil {
			last, whole = controllerclient.LogPosition{Term: m.Term, Index: m.Index}, i
			break
		}
	}
	end, err := s.LastIndex()
	if err != nil {
		return nil, last, err
	}
	begin, err := s.FirstIndex()
	if err != nil {
		return nil, last, err
	}
	if len(list) > 0 && whole < 0 || begin > last.Index+1 {
		return nil, last, fmt.Errorf("%w: %s: the log begins at %d, and the last whole snapshot ends at %d", ErrCorrupt,
			d.dir, begin, last.Index)
	}
	for _, m := range list[:max(0, whole)] { // raft must not stumble over those that were cut
		if err := os.RemoveAll(filepath.Join(d.path(snapshotDir), m.ID)); err != nil {
			return nil, last, err
		}
	}
	for i := last.Index + 1; i <= end; i++ {
		var e raft.Log
		if err := s.GetLog(i, &e); err != nil {
			return nil, last, fmt.Errorf("%w: %s: entry %d: %w", ErrCorrupt, d.path(logFile), i, err)
		}
		last = controllerclient.LogPosition{Term: e.Term, Index: i}
	}
	return snaps, last, nil
}
