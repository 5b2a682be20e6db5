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

func others(names ...string) (all []Record) {
	for _, name := range names {
		all = append(all, Record{Name: name, Role: "edge", Zone: "north"})
	}
	return all
}

func table(names ...string) *Table {
	return NewTable(0, Record{Name: "me", Role: "relay", Zone: "north", Incarnation: 5}, others(names...), map[string]any{"fleet.silence": 1.0})
}

func rec(name string, run, number uint64, news string) []byte {
	r := Record{Version: 1, Name: name, Role: "edge", Zone: "north", Incarnation: run, Sequence: number}
	if news != "" {
		r.Payloads = map[string][]byte{"load": []byte(news)}
	}
	text, _ := json.Marshal(r)
	return text
}

func (t *Table) of(name string) Member {
	all := t.Members(0)
	return all[slices.IndexFunc(all, func(m Member) bool { return m.Name == name })]
}

func want(t *testing.T, tab *Table, name string, s State) {
	t.Helper()
	if m := tab.of(name); m.State != s {
		t.Errorf("%s is %s since %d, not %s", name, m.State, m.StateSince, s)
	}
}

func TestDeadCutSlowAndAliveAreToldApart(t *testing.T) {
	tab := table("a", "b", "c", "d")
	for _, name := range []string{"a", "b", "c", "d"} {
		want(t, tab, name, StateSuspect)
		if err := tab.Merge(10*ms, rec(name, 1, 1, "")); err != nil {
			t.Fatal(err)
		}
		tab.RecordAck(20*ms, name, ms)
		want(t, tab, name, StateAlive)
	}
	for now := 100 * ms; now <= 6*tick.Second; now += 125 * ms {
		tab.RecordTimeout(now, "a") // dead
		tab.RecordTimeout(now, "b") // cut: its news goes on
		if now%tick.Second == 100*ms {
			_ = tab.Merge(now, rec("b", 1, uint64(now), ""))
		}
		tab.RecordAck(now, "c", 300*ms)
		tab.RecordAck(now, "d", ms)
		tab.Reassess(now)
		switch {
		case now > 1500*ms && now < 2800*ms:
			want(t, tab, "a", StateSuspect)
			want(t, tab, "b", StateUnreachable)
		case now > 3500*ms:
			want(t, tab, "a", StateDead)
			want(t, tab, "b", StateUnreachable)
			want(t, tab, "c", StateSlow)
		}
		want(t, tab, "d", StateAlive)
	}
	tab.RecordAck(7*tick.Second, "b", ms)
	want(t, tab, "b", StateAlive)
	tab.MarkDown(7*tick.Second, "d", false)
	want(t, tab, "d", StateDead)
	tab.RecordAck(7*tick.Second+ms, "d", ms) // the fleet was wrong
	want(t, tab, "d", StateAlive)
	tab.MarkDown(8*tick.Second, "d", true)
	want(t, tab, "d", StateLeft)
	_ = tab.Merge(9*tick.Second, rec("d", 2, 1, ""))
	want(t, tab, "d", StateAlive)
}

