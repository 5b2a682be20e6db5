package placement

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// parseOperation parses the short form of an operation. "copy camera-7@1 a>b #5 !" is an OpStartCopy of the instance camera-7 with
// epoch 1, node a, target b, index 5 and a cut-over. Any further word is the zone.
func parseOperation(tb testing.TB, text string) Operation {
	tb.Helper()
	op := Operation{Version: 1}
	for i, w := range strings.Fields(text) {
		by, to, arrow := strings.Cut(w, ">")
		switch {
		case i == 0:
			op.Kind = OperationKind(w)
		case i == 1:
			name, epoch, _ := strings.Cut(w, "@")
			op.Instance = name
			_, _ = fmt.Sscan(epoch, &op.Epoch)
		case arrow:
			op.Node, op.Target = by, to
		case w[0] == '#':
			_, _ = fmt.Sscan(w[1:], &op.Index)
		case w == "!":
			op.CutOver = true
		default:
			op.Zone = w
		}
	}
	return op
}

func TestTable_AppliesOrRefusesEachOperation(t *testing.T) {
	const created, copied, synced = "create c >a", "copy c@1 >b !", "synced c@1 a>b #5"
	for _, c := range []struct {
		log  string
		err  error // error of the last operation
		want string
	}{
		{created, nil, "a@1"},
		{"create c", ErrInvalid, ""},
		{created + "; create c >b", ErrExists, "a@1"},
		{"copy c@1 >b", ErrNotFound, ""},
		{created + "; copy c@1 >b", nil, "a@1 >b"},
		{created + "; copy c@0 >b", ErrStaleEpoch, "a@1"},
		{created + "; copy c@2 >b", ErrInvalid, "a@1"},
		{created + "; copy c@1 >a", ErrWrongState, "a@1"},
		{created + "; copy c@1 >b; copy c@1 >b !", nil, "a@1 >>b"},
		{created + "; copy c@1 >b; copy c@1 >d", ErrWrongState, "a@1 >b"},
		{created + "; copy c@1 >b; synced c@1 a>b", nil, "a@1 +b"},
		{created + "; copy c@1 >b; synced c@1 b>b", ErrNotPrimary, "a@1 >b"},
		{created + "; copy c@1 >b; synced c@1 a>d", ErrWrongState, "a@1 >b"},
		{created + "; copy c@1 >b; synced c@1 a>b; synced c@1 a>b", nil, "a@1 +b"},
		{created + "; " + copied + "; switch c@1 a>b #5", ErrNotReplica, "a@1 >>b"},
		{created + "; " + copied + "; " + synced, nil, "a@1 +b >>b"},
		{created + "; " + copied + "; " + synced + "; switch c@1 d>b #5", ErrNotPrimary, "a@1 +b >>b"},
		{created + "; " + copied + "; " + synced + "; switch c@1 a>b #4", ErrInvalid, "a@1 +b >>b"},
		{created + "; " + copied + "; " + synced + "; switch c@1 a>b #6", nil, "b@2 +a"},
		{created + "; " + copied + "; " + synced + "; switch c@1 a>b #6; switch c@1 a>b #6", ErrStaleEpoch, "b@2 +a"},
		{created + "; " + copied + "; " + synced + "; back c@1; switch c@1 a>b #6", ErrWrongState, "a@1 +b"},
		{created + "; " + copied + "; drop c@1 >b", ErrWrongState, "a@1 >>b"},
		{created + "; " + copied + "; " + synced + "; drop c@1 a>b; switch c@1 a>b #9", ErrNotReplica, "a@1 >>b"},
		{created + "; back c@1", ErrWrongState, "a@1"},
		{created + "; " + copied + "; back c@1 >d", ErrWrongState, "a@1 >>b"},
		{created + "; " + copied + "; back c@1 d>b", ErrNotPrimary, "a@1 >>b"},
		{created + "; fail c@1 b>", ErrNotPrimary, "a@1"},
		{created + "; fail c@1 a>b", ErrNotReplica, "a@1"},
		{created + "; " + copied + "; fail c@1 a>b", ErrNotReplica, "a@1 >>b"},
		{created + "; " + copied + "; " + synced + "; fail c@1 a>b", nil, "b@2"},
		{created + "; " + copied + "; " + synced + "; fail c@1 a>b; synced c@1 a>d", ErrStaleEpoch, "b@2"},
		{created + "; fail c@1 a>", nil, "lost@1 +a"},
		{created + "; fail c@1 a>; fail c@1 a>", ErrWrongState, "lost@1 +a"},
		{created + "; restart c@1 >a", ErrWrongState, "a@1"},
		{created + "; fail c@1 a>; restart c@1 >b", nil, "b@2"},
		{created + "; fail c@1 a>; restart c@1 >a", nil, "a@2"},
		{created + "; quarantine c@1", ErrNotPrimary, "a@1"},
		{created + "; quarantine c@1 a>", nil, "quarantined@1 +a"},
		{created + "; quarantine c@1 a>; quarantine c@1", ErrWrongState, "quarantined@1 +a"},
		{created + "; quarantine c@1 a>; restart c@1 >b", ErrWrongState, "quarantined@1 +a"},
		{created + "; quarantine c@1 a>; release c@1 >a", nil, "a@2"},
		{created + "; release c@1 >b", ErrWrongState, "a@1"},
		{created + "; forget c@1", ErrNotPrimary, "a@1"},
		{created + "; forget c@1 a>", nil, "gone@1 +a"},
		{created + "; forget c@1 a>; create c >b", nil, "b@2"}, // an epoch is never used twice
		{created + "; cross c@0 south", nil, "a@1"},
		{created + "; cross c@1", ErrInvalid, ""},
		{created + "; juggle c@1", ErrInvalid, ""},
	} {
		tab := New()
		var assignment Assignment
		var err error
		log := strings.Split(c.log, "; ")
		for i, text := range log {
			before := tab.Snapshot()
			if assignment, err = tab.Apply(parseOperation(t, text)); err != nil && i < len(log)-1 {
				t.Fatalf("%s: %s: %v", c.log, text, err)
			}
			if err != nil && !bytes.Equal(before, tab.Snapshot()) {
				t.Errorf("%s: a refused operation changed the table", c.log)
			}
		}
		if !errors.Is(err, c.err) || (c.want != "" && Summary(assignment) != c.want) {
			t.Errorf("%s: %s, %v; want %s, %v", c.log, Summary(assignment), err, c.want, c.err)
		}
	}
}

