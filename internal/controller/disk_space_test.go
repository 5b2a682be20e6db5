package controller

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/internal/placement"
)

// freeThousandths holds the free space of each controller's disk, in thousandths of its size.
type freeThousandths map[string]*atomic.Int64

func (f freeThousandths) adjust(name string, o *Options) {
	if f[name] == nil {
		f[name] = new(atomic.Int64)
		f[name].Store(500)
	}
	o.DiskFree = func(string) (uint64, uint64, error) { return uint64(f[name].Load()), 1000, nil }
}

// A leader whose disk is 95% full transfers the leadership to a controller with free space. If all disks are low on space, the
// leadership stays where it is, and each controller compacts its log sooner.
func TestDiskSpace_ThreeControllersAt95Percent(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	free := freeThousandths{}
	c.adjustOptions = func(name string, o *Options) {
		free.adjust(name, o)
		o.spacePolicy = newSpacePolicy()
		// Both are numbers of log entries. While a disk is low on space, an eighth of each number applies: 50 and 10.
		o.spacePolicy.snapshotEntries, o.spacePolicy.trailingEntries = 400, 80
	}
	c.start()
	created, names := 0, []string{"keeper-1", "keeper-2", "keeper-3"}
	create := func() {
		t.Helper()
		c.create("edge-a", fmt.Sprint("camera-", created), "edge-a")
		created++
	}
	waitForLowOnSpace := func(name string, low bool) {
		t.Helper()
		c.waitFor(fmt.Sprint(name, " is low on space: ", low), func() bool {
			s := c.status(name)
			return s.Disk != nil && s.Disk.LowOnSpace == low
		})
	}
	for range 10 {
		create()
	}
	first := c.waitForLeader()
	free[first].Store(50)
	second := c.waitForLeader(first)
	waitForLowOnSpace(first, true)
	if !c.log.contains("the leadership is transferred to") || !c.log.contains(`"event":"disk"`) || !c.log.contains("low on space: ") {
		t.Error("the transfer is not logged")
	}
	create()
	c.waitForInstance(first, fmt.Sprint("camera-", created-1)) // the first controller, though low on space, still applies new entries
	free[second].Store(40)
	third := c.waitForLeader(first, second)
	create()
	free[third].Store(45) // now all disks are low on space, so the third controller continues to lead
	for _, name := range names {
		waitForLowOnSpace(name, true)
	}
	term := c.status(third).Term
	snapshotCount := func(name string) int {
		all, _ := filepath.Glob(filepath.Join(c.dir, name, snapshotDir, "*"))
		return len(all)
	}
	for _, name := range names {
		if snapshotCount(name) > 0 {
			t.Errorf("%s compacted its log too early", name)
		}
	}
	for range 80 {
		create()
	}
	for _, name := range names {
		c.waitForInstance(name, fmt.Sprint("camera-", created-1))
		c.waitFor(name+" compacts its log", func() bool { return snapshotCount(name) > 0 })
	}
	if s := c.status(third); s.Role != "leader" || s.Term != term {
		t.Errorf("the leadership moved although no controller has free space: %+v", s)
	}
	for _, name := range names {
		free[name].Store(60) // above lowFreeFraction, but below recoveredFreeFraction
	}
	c.waitFor("the free space is updated", func() bool { return c.status(first).Disk.Free == 60 })
	waitForLowOnSpace(first, true)
	free[first].Store(300)
	waitForLowOnSpace(first, false)
	c.waitForLeader(second, third) // only the first controller has free space, so the first controller leads again
	create()
	for _, name := range names {
		free[name].Store(300)
		waitForLowOnSpace(name, false)
	}
	c.partition(true, second) // the first and the third controller form the majority
	create()
	c.partition(false, second)
	_ = c.stop(second) // the second controller restarts from the snapshots that it took while its disk was low on space
	c.start(second)
	for i := range created {
		for _, name := range names {
			c.waitForInstance(name, fmt.Sprint("camera-", i))
		}
	}
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Error(err)
	}
}

