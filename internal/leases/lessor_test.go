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
	if decision, err := l.Request(100, "a", 5); decision != ProposeIncarnation || err != nil {
		t.Fatalf("%v %v", decision, err)
	}
	if _, err := l.Request(101, "a", 5); !errors.Is(err, ErrIncarnationPending) {
		t.Errorf("repeated request while its incarnation is being agreed: %v", err)
	}
	l.OnIncarnationAgreed("a", 5)
	leaseEnd, err := l.Grant(110, 100, "a", 5)
	if err != nil || leaseEnd != 100+10401 {
		t.Fatalf("%v %v", leaseEnd, err)
	}
	for _, c := range []struct {
		at          tick.Tick
		incarnation uint64
		want        error
	}{{200, 5, nil}, {200, 4, ErrStaleIncarnation}, {200, 6, ErrOtherIncarnation}, {leaseEnd - 1, 6, ErrOtherIncarnation}} {
		if _, err := l.Request(c.at, "a", c.incarnation); !errors.Is(err, c.want) {
			t.Errorf("incarnation %d at %d: %v", c.incarnation, c.at, err)
		}
	}
	if next, ok := l.NextExpiry(); next != leaseEnd || !ok {
		t.Errorf("%v %v", next, ok)
	}
	if expired := l.Expired(leaseEnd - 1); len(expired) > 0 {
		t.Errorf("%v", expired)
	}
	if expired := l.Expired(leaseEnd); !slices.Equal(expired, []string{"a"}) {
		t.Errorf("%v", expired)
	}
	if expired := l.Expired(leaseEnd + 1); len(expired) > 0 {
		t.Errorf("an expired node was returned twice: %v", expired)
	}
	if _, err := l.Grant(leaseEnd+20000, leaseEnd, "a", 5); !errors.Is(err, ErrExpired) {
		t.Errorf("grant of a lease that is already over: %v", err)
	}
	if decision, err := l.Request(leaseEnd, "a", 6); decision != ProposeIncarnation || err != nil {
		t.Errorf("%v %v", decision, err)
	}
	if _, err := l.Grant(leaseEnd+1, leaseEnd, "a", 5); !errors.Is(err, ErrIncarnationPending) {
		t.Errorf("grant to the earlier incarnation while the later one is being agreed: %v", err)
	}
	l.OnIncarnationDropped("a")
	if _, err := l.Grant(leaseEnd+1, leaseEnd, "a", 5); err != nil {
		t.Errorf("grant to the earlier incarnation after the later one was not agreed: %v", err)
	}
}

func TestLessor_OnElectedCountsAllAsRenewed(t *testing.T) {
	l := newLessor()
	l.OnElected(500, map[string]uint64{"b": 2, "a": 1})
	if _, err := l.Request(501, "a", 2); !errors.Is(err, ErrOtherIncarnation) {
		t.Errorf("request of another incarnation right after the election: %v", err)
	}
	if decision, err := l.Request(501, "a", 1); decision != Renew || err != nil {
		t.Errorf("%v %v", decision, err)
	}
	if expired := l.Expired(500 + 10401); !slices.Equal(expired, []string{"a", "b"}) {
		t.Errorf("%v", expired)
	}
}

func TestLessor_ExpectRenewalNamesAnAbsentNode(t *testing.T) {
	l := newLessor()
	l.ExpectRenewal(100, "a")
	if decision, err := l.Request(101, "a", 1); decision != ProposeIncarnation || err != nil {
		t.Errorf("the first incarnation of an expected node has to wait: %v %v", decision, err)
	}
	l.OnIncarnationDropped("a")
	if expired := l.Expired(100 + 10401); !slices.Equal(expired, []string{"a"}) {
		t.Errorf("%v", expired)
	}
}

