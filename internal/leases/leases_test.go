package leases

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

func book() *Lessor {
	return New(map[string]any{"fleet.lease": 1.0, "fleet.drift": 0.02})
}

func TestALeaseIsGrantedHeldAndOver(t *testing.T) {
	b := book()
	if v, err := b.Request(100, "a", 5); v != ProposeIncarnation || err != nil {
		t.Fatalf("%v %v", v, err)
	}
	if _, err := b.Request(101, "a", 5); !errors.Is(err, ErrIncarnationPending) {
		t.Errorf("asked again while its run is being agreed: %v", err)
	}
	b.OnIncarnationAgreed("a", 5)
	until, err := b.Grant(110, 100, "a", 5)
	if err != nil || until != 100+10401 {
		t.Fatalf("%v %v", until, err)
	}
	for _, c := range []struct {
		at   tick.Tick
		run  uint64
		want error
	}{{200, 5, nil}, {200, 4, ErrStaleIncarnation}, {200, 6, ErrOtherIncarnation}, {until - 1, 6, ErrOtherIncarnation}} {
		if _, err := b.Request(c.at, "a", c.run); !errors.Is(err, c.want) {
			t.Errorf("run %d at %d: %v", c.run, c.at, err)
		}
	}
	if next, any := b.NextExpiry(); next != until || !any {
		t.Errorf("%v %v", next, any)
	}
	if over := b.Expired(until - 1); len(over) > 0 {
		t.Errorf("%v", over)
	}
	if over := b.Expired(until); !slices.Equal(over, []string{"a"}) {
		t.Errorf("%v", over)
	}
	if over := b.Expired(until + 1); len(over) > 0 {
		t.Errorf("told twice: %v", over)
	}
	if _, err := b.Grant(until+20000, until, "a", 5); !errors.Is(err, ErrExpired) {
		t.Errorf("a grant after its own end: %v", err)
	}
	if v, err := b.Request(until, "a", 6); v != ProposeIncarnation || err != nil {
		t.Errorf("%v %v", v, err)
	}
	if _, err := b.Grant(until+1, until, "a", 5); !errors.Is(err, ErrIncarnationPending) {
		t.Errorf("the earlier run while the later is being agreed: %v", err)
	}
	b.OnIncarnationDropped("a")
	if _, err := b.Grant(until+1, until, "a", 5); err != nil {
		t.Errorf("the later run was not agreed: %v", err)
	}
}

func TestANewLeaderCountsAllAsRenewed(t *testing.T) {
	b := book()
	b.OnElected(500, map[string]uint64{"b": 2, "a": 1})
	if _, err := b.Request(501, "a", 2); !errors.Is(err, ErrOtherIncarnation) {
		t.Errorf("another run right after: %v", err)
	}
	if v, err := b.Request(501, "a", 1); v != Renew || err != nil {
		t.Errorf("%v %v", v, err)
	}
	if over := b.Expired(500 + 10401); !slices.Equal(over, []string{"a", "b"}) {
		t.Errorf("%v", over)
	}
}

func TestAUnitThatIsGivenWorkAndNeverComesIsTold(t *testing.T) {
	b := book()
	b.ExpectRenewal(100, "a")
	if v, err := b.Request(101, "a", 1); v != ProposeIncarnation || err != nil {
		t.Errorf("its first run has not to wait: %v %v", v, err)
	}
	b.OnIncarnationDropped("a")
	if over := b.Expired(100 + 10401); !slices.Equal(over, []string{"a"}) {
		t.Errorf("%v", over)
	}
}

