package controller

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/placement"
)

// emptyStore takes a stopped keeper's disk away.
func (c *testFleet) emptyStore(name string) {
	c.t.Helper()
	if err := os.RemoveAll(filepath.Join(c.dir, name)); err != nil {
		c.t.Fatal(err)
	}
}

// copyStore copies a stopped keeper's disk aside; put puts it back.
func (c *testFleet) copyStore(name string) (put func()) {
	c.t.Helper()
	dir, kept := filepath.Join(c.dir, name), c.t.TempDir()
	if err := os.CopyFS(kept, os.DirFS(dir)); err != nil {
		c.t.Fatal(err)
	}
	return func() {
		c.emptyStore(name)
		if err := os.CopyFS(dir, os.DirFS(kept)); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *testFleet) role(name string) string {
	s, _ := c.processes[name].controller.handleStatus(call[struct{}]{})
	return s.Role
}

// isVoter tells whether a leader has a keeper among the voters.
func (c *testFleet) isVoter(name string) bool {
	f := c.processes[c.waitForLeader()].controller.raft.Load().GetConfiguration()
	if f.Error() != nil {
		return false
	}
	for _, s := range f.Configuration().Servers {
		if s.ID == raft.ServerID(name) {
			return s.Suffrage == raft.Voter
		}
	}
	return false
}

func (c *testFleet) follower() string {
	leader := c.waitForLeader()
	for _, name := range c.names {
		if name != leader && c.processes[name].role == "keeper" {
			return name
		}
	}
	return ""
}

func TestAnEmptiedKeeperIsLetInAgainAndVotesOnceItHasCaughtUp(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	for i := range 20 {
		c.create("edge-a", fmt.Sprint("camera-", i), "edge-a")
	}
	name := c.follower()
	before := c.processes[name].controller.disk.currentMarker()
	_ = c.stop(name)
	c.emptyStore(name)
	c.start(name)
	c.waitForInstance(name, "camera-19")
	c.waitFor("it votes again", func() bool { return c.isVoter(name) && c.processes[name].controller.disk.currentMarker().Started })
	if after := c.processes[name].controller.disk.currentMarker(); after.StoreID == before.StoreID || after.Founding || after.Origin.ID != before.Origin.ID {
		t.Errorf("%+v, before %+v", after, before)
	}
	other := c.follower()
	if other == name {
		other = c.waitForLeader()
	}
	_ = c.stop(other) // the one let in makes the majority now
	c.waitForLeader(other)
	c.create("edge-a", "camera-20", "edge-a")
	_ = c.stop(name)
	c.start(name, other) // and starts as any other
	c.waitForInstance(name, "camera-20")
}

func TestTwoEmptiedKeepersMakeNoMajority(t *testing.T) {
	c := newTestFleet(t, 500*time.Millisecond, 3, 1)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	kept := c.follower()
	c.waitForInstance(kept, "camera-0")
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		_ = c.stop(name)
		if name != kept {
			c.emptyStore(name)
		}
	}
	c.start("keeper-1", "keeper-2", "keeper-3")
	c.waitFor("the one with its log runs", func() bool { return c.processes[kept].controller.raft.Load() != nil })
	c.waitFor("the emptied ones know that the fleet has begun", func() bool {
		n := 0
		for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
			s, _ := c.processes[name].controller.handleStatus(call[struct{}]{})
			if strings.Contains(s.Reason, "the fleet has begun") {
				n++
			}
		}
		return n == 2
	})
	for _, name := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		if role := c.role(name); role == "leader" || name != kept && role != "waits" {
			t.Errorf("%s is %s", name, role)
		}
	}
	if _, ok := c.processes[kept].controller.stateMachine.assignment("camera-0"); ok && c.role(kept) == "leader" {
		t.Error("it leads alone")
	}
}