// The log stays within its bound while calls are served, and a controller that restarts from the snapshots has all assignments.
func TestCompaction_BoundsTheLogWhileServing(t *testing.T) {
	const lease = 400 * time.Millisecond
	c := newTestFleet(t, lease, 1, 1)
	const snapshotEvery, trailing, operations = 400, 100, 5000
	c.adjustOptions = func(_ string, o *Options) {
		o.spacePolicy = newSpacePolicy()
		o.spacePolicy.snapshotEntries, o.spacePolicy.trailingEntries = snapshotEvery, trailing
		o.DiskFree = func(string) (uint64, uint64, error) { return 50, 100, nil }
	}
	c.start()
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-0", "edge-a")
	c.waitForLeader()
	ctrl := c.processes["keeper-1"].controller
	load := &compactionLoad{fleet: c, controller: ctrl, operations: operations}
	load.run(t)
	c.waitFor("the log is compacted after the load", func() bool {
		first, _ := ctrl.store.FirstIndex()
		last, _ := ctrl.store.LastIndex()
		return last+1-first <= snapshotEvery+trailing
	})
	t.Logf("at most %d entries and %d KiB, at most %v for a call", load.maxEntries, load.maxBytes>>10,
		time.Duration(load.longestCall.Load()))
	// The log may exceed snapshotEvery+trailing by the entries that are committed before the next check of its length. A check
	// runs every third of a lease, and the limit allows for two of these intervals. A fast machine may commit nearly all
	// operations in that time, so the limit is at most 90% of the operations. However slow the machine is, the limit is at
	// least half of the operations.
	if bound := min(operations*9/10, snapshotEvery+trailing+load.rate*2*(lease/3).Seconds()); float64(load.maxEntries) > max(operations/2, bound) || load.maxBytes > 4<<20 {
		t.Errorf("%d entries at %.0f operations per second, %d bytes", load.maxEntries, load.rate, load.maxBytes)
	}
	snapshots, _ := filepath.Glob(filepath.Join(c.dir, "keeper-1", snapshotDir, "*"))
	if len(snapshots) == 0 || len(snapshots) > 2 {
		t.Errorf("snapshots: %v", snapshots)
	}
	want, applied := ctrl.stateMachine.assignments(), ctrl.stateMachine.lastApplied()
	if err := c.stop("keeper-1"); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1")
	ctrl = c.processes["keeper-1"].controller
	c.waitFor("all entries are applied again", func() bool { return ctrl.stateMachine.lastApplied() >= applied })
	got := ctrl.stateMachine.assignments()
	if len(got) != len(want) {
		t.Fatalf("%d assignments, %d before the restart", len(got), len(want))
	}
	for i := range got {
		if a, b := fmt.Sprintf("%+v", got[i]), fmt.Sprintf("%+v", want[i]); a != b {
			t.Fatalf("%s, before the restart %s", a, b)
		}
	}
}

// compactionLoad proposes operations to a controller as fast as possible. In parallel, it makes calls as an edge node and
// measures the length and the size of the log.
type compactionLoad struct {
	fleet      *testFleet
	controller *Controller
	operations int64

	maxEntries  uint64       // greatest number of entries in the log
	maxBytes    int64        // greatest size of the log's file in bytes
	rate        float64      // agreed operations per second
	longestCall atomic.Int64 // longest duration of a call, in nanoseconds
}

// run proposes all operations and returns after they are agreed.
func (l *compactionLoad) run(t *testing.T) {
	t.Helper()
	const parallel = 32
	var proposed atomic.Int64
	var workers, caller sync.WaitGroup
	failed := make(chan error, parallel+1)
	for worker := range parallel {
		workers.Go(func() { l.propose(worker, &proposed, failed) })
	}
	stop := make(chan struct{})
	caller.Go(func() { l.createInstances(t, stop, failed) })
	done := make(chan struct{})
	began := time.Now()
	go func() {
		workers.Wait()
		close(done)
	}()
	for ended := false; !ended; l.measureLog() {
		select {
		case <-done:
			ended = true
		case <-time.After(5 * time.Millisecond):
		}
	}
	l.rate = float64(l.operations) / time.Since(began).Seconds()
	close(stop)
	caller.Wait()
	select {
	case err := <-failed:
		t.Fatal(err)
	default:
	}
}

// propose proposes operations one after the other until all workers together have proposed l.operations.
func (l *compactionLoad) propose(worker int, proposed *atomic.Int64, failed chan<- error) {
	for proposed.Add(1) <= l.operations {
		zone := []string{"north", "south"}[(worker+int(proposed.Load()))%2]
		op := placement.Operation{Version: placement.FormatVersion, Kind: placement.OpMoveDevice, Instance: "camera-0", Epoch: 1,
			Zone: zone, Reason: strings.Repeat("x", 200)}
		if _, err := l.controller.proposeEntry(logEntry{Operations: []placement.Operation{op}}); err != nil {
			failed <- err
			return
		}
	}
}

// createInstances creates instances as an edge node, one after the other, until stop is closed, and records the duration of the
// longest call.
func (l *compactionLoad) createInstances(t *testing.T, stop <-chan struct{}, failed chan<- error) {
	t.Helper()
	for i := 1; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		began := time.Now()
		op := placement.Operation{Kind: placement.OpCreate, Instance: fmt.Sprint("camera-", i), Target: "edge-a", Zone: "north", Weight: 3}
		if _, err := l.fleet.processes["edge-a"].client.Propose(t.Context(), op); err != nil {
			failed <- err
			return
		}
		l.longestCall.Store(max(l.longestCall.Load(), int64(time.Since(began))))
	}
}

// measureLog updates maxEntries and maxBytes from the log.
func (l *compactionLoad) measureLog() {
	first, _ := l.controller.store.FirstIndex()
	last, _ := l.controller.store.LastIndex()
	l.maxEntries = max(l.maxEntries, last+1-min(first, last+1))
	if stat, err := os.Stat(filepath.Join(l.fleet.dir, "keeper-1", logFile)); err == nil {
		l.maxBytes = max(l.maxBytes, stat.Size())
	}
}
