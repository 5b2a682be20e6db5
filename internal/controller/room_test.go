package controller

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"silvercove/internal/controllerclient"
	"silvercove/internal/peertransport"
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

func TestRoomDecides(t *testing.T) {
	m := newSpacePolicy()
	for i, c := range []struct {
		free, total uint64
		short       bool
		leaves      uint64
	}{
		{50, 100, false, 2048},
		{6, 100, false, 2048},
		{5, 100, true, 256},
		{7, 100, true, 256}, // not well before 8%
		{0, 0, true, 256},   // not known: as before
		{8, 100, false, 2048},
		{6, 100, false, 2048}, // nor short before 5%
		{0, 100, true, 256},
		{300, 100, false, 2048}, // more than there is
	} {
		was := m.space.LowOnSpace
		changed := m.OnDiskSpace(c.free, c.total)
		if m.space.LowOnSpace != c.short || changed != (was != c.short) || m.TrailingEntries() != c.leaves {
			t.Errorf("%d: %d of %d: %+v, leaves %d, changed %v", i, c.free, c.total, m.space, m.TrailingEntries(), changed)
		}
	}
	if m.CompactionDue(0, 10240) || !m.CompactionDue(0, 10241) {
		t.Error("with room the log is not cut at 10,240 entries")
	}
	m.OnDiskSpace(4, 100)
	if m.CompactionDue(0, 1280) || !m.CompactionDue(0, 1281) {
		t.Error("without room the log is not cut at 1,280 entries")
	}
	m.OnCompaction(0, errors.New("no space"))
	m.OnCompaction(tick.Second, errors.New("no space"))
	if m.CompactionDue(3*tick.Second-1, 1281) || !m.CompactionDue(3*tick.Second, 1281) {
		t.Error("a snapshot that failed twice is not tried again after two seconds")
	}
	m.OnCompaction(0, nil)
	if !m.CompactionDue(0, 1281) {
		t.Error("a snapshot that was taken keeps the next one back")
	}
	other := func(node, role string, free uint64, short bool) controllerclient.Status {
		return controllerclient.Status{Node: node, Role: role, Term: 3,
			Disk: &controllerclient.DiskSpace{Free: free, Total: 100, LowOnSpace: short}}
	}
	says := func(some ...controllerclient.Status) []controllerclient.Status { return some }
	for _, c := range []struct {
		name string
		some []controllerclient.Status
		want string
	}{
		{"none", nil, ""},
		{"all short", says(other("b", "follower", 7, true), other("c", "follower", 2, true)), ""},
		{"one that is short soon", says(other("b", "follower", 8, false)), ""},
		{"the roomiest", says(other("b", "follower", 20, false), other("c", "follower", 30, false)), "c"},
		{"the first by name", says(other("c", "follower", 30, false), other("b", "follower", 30, false)), "b"},
		{"one that does not follow", says(other("b", "candidate", 90, false), other("c", "waits", 90, false)), ""},
		{"one of another term", says(controllerclient.Status{Node: "b", Role: "follower", Term: 4,
			Disk: &controllerclient.DiskSpace{Free: 9, Total: 10}}), ""},
		{"one that does not say", says(controllerclient.Status{Node: "b", Role: "follower", Term: 3}), ""},
	} {
		m.transferBackoff.reset()
		if to := m.TransferTarget(0, 3, c.some); to != c.want {
			t.Errorf("%s: to %q", c.name, to)
		}
	}
	m.transferBackoff.reset()
	some := says(other("b", "follower", 20, false))
	var at []tick.Tick
	for now := tick.Tick(0); now < 20*tick.Second; now += tick.Second / 2 {
		if m.TransferTarget(now, 3, some) != "" {
			at = append(at, now/tick.Second)
		}
	}
	if !slices.Equal(at, []tick.Tick{0, 1, 3, 7, 15}) {
		t.Errorf("tries at %v s", at)
	}
	m.OnDiskSpace(50, 100)
	if m.TransferTarget(100*tick.Second, 3, some) != "" {
		t.Error("one with room hands the lead on")
	}
}

// freeSpace is the room of keepers' disks, in parts of a thousand.
type freeSpace map[string]*atomic.Int64

func (f freeSpace) adjust(name string, o *Options) {
	if f[name] == nil {
		f[name] = new(atomic.Int64)
		f[name].Store(500)
	}
	o.DiskFree = func(string) (uint64, uint64, error) { return uint64(f[name].Load()), 1000, nil }
}

