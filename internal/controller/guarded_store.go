package controller

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
)

// Store is the storage of raft's log, term and vote.
type Store interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

// guardedStore is the Store that raft uses. It refuses to delete applied entries, except those that a snapshot replaces, and
// keeps the position of its last entry in memory. It retries the write of a term until the write succeeds. If the failure were
// returned to raft, raft would exit the process. If raft continued without the write, the controller could vote twice in one
// term. A guardedStore is safe for concurrent use.
type guardedStore struct {
	Store
	lastApplied       func() uint64
	fatal             func(error)
	onDiskResult      func(error)   // called with the error of each write, or nil if it succeeded
	termRetryInterval time.Duration // pause before a failed write of the term is retried
	closed            chan struct{} // ends the retries; closed once raft's transport is closed and raft can no longer send

	mu   sync.Mutex
	last controllerclient.LogPosition // position of the last entry; guarded by mu
}

// lastPosition returns the position of the last entry on the disk.
func (g *guardedStore) lastPosition() controllerclient.LogPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

// StoreLog stores one entry, as StoreLogs does.
func (g *guardedStore) StoreLog(entry *raft.Log) error { return g.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores all entries, or none of them if it fails. It fails with os.ErrClosed once the channel g.closed is closed. After a
// failure, raft steps down if it leads, and does not acknowledge the entries if it follows.
func (g *guardedStore) StoreLogs(entries []*raft.Log) error {
	select {
	case <-g.closed:
		return os.ErrClosed
	default:
	}
	err := g.Store.StoreLogs(entries)
	if err == nil && len(entries) > 0 {
		last := entries[len(entries)-1]
		g.mu.Lock()
		g.last = controllerclient.LogPosition{Term: last.Term, Index: last.Index}
		g.mu.Unlock()
	}
	g.onDiskResult(explainDiskError(err))
	return err
}

// DeleteRange deletes either the earliest entries, after a snapshot, or the last entries, which the leader replaces. A range
// that begins with the first entry of the log may be deleted if all entries in the range are applied. If any other range
// contains an applied entry, DeleteRange fails with ErrLogWentBack and stops the controller.
func (g *guardedStore) DeleteRange(low, high uint64) error {
	first, err := g.FirstIndex()
	if err != nil {
		return err
	}
	if applied := g.lastApplied(); low <= applied && (low != first || high > applied) {
		err := fmt.Errorf("%w (raft deletes entries from index %d on, but entries up to %d were applied)", ErrLogWentBack, low, applied)
		g.fatal(err)
		return err
	}
	return g.Store.DeleteRange(low, high)
}

// SetUint64 writes a term and retries until it succeeds. Once the channel g.closed is closed, it writes nothing and returns nil.
func (g *guardedStore) SetUint64(key []byte, value uint64) error {
	for {
		select {
		case <-g.closed:
			return nil
		default:
		}
		err := g.Store.SetUint64(key, value)
		g.onDiskResult(explainDiskError(err))
		if err == nil {
			return nil
		}
		select {
		case <-g.closed:
		case <-time.After(g.termRetryInterval):
		}
	}
}

// Set writes a vote. If it fails, raft does not grant the vote.
func (g *guardedStore) Set(key, value []byte) error {
	err := g.Store.Set(key, value)
	g.onDiskResult(explainDiskError(err))
	return err
}

// explainDiskError adds to the error of a full disk what the controller can't do until space is free, and returns other errors
// unchanged.
func explainDiskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("the disk is full; this controller acknowledges no entries until space is free: %w", err)
	}
	return err
}
