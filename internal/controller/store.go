package controller

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
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
	fileMarker = "keeper.json"
	fileLog    = "raft.db"
	fileSnaps  = "snapshots"
)

// storeVersion is that of the folder and of snapshots as this program writes them; a later one is refused whole.
const storeVersion = 1

// marker tells a keeper's disk from all others. A disk that was emptied gets another identity.
type marker struct {
	V     int                         `json:"v"`
	Fleet string                      `json:"fleet"`
	Node  string                      `json:"node"`
	Store string                      `json:"store"`           // the disk's identity
	Birth *controllerclient.LogOrigin `json:"birth,omitempty"` // none: it has not begun
	Found bool                        `json:"found,omitempty"` // it is of the birth's disks; else it was let in later
	Begun bool                        `json:"begun,omitempty"` // its log is not empty any more
	Line  uint64                      `json:"line,omitempty"`  // generation of the log, where it is not the first
	more  placement.UnknownFields     // what a later version added
}

// Disk errors, each with what to do.
var (
	ErrNewerVersion = errors.New("the store was written by a later version of this program; start that one")
	ErrCorrupt      = errors.New("the store is damaged")
	ErrLogWentBack  = errors.New("the agreed log went back behind what was carried out: old disks were put back, or a majority " +
		"was lost; silvercovectl fleet rebuild goes on from what the units hold")
)

// identity draws a name that no other disk or beginning has.
func identity() string { return rand.Text() }

// disk is a keeper's folder.
type disk struct {
	dir  string
	mu   sync.Mutex
	mark marker
}

func (d *disk) now() marker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mark
}