func TestARestartAnOldCopyAndAnUnknownOne(t *testing.T) {
	tab := table("a")
	_ = tab.Merge(0, rec("a", 7, 3, "x"))
	for _, c := range []struct {
		raw string
		err error
	}{
		{string(rec("a", 7, 3, "x")), ErrStale},
		{string(rec("a", 7, 2, "y")), ErrStale},
		{string(rec("a", 6, 9, "y")), ErrOldIncarnation},
		{string(rec("z", 1, 1, "")), ErrUnknownMember},
		{string(rec("a", 0, 1, "")), ErrMalformed},
		{"{", ErrMalformed},
		{string(rec("a", 9, 1, strings.Repeat("x", MaxRecordSize))), ErrMalformed},
	} {
		if err := tab.Merge(ms, []byte(c.raw)); !errors.Is(err, c.err) {
			t.Errorf("%.60s: %v", c.raw, err)
		}
	}
	if m := tab.of("a"); m.Incarnation != 7 || string(m.Payloads["load"]) != "x" {
		t.Errorf("%+v", m)
	}
	fresh := []byte(`{"v":2,"name":"a","role":"edge","zone":"south","run":8,"number":1,"fresh":true,"news":{"new":"eA=="},"more":[1]}`)
	if err := tab.Merge(2*ms, fresh); err != nil {
		t.Fatal(err)
	}
	if m := tab.of("a"); m.Incarnation != 8 || !m.StartedEmpty || m.Zone != "south" || string(m.Payloads["new"]) != "x" {
		t.Errorf("%+v", m)
	}
	if got := tab.Records(); len(got) != 2 || string(got[1]) != string(fresh) {
		t.Errorf("what a later version adds is lost: %s", got)
	}
	if tab.Superseded() {
		t.Error("outrun")
	}
	_ = tab.Merge(3*ms, rec("me", 4, 9, ""))
	if _ = tab.Merge(3*ms, rec("me", 5, 900, "")); tab.Superseded() {
		t.Error("an old copy of this one outruns it")
	}
	var own Record
	if _ = json.Unmarshal(tab.OwnRecord(), &own); own.Sequence <= 900 {
		t.Errorf("number %d: others would not believe it", own.Sequence)
	}
	if _ = tab.Merge(3*ms, rec("me", 6, 1, "")); !tab.Superseded() {
		t.Error("a later start of this one is known")
	}
}

func TestOwnNewsIsBounded(t *testing.T) {
	tab := table()
	for i := range MaxKinds {
		if err := tab.Publish(fmt.Sprint(i), make([]byte, MaxPayloadSize)); err != nil {
			t.Fatal(err)
		}
	}
	if tab.Publish("more", nil) == nil || tab.Publish("0", make([]byte, MaxPayloadSize+1)) == nil || tab.Publish("", nil) == nil {
		t.Error("too much is taken")
	}
	if n := len(tab.OwnRecord()); n > MaxRecordSize {
		t.Errorf("a record of %d bytes, which others refuse", n)
	}
	if err := tab.Publish("0", []byte("x")); err != nil {
		t.Error(err)
	}
	if !tab.Heartbeat(tick.Second) || tab.Heartbeat(tick.Second+ms) {
		t.Error("beats")
	}
}

// With many members news that change all the time are told no oftener than is borne by those who pass them on, few are
// asked in one turn, and few of those that live together ask one that is back for whole states.
func TestWhatAMemberSendsIsBoundedAtSize(t *testing.T) {
	for _, n := range []int{3, 100, 1000} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("n", i)
		}
		tab, told, asked, heard := table(names...), 0, 0, map[string]bool{}
		for i := range 80 * round { // 80 s
			_ = tab.Publish("load", []byte(fmt.Sprint(i)))
			if tab.Heartbeat(tick.Tick(i) * tab.ProbeInterval()) {
				told++
			}
			ask := tab.ProbeTargets()
			asked = max(asked, len(ask))
			for _, name := range ask {
				heard[name] = true
			}
		}
		if most := 80*paced/(1+n/large) + 1; told > most || told < min(most, 80*round)/2 || asked > mostAsked || len(heard) != n {
			t.Errorf("%d members: told %d times within 80 s, %d asked at once, %d in all", n, told, asked, len(heard))
		}
		all := 0.0
		for i := range 1000 {
			all += float64(SyncCount(n, n/2, float64(i)/1000)) * float64(n) / 1000
		}
		if all > rejoined+1 || all < min(rejoined, float64(n/2))-1 {
			t.Errorf("%d that live exchange %.1f whole states in a silence", n, all)
		}
	}
}

