package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

const ms = tick.Second / 1000

func edgeRecords(names ...string) (all []Record) {
	for _, name := range names {
		all = append(all, Record{Name: name, Role: "edge", Zone: "north"})
	}
	return all
}

func newTestTable(names ...string) *Table {
	return NewTable(0, Record{Name: "me", Role: "relay", Zone: "north", Incarnation: 5}, edgeRecords(names...), map[string]any{"fleet.silence": 1.0})
}

func encodeRecord(name string, incarnation, sequence uint64, payload string) []byte {
	r := Record{Version: 1, Name: name, Role: "edge", Zone: "north", Incarnation: incarnation, Sequence: sequence}
	if payload != "" {
		r.Payloads = map[string][]byte{"load": []byte(payload)}
	}
	text, _ := json.Marshal(r)
	return text
}

func (t *Table) memberNamed(name string) Member {
	all := t.Members(0)
	return all[slices.IndexFunc(all, func(m Member) bool { return m.Name == name })]
}

func wantState(t *testing.T, table *Table, name string, s State) {
	t.Helper()
	if m := table.memberNamed(name); m.State != s {
		t.Errorf("%s is %s since %d, not %s", name, m.State, m.StateSince, s)
	}
}

func TestTable_States(t *testing.T) {
	table := newTestTable("a", "b", "c", "d")
	for _, name := range []string{"a", "b", "c", "d"} {
		wantState(t, table, name, StateSuspect)
		if err := table.Merge(10*ms, encodeRecord(name, 1, 1, "")); err != nil {
			t.Fatal(err)
		}
		table.RecordReply(20*ms, name, ms)
		wantState(t, table, name, StateAlive)
	}
	for now := 100 * ms; now <= 6*tick.Second; now += 125 * ms {
		table.RecordTimeout(now, "a") // a becomes dead
		table.RecordTimeout(now, "b") // b becomes unreachable and not dead, because its records still arrive by Merge
		if now%tick.Second == 100*ms {
			_ = table.Merge(now, encodeRecord("b", 1, uint64(now), ""))
		}
		table.RecordReply(now, "c", 300*ms)
		table.RecordReply(now, "d", ms)
		table.Reassess(now)
		switch {
		case now > 1500*ms && now < 2800*ms:
			wantState(t, table, "a", StateSuspect)
			wantState(t, table, "b", StateUnreachable)
		case now > 3500*ms:
			wantState(t, table, "a", StateDead)
			wantState(t, table, "b", StateUnreachable)
			wantState(t, table, "c", StateSlow)
		}
		wantState(t, table, "d", StateAlive)
	}
	table.RecordReply(7*tick.Second, "b", ms)
	wantState(t, table, "b", StateAlive)
	table.MarkDown(7*tick.Second, "d", false)
	wantState(t, table, "d", StateDead)
	table.RecordReply(7*tick.Second+ms, "d", ms) // MarkDown marked d as dead, and this answer shows that d is alive
	wantState(t, table, "d", StateAlive)
	table.MarkDown(8*tick.Second, "d", true)
	wantState(t, table, "d", StateLeft)
	_ = table.Merge(9*tick.Second, encodeRecord("d", 2, 1, ""))
	wantState(t, table, "d", StateAlive)
}