// put replaces the marker, on the disk first.
func (d *disk) put(m marker) error {
	text, err := placement.MarshalWithUnknown(m, m.more)
	if err == nil {
		err = renameio.WriteFile(d.path(fileMarker), text, 0o600)
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mark = m
	return nil
}

// openDisk reads the marker, or makes that of an empty disk.
func openDisk(dir, fleet, node string) (*disk, error) {
	if err := os.MkdirAll(filepath.Join(dir, fileSnaps), 0o700); err != nil {
		return nil, err
	}
	d := &disk{dir: dir}
	text, err := os.ReadFile(d.path(fileMarker))
	switch {
	case err == nil:
		var v struct{ V int }
		if _ = json.Unmarshal(text, &v); v.V > storeVersion { // whatever else it says
			return nil, fmt.Errorf("%w: %s has version %d, this program reads %d", ErrNewerVersion, d.path(fileMarker), v.V, storeVersion)
		}
		if d.mark.more, err = placement.UnmarshalKeepingUnknown(text, &d.mark); err != nil || d.mark.V < 1 || d.mark.Store == "" {
			return nil, fmt.Errorf("%w: %s: move the folder away to begin as an emptied keeper", ErrCorrupt, d.path(fileMarker))
		}
		if m := d.mark; m.Fleet != fleet || m.Node != node {
			return nil, fmt.Errorf("%s is of %s of fleet %s, not of %s of fleet %s", dir, m.Node, m.Fleet, node, fleet)
		}
		if _, err := os.Stat(d.path(fileLog)); d.mark.Birth != nil && errors.Is(err, os.ErrNotExist) {
			return d, d.aside() // its log is gone
		}
		return d, nil
	case !errors.Is(err, os.ErrNotExist):
		return nil, err
	}
	d.mark = marker{Fleet: fleet, Node: node}
	if _, err := os.Stat(d.path(fileLog)); err == nil {
		return d, d.aside() // a log of nobody knows whom
	}
	return d, d.begin()
}

func (d *disk) path(name string) string { return filepath.Join(d.dir, name) }

// begin makes the disk one that has not begun.
func (d *disk) begin() error {
	m := d.now()
	return d.put(marker{V: storeVersion, Fleet: m.Fleet, Node: m.Node, Store: identity()})
}

// aside moves log and snapshots out of the way and makes the disk one that has not begun.
func (d *disk) aside() error {
	if err := d.begin(); err != nil { // first: what is moved is never taken for this disk's again
		return err
	}
	to := ".aside-" + time.Now().UTC().Format("20060102T150405.000000")
	for _, name := range []string{fileLog, fileSnaps} {
		if err := os.Rename(d.path(name), d.path(name+to)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return os.MkdirAll(d.path(fileSnaps), 0o700)
}

// Store is what raft keeps its log and its votes in.
type Store interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

// openLog opens the log after a look at whether it is whole. A cut file is an error here, not a fault later.
func (d *disk) openLog() (s Store, err error) {
	damaged := func(err error) error { return fmt.Errorf("%w: %s: %w", ErrCorrupt, d.path(fileLog), err) }
	defer func() {
		if r := recover(); r != nil { // bbolt panics, or a page lies behind the end of the file
			s, err = nil, damaged(fmt.Errorf("%v", r))
		}
	}()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	if at, err := os.Stat(d.path(fileLog)); err == nil {
		db, err := bbolt.Open(d.path(fileLog), 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
		if errors.Is(err, bbolt.ErrTimeout) {
			return nil, fmt.Errorf("%s is in use by another process", d.path(fileLog))
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
	b, err := raftboltdb.New(raftboltdb.Options{Path: d.path(fileLog), BoltOptions: &bbolt.Options{Timeout: time.Second}})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s is in use by another process", d.path(fileLog))
	} else if err != nil {
		return nil, err
	}
	return b, nil
}

// snapshots opens the snapshots and looks whether the newest whole one and the log lead to one another. last is the
// last entry that the disk has.
func (d *disk) snapshots(s Store, log hclog.Logger) (snaps raft.SnapshotStore, last controllerclient.LogPosition, err error) {
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
			_, err = readHead(r)
			if err == nil {
				err = readable(r) // raft would go on from an earlier one, behind what was confirmed
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
		if err := os.RemoveAll(filepath.Join(d.path(fileSnaps), m.ID)); err != nil {
			return nil, last, err
		}
	}
	for i := last.Index + 1; i <= end; i++ {
		var e raft.Log
		if err := s.GetLog(i, &e); err != nil {
			return nil, last, fmt.Errorf("%w: %s: entry %d: %w", ErrCorrupt, d.path(fileLog), i, err)
		}
		last = controllerclient.LogPosition{Term: e.Term, Index: i}
	}
	return snaps, last, nil
}

// guarded is the store as raft sees it. It refuses to take back what was carried out, knows its last entry, and waits
// where the term can't be written: raft would end the process, and to go on without would be to vote twice.
type guarded struct {
	Store
	applied func() uint64
	fatal   func(error)
	full    func(error) // what the disk says, nil: it is well again
	pause   time.Duration

	mu     sync.Mutex
	last   controllerclient.LogPosition
	closed chan struct{}
}

func (g *guarded) mark() controllerclient.LogPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

// StoreLog stores one entry.
func (g *guarded) StoreLog(l *raft.Log) error { return g.StoreLogs([]*raft.Log{l}) }

// StoreLogs stores entries, or none of them. A leader that can't loses its lead; a follower does not confirm.
func (g *guarded) StoreLogs(all []*raft.Log) error {
	select {
	case <-g.closed:
		return os.ErrClosed
	default:
	}
	err := g.Store.StoreLogs(all)
	if err == nil && len(all) > 0 {
		l := all[len(all)-1]
		g.mu.Lock()
		g.last = controllerclient.LogPosition{Term: l.Term, Index: l.Index}
		g.mu.Unlock()
	}
	g.full(plain(err))
	return err
}

// DeleteRange takes entries away: the earliest ones after a snapshot, or the last ones, which a leader replaces.
func (g *guarded) DeleteRange(low, high uint64) error {
	first, err := g.Store.FirstIndex()
	if err != nil {
		return err
	}
	if applied := g.applied(); low <= applied && (low != first || high > applied) {
		err := fmt.Errorf("%w (entries from %d on, and %d were carried out)", ErrLogWentBack, low, applied)
		g.fatal(err)
		return err
	}
	return g.Store.DeleteRange(low, high)
}

// SetUint64 writes a term, however long that takes.
func (g *guarded) SetUint64(key []byte, v uint64) error {
	for {
		select {
		case <-g.closed: // nothing leaves this process any more
			return nil
		default:
		}
		err := g.Store.SetUint64(key, v)
		g.full(plain(err))
		if err == nil {
			return nil
		}
		select {
		case <-g.closed:
		case <-time.After(g.pause):
		}
	}
}

// Set writes a vote; raft does not give it where that fails.
func (g *guarded) Set(key, v []byte) error {
	err := g.Store.Set(key, v)
	g.full(plain(err))
	return err
}

// plain says what a disk's error means.
func plain(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("the disk is full; this keeper confirms nothing until there is room: %w", err)
	}
	return err
}

// readHead reads the first line of a snapshot. A later version is told as such, whatever else the line says.
func readHead(r io.Reader) (h head, err error) {
	text, err := readLine(r)
	if err != nil {
		return h, err
	}
	var v struct{ V int }
	if _ = json.Unmarshal(text, &v); v.V > storeVersion {
		return h, fmt.Errorf("%w: version %d, this program reads %d", ErrNewerVersion, v.V, storeVersion)
	}
	h.more, err = placement.UnmarshalKeepingUnknown(text, &h)
	return h, err
}

// readable reads the next line, which is the table's head, and tells whether the table is of a later version.
func readable(r io.Reader) error {
	text, err := readLine(r)
	if err != nil {
		return err
	}
	var v struct{ V int }
	if _ = json.Unmarshal(text, &v); v.V > placement.FormatVersion {
		return fmt.Errorf("%w: places of version %d, this program reads %d", ErrNewerVersion, v.V, placement.FormatVersion)
	}
	return nil
}

func readLine(r io.Reader) (text []byte, err error) {
	for b := [1]byte{}; ; text = append(text, b[0]) {
		if _, err := io.ReadFull(r, b[:]); err != nil {
			return nil, err
		}
		if b[0] == '\n' {
			return text, nil
		}
	}
}