func (c *testFleet) status(name string) controllerclient.Status {
	s, _ := c.processes[name].controller.handleStatus(call[struct{}]{})
	return s
}

func TestKeepersAt95PercentOfDisk(t *testing.T) {
	c := newTestFleet(t, time.Second, 3, 1)
	room := freeSpace{}
	c.adjustOptions = func(name string, o *Options) {
		room.adjust(name, o)
		o.spacePolicy = newSpacePolicy()
		o.spacePolicy.snapshotEntries, o.spacePolicy.trailingEntries = 400, 80 // 50 and 10 where room is short
	}
	c.start()
	made, names := 0, []string{"keeper-1", "keeper-2", "keeper-3"}
	create := func() {
		t.Helper()
		c.create("edge-a", fmt.Sprint("camera-", made), "edge-a")
		made++
	}
	short := func(name string, is bool) {
		t.Helper()
		c.waitFor(fmt.Sprint(name, " is short of room: ", is), func() bool {
			s := c.status(name)
			return s.Disk != nil && s.Disk.LowOnSpace == is
		})
	}
	for range 10 {
		create()
	}
	first := c.waitForLeader()
	room[first].Store(50)
	second := c.waitForLeader(first)
	short(first, true)
	if !c.log.contains("hands the lead on") || !c.log.contains(`"event":"disk"`) || !c.log.contains("short of room") {
		t.Error("it does not say so")
	}
	create()
	c.waitForInstance(first, fmt.Sprint("camera-", made-1)) // it takes part all the same
	room[second].Store(40)
	third := c.waitForLeader(first, second)
	create()
	room[third].Store(45) // all are short: one leads on
	for _, name := range names {
		short(name, true)
	}
	term := c.status(third).Term
	snaps := func(name string) int {
		all, _ := filepath.Glob(filepath.Join(c.dir, name, snapshotDir, "*"))
		return len(all)
	}
	for _, name := range names {
		if snaps(name) > 0 {
			t.Errorf("%s cut its log before that was of use", name)
		}
	}
	for range 80 {
		create()
	}
	for _, name := range names {
		c.waitForInstance(name, fmt.Sprint("camera-", made-1))
		c.waitFor(name+" cuts its log", func() bool { return snaps(name) > 0 })
	}
	if s := c.status(third); s.Role != "leader" || s.Term != term {
		t.Errorf("with nobody to hand it to the lead went on: %+v", s)
	}
	for _, name := range names {
		room[name].Store(60) // some, and not enough
	}
	c.waitFor("it is seen", func() bool { return c.status(first).Disk.Free == 60 })
	short(first, true)
	room[first].Store(300)
	short(first, false)
	c.waitForLeader(second, third) // as before: it leads again
	create()
	for _, name := range names {
		room[name].Store(300)
		short(name, false)
	}
	c.partition(true, second) // and its word makes a majority
	create()
	c.partition(false, second)
	_ = c.stop(second) // the snapshots of then have all
	c.start(second)
	for i := range made {
		for _, name := range names {
			c.waitForInstance(name, fmt.Sprint("camera-", i))
		}
	}
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Error(err)
	}
}