func TestAnOldDiskIsSetAside(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	name := c.follower()
	c.waitForInstance(name, "camera-0")
	_ = c.stop(name)
	put := c.copyStore(name)
	c.start(name)
	c.create("edge-a", "camera-1", "edge-a")
	c.waitForInstance(name, "camera-1") // it has confirmed it, and may be the one whose word agreed on it
	store := c.processes[name].controller.disk.currentMarker().StoreID
	_ = c.stop(name)
	put()
	c.start(name)
	c.waitForInstance(name, "camera-1")
	c.waitFor("it votes again", func() bool { return c.isVoter(name) })
	if c.processes[name].controller.disk.currentMarker().StoreID == store || !c.log.contains("an old disk") {
		t.Error("the old disk was taken for the present one")
	}
	aside, _ := filepath.Glob(filepath.Join(c.dir, name, logFile+".aside-*"))
	if len(aside) != 1 {
		t.Errorf("set aside: %v", aside)
	}
}

func TestWhatWasCarriedOutIsNeverTakenBack(t *testing.T) {
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
		back      bool
	}{{7, 8, false}, {1, 2, false}, {5, 6, true}, {3, 6, true}} {
		fatal = nil
		if err := g.DeleteRange(c.low, c.high); errors.Is(err, ErrLogWentBack) != c.back || errors.Is(fatal, ErrLogWentBack) != c.back {
			t.Errorf("%d to %d: %v, %v", c.low, c.high, err, fatal)
		}
	}
}

type memoryStore struct{ *raft.InmemStore }

func (memoryStore) Close() error { return nil }

// TestALogCutAtAnyByte: what is left is either all that was there, or damaged, never a shorter past.
func TestALogCutAtAnyByte(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 1)
	c.start()
	for i := range 50 {
		c.create("edge-a", fmt.Sprint("camera-", i), "edge-a")
	}
	k := c.processes["keeper-1"].controller
	if err := k.raft.Load().Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		c.create("edge-a", fmt.Sprint("more-", i), "edge-a")
	}
	want := k.store.lastPosition()
	_ = c.stop("keeper-1")
	dir := filepath.Join(c.dir, "keeper-1")
	look := func(dir string) (controllerclient.LogPosition, error) {
		d, err := openStoreDir(dir, "vans", "keeper-1")
		if err != nil {
			return controllerclient.LogPosition{}, err
		}
		s, err := d.openLog()
		if err != nil {
			return controllerclient.LogPosition{}, err
		}
		defer func() { _ = s.Close() }()
		_, last, err := d.openSnapshots(s, hclog.NewNullLogger())
		if err == nil && last.Index == 0 {
			err = ErrCorrupt // as agree finds it
		}
		return last, err
	}
	if last, err := look(dir); err != nil || last != want {
		t.Fatalf("whole: %+v %v, not %+v", last, err, want)
	}
	var files []string
	_ = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && filepath.Base(path) != markerFile {
			rel, _ := filepath.Rel(dir, path)
			files = append(files, rel)
		}
		return err
	})
	chance := rand.New(rand.NewPCG(4, 4))
	damaged, whole := 0, 0
	for _, file := range files {
		text, err := os.ReadFile(filepath.Join(dir, file))
		if err != nil {
			t.Fatal(err)
		}
		cuts := []int{0, 1, len(text) - 1}
		for range 25 {
			cuts = append(cuts, chance.IntN(len(text)))
		}
		for i := 4096; i < len(text) && i < 20*4096; i += 4096 {
			cuts = append(cuts, i)
		}
		for _, at := range cuts {
			other := t.TempDir()
			if err := os.CopyFS(other, os.DirFS(dir)); err != nil {
				t.Fatal(err)
			}
			if err := os.Truncate(filepath.Join(other, file), int64(at)); err != nil {
				t.Fatal(err)
			}
			switch last, err := look(other); {
			case err == nil && last == want:
				whole++
			case errors.Is(err, ErrCorrupt):
				damaged++
			default:
				t.Errorf("%s cut at %d of %d: %+v %v", file, at, len(text), last, err)
			}
		}
	}
	if damaged == 0 || whole == 0 {
		t.Errorf("%d damaged, %d whole: the cuts try nothing", damaged, whole)
	}
	t.Logf("%d damaged, %d whole", damaged, whole)
	if err := os.Truncate(filepath.Join(dir, logFile), 5000); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1") // one keeper alone has nobody to have it from
	if err := <-c.processes["keeper-1"].done; !errors.Is(err, ErrCorrupt) {
		t.Errorf("a cut log of a single keeper: %v", err)
	}
	c.processes["keeper-1"].cancel()
	c.processes["keeper-1"].cancel = nil
}