func TestTable_RestartCountsMissingEntries(t *testing.T) {
	for _, c := range []struct {
		log                   string
		missing, index        uint64
		replicas, staleCopies int
	}{
		// Node b is a replica, so the restart there loses no entry. The failed primary a becomes a replica.
		{"fail c@1 a>; restart c@1 >b", 0, 9, 1, 0},
		{"fail c@1 a>; restart c@1 >d #4", 5, 4, 0, 0},
		{"drop c@1 a>b #9; fail c@1 a>; restart c@1 >b #9", 0, 9, 0, 0},
		{"drop c@1 a>b #9; fail c@1 a>; restart c@1 >d #9", 0, 9, 0, 1},
		{"fail c@1 a>; restart c@1 >d #4; fail c@2 d>; restart c@2 >e #1", 8, 1, 0, 0},
	} {
		tab := New()
		for _, text := range strings.Split("create c >a; copy c@1 >b; synced c@1 a>b #9; "+c.log, "; ") {
			if _, err := tab.Apply(parseOperation(t, text)); err != nil {
				t.Fatalf("%s: %v", text, err)
			}
		}
		p, _ := tab.Get("c")
		if p.MissingEntries != c.missing || p.Index != c.index || len(p.Replicas) != c.replicas || len(p.StaleCopies) != c.staleCopies {
			t.Errorf("%s: %+v", c.log, p)
		}
	}
}

func TestTable_DoesNotWriteIntoReturnedAssignments(t *testing.T) {
	tab := New()
	var first Assignment
	for i, text := range strings.Split("create c >a; copy c@1 >d; synced c@1 a>d; copy c@1 >e; synced c@1 a>e; drop c@1 a>e; "+
		"copy c@1 >b; synced c@1 a>b", "; ") {
		if _, err := tab.Apply(parseOperation(t, text)); err != nil {
			t.Fatal(err)
		}
		if i == 5 {
			first, _ = tab.Get("c")
		}
	}
	if Summary(first) != "a@1 +d" {
		t.Errorf("%s", Summary(first))
	}
}

