package balancer

import (
	"fmt"
	"testing"
)

// TestBegin: what has happened between the choice of a delivery and its write. Written at once it always may be.
func TestBegin(t *testing.T) {
	relist := func(change func(*Endpoint)) func(*bench, *Request, *Backend) {
		return func(b *bench, _ *Request, u *Backend) {
			is := u.Endpoint
			change(&is)
			b.OnEndpoint(b.now, u, is)
		}
	}
	for _, c := range []struct {
		name string
		more func(*Settings)
		op   int
		late Tick // from its choice to its write
		then func(*bench, *Request, *Backend)
		want bool
	}{
		{"at once", nil, atMostOnce, 0, nil, true},
		{"late, and all stands as it did", nil, atMostOnce, Second, nil, true},
		{"its unit drains", nil, idempotent, 1, relist(func(is *Endpoint) { is.State = Draining }), false},
		{"its unit has gone", nil, idempotent, 1, relist(func(is *Endpoint) { is.State = Removed }), false},
		{"its unit has started anew", nil, idempotent, 1, relist(func(is *Endpoint) { is.StartedAt = start }), false},
		{"its unit is of another build", nil, idempotent, 1, relist(func(is *Endpoint) { is.Version = 2 }), false},
		{"its unit is listed again as it was", nil, idempotent, 1, relist(func(*Endpoint) {}), true},
		{"its client has gone", nil, idempotent, 1, func(b *bench, c *Request, _ *Backend) { b.OnClientGone(b.now, c) }, false},
		{"its client has gone, where nothing is cancelled", func(s *Settings) { s.Limits.MayCancel = false }, idempotent, 1,
			func(b *bench, c *Request, _ *Backend) { b.OnClientGone(b.now, c) }, false},
		{"it was called off", nil, idempotent, 1, func(_ *bench, c *Request, _ *Backend) { c.attempts[0].cancelled = true }, false},
		{"its time is over", nil, idempotent, 2 * Second, nil, false},
		{"its instance has moved", nil, idempotent, 1, func(_ *bench, c *Request, _ *Backend) { c.Pinned, c.PinnedTo = true, &Backend{} }, false},
		{"its instance has not", nil, idempotent, 1, func(_ *bench, c *Request, u *Backend) { c.Pinned, c.PinnedTo = true, u }, true},
		{"a later build has answered its key", nil, idempotent, 1, func(b *bench, c *Request, _ *Backend) {
			c.Key = 7
			b.rememberKey(7, 2)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.more)
			u := b.unit(1, 1, 0)
			b.news(1, 0, Released, 1)
			cmd := b.take(c.op)
			d := b.host.sent[0]
			check(t, "at once", b.BeginAttempt(b.now, d), true)
			b.now += c.late
			if c.then != nil {
				c.then(b, cmd, u)
			}
			check(t, "late", b.BeginAttempt(b.now, d), c.want)
			if b.OnOutcome(b.now, d, Discarded, 0, false, nil); u.inFlight != 0 || len(b.attemptsInFlight) != 0 || b.openAttempts() != 0 {
				t.Errorf("%d in flight, %d out", u.inFlight, len(b.attemptsInFlight))
			}
			if _, nacked := b.host.nacked[cmd]; !nacked && !cmd.queued && !cmd.answered {
				t.Error("what was not sent is neither tried again nor answered")
			}
		})
	}
}

