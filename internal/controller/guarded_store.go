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

// Store is what raft keeps its log, its term and its vote in.
type Store interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

// guardedStore is the store as raft sees it. It refuses to take back what was applied, knows its last entry, and waits where
// the term can't be written: raft would end the process there, and to go on without it would be to vote twice. It is safe for
// concurrent use.
type guardedStore struct {
	Store
	lastApplied       func() uint64
	fatal             func(error)
	onDiskResult      func(error)   // called with the error of each write, nil: it succeeded
	termRetryInterval time.Duration // before a term is written again
	closed            chan struct{} // closed by the owner once nothing leaves this process any more

	mu   sync.Mutex
	last controllerclient.LogPosition // of the last entry; guarded by mu
}

// lastPosition is the last entry.
func (g *guardedStore) lastPosition() controllerclient.LogPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

// StoreLog stores one entry.
func (g *guardedStore) StoreLog(entry *raft.Log) error { return g.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries, or none of them. A leader that can't loses its leadership; a follower does not confirm.
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

// DeleteRange deletes entries: the earliest ones after a snapshot, or the last ones, which a leader replaces. It fails with
// ErrLogWentBack, and ends the controller, where an entry was applied that is not among the earliest.
func (g *guardedStore) DeleteRange(low, high uint64) error {
	first, err := g.FirstIndex()
	if err != nil {
		return err
	}
	if applied := g.lastApplied(); low <= applied && (low != first || high > applied) {
		err := fmt.Errorf("%w (entries from %d on, and %d were carried out)", ErrLogWentBack, low, applied)
		g.fatal(err)
		return err
	}
	return g.Store.DeleteRange(low, high)
}

// SetUint64 writes a term, however long that takes. Once the store is closed it writes nothing and does not fail.
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

// Set writes a vote; raft does not give it where that fails.
func (g *guardedStore) Set(key, value []byte) error {
	err := g.Store.Set(key, value)
	g.onDiskResult(explainDiskError(err))
	return err
}

// explainDiskError says of a full disk what it means.
func explainDiskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("the disk is full; this keeper confirms nothing until there is room: %w", err)
	}
	return err
}
