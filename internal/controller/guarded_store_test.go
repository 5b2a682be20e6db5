package controller

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/placement"
)

// DeleteRange fails and stops the controller if the range contains applied entries. The exception is a range of the log's first
// entries that have all been applied: raft deletes such a range after a snapshot.
func TestGuardedStore_NeverDeletesAppliedEntries(t *testing.T) {
	var fatal error
	s := raft.NewInmemStore()
	g := &guardedStore{Store: memoryStore{s}, lastApplied: func() uint64 { return 5 }, fatal: func(err error) { fatal = err },
		onDiskResult: func(error) {}, closed: make(chan struct{})}
	for i := uint64(1); i <= 8; i++ {
		if err := g.StoreLog(&raft.Log{Index: i, Term: 1}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		low, high uint64
		wentBack  bool
	}{{7, 8, false}, {1, 2, false}, {5, 6, true}, {3, 6, true}} {
		fatal = nil
		if err := g.DeleteRange(c.low, c.high); errors.Is(err, ErrLogWentBack) != c.wentBack || errors.Is(fatal, ErrLogWentBack) != c.wentBack {
			t.Errorf("entries %d to %d: error %v, fatal error %v", c.low, c.high, err, fatal)
		}
	}
}

type memoryStore struct{ *raft.InmemStore }

func (memoryStore) Close() error { return nil }

// fullDiskStore is a store whose writes fail while full is set.
type fullDiskStore struct {
	Store
	full     *atomic.Bool
	failures *atomic.Int64
}

func (s fullDiskStore) fail() error {
	if s.full.Load() {
		s.failures.Add(1)
		return &fs.PathError{Op: "write", Path: logFile, Err: syscall.ENOSPC}
	}
	return nil
}

func (s fullDiskStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

func (s fullDiskStore) StoreLogs(entries []*raft.Log) error {
	if err := s.fail(); err != nil {
		return err
	}
	return s.Store.StoreLogs(entries)
}

func (s fullDiskStore) Set(key, value []byte) error {
	if err := s.fail(); err != nil {
		return err
	}
	return s.Store.Set(key, value)
}

func (s fullDiskStore) SetUint64(key []byte, value uint64) error {
	if err := s.fail(); err != nil {
		return err
	}
	return s.Store.SetUint64(key, value)
}

// A controller with a full disk acknowledges no entries and reports the fault. If there are other controllers, one of them
// takes over the leadership. No agreed entry is lost.
func TestFullDisk_ConfirmsNothingAndLosesNothing(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := newTestFleet(t, 500*time.Millisecond, count, 1)
			full, failures := map[string]*atomic.Bool{}, new(atomic.Int64)
			for i := range count {
				name := fmt.Sprint("keeper-", i+1)
				full[name] = new(atomic.Bool)
				c.wrapStore[name] = func(s Store) Store { return fullDiskStore{Store: s, full: full[name], failures: failures} }
			}
			c.start()
			c.create("edge-a", "camera-0", "edge-a")
			first := c.waitForLeader()
			full[first].Store(true)
			ctx := testContext(t)
			if count == 1 {
				short, cancel := contextWithTimeout(1500 * time.Millisecond)
				defer cancel()
				ctx = short
			}
			_, err := c.processes["edge-a"].client.Propose(ctx, placement.Operation{Kind: placement.OpCreate, Instance: "camera-1", Target: "edge-a"})
			if agreed := err == nil || errors.Is(err, placement.ErrExists); agreed != (count == 3) {
				t.Errorf("an operation with a full disk: %v", err)
			}
			if count == 3 {
				c.waitForLeader(first)
			}
			if failures.Load() == 0 {
				t.Error("no write failed")
			}
			c.waitFor("the status reports the full disk", func() bool {
				s, _ := c.processes[first].controller.handleStatus(call[struct{}]{})
				return strings.Contains(s.Reason, "the disk is full")
			})
			full[first].Store(false)
			c.create("edge-a", "camera-2", "edge-a")
			for _, name := range []string{"camera-0", "camera-2"} {
				c.waitForInstance(first, name)
			}
		})
	}
}

// Controllers that can't write their terms because their disks are full still shut down without an error, and can be restarted.
func TestFullDisk_StopsInOrder(t *testing.T) {
	c := newTestFleet(t, 500*time.Millisecond, 3, 1)
	full := new(atomic.Bool)
	for i := range 3 {
		c.wrapStore[fmt.Sprint("keeper-", i+1)] = func(s Store) Store { return fullDiskStore{Store: s, full: full, failures: new(atomic.Int64)} }
	}
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	first := c.waitForLeader()
	full.Store(true)
	c.partition(true, first)
	c.waitFor("terms can't be written", func() bool { return c.log.contains("the disk is full") })
	for i := range 3 {
		if err := c.stop(fmt.Sprint("keeper-", i+1)); err != nil {
			t.Error(err)
		}
	}
	full.Store(false)
	c.partition(false, first)
	c.start("keeper-1", "keeper-2", "keeper-3")
	c.waitForInstance(c.waitForLeader(), "camera-0")
}