// TestMootIsTriedElsewhere: a delivery that may not begin any more proves that nothing ran, whatever its op type.
func TestMootIsTriedElsewhere(t *testing.T) {
	for op := idempotent; op <= atMostOnce; op++ {
		b := newBench(nil)
		units := []*Backend{b.unit(1, 1, 0), b.unit(2, 1, 0)}
		b.news(1, 0, Released, 1)
		cmd := b.take(op)
		d := b.host.sent[0]
		is := d.Backend.Endpoint
		is.State = Draining
		b.OnEndpoint(b.now, d.Backend, is)
		check(t, "begins at a draining unit", b.BeginAttempt(b.now+500, d), false)
		b.OnOutcome(b.now+500, d, Discarded, 0, false, nil)
		check(t, "deliveries", len(cmd.attempts), 2)
		check(t, "the other unit", cmd.attempts[1].Backend != d.Backend, true)
		check(t, "begins there", b.BeginAttempt(b.now+500, cmd.attempts[1]), true)
		check(t, "in flight", units[0].inFlight+units[1].inFlight, 1)
	}
}

// TestLateRepeat: a repeat that was chosen within its window and comes up past it is not sent, but answered.
func TestLateRepeat(t *testing.T) {
	for _, c := range []struct {
		late Tick // after the first delivery
		want bool
	}{{9900, true}, {10000, false}, {11000, false}} { // the window is a second
		b := newBench(nil)
		for door := range uint32(2) {
			b.OnEndpoint(b.now, &Backend{ID: door}, Endpoint{State: Ready, Version: 1})
		}
		b.news(1, 0, Released, 1)
		cmd := b.take(withKey)
		from := b.now
		b.now += 1000
		b.end(cmd, Reset)
		check(t, "deliveries", len(cmd.attempts), 2)
		repeat := cmd.attempts[1]
		check(t, "at once", b.BeginAttempt(b.now, repeat), true)
		if got := b.BeginAttempt(from+c.late, repeat); got != c.want {
			t.Errorf("%d after the first: begins %v", c.late, got)
		}
		if b.OnOutcome(from+c.late, repeat, Discarded, 0, false, nil); !c.want {
			check(t, "failed, as the first may have run", b.host.failed[cmd], true)
		}
	}
}

// TestLoweredCapBindsTheWrite: a cap that was lowered while the connection came up binds what is written after the grace.
func TestLoweredCapBindsTheWrite(t *testing.T) {
	for _, c := range []struct {
		late Tick
		want bool
	}{{0, true}, {30, true}, {1500, false}, {9000, false}} { // a lower cap binds 150 ms later
		b := newBench(nil)
		b.unit(1, 2, 0)
		b.news(2, 1, Canary, 1)
		b.pass(5 * Second)
		b.take(idempotent)
		check(t, "deliveries", len(b.host.sent), 1)
		b.news(2, 1, RollingBack, 0)
		if got := b.BeginAttempt(b.now+c.late, b.host.sent[0]); got != c.want {
			t.Errorf("%d late: begins %v", c.late, got)
		}
		if sent := b.exposureOf(idempotent).attempts; len(sent) > 1 || c.want != (len(sent) == 1 && sent[0] == b.now+c.late) {
			t.Errorf("%d late: it counts at %v", c.late, sent)
		}
	}
}

// TestEachDeliveryCountsOnce: the write of one takes no other's place in the counts, nor counts it twice.
func TestEachDeliveryCountsOnce(t *testing.T) {
	b := newBench(nil)
	b.unit(1, 1, 0)
	b.unit(2, 2, 0)
	b.news(2, 0, Canary, 1)
	b.pass(5 * Second)
	trial := 0
	for range 20 {
		from := len(b.host.sent)
		b.take(idempotent) // both at the same moment
		b.take(idempotent)
		for range 2 { // the second time as its connection was another
			b.now++
			for _, d := range b.host.sent[from:] {
				check(t, "begins", b.BeginAttempt(b.now, d), true)
			}
		}
		for _, d := range b.host.sent[from:] {
			if d.version == 2 {
				trial++
			}
			b.OnOutcome(b.now, d, Succeeded, 100, true, nil)
		}
		check(t, "sends that count", len(b.exposureOf(idempotent).attempts), trial)
	}
	check(t, "both builds got some", trial > 0 && trial < 40, true)
}