// A member that comes and goes is held back, each time longer; one that stays is believed again.
func TestOneThatFlapsIsHeldBack(t *testing.T) {
	tab := table("a")
	_ = tab.Merge(0, rec("a", 1, 1, ""))
	now, changes := tick.Tick(0), 0
	for range 30 { // 1.5 s gone, 1 s back
		for range 12 {
			now += 125 * ms
			tab.RecordTimeout(now, "a")
			tab.Reassess(now)
		}
		for range 8 {
			now += 125 * ms
			tab.RecordAck(now, "a", ms)
			tab.Reassess(now)
		}
	}
	for _, m := range tab.Changes() {
		if m.State == StateAlive {
			changes++
		}
	}
	if changes < 2 || changes > 6 {
		t.Errorf("alive %d times within 30 returns", changes)
	}
	want(t, tab, "a", StateSuspect)
	for range 40 * 8 {
		now += 125 * ms
		tab.RecordAck(now, "a", ms)
		tab.Reassess(now)
	}
	want(t, tab, "a", StateAlive)
}

// Whatever order records come in, repeated or not, and whatever is heard between, the newest one stands; runs never fall.
func TestAnyOrderOfRecordsEndsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raws := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) []byte {
			return rec(rapid.SampledFrom([]string{"a", "b", "me", "z"}).Draw(t, "name"), rapid.Uint64Range(0, 4).Draw(t, "run"),
				rapid.Uint64Range(1, 4).Draw(t, "number"), rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "news"))
		}), 1, 30).Draw(t, "records")
		one, two := table("a", "b"), table("a", "b")
		now := tick.Tick(0)
		for _, raw := range raws {
			before := one.of("a").Incarnation
			_ = one.Merge(now, raw)
			if one.of("a").Incarnation < before {
				t.Fatal("a run fell")
			}
		}
		mixed := rapid.Permutation(append(slices.Clone(raws), raws...)).Draw(t, "again")
		for _, raw := range mixed {
			now += rapid.SampledFrom([]tick.Tick{0, 100 * ms, 900 * ms, 5 * tick.Second}).Draw(t, "pause")
			name := rapid.SampledFrom([]string{"a", "b", "me", "z"}).Draw(t, "of")
			switch rapid.IntRange(0, 5).Draw(t, "between") {
			case 0:
				two.RecordAck(now, name, 10*ms)
			case 1:
				two.RecordTimeout(now, name)
			case 2:
				two.MarkDown(now, name, false)
			case 3:
				two.MarkUp(now, name)
			case 4:
				two.Reassess(now)
			}
			_ = two.Merge(now, raw)
		}
		for _, name := range []string{"a", "b"} {
			x, y := one.of(name), two.of(name)
			if x.Incarnation != y.Incarnation || string(x.Payloads["load"]) != string(y.Payloads["load"]) || one.all[name].number != two.all[name].number {
				t.Fatalf("%+v, not %+v", y, x)
			}
		}
		if one.Superseded() != two.Superseded() || len(two.Members(now)) != 3 || len(two.Records()) > 3 {
			t.Fatal("outrun, or more members than there are")
		}
		if me := two.of("me"); me.State != StateAlive || me.Incarnation != 5 {
			t.Fatalf("%+v", me)
		}
		// What goes on being well is alive in the end.
		for range 60 * round {
			now += two.ProbeInterval()
			_ = two.Merge(now, rec("a", 100, uint64(now), ""))
			two.RecordAck(now, "a", ms)
			two.Reassess(now)
		}
		if m := two.of("a"); m.State != StateAlive {
			t.Fatalf("%+v", m)
		}
		// What is not heard of any more is not alive.
		for range 5 * round {
			now += two.ProbeInterval()
			two.RecordTimeout(now, "a")
			two.Reassess(now)
		}
		if m := two.of("a"); m.State != StateDead {
			t.Fatalf("%+v", m)
		}
	})
}

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("edge-%05d", i)
			}
			var tab *Table
			raws := make([][]byte, max(n, 20_000))
			for i := range raws {
				raws[i] = rec(names[i%n], 1, uint64(1+i/n), "a few bytes of news")
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%len(raws) == 0 {
					b.StopTimer()
					tab = table(names...)
					b.StartTimer()
				}
				if err := tab.Merge(tick.Tick(i), raws[i%len(raws)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
