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

// Store is what raft keeps its log and its votes in.
type Store interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

// guardedStore is the store as raft sees it. It refuses to take back what was carried out, knows its last entry, and waits
// where the term can't be written: raft would end the process, and to go on without would be to vote twice.
type guardedStore struct {
	Store
	lastApplied  func() uint64
	fatal        func(error)
	onDiskResult func(error) // what the disk says, nil: it is well again
	pause        time.Duration

	mu     sync.Mutex
	last   controllerclient.LogPosition
	closed chan struct{}
}

func (g *guardedStore) lastPosition() controllerclient.LogPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

// StoreLog stores one entry.
func (g *guardedStore) StoreLog(l *raft.Log) error { return g.StoreLogs([]*raft.Log{l}) }

// StoreLogs stores entries, or none of them. A leader that can't loses its lead; a follower does not confirm.
func (g *guardedStore) StoreLogs(all []*raft.Log) error {
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
	g.onDiskResult(explainDiskError(err))
	return err
}

// DeleteRange takes entries away: the earliest ones after a snapshot, or the last ones, which a leader replaces.
func (g *guardedStore) DeleteRange(low, high uint64) error {
	first, err := g.Store.FirstIndex()
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

// SetUint64 writes a term, however long that takes.
func (g *guardedStore) SetUint64(key []byte, v uint64) error {
	for {
		select {
		case <-g.closed: // nothing leaves this process any more
			return nil
		default:
		}
		err := g.Store.SetUint64(key, v)
		g.onDiskResult(explainDiskError(err))
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
func (g *guardedStore) Set(key, v []byte) error {
	err := g.Store.Set(key, v)
	g.onDiskResult(explainDiskError(err))
	return err
}

// explainDiskError says what a disk's error means.
func explainDiskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("the disk is full; this keeper confirms nothing until there is room: %w", err)
	}
	return err
}
