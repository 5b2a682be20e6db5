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
	m := newRoom()
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
		was := m.disk.LowOnSpace
		changed := m.Looked(c.free, c.total)
		if m.disk.LowOnSpace != c.short || changed != (was != c.short) || m.Leaves() != c.leaves {
			t.Errorf("%d: %d of %d: %+v, leaves %d, changed %v", i, c.free, c.total, m.disk, m.Leaves(), changed)
		}
	}
	if m.Cuts(0, 10240) || !m.Cuts(0, 10241) {
		t.Error("with room the log is not cut at 10,240 entries")
	}
	m.Looked(4, 100)
	if m.Cuts(0, 1280) || !m.Cuts(0, 1281) {
		t.Error("without room the log is not cut at 1,280 entries")
	}
	m.Cut(0, errors.New("no space"))
	m.Cut(tick.Second, errors.New("no space"))
	if m.Cuts(3*tick.Second-1, 1281) || !m.Cuts(3*tick.Second, 1281) {
		t.Error("a snapshot that failed twice is not tried again after two seconds")
	}
	m.Cut(0, nil)
	if !m.Cuts(0, 1281) {
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
		m.hands.reset()
		if to := m.Hands(0, 3, c.some); to != c.want {
			t.Errorf("%s: to %q", c.name, to)
		}
	}
	m.hands.reset()
	some := says(other("b", "follower", 20, false))
	var at []tick.Tick
	for now := tick.Tick(0); now < 20*tick.Second; now += tick.Second / 2 {
		if m.Hands(now, 3, some) != "" {
			at = append(at, now/tick.Second)
		}
	}
	if !slices.Equal(at, []tick.Tick{0, 1, 3, 7, 15}) {
		t.Errorf("tries at %v s", at)
	}
	m.Looked(50, 100)
	if m.Hands(100*tick.Second, 3, some) != "" {
		t.Error("one with room hands the lead on")
	}
}

// free is the room of keepers' disks, in parts of a thousand.
type free map[string]*atomic.Int64

func (f free) with(name string, o *Options) {
	if f[name] == nil {
		f[name] = new(atomic.Int64)
		f[name].Store(500)
	}
	o.Free = func(string) (uint64, uint64, error) { return uint64(f[name].Load()), 1000, nil }
}

func (c *crew) status(name string) controllerclient.Status {
	s, _ := c.all[name].keeper.status(call[struct{}]{})
	return s.(controllerclient.Status)
}

func TestKeepersAt95PercentOfDisk(t *testing.T) {
	c := begin(t, time.Second, 3, 1)
	room := free{}
	c.with = func(name string, o *Options) {
		room.with(name, o)
		o.room = newRoom()
		o.room.every, o.room.trailing = 400, 80 // 50 and 10 where room is short
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
		c.wait(fmt.Sprint(name, " is short of room: ", is), func() bool {
			s := c.status(name)
			return s.Disk != nil && s.Disk.LowOnSpace == is
		})
	}
	for range 10 {
		create()
	}
	first := c.leader()
	room[first].Store(50)
	second := c.leader(first)
	short(first, true)
	if !c.log.has("hands the lead on") || !c.log.has(`"event":"disk"`) || !c.log.has("short of room") {
		t.Error("it does not say so")
	}
	create()
	c.has(first, fmt.Sprint("camera-", made-1)) // it takes part all the same
	room[second].Store(40)
	third := c.leader(first, second)
	create()
	room[third].Store(45) // all are short: one leads on
	for _, name := range names {
		short(name, true)
	}
	term := c.status(third).Term
	snaps := func(name string) int {
		all, _ := filepath.Glob(filepath.Join(c.dir, name, fileSnaps, "*"))
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
		c.has(name, fmt.Sprint("camera-", made-1))
		c.wait(name+" cuts its log", func() bool { return snaps(name) > 0 })
	}
	if s := c.status(third); s.Role != "leader" || s.Term != term {
		t.Errorf("with nobody to hand it to the lead went on: %+v", s)
	}
	for _, name := range names {
		room[name].Store(60) // some, and not enough
	}
	c.wait("it is seen", func() bool { return c.status(first).Disk.Free == 60 })
	short(first, true)
	room[first].Store(300)
	short(first, false)
	c.leader(second, third) // as before: it leads again
	create()
	for _, name := range names {
		room[name].Store(300)
		short(name, false)
	}
	c.cut(true, second) // and its word makes a majority
	create()
	c.cut(false, second)
	_ = c.stop(second) // the snapshots of then have all
	c.start(second)
	for i := range made {
		for _, name := range names {
			c.has(name, fmt.Sprint("camera-", i))
		}
	}
	if err := c.lease("edge-a", 1); err != nil {
		t.Error(err)
	}
}