// The log stays within its bound while calls are served, and what restarts from the snapshots has all.
func TestLogAndSnapshotsAreBoundedWhileServing(t *testing.T) {
	const lease = 400 * time.Millisecond
	c := newTestFleet(t, lease, 1, 1)
	const every, left, most = 400, 100, 5000
	c.adjustOptions = func(_ string, o *Options) {
		o.spacePolicy = newSpacePolicy()
		o.spacePolicy.snapshotEntries, o.spacePolicy.trailingEntries = every, left
		o.DiskFree = func(string) (uint64, uint64, error) { return 50, 100, nil }
	}
	c.start()
	if err := c.requestLease("edge-a", 1); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-0", "edge-a")
	c.waitForLeader()
	k := c.processes["keeper-1"].controller
	var n, longest atomic.Int64
	var workers sync.WaitGroup
	stop := make(chan struct{})
	fail := make(chan error, 33)
	for w := range 32 {
		workers.Go(func() {
			for n.Add(1) <= most {
				zone := []string{"north", "south"}[(w+int(n.Load()))%2]
				e := placement.Operation{Version: placement.FormatVersion, Kind: placement.OpMoveDevice, Instance: "camera-0", Epoch: 1, Zone: zone,
					Reason: strings.Repeat("x", 200)}
				if _, err := k.proposeEntry(logEntry{Operations: []placement.Operation{e}}); err != nil {
					fail <- err
					return
				}
			}
		})
	}
	var beside sync.WaitGroup
	beside.Go(func() { // calls that are served meanwhile
		for i := 1; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			began := time.Now()
			e := placement.Operation{Kind: placement.OpCreate, Instance: fmt.Sprint("camera-", i), Target: "edge-a",
				Zone: "north", Weight: 3}
			if _, err := c.processes["edge-a"].client.Propose(t.Context(), e); err != nil {
				fail <- err
				return
			}
			longest.Store(max(longest.Load(), int64(time.Since(began))))
		}
	})
	var entries uint64
	var bytes int64
	look := func() {
		first, _ := k.store.FirstIndex()
		last, _ := k.store.LastIndex()
		entries = max(entries, last+1-min(first, last+1))
		if at, err := os.Stat(filepath.Join(c.dir, "keeper-1", logFile)); err == nil {
			bytes = max(bytes, at.Size())
		}
	}
	done := make(chan struct{})
	began := time.Now()
	go func() { workers.Wait(); close(done) }()
	for over := false; !over; look() {
		select {
		case <-done:
			over = true
		case <-time.After(5 * time.Millisecond):
		}
	}
	rate := most / time.Since(began).Seconds()
	close(stop)
	beside.Wait()
	select {
	case err := <-fail:
		t.Fatal(err)
	default:
	}
	c.waitFor("it is cut at the end", func() bool {
		first, _ := k.store.FirstIndex()
		last, _ := k.store.LastIndex()
		return last+1-first <= every+left
	})
	t.Logf("%d entries and %d KiB at most, a call took %v at most", entries, bytes>>10,
		time.Duration(longest.Load()))
	// The keeper looks each third of a lease: a fast machine agrees much between two looks, and never near all there is.
	if bound := min(most*9/10, every+left+rate*2*(lease/3).Seconds()); float64(entries) > max(most/2, bound) || bytes > 4<<20 {
		t.Errorf("%d entries at %.0f a second, %d bytes", entries, rate, bytes)
	}
	snaps, _ := filepath.Glob(filepath.Join(c.dir, "keeper-1", snapshotDir, "*"))
	if len(snaps) == 0 || len(snaps) > 2 {
		t.Errorf("snapshots: %v", snaps)
	}
	want, applied := k.stateMachine.assignments(), k.stateMachine.lastApplied()
	if err := c.stop("keeper-1"); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1")
	k = c.processes["keeper-1"].controller
	c.waitFor("all is there again", func() bool { return k.stateMachine.lastApplied() >= applied })
	got := k.stateMachine.assignments()
	if len(got) != len(want) {
		t.Fatalf("%d places, %d before", len(got), len(want))
	}
	for i := range got {
		if a, b := fmt.Sprintf("%+v", got[i]), fmt.Sprintf("%+v", want[i]); a != b {
			t.Fatalf("%s, before %s", a, b)
		}
	}
}