func TestTable_RefusesLaterFormatVersion(t *testing.T) {
	a, b := New(), New()
	for _, tab := range []*Table{a, b} {
		if _, err := tab.Apply(Operation{Version: 2, Kind: "merge", Instance: "c"}); !errors.Is(err, ErrUnsupportedVersion) {
			t.Errorf("operation of a later format version: %v", err)
		}
	}
	if !bytes.Equal(a.Snapshot(), b.Snapshot()) || a.Version() != 0 {
		t.Error("a refused operation changed the table")
	}
	_, _ = a.Apply(parseOperation(t, "create c >a"))
	before := a.Snapshot()
	for _, text := range []string{`{"v":2,"version":1,"places":0}` + "\n", `{"v":2,"anything":[]}`} {
		if err := a.Restore([]byte(text)); !errors.Is(err, ErrUnsupportedVersion) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if !bytes.Equal(before, a.Snapshot()) {
		t.Error("a refused snapshot changed the table")
	}
}

func TestTable_KeepsUnknownFields(t *testing.T) {
	const text = `{"v":1,"version":7,"places":1,"shard":{"of":3}}
{"at":7,"name":"c","state":"runs","owner":"a","epoch":4,"change":3,"seq":0,"more":"AQI=","tint":["<b>",1.50]}
`
	tab := New()
	if err := tab.Restore([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if got := string(tab.Snapshot()); got != text {
		t.Errorf("%s", got)
	}
	if _, err := tab.Apply(parseOperation(t, "copy c@4 >b")); err != nil {
		t.Fatal(err)
	}
	if got := string(tab.Snapshot()); !strings.Contains(got, `"to":"b","seq":0,"more":"AQI=","tint":["<b>",1.50]}`) {
		t.Errorf("%s", got)
	}
}

func TestTable_RefusesTruncatedSnapshot(t *testing.T) {
	tab := New()
	for _, text := range []string{"create c >a", "create d >a", "forget d@1 a>", "copy c@1 >b"} {
		_, _ = tab.Apply(parseOperation(t, text))
	}
	snapshot := tab.Snapshot()
	for i := range snapshot {
		restored := New()
		if err := restored.Restore(snapshot[:i]); !errors.Is(err, ErrInvalid) {
			t.Fatalf("truncated to %d bytes: %v", i, err)
		}
		if restored.Version() != 0 {
			t.Fatalf("a snapshot truncated to %d bytes changed the table", i)
		}
	}
	restored := New()
	if err := restored.Restore(snapshot); err != nil || !bytes.Equal(restored.Snapshot(), snapshot) {
		t.Errorf("%v", err)
	}
}

func TestTable_SinceGivesTheSameTable(t *testing.T) {
	tab := New()
	r := rand.New(rand.NewPCG(4, 2))
	followed, followedVersion := map[string]Assignment{}, uint64(0)
	var completeCount int
	for i := range 30000 {
		name := fmt.Sprint("c", r.IntN(6000))
		p, exists := tab.Get(name)
		switch {
		case !exists:
			_, _ = tab.Apply(Operation{Version: 1, Kind: OpCreate, Instance: name, Target: "a", Zone: "north"})
		case i%3 == 0:
			_, _ = tab.Apply(Operation{Version: 1, Kind: OpDelete, Instance: name, Epoch: p.Epoch, Node: p.Primary})
		default:
			_, _ = tab.Apply(Operation{Version: 1, Kind: OpMoveDevice, Instance: name, Zone: fmt.Sprint("z", r.IntN(9))})
		}
		if r.IntN(100) > 0 && i <= 10000 {
			continue
		}
		if i > 10000 && i < 29999 {
			continue // Since is not called here, so that more deletions can occur between two calls of Since than the table records
		}
		c := tab.Since(followedVersion)
		if c.Complete {
			completeCount++
			clear(followed)
		}
		for _, p := range c.Assignments {
			followed[p.Instance] = p
		}
		for _, name := range c.Deleted {
			delete(followed, name)
		}
		if followedVersion = c.Version; len(followed) != tab.Len() {
			t.Fatalf("operation %d: %d instances after the changes, and the table has %d", i, len(followed), tab.Len())
		}
		for name, p := range followed {
			if got, ok := tab.Get(name); !ok || Summary(got) != Summary(p) || got.Zone != p.Zone || got.Revision != p.Revision {
				t.Fatalf("operation %d: %s: %+v in the table, %+v after the changes", i, name, got, p)
			}
		}
	}
	if completeCount != 2 {
		t.Errorf("%d complete lists of changes, wanted 2: the first, and the one after the long pause", completeCount)
	}
	tab.prunedEpoch = 7
	if p, err := tab.Apply(Operation{Version: 1, Kind: OpCreate, Instance: "long gone", Target: "a"}); err != nil || p.Epoch != 8 {
		t.Errorf("a new instance whose name may have a pruned deletion has epoch %d", p.Epoch)
	}
	if len(tab.deletions) != maxDeletions || tab.prunedEpoch == 0 {
		t.Errorf("%d deletions are recorded, the pruned epoch is %d", len(tab.deletions), tab.prunedEpoch)
	}
}

// checkInvariants checks the invariants of each assignment and of the indexes. It compares the epochs with highestEpochs, the
// highest epoch of each instance in earlier calls, and updates that map.
func checkInvariants(t interface{ Fatalf(string, ...any) }, tab *Table, highestEpochs map[string]uint64) {
	primaries, replicas := 0, 0
	for _, p := range tab.All() {
		if fault := validateAssignment(p); fault != "" {
			t.Fatalf("%+v: %s", p, fault)
		}
		if highestEpochs[p.Instance] > p.Epoch {
			t.Fatalf("%s: the epoch decreased from %d to %d", p.Instance, highestEpochs[p.Instance], p.Epoch)
		}
		highestEpochs[p.Instance] = p.Epoch
		if p.Primary != "" {
			primaries++
		}
		replicas += len(p.Replicas)
	}
	for node := range tab.byPrimary {
		for _, p := range tab.ByPrimary(node) {
			primaries--
			if p.Primary != node {
				t.Fatalf("index by primary: %s has %+v", node, p)
			}
		}
	}
	for node := range tab.byReplica {
		for _, p := range tab.ByReplica(node) {
			replicas--
			if !slices.Contains(p.Replicas, node) {
				t.Fatalf("index by replica: %s has %+v", node, p)
			}
		}
	}
	if primaries != 0 || replicas != 0 {
		t.Fatalf("the assignments have %d primaries and %d replicas more than the indexes", primaries, replicas)
	}
}

var operationKinds = []OperationKind{OpCreate, OpStartCopy, OpReplicaReady, OpDropReplica, OpCutOver, OpCancelCopy, OpFailOver, OpRestart, OpMoveDevice, OpResetFailures, OpQuarantine, OpRelease, OpDelete}

func TestTable_AnyOrderOfOperationsKeepsTheInvariants(t *testing.T) {
	nodes := []string{"", "a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		tab, second, highestEpochs := New(), New(), map[string]uint64{}
		primaries := map[string]string{} // primary by instance and epoch
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			op := Operation{Version: 1, Kind: rapid.SampledFrom(operationKinds).Draw(t, "kind"), Instance: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"),
				Node: rapid.SampledFrom(nodes).Draw(t, "by"), Target: rapid.SampledFrom(nodes).Draw(t, "to"),
				CutOver: rapid.Bool().Draw(t, "switch"), Index: rapid.Uint64Range(0, 9).Draw(t, "seq"), Zone: "north"}
			before, _ := tab.Get(op.Instance)
			if op.Epoch = before.Epoch; rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
				op.Epoch = rapid.Uint64Range(0, 9).Draw(t, "epoch")
			}
			if rapid.Bool().Draw(t, "owner") {
				op.Node = before.Primary
			}
			p, err := tab.Apply(op)
			_, _ = second.Apply(op)
			if err == nil && p.Primary != before.Primary && before.State == Running && p.State == Running &&
				!slices.Contains(before.Replicas, p.Primary) {
				t.Fatalf("%+v: from %+v to %+v, whose primary was not a replica", op, before, p)
			}
			if p.Primary != "" && p.State == Running {
				key := fmt.Sprint(p.Instance, p.Epoch)
				if primaries[key] == "" {
					primaries[key] = p.Primary
				} else if primaries[key] != p.Primary {
					t.Fatalf("%s has two primaries, %s and %s", key, primaries[key], p.Primary)
				}
			}
			checkInvariants(t, tab, highestEpochs)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				if err := second.Restore(tab.Snapshot()); err != nil {
					t.Fatalf("restore: %v", err)
				}
			}
		}
		if !bytes.Equal(tab.Snapshot(), second.Snapshot()) {
			t.Fatalf("two tables differ after the same operations:\n%s\n%s", tab.Snapshot(), second.Snapshot())
		}
	})
}