func TestMerge_RestartsOldCopiesAndUnknownMembers(t *testing.T) {
	table := newTestTable("a")
	_ = table.Merge(0, encodeRecord("a", 7, 3, "x"))
	for _, c := range []struct {
		raw string
		err error
	}{
		{string(encodeRecord("a", 7, 3, "x")), ErrStale},
		{string(encodeRecord("a", 7, 2, "y")), ErrStale},
		{string(encodeRecord("a", 6, 9, "y")), ErrOldIncarnation},
		{string(encodeRecord("z", 1, 1, "")), ErrUnknownMember},
		{string(encodeRecord("a", 0, 1, "")), ErrMalformed},
		{"{", ErrMalformed},
		{string(encodeRecord("a", 9, 1, strings.Repeat("x", MaxRecordSize))), ErrMalformed},
	} {
		if err := table.Merge(ms, []byte(c.raw)); !errors.Is(err, c.err) {
			t.Errorf("%.60s: %v", c.raw, err)
		}
	}
	if m := table.memberNamed("a"); m.Incarnation != 7 || string(m.Payloads["load"]) != "x" {
		t.Errorf("%+v", m)
	}
	fresh := []byte(`{"v":2,"name":"a","role":"edge","zone":"south","run":8,"number":1,"fresh":true,"news":{"new":"eA=="},"more":[1]}`)
	if err := table.Merge(2*ms, fresh); err != nil {
		t.Fatal(err)
	}
	if m := table.memberNamed("a"); m.Incarnation != 8 || !m.StartedEmpty || m.Zone != "south" || string(m.Payloads["new"]) != "x" {
		t.Errorf("%+v", m)
	}
	if got := table.Records(); len(got) != 2 || string(got[1]) != string(fresh) {
		t.Errorf("the fields of a later version are lost: %s", got)
	}
	if table.Superseded() {
		t.Error("this process is superseded although no later start of it is known")
	}
	_ = table.Merge(3*ms, encodeRecord("me", 4, 9, ""))
	if _ = table.Merge(3*ms, encodeRecord("me", 5, 900, "")); table.Superseded() {
		t.Error("an old copy supersedes this process")
	}
	var own Record
	if _ = json.Unmarshal(table.OwnRecord(), &own); own.Sequence <= 900 {
		t.Errorf("sequence %d: other members would refuse the record as stale", own.Sequence)
	}
	if _ = table.Merge(3*ms, encodeRecord("me", 6, 1, "")); !table.Superseded() {
		t.Error("a later start of this process does not supersede it")
	}
}

func TestPublish_IsBounded(t *testing.T) {
	table := newTestTable()
	for i := range MaxKinds {
		if err := table.Publish(fmt.Sprint(i), make([]byte, MaxPayloadSize)); err != nil {
			t.Fatal(err)
		}
	}
	if table.Publish("more", nil) == nil || table.Publish("0", make([]byte, MaxPayloadSize+1)) == nil || table.Publish("", nil) == nil {
		t.Error("a payload beyond the limits is accepted")
	}
	if n := len(table.OwnRecord()); n > MaxRecordSize {
		t.Errorf("a record of %d bytes, which is above MaxRecordSize", n)
	}
	if err := table.Publish("0", []byte("x")); err != nil {
		t.Error(err)
	}
	if !table.Heartbeat(tick.Second) || table.Heartbeat(tick.Second+ms) {
		t.Error("Heartbeat is false when the record is due, or true right after the record was renewed")
	}
}

// TestTable_LoadIsBoundedAtSize: the load on a large fleet stays bounded. A record whose payloads change all the time
// is sent at most payloadSendsPerHeartbeat times within a heartbeat period, and at most maxTargets members are probed
// in one round. All live members together make at most about fleetSyncs exchanges of whole states within a silence
// timeout.
func TestTable_LoadIsBoundedAtSize(t *testing.T) {
	for _, n := range []int{3, 100, 1000} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("n", i)
		}
		table, sent, probed, probedNames := newTestTable(names...), 0, 0, map[string]bool{}
		for i := range 80 * probesPerSilence { // 80 s of simulated time
			_ = table.Publish("load", []byte(fmt.Sprint(i)))
			if table.Heartbeat(tick.Tick(i) * table.ProbeInterval()) {
				sent++
			}
			targets := table.ProbeTargets()
			probed = max(probed, len(targets))
			for _, name := range targets {
				probedNames[name] = true
			}
		}
		if maxSent := 80*payloadSendsPerHeartbeat/(1+n/membersPerSilence) + 1; sent > maxSent || sent < min(maxSent, 80*probesPerSilence)/2 || probed > maxTargets || len(probedNames) != n {
			t.Errorf("%d members: the record was sent %d times within 80 s, at most %d members were probed in one round, and %d members in all", n, sent, probed, len(probedNames))
		}
		syncs := 0.0
		for i := range 1000 {
			syncs += float64(SyncCount(n, n/2, float64(i)/1000)) * float64(n) / 1000
		}
		if syncs > fleetSyncs+1 || syncs < min(fleetSyncs, float64(n/2))-1 {
			t.Errorf("%d live members exchange %.1f whole states within a silence timeout", n, syncs)
		}
	}
}