// TestNobodyActsWhenOver drives a book and units whose clocks drift, with leaders that change, and holds what a unit
// believes against what the book says, at each moment of true time.
func TestNobodyActsWhenOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease, drift = 10000.0, 0.02
		rate := map[string]float64{}
		for _, who := range []string{"k1", "k2", "u1", "u2"} { // u1 and u2 are two runs of one name
			rate[who] = 1 + rapid.SampledFrom([]float64{-drift / 2, 0, drift / 2}).Draw(t, who)
		}
		clock := func(who string, now float64) tick.Tick { return tick.Tick(now * rate[who]) }
		agreed := map[string]uint64{}
		leader := "k1"
		b := book()
		b.OnElected(clock(leader, 0), agreed)
		until := map[string]tick.Tick{} // by the unit's own clock
		now := 0.0
		acts := func(u string) bool { return clock(u, now) < until[u] }
		type ask struct {
			unit string
			sent tick.Tick
			came tick.Tick
			led  string
		}
		var way []ask
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Float64Range(0, lease/2).Draw(t, "passes")
			if end := float64(until["u1"]-2) / rate["u1"]; end > now && rapid.Bool().Draw(t, "to its end") {
				now = end
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				u := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "unit")
				way = append(way, ask{u, clock(u, now), 0, ""})
			case 3, 4:
				if len(way) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(way)-1).Draw(t, "comes")
				a := way[n]
				way = slices.Delete(way, n, n+1)
				run := uint64(a.unit[1] - '0')
				came := clock(leader, now)
				v, err := b.Request(came, "u", run)
				if err != nil {
					continue
				}
				if v == ProposeIncarnation {
					agreed["u"] = run
					b.OnIncarnationAgreed("u", run)
				}
				if _, err = b.Grant(came, came, "u", run); err == nil {
					until[a.unit] = max(until[a.unit], a.sent+tick.Tick(lease))
				}
			case 5:
				leader = map[string]string{"k1": "k2", "k2": "k1"}[leader]
				b = book()
				b.OnElected(clock(leader, now), agreed)
			}
			if acts("u1") && acts("u2") {
				t.Fatalf("step %d: two runs act", i)
			}
			if _, held := b.LeaseEnd(clock(leader, now), "u"); !held && (acts("u1") || acts("u2")) {
				t.Fatalf("step %d: it acts, and the keeper counts its lease as over", i)
			}
		}
	})
}

func BenchmarkOver(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := book()
			for i := range n {
				name := fmt.Sprint("edge-", i)
				_, _ = k.Request(0, name, 1)
				k.OnIncarnationAgreed(name, 1)
				_, _ = k.Grant(0, 0, name, 1)
			}
			for b.Loop() {
				k.Expired(1)
				k.NextExpiry()
			}
		})
	}
}

// A unit that was expected while it was away is let in at once under its next run: its lease is over, whatever was agreed
// about its instances meanwhile.
func TestWhatIsExpectedIsNoLease(t *testing.T) {
	b := book()
	_, _ = b.Request(0, "a", 1)
	b.OnIncarnationAgreed("a", 1)
	until, _ := b.Grant(1, 0, "a", 1)
	if over := b.Expired(until); !slices.Equal(over, []string{"a"}) {
		t.Fatal(over)
	}
	b.ExpectRenewal(until+1, "a")
	if _, held := b.LeaseEnd(until+2, "a"); held {
		t.Error("it may act, as it is expected")
	}
	if v, err := b.Request(until+2, "a", 2); v != ProposeIncarnation || err != nil {
		t.Errorf("%v %v", v, err)
	}
	if next, any := b.NextExpiry(); !any || next < until+1+tick.Second {
		t.Errorf("%d %v: not told as over where it does not come", next, any)
	}
}

// However many units tell, an entry has no more than mostMarks, what is left follows at once, and what was not agreed is due
// again unless there is a newer count.
func TestMarksAreAgreedInBoundedEntries(t *testing.T) {
	m := NewRecordCounts(0, map[string]any{"fleet.lease": 1.0}, nil)
	const units = 2*mostMarks + 10
	for i := range units {
		m.Report(fmt.Sprint("edge-", i), 7)
	}
	agreed := map[string]uint64{}
	if some := m.Due(tick.Second - 1); some != nil {
		t.Errorf("%d are due early", len(some))
	}
	for n := 0; ; n++ {
		some := m.Due(tick.Second)
		if some == nil {
			break
		}
		if n == 0 { // it was not agreed, and one unit told more meanwhile
			m.Report("edge-0", 8)
			m.Requeue(some)
			continue
		}
		if len(some) > mostMarks || n > 3 {
			t.Fatalf("entry %d has %d", n, len(some))
		}
		MergeRecordCounts(agreed, some)
	}
	if _, any := m.NextDue(); any || len(agreed) != units || agreed["edge-0"] != 8 {
		t.Errorf("%d are agreed, of edge-0 %d; more are due: %v", len(agreed), agreed["edge-0"], any)
	}
}