func FuzzTable_OperationsAndSnapshots(f *testing.F) {
	f.Add([]byte(`{"v":1,"version":1,"places":0}`+"\n"), "create c >a; copy c@1 >b !; synced c@1 a>b; switch c@1 a>b")
	f.Add([]byte("{\"v\":1,\"version\":7,\"places\":1,\"x\":1}\n{\"at\":7,\"name\":\"c\",\"state\":\"runs\",\"owner\":\"a\","+
		"\"epoch\":4,\"change\":3,\"holders\":[\"b\"],\"kept\":[{\"unit\":\"d\"}],\"tint\":2}\n"), "fail c@4 a>; restart c@4 >d")
	f.Fuzz(func(t *testing.T, snapshot []byte, log string) {
		tab, highestEpochs := New(), map[string]uint64{}
		if err := tab.Restore(snapshot); err != nil {
			if !errors.Is(err, ErrInvalid) && !errors.Is(err, ErrUnsupportedVersion) {
				t.Fatalf("%v", err)
			}
		}
		checkInvariants(t, tab, highestEpochs)
		for _, text := range strings.SplitN(log, ";", 64) {
			if len(strings.Fields(text)) > 1 {
				_, _ = tab.Apply(parseOperation(t, text))
			}
			checkInvariants(t, tab, highestEpochs)
		}
		restored := New()
		first := tab.Snapshot()
		if err := restored.Restore(first); err != nil {
			t.Fatalf("restoring a written snapshot: %v in %s", err, first)
		}
		if !bytes.Equal(first, restored.Snapshot()) {
			t.Fatalf("the restored table has another snapshot:\n%s\n%s", first, restored.Snapshot())
		}
		_ = tab.Since(1)
	})
}