// TestLessor_NoNodeActsAfterItsLease runs a lessor and two incarnations of a node on drifting clocks, with changing leaders.
// After each step it checks that at most one incarnation may act, and that no incarnation may act after its lease has expired
// by the lessor's clock.
func TestLessor_NoNodeActsAfterItsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease, drift = 10000.0, 0.02
		rate := map[string]float64{}
		for _, process := range []string{"k1", "k2", "u1", "u2"} { // k1 and k2 are controllers, u1 and u2 are two incarnations of the node u
			rate[process] = 1 + rapid.SampledFrom([]float64{-drift / 2, 0, drift / 2}).Draw(t, process)
		}
		clock := func(process string, now float64) tick.Tick { return tick.Tick(now * rate[process]) }
		agreed := map[string]uint64{}
		leader := "k1"
		l := newLessor()
		l.OnElected(clock(leader, 0), agreed)
		leaseEnd := map[string]tick.Tick{} // end of each incarnation's lease, by its own clock
		now := 0.0
		mayAct := func(node string) bool { return clock(node, now) < leaseEnd[node] }
		type request struct {
			node string
			sent tick.Tick
		}
		var inFlight []request
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Float64Range(0, lease/2).Draw(t, "passes")
			if end := float64(leaseEnd["u1"]-2) / rate["u1"]; end > now && rapid.Bool().Draw(t, "to its end") {
				now = end
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				node := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "unit")
				inFlight = append(inFlight, request{node, clock(node, now)})
			case 3, 4:
				if len(inFlight) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(inFlight)-1).Draw(t, "comes")
				r := inFlight[n]
				inFlight = slices.Delete(inFlight, n, n+1)
				incarnation := uint64(r.node[1] - '0')
				receivedAt := clock(leader, now)
				decision, err := l.Request(receivedAt, "u", incarnation)
				if err != nil {
					continue
				}
				if decision == ProposeIncarnation {
					agreed["u"] = incarnation
					l.OnIncarnationAgreed("u", incarnation)
				}
				if _, err = l.Grant(receivedAt, receivedAt, "u", incarnation); err == nil {
					leaseEnd[r.node] = max(leaseEnd[r.node], r.sent+tick.Tick(lease))
				}
			case 5:
				leader = map[string]string{"k1": "k2", "k2": "k1"}[leader]
				l = newLessor()
				l.OnElected(clock(leader, now), agreed)
			}
			if mayAct("u1") && mayAct("u2") {
				t.Fatalf("step %d: two incarnations may act at the same time", i)
			}
			if _, active := l.LeaseEnd(clock(leader, now), "u"); !active && (mayAct("u1") || mayAct("u2")) {
				t.Fatalf("step %d: an incarnation may act, but its lease has expired on the controller", i)
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

// TestLessor_ExpectedNodeHasNoLease guards against a call of ExpectRenewal that has the effect of a lease. The next
// incarnation of a node whose lease has expired must be admitted without a wait, even if instances were assigned to the node
// after the expiry.
func TestLessor_ExpectedNodeHasNoLease(t *testing.T) {
	l := newLessor()
	_, _ = l.Request(0, "a", 1)
	l.OnIncarnationAgreed("a", 1)
	leaseEnd, _ := l.Grant(1, 0, "a", 1)
	if expired := l.Expired(leaseEnd); !slices.Equal(expired, []string{"a"}) {
		t.Fatal(expired)
	}
	l.ExpectRenewal(leaseEnd+1, "a")
	if _, active := l.LeaseEnd(leaseEnd+2, "a"); active {
		t.Error("an expected node without a lease may act")
	}
	if decision, err := l.Request(leaseEnd+2, "a", 2); decision != ProposeIncarnation || err != nil {
		t.Errorf("%v %v", decision, err)
	}
	if next, ok := l.NextExpiry(); !ok || next < leaseEnd+1+tick.Second {
		t.Errorf("an expected node that sends no request has the next expiry %d, %v", next, ok)
	}
}

// TestRecordCounts_AreAgreedInBoundedOperations checks that an operation has at most maxCountsPerOperation counts even if more
// nodes have reported, and that the remaining counts are due at once. After Requeue, counts that were not agreed must be due
// again. If a node has reported a newer count before Requeue, the newer count must be due instead.
func TestRecordCounts_AreAgreedInBoundedOperations(t *testing.T) {
	c := NewRecordCounts(0, Config{Seconds: 1}, nil)
	const nodes = 2*maxCountsPerOperation + 10
	for i := range nodes {
		c.Report(fmt.Sprint("edge-", i), 7)
	}
	agreed := map[string]uint64{}
	if counts := c.Due(tick.Second - 1); counts != nil {
		t.Errorf("%d counts are due before the interval has passed", len(counts))
	}
	for n := 0; ; n++ {
		counts := c.Due(tick.Second)
		if counts == nil {
			break
		}
		if n == 0 { // the counts of the first operation are not agreed, and edge-0 reports a greater count before Requeue
			c.Report("edge-0", 8)
			c.Requeue(counts)
			continue
		}
		if len(counts) > maxCountsPerOperation || n > 3 {
			t.Fatalf("operation %d has %d counts", n, len(counts))
		}
		MergeRecordCounts(agreed, counts)
	}
	if _, hasMore := c.NextDue(); hasMore || len(agreed) != nodes || agreed["edge-0"] != 8 {
		t.Errorf("%d counts are agreed, that of edge-0 is %d; more counts are due: %v", len(agreed), agreed["edge-0"], hasMore)
	}
}