func TestACrowdOfCallersIsTurnedAwayAndTriesAgain(t *testing.T) {
	c := newTestFleet(t, time.Second, 1, 2)
	seats := &connLimiter{limit: 6, limitPerProcess: 4}
	c.adjustOptions = func(_ string, o *Options) { o.connLimiter = seats }
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	c.processes["edge-a"].client.Close()
	var held []interface{ Close() error }
	dial := func(from string) error {
		conn, err := c.processes[from].network.Dial(testContext(t), "keeper-1", peertransport.KindHTTP)
		if err == nil {
			held = append(held, conn)
		}
		return err
	}
	free := func() bool {
		seats.mu.Lock()
		defer seats.mu.Unlock()
		return seats.total == 0
	}
	c.waitFor("the first connection is gone", free)
	for range 4 {
		if err := dial("edge-b"); err != nil {
			t.Fatal(err)
		}
	}
	if err := dial("edge-b"); !errors.Is(err, peertransport.ErrRefused) || !strings.Contains(err.Error(), "try again") {
		t.Errorf("a fifth one of one process: %v", err)
	}
	c.create("edge-a", "camera-1", "edge-a") // another process has its call carried out
	c.processes["edge-a"].client.Close()
	c.waitFor("two are left", func() bool { seats.mu.Lock(); defer seats.mu.Unlock(); return seats.total == 4 })
	for range 2 {
		if err := dial("relay-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := dial("edge-a"); !errors.Is(err, peertransport.ErrRefused) {
		t.Errorf("a seventh one of all: %v", err)
	}
	short, cancel := contextWithTimeout(200 * time.Millisecond)
	defer cancel()
	e := placement.Operation{Kind: placement.OpCreate, Instance: "camera-2", Target: "edge-a"}
	if _, err := c.processes["edge-a"].client.Propose(short, e); !errors.Is(err, controllerclient.ErrNoController) ||
		!strings.Contains(err.Error(), "busy") {
		t.Errorf("it is not told to try again: %v", err)
	}
	later := make(chan error, 1)
	go func() {
		_, err := c.processes["edge-a"].client.Propose(testContext(t), placement.Operation{Kind: placement.OpCreate, Instance: "camera-3",
			Target: "edge-a", Zone: "north", Weight: 3})
		later <- err
	}()
	for _, conn := range held {
		_ = conn.Close()
	}
	if err := <-later; err != nil {
		t.Errorf("a call that tries again: %v", err)
	}
	c.processes["edge-a"].client.Close()
	c.waitFor("all places are given back", free)
}

// Keepers' words to one another are heard, however many others call.
func TestACrowdKeepsNoKeeperOut(t *testing.T) {
	c := connLimiter{limit: 1, limitPerProcess: 2, byProcess: map[string]int{}, isController: func(name string) bool { return name == "keeper-2" }}
	admit := func(from string) bool {
		_, why := c.admit(from)
		return why == ""
	}
	if !admit("edge-a") || admit("edge-b") || !admit("keeper-2") || !admit("keeper-2") || admit("keeper-2") {
		t.Errorf("%+v", c.byProcess)
	}
}

// A lead is about to be handed to a keeper that does not answer, and goes on: what was asked for meanwhile is
// told as not agreed, and keeps no unit from its lease.
func TestAFailedHandOverOfTheLeadHoldsNothingBack(t *testing.T) {
	c := newTestFleet(t, 2*time.Second, 3, 3)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	if err := c.requestLease("edge-c", 1); err != nil {
		t.Fatal(err)
	}
	first, other := c.waitForLeader(), c.follower()
	k := c.processes[first].controller
	term := c.status(first).Term
	c.partition(true, other)
	r := k.raft.Load()
	handed := make(chan error, 1)
	go func() {
		handed <- r.LeadershipTransferToServer(raft.ServerID(other), raft.ServerAddress(other)).Error()
	}()
	c.waitFor("it is about to be handed on", func() bool {
		_, err := k.proposeEntry(logEntry{})
		return errors.Is(err, raft.ErrLeadershipTransferInProgress)
	})
	of := func(unit string) call[controllerclient.LeaseRequest] {
		return call[controllerclient.LeaseRequest]{ctx: testContext(t), caller: unit, body: controllerclient.LeaseRequest{Version: controllerclient.Version, Node: unit, Incarnation: 1}}
	}
	ask, renewal := of("edge-a"), of("edge-c")
	if _, err := k.handleLease(ask); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("%v", err)
	}
	if _, err := k.handleLease(renewal); err != nil {
		t.Errorf("a renewal meanwhile: %v", err)
	}
	if _, err := k.proposeEntry(logEntry{}); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("it is over already: %v", err)
	}
	k.mu.Lock()
	l := k.leadership
	plannerHost{k, l}.Propose(placement.Operation{Kind: placement.OpFailOver, Instance: "camera-0", Epoch: 1, Node: "edge-b"})
	counted := l.expiryDependents["edge-b"]
	k.mu.Unlock()
	if counted != 1 {
		t.Fatalf("%d steps rest on edge-b", counted)
	}
	c.waitFor("nothing rests on edge-b", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return l.expiryDependents["edge-b"] == 0
	})
	if err := <-handed; err == nil {
		t.Fatal("the lead was handed to a silent keeper")
	}
	c.waitFor("a lease is granted in the same lead", func() bool {
		_, err := k.handleLease(ask)
		return err == nil
	})
	if s := c.status(first); s.Term != term || s.Role != "leader" {
		t.Errorf("another lead: %+v", s)
	}
}