func TestADamagedKeeperOfThreeIsLetInAgain(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	name := c.follower()
	_ = c.stop(name)
	if err := os.Truncate(filepath.Join(c.dir, name, logFile), 0); err != nil {
		t.Fatal(err)
	}
	c.start(name)
	c.waitForInstance(name, "camera-0")
	c.waitFor("it votes again", func() bool { return c.isVoter(name) })
}

func TestAStoreOfALaterVersionIsRefused(t *testing.T) {
	for _, what := range []string{"marker", "snapshot", "entry"} {
		t.Run(what, func(t *testing.T) {
			c := newTestFleet(t, time.Second, 1, 1)
			c.start()
			c.create("edge-a", "camera-0", "edge-a")
			k := c.processes["keeper-1"].controller
			dir := filepath.Join(c.dir, "keeper-1")
			end := func() error {
				select {
				case err := <-c.processes["keeper-1"].done:
					c.processes["keeper-1"].cancel()
					c.processes["keeper-1"].cancel = nil
					return err
				case <-time.After(20 * time.Second):
					t.Fatal("it goes on")
					return nil
				}
			}
			switch what {
			case "marker":
				_ = c.stop("keeper-1")
				m := k.disk.currentMarker()
				m.FormatVersion = 2
				_ = k.disk.putMarker(m)
				c.start("keeper-1")
			case "snapshot":
				k.stateMachine.mu.Lock()
				k.stateMachine.header.FormatVersion = 2
				k.stateMachine.mu.Unlock()
				if err := k.raft.Load().Snapshot().Error(); err != nil {
					t.Fatal(err)
				}
				_ = c.stop("keeper-1")
				c.start("keeper-1")
			case "entry":
				if err := k.raft.Load().Apply([]byte(`{"v":2,"steps":"of another kind"}`), time.Second).Error(); err != nil {
					t.Fatal(err)
				}
				if err := end(); !errors.Is(err, ErrNewerVersion) {
					t.Errorf("it meets one: %v", err)
				}
				c.start("keeper-1") // and again
			}
			if err := end(); !errors.Is(err, ErrNewerVersion) {
				t.Errorf("%v", err)
			}
			if files, _ := filepath.Glob(filepath.Join(dir, "*aside*")); len(files) > 0 {
				t.Errorf("set aside: %v", files)
			}
		})
	}
}

// fullDiskStore is a store whose disk is full at times.
type fullDiskStore struct {
	Store
	full     *atomic.Bool
	votes    bool // what it says of terms and votes, too
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

func (s fullDiskStore) StoreLogs(all []*raft.Log) error {
	if err := s.fail(); err != nil {
		return err
	}
	return s.Store.StoreLogs(all)
}

func (s fullDiskStore) Set(key, v []byte) error {
	if err := s.fail(); err != nil {
		return err
	}
	return s.Store.Set(key, v)
}

func (s fullDiskStore) SetUint64(key []byte, v uint64) error {
	if err := s.fail(); err != nil {
		return err
	}
	return s.Store.SetUint64(key, v)
}

func TestAFullDiskConfirmsNothingAndLosesNothing(t *testing.T) {
	for _, count := range []int{1, 3} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := newTestFleet(t, 500*time.Millisecond, count, 1)
			full, fails := map[string]*atomic.Bool{}, new(atomic.Int64)
			for i := range count {
				name := fmt.Sprint("keeper-", i+1)
				full[name] = new(atomic.Bool)
				c.wrapStore[name] = func(s Store) Store { return fullDiskStore{Store: s, full: full[name], failures: fails} }
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
				t.Errorf("%v", err)
			}
			if count == 3 {
				c.waitForLeader(first)
			}
			if fails.Load() == 0 {
				t.Error("the disk was never full")
			}
			c.waitFor("it says so", func() bool {
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

func TestAFullDiskStopsInOrder(t *testing.T) {
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
