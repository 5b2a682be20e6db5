package leases

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

func newLessor() *Lessor {
	return New(Config{Seconds: 1, ClockDrift: 0.02})
}

func TestLessor_GrantsOneIncarnationUntilTheLeaseEnds(t *testing.T) {
	l := newLessor()
	if v, err := l.Request(100, "a", 5); v != ProposeIncarnation || err != nil {
		t.Fatalf("%v %v", v, err)
	}
	if _, err := l.Request(101, "a", 5); !errors.Is(err, ErrIncarnationPending) {
		t.Errorf("asked again while its incarnation is being agreed: %v", err)
	}
	l.OnIncarnationAgreed("a", 5)
	until, err := l.Grant(110, 100, "a", 5)
	if err != nil || until != 100+10401 {
		t.Fatalf("%v %v", until, err)
	}
	for _, c := range []struct {
		at          tick.Tick
		incarnation uint64
		want        error
	}{{200, 5, nil}, {200, 4, ErrStaleIncarnation}, {200, 6, ErrOtherIncarnation}, {until - 1, 6, ErrOtherIncarnation}} {
		if _, err := l.Request(c.at, "a", c.incarnation); !errors.Is(err, c.want) {
			t.Errorf("incarnation %d at %d: %v", c.incarnation, c.at, err)
		}
	}
	if next, ok := l.NextExpiry(); next != until || !ok {
		t.Errorf("%v %v", next, ok)
	}
	if over := l.Expired(until - 1); len(over) > 0 {
		t.Errorf("%v", over)
	}
	if over := l.Expired(until); !slices.Equal(over, []string{"a"}) {
		t.Errorf("%v", over)
	}
	if over := l.Expired(until + 1); len(over) > 0 {
		t.Errorf("named twice: %v", over)
	}
	if _, err := l.Grant(until+20000, until, "a", 5); !errors.Is(err, ErrExpired) {
		t.Errorf("a grant after its own end: %v", err)
	}
	if v, err := l.Request(until, "a", 6); v != ProposeIncarnation || err != nil {
		t.Errorf("%v %v", v, err)
	}
	if _, err := l.Grant(until+1, until, "a", 5); !errors.Is(err, ErrIncarnationPending) {
		t.Errorf("the earlier incarnation while the later is being agreed: %v", err)
	}
	l.OnIncarnationDropped("a")
	if _, err := l.Grant(until+1, until, "a", 5); err != nil {
		t.Errorf("the later incarnation was not agreed: %v", err)
	}
}

func TestLessor_OnElectedCountsAllAsRenewed(t *testing.T) {
	l := newLessor()
	l.OnElected(500, map[string]uint64{"b": 2, "a": 1})
	if _, err := l.Request(501, "a", 2); !errors.Is(err, ErrOtherIncarnation) {
		t.Errorf("another incarnation right after: %v", err)
	}
	if v, err := l.Request(501, "a", 1); v != Renew || err != nil {
		t.Errorf("%v %v", v, err)
	}
	if over := l.Expired(500 + 10401); !slices.Equal(over, []string{"a", "b"}) {
		t.Errorf("%v", over)
	}
}

func TestLessor_ExpectRenewalNamesAnAbsentNode(t *testing.T) {
	l := newLessor()
	l.ExpectRenewal(100, "a")
	if v, err := l.Request(101, "a", 1); v != ProposeIncarnation || err != nil {
		t.Errorf("its first incarnation has not to wait: %v %v", v, err)
	}
	l.OnIncarnationDropped("a")
	if over := l.Expired(100 + 10401); !slices.Equal(over, []string{"a"}) {
		t.Errorf("%v", over)
	}
}