var instanceCounts = []int{100, 1000, 10000, 100000}

func newFilledTable(n int) *Table {
	tab := New()
	for i := range n {
		name := fmt.Sprint("camera-", i)
		_, _ = tab.Apply(Operation{Version: 1, Kind: OpCreate, Instance: name, Target: fmt.Sprint("edge-", i%1000), Zone: fmt.Sprint("zone-", i%20), Weight: 5})
	}
	return tab
}

func BenchmarkApply(b *testing.B) {
	for _, n := range instanceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := newFilledTable(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ { // one complete migration
				p, _ := tab.Get(fmt.Sprint("camera-", i*7919%n))
				to := fmt.Sprint("edge-", (i*31+7)%1000)
				if to == p.Primary {
					continue
				}
				for _, op := range []Operation{{Kind: OpStartCopy, Target: to, CutOver: true}, {Kind: OpReplicaReady, Node: p.Primary, Target: to},
					{Kind: OpCutOver, Node: p.Primary, Target: to, Index: p.Index}, {Kind: OpDropReplica, Node: to, Target: p.Primary, Epoch: 1}} {
					op.Version, op.Instance, op.Epoch = 1, p.Instance, op.Epoch+p.Epoch
					if _, err := tab.Apply(op); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

func BenchmarkFreeze(b *testing.B) {
	for _, n := range instanceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := newFilledTable(n)
			for b.Loop() {
				tab.Freeze()
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range instanceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := newFilledTable(n)
			for b.Loop() {
				b.SetBytes(int64(len(tab.Snapshot())))
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range instanceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := newFilledTable(n).Snapshot()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if err := New().Restore(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSince(b *testing.B) {
	for _, n := range instanceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := newFilledTable(n)
			for b.Loop() {
				if len(tab.Since(tab.Version()-10).Assignments) != 10 {
					b.Fatal("Since did not return 10 assignments")
				}
			}
		})
	}
}