// TestLateDialsStayWithinTheCap: where connections to the build on trial come up late while traffic falls, what is
// written in any window stays within what the window's own commands allow.
func TestLateDialsStayWithinTheCap(t *testing.T) {
	for _, lateBy := range []Tick{0, 1, 150, Second / 10, Second / 4} {
		t.Run(fmt.Sprint(lateBy), func(t *testing.T) {
			b := newBench(func(s *Settings) {
				s.Rollout.ExposureWindow = 1
				s.Rollout.StageCaps = []float64{0.3, 1.0}
				s.Rollout.StageShares = []float64{0.5, 1.0}
			})
			old, trial := b.unit(1, 1, 0), b.unit(2, 2, 0)
			b.news(2, 0, Canary, 0.3)
			b.pass(5 * Second)
			type write struct {
				at Tick
				d  *Attempt
			}
			var writes []write
			var taken, sent []Tick
			done, worst, off, all := 0, 0.0, 0, 0
			for i := range 12000 { // a millisecond each
				b.now += 10
				if i%50 == 0 {
					b.OnTimer(b.now, 0)
				}
				if every := 1 + 40*(i/1500%2); i%every == 0 {
					taken = append(taken, b.now)
					b.take(idempotent)
				}
				for i := 0; i < len(writes); i++ {
					if w := writes[i]; w.at <= b.now {
						writes = append(writes[:i], writes[i+1:]...)
						i--
						if b.BeginAttempt(b.now, w.d) {
							sent, all = append(sent, b.now), all+1
							b.OnOutcome(b.now, w.d, Succeeded, 10, true, nil)
						} else {
							off++
							b.OnOutcome(b.now, w.d, Discarded, 0, false, nil)
						}
					}
				}
				for ; done < len(b.host.sent); done++ {
					if d := b.host.sent[done]; d.Backend == old {
						b.OnOutcome(b.now, d, Succeeded, 10, true, nil)
					} else if d.Backend == trial {
						writes = append(writes, write{b.now + lateBy*Tick(1+done%3)/3, d})
					}
				}
				if taken, sent = dropBefore(taken, b.now-Second), dropBefore(sent, b.now-Second); len(sent) > 0 && sent[len(sent)-1] < b.now {
					continue // the rule is asked at each attempt
				}
				worst = max(worst, float64(len(sent))-2-0.3*1.04*float64(len(taken))) // with the page's slack
			}
			if worst > 1e-9 || all < 100 || lateBy < 10 && off > 0 {
				t.Errorf("%.1f over the cap at most, %d written, %d called off", worst, all, off)
			}
		})
	}
}

// TestLateDialsAtAColdUnit: of two deliveries at a cold unit of which the first comes up late, beside the second, one is
// sent; a late one alone is.
func TestLateDialsAtAColdUnit(t *testing.T) {
	for _, relays := range []float64{1, 100} {
		for _, second := range []bool{false, true} {
			b := newBench(func(s *Settings) { s.Relays = relays })
			u := b.unit(1, 1, start)
			b.ratePerBackend, b.now = 1.2/relays, b.now+Second // one delivery a window, at the least; half of one
			u.lastWarmUpSend = start - 1000*Second
			cmd := &Request{Class: idempotent, Deadline: b.now + 5000*Second}
			b.OnRequest(b.now, cmd)
			check(t, "deliveries", len(b.host.sent), 1)
			first := b.host.sent[0]
			u.StartedAt = b.now + 100*Second - Second // its warming stands still for this
			first.backendStart = u.StartedAt
			if b.now += 100 * Second; second {
				u.inFlight, u.lastWarmUpSend = 0, start-3000*Second
				b.take(idempotent)
				check(t, "deliveries", len(b.host.sent), 2)
				check(t, "the second at once", b.BeginAttempt(b.now, b.host.sent[1]), true)
			}
			check(t, fmt.Sprintf("%v relays: the late one, beside another %v", relays, second), b.BeginAttempt(b.now+100, first), !second)
		}
	}
}