// TestLessor_NoNodeActsAfterItsLease drives a lessor and nodes whose clocks drift, with leaders that change, and
// compares what a node believes with what the lessor says, at each moment of true time.
func TestLessor_NoNodeActsAfterItsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease, drift = 10000.0, 0.02
		rate := map[string]float64{}
		for _, who := range []string{"k1", "k2", "u1", "u2"} { // u1 and u2 are two incarnations of one name
			rate[who] = 1 + rapid.SampledFrom([]float64{-drift / 2, 0, drift / 2}).Draw(t, who)
		}
		clock := func(who string, now float64) tick.Tick { return tick.Tick(now * rate[who]) }
		agreed := map[string]uint64{}
		leader := "k1"
		l := newLessor()
		l.OnElected(clock(leader, 0), agreed)
		until := map[string]tick.Tick{} // by the node's own clock
		now := 0.0
		acts := func(u string) bool { return clock(u, now) < until[u] }
		type request struct {
			node string
			sent tick.Tick
		}
		var underWay []request
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Float64Range(0, lease/2).Draw(t, "passes")
			if end := float64(until["u1"]-2) / rate["u1"]; end > now && rapid.Bool().Draw(t, "to its end") {
				now = end
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				u := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "unit")
				underWay = append(underWay, request{u, clock(u, now)})
			case 3, 4:
				if len(underWay) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(underWay)-1).Draw(t, "comes")
				r := underWay[n]
				underWay = slices.Delete(underWay, n, n+1)
				incarnation := uint64(r.node[1] - '0')
				came := clock(leader, now)
				v, err := l.Request(came, "u", incarnation)
				if err != nil {
					continue
				}
				if v == ProposeIncarnation {
					agreed["u"] = incarnation
					l.OnIncarnationAgreed("u", incarnation)
				}
				if _, err = l.Grant(came, came, "u", incarnation); err == nil {
					until[r.node] = max(until[r.node], r.sent+tick.Tick(lease))
				}
			case 5:
				leader = map[string]string{"k1": "k2", "k2": "k1"}[leader]
				l = newLessor()
				l.OnElected(clock(leader, now), agreed)
			}
			if acts("u1") && acts("u2") {
				t.Fatalf("step %d: two incarnations act", i)
			}
			if _, active := l.LeaseEnd(clock(leader, now), "u"); !active && (acts("u1") || acts("u2")) {
				t.Fatalf("step %d: it acts, and the controller counts its lease as over", i)
			}
		}
	})
}

func BenchmarkLessor_Expired(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLessor()
			for i := range n {
				name := fmt.Sprint("edge-", i)
				_, _ = l.Request(0, name, 1)
				l.OnIncarnationAgreed(name, 1)
				_, _ = l.Grant(0, 0, name, 1)
			}
			for b.Loop() {
				l.Expired(1)
				l.NextExpiry()
			}
		})
	}
}

// A node that was expected while it was away is let in at once under its next incarnation: its lease is over, whatever was
// agreed about its instances meanwhile.
func TestLessor_ExpectedNodeHasNoLease(t *testing.T) {
	l := newLessor()
	_, _ = l.Request(0, "a", 1)
	l.OnIncarnationAgreed("a", 1)
	until, _ := l.Grant(1, 0, "a", 1)
	if over := l.Expired(until); !slices.Equal(over, []string{"a"}) {
		t.Fatal(over)
	}
	l.ExpectRenewal(until+1, "a")
	if _, active := l.LeaseEnd(until+2, "a"); active {
		t.Error("it may act, as it is expected")
	}
	if v, err := l.Request(until+2, "a", 2); v != ProposeIncarnation || err != nil {
		t.Errorf("%v %v", v, err)
	}
	if next, ok := l.NextExpiry(); !ok || next < until+1+tick.Second {
		t.Errorf("%d %v: not named where it does not come", next, ok)
	}
}

// However many nodes report, an operation has no more than maxCountsPerOperation counts, what is left follows at once, and
// what was not agreed is due again unless there is a newer count.
func TestRecordCounts_AreAgreedInBoundedOperations(t *testing.T) {
	c := NewRecordCounts(0, Config{Seconds: 1}, nil)
	const nodes = 2*maxCountsPerOperation + 10
	for i := range nodes {
		c.Report(fmt.Sprint("edge-", i), 7)
	}
	agreed := map[string]uint64{}
	if some := c.Due(tick.Second - 1); some != nil {
		t.Errorf("%d are due early", len(some))
	}
	for n := 0; ; n++ {
		some := c.Due(tick.Second)
		if some == nil {
			break
		}
		if n == 0 { // it was not agreed, and one node reported more meanwhile
			c.Report("edge-0", 8)
			c.Requeue(some)
			continue
		}
		if len(some) > maxCountsPerOperation || n > 3 {
			t.Fatalf("entry %d has %d", n, len(some))
		}
		MergeRecordCounts(agreed, some)
	}
	if _, more := c.NextDue(); more || len(agreed) != nodes || agreed["edge-0"] != 8 {
		t.Errorf("%d are agreed, of edge-0 %d; more are due: %v", len(agreed), agreed["edge-0"], more)
	}
}