// TestTable_FlappingMemberIsHeldBack: if a member repeatedly stops answering and recovers, it stays suspect for longer
// each time. It becomes alive again once it keeps answering.
func TestTable_FlappingMemberIsHeldBack(t *testing.T) {
	table := newTestTable("a")
	_ = table.Merge(0, encodeRecord("a", 1, 1, ""))
	now, changes := tick.Tick(0), 0
	for range 30 { // the member answers no probe for 1.5 s, and then each probe for 1 s
		for range 12 {
			now += 125 * ms
			table.RecordTimeout(now, "a")
			table.Reassess(now)
		}
		for range 8 {
			now += 125 * ms
			table.RecordReply(now, "a", ms)
			table.Reassess(now)
		}
	}
	for _, m := range table.Changes() {
		if m.State == StateAlive {
			changes++
		}
	}
	if changes < 2 || changes > 6 {
		t.Errorf("the member became alive %d times within 30 recoveries, want 2 to 6", changes)
	}
	wantState(t, table, "a", StateSuspect)
	for range 40 * 8 {
		now += 125 * ms
		table.RecordReply(now, "a", ms)
		table.Reassess(now)
	}
	wantState(t, table, "a", StateAlive)
}

// TestMerge_AnyOrderEndsTheSame: two tables that receive the same records in different orders keep the same newest
// records, even if one of them receives records repeatedly and has other events between them. Incarnations never
// decrease.
func TestMerge_AnyOrderEndsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raws := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) []byte {
			return encodeRecord(rapid.SampledFrom([]string{"a", "b", "me", "z"}).Draw(t, "name"), rapid.Uint64Range(0, 4).Draw(t, "run"),
				rapid.Uint64Range(1, 4).Draw(t, "number"), rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "news"))
		}), 1, 30).Draw(t, "records")
		ordered, shuffled := newTestTable("a", "b"), newTestTable("a", "b")
		now := tick.Tick(0)
		for _, raw := range raws {
			before := ordered.memberNamed("a").Incarnation
			_ = ordered.Merge(now, raw)
			if ordered.memberNamed("a").Incarnation < before {
				t.Fatal("an incarnation decreased")
			}
		}
		mixed := rapid.Permutation(append(slices.Clone(raws), raws...)).Draw(t, "again")
		for _, raw := range mixed {
			now += rapid.SampledFrom([]tick.Tick{0, 100 * ms, 900 * ms, 5 * tick.Second}).Draw(t, "pause")
			name := rapid.SampledFrom([]string{"a", "b", "me", "z"}).Draw(t, "of")
			switch rapid.IntRange(0, 5).Draw(t, "between") {
			case 0:
				shuffled.RecordReply(now, name, 10*ms)
			case 1:
				shuffled.RecordTimeout(now, name)
			case 2:
				shuffled.MarkDown(now, name, false)
			case 3:
				shuffled.MarkUp(now, name)
			case 4:
				shuffled.Reassess(now)
			}
			_ = shuffled.Merge(now, raw)
		}
		for _, name := range []string{"a", "b"} {
			x, y := ordered.memberNamed(name), shuffled.memberNamed(name)
			if x.Incarnation != y.Incarnation || string(x.Payloads["load"]) != string(y.Payloads["load"]) || ordered.entries[name].sequence != shuffled.entries[name].sequence {
				t.Fatalf("%+v, not %+v", y, x)
			}
		}
		if ordered.Superseded() != shuffled.Superseded() || len(shuffled.Members(now)) != 3 || len(shuffled.Records()) > 3 {
			t.Fatal("Superseded differs between the tables, or a table has too many members or records")
		}
		if me := shuffled.memberNamed("me"); me.State != StateAlive || me.Incarnation != 5 {
			t.Fatalf("%+v", me)
		}
		// A member that stays healthy becomes alive.
		for range 60 * probesPerSilence {
			now += shuffled.ProbeInterval()
			_ = shuffled.Merge(now, encodeRecord("a", 100, uint64(now), ""))
			shuffled.RecordReply(now, "a", ms)
			shuffled.Reassess(now)
		}
		if m := shuffled.memberNamed("a"); m.State != StateAlive {
			t.Fatalf("%+v", m)
		}
		// A member without any sign of life becomes dead.
		for range 5 * probesPerSilence {
			now += shuffled.ProbeInterval()
			shuffled.RecordTimeout(now, "a")
			shuffled.Reassess(now)
		}
		if m := shuffled.memberNamed("a"); m.State != StateDead {
			t.Fatalf("%+v", m)
		}
	})
}

func BenchmarkTable_Merge(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("edge-%05d", i)
			}
			var table *Table
			raws := make([][]byte, max(n, 20_000))
			for i := range raws {
				raws[i] = encodeRecord(names[i%n], 1, uint64(1+i/n), "a few bytes of news")
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%len(raws) == 0 {
					b.StopTimer()
					table = newTestTable(names...)
					b.StartTimer()
				}
				if err := table.Merge(tick.Tick(i), raws[i%len(raws)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