// The log stays within its bound while calls are served, and what restarts from the snapshots has all.
func TestLogAndSnapshotsAreBoundedWhileServing(t *testing.T) {
	const lease = 400 * time.Millisecond
	c := begin(t, lease, 1, 1)
	const every, left, most = 400, 100, 5000
	c.with = func(_ string, o *Options) {
		o.room = newRoom()
		o.room.every, o.room.trailing = every, left
		o.Free = func(string) (uint64, uint64, error) { return 50, 100, nil }
	}
	c.start()
	if err := c.lease("edge-a", 1); err != nil {
		t.Fatal(err)
	}
	c.create("edge-a", "camera-0", "edge-a")
	c.leader()
	k := c.all["keeper-1"].keeper
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
				if _, err := k.apply(order{Steps: []placement.Operation{e}}); err != nil {
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
			if _, err := c.all["edge-a"].client.Propose(t.Context(), e); err != nil {
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
		if at, err := os.Stat(filepath.Join(c.dir, "keeper-1", fileLog)); err == nil {
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
	c.wait("it is cut at the end", func() bool {
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
	snaps, _ := filepath.Glob(filepath.Join(c.dir, "keeper-1", fileSnaps, "*"))
	if len(snaps) == 0 || len(snaps) > 2 {
		t.Errorf("snapshots: %v", snaps)
	}
	want, applied := k.machine.all(), k.machine.applied()
	if err := c.stop("keeper-1"); err != nil {
		t.Fatal(err)
	}
	c.start("keeper-1")
	k = c.all["keeper-1"].keeper
	c.wait("all is there again", func() bool { return k.machine.applied() >= applied })
	got := k.machine.all()
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
	c := begin(t, time.Second, 1, 2)
	seats := &crowd{most: 6, mostOf: 4}
	c.with = func(_ string, o *Options) { o.crowd = seats }
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	c.all["edge-a"].client.Close()
	var held []interface{ Close() error }
	dial := func(from string) error {
		conn, err := c.all[from].net.Dial(soon(t), "keeper-1", peertransport.KindHTTP)
		if err == nil {
			held = append(held, conn)
		}
		return err
	}
	free := func() bool {
		seats.mu.Lock()
		defer seats.mu.Unlock()
		return seats.all == 0
	}
	c.wait("the first connection is gone", free)
	for range 4 {
		if err := dial("edge-b"); err != nil {
			t.Fatal(err)
		}
	}
	if err := dial("edge-b"); !errors.Is(err, peertransport.ErrRefused) || !strings.Contains(err.Error(), "try again") {
		t.Errorf("a fifth one of one process: %v", err)
	}
	c.create("edge-a", "camera-1", "edge-a") // another process has its call carried out
	c.all["edge-a"].client.Close()
	c.wait("two are left", func() bool { seats.mu.Lock(); defer seats.mu.Unlock(); return seats.all == 4 })
	for range 2 {
		if err := dial("relay-1"); err != nil {
			t.Fatal(err)
		}
	}
	if err := dial("edge-a"); !errors.Is(err, peertransport.ErrRefused) {
		t.Errorf("a seventh one of all: %v", err)
	}
	short, cancel := timeout(200 * time.Millisecond)
	defer cancel()
	e := placement.Operation{Kind: placement.OpCreate, Instance: "camera-2", Target: "edge-a"}
	if _, err := c.all["edge-a"].client.Propose(short, e); !errors.Is(err, controllerclient.ErrNoController) ||
		!strings.Contains(err.Error(), "busy") {
		t.Errorf("it is not told to try again: %v", err)
	}
	later := make(chan error, 1)
	go func() {
		_, err := c.all["edge-a"].client.Propose(soon(t), placement.Operation{Kind: placement.OpCreate, Instance: "camera-3",
			Target: "edge-a", Zone: "north", Weight: 3})
		later <- err
	}()
	for _, conn := range held {
		_ = conn.Close()
	}
	if err := <-later; err != nil {
		t.Errorf("a call that tries again: %v", err)
	}
	c.all["edge-a"].client.Close()
	c.wait("all places are given back", free)
}

// Keepers' words to one another are heard, however many others call.
func TestACrowdKeepsNoKeeperOut(t *testing.T) {
	c := crowd{most: 1, mostOf: 2, of: map[string]int{}, keeper: func(name string) bool { return name == "keeper-2" }}
	admit := func(from string) bool {
		_, why := c.admit(from)
		return why == ""
	}
	if !admit("edge-a") || admit("edge-b") || !admit("keeper-2") || !admit("keeper-2") || admit("keeper-2") {
		t.Errorf("%+v", c.of)
	}
}

// A lead is about to be handed to a keeper that does not answer, and goes on: what was asked for meanwhile is
// told as not agreed, and keeps no unit from its lease.
func TestAFailedHandOverOfTheLeadHoldsNothingBack(t *testing.T) {
	c := begin(t, 2*time.Second, 3, 3)
	c.start()
	c.create("edge-a", "camera-0", "edge-a")
	if err := c.lease("edge-c", 1); err != nil {
		t.Fatal(err)
	}
	first, other := c.leader(), c.follower()
	k := c.all[first].keeper
	term := c.status(first).Term
	c.cut(true, other)
	r := k.raft.Load()
	handed := make(chan error, 1)
	go func() {
		handed <- r.LeadershipTransferToServer(raft.ServerID(other), raft.ServerAddress(other)).Error()
	}()
	c.wait("it is about to be handed on", func() bool {
		_, err := k.apply(order{})
		return errors.Is(err, raft.ErrLeadershipTransferInProgress)
	})
	of := func(unit string) call[controllerclient.LeaseRequest] {
		return call[controllerclient.LeaseRequest]{ctx: soon(t), from: unit, in: controllerclient.LeaseRequest{Version: controllerclient.Version, Node: unit, Incarnation: 1}}
	}
	ask, renewal := of("edge-a"), of("edge-c")
	if _, err := k.lease(ask); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("%v", err)
	}
	if _, err := k.lease(renewal); err != nil {
		t.Errorf("a renewal meanwhile: %v", err)
	}
	if _, err := k.apply(order{}); !errors.Is(err, raft.ErrLeadershipTransferInProgress) {
		t.Fatalf("it is over already: %v", err)
	}
	k.mu.Lock()
	l := k.lead
	host{k, l}.Propose(placement.Operation{Kind: placement.OpFailOver, Instance: "camera-0", Epoch: 1, Node: "edge-b"})
	counted := l.pending["edge-b"]
	k.mu.Unlock()
	if counted != 1 {
		t.Fatalf("%d steps rest on edge-b", counted)
	}
	c.wait("nothing rests on edge-b", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return l.pending["edge-b"] == 0
	})
	if err := <-handed; err == nil {
		t.Fatal("the lead was handed to a silent keeper")
	}
	c.wait("a lease is granted in the same lead", func() bool {
		_, err := k.lease(ask)
		return err == nil
	})
	if s := c.status(first); s.Term != term || s.Role != "leader" {
		t.Errorf("another lead: %+v", s)
	}
}
