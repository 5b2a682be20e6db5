package balancer

import (
	"fmt"
	"testing"
)

// TestBeginAttempt_ChecksConstraintsAgain: between the choice of an attempt and its write, its backend, its request or
// the versions may change. An attempt that is written at once is always allowed.
func TestBeginAttempt_ChecksConstraintsAgain(t *testing.T) {
	relist := func(change func(*Endpoint)) func(*fixture, *Request, *Backend) {
		return func(b *fixture, _ *Request, backend *Backend) {
			endpoint := backend.Endpoint
			change(&endpoint)
			b.OnEndpoint(b.now, backend, endpoint)
		}
	}
	moved := func(_ *fixture, r *Request, _ *Backend) { r.Pinned, r.PinnedTo = true, &Backend{} }
	notMoved := func(_ *fixture, r *Request, backend *Backend) { r.Pinned, r.PinnedTo = true, backend }
	cancelled := func(_ *fixture, r *Request, _ *Backend) { r.attempts[0].state = attemptCancelled }
	restarted := relist(func(endpoint *Endpoint) { endpoint.StartedAt = testStart })
	for _, c := range []struct {
		name        string
		settings    func(*Settings)
		class       int
		writeDelay  Tick // time from the choice of the attempt to its write
		beforeWrite func(*fixture, *Request, *Backend)
		want        bool
	}{
		{"written at once", nil, atMostOnce, 0, nil, true},
		{"late, nothing changed", nil, atMostOnce, Second, nil, true},
		{"backend drains", nil, idempotent, 1, relist(func(endpoint *Endpoint) { endpoint.State = Draining }), false},
		{"backend removed", nil, idempotent, 1, relist(func(endpoint *Endpoint) { endpoint.State = Removed }), false},
		{"backend restarted", nil, idempotent, 1, restarted, false},
		{"backend runs another version", nil, idempotent, 1, relist(func(endpoint *Endpoint) { endpoint.Version = 2 }), false},
		{"backend listed again unchanged", nil, idempotent, 1, relist(func(*Endpoint) {}), true},
		{"client disconnected", nil, idempotent, 1, func(b *fixture, r *Request, _ *Backend) { b.OnClientGone(b.now, r) }, false},
		{"client disconnected, cancellation not allowed", func(s *Settings) { s.Limits.MayCancel = false }, idempotent, 1,
			func(b *fixture, r *Request, _ *Backend) { b.OnClientGone(b.now, r) }, false},
		{"attempt cancelled", nil, idempotent, 1, cancelled, false},
		{"deadline passed", nil, idempotent, 2 * Second, nil, false},
		{"instance moved", nil, idempotent, 1, moved, false},
		{"instance stayed", nil, idempotent, 1, notMoved, true},
		{"key answered by a later version", nil, idempotent, 1, func(b *fixture, r *Request, _ *Backend) {
			r.Key = 7
			b.addAnsweredKey(7, 2)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(c.settings)
			backend := b.addBackend(1, 1, 0)
			b.status(1, 0, Released, 1)
			request := b.request(c.class)
			attempt := b.host.started[0]
			check(t, "may begin at once", b.BeginAttempt(b.now, attempt), true)
			b.now += c.writeDelay
			if c.beforeWrite != nil {
				c.beforeWrite(b, request, backend)
			}
			check(t, "may begin after writeDelay", b.BeginAttempt(b.now, attempt), c.want)
			b.OnOutcome(b.now, attempt, Discarded, 0, false, nil)
			check(t, "in flight at the backend", backend.inFlight, 0)
			check(t, "in flight", len(b.attemptsInFlight), 0)
			check(t, "open attempts", b.openAttempts(), 0)
			if _, rejected := b.host.rejected[request]; !rejected && request.state == requestInFlight {
				t.Error("a discarded attempt was neither retried nor answered")
			}
		})
	}
}

// TestBeginAttempt_DiscardedIsTriedElsewhere: an attempt that may not begin any more was never sent, so a request of
// any class is retried at another backend.
func TestBeginAttempt_DiscardedIsTriedElsewhere(t *testing.T) {
	for class := idempotent; class <= atMostOnce; class++ {
		b := newFixture(nil)
		backends := []*Backend{b.addBackend(1, 1, 0), b.addBackend(2, 1, 0)}
		b.status(1, 0, Released, 1)
		request := b.request(class)
		attempt := b.host.started[0]
		endpoint := attempt.Backend.Endpoint
		endpoint.State = Draining
		b.OnEndpoint(b.now, attempt.Backend, endpoint)
		check(t, "may begin at a draining backend", b.BeginAttempt(b.now+500, attempt), false)
		b.OnOutcome(b.now+500, attempt, Discarded, 0, false, nil)
		check(t, "attempts", len(request.attempts), 2)
		check(t, "goes to the other backend", request.attempts[1].Backend != attempt.Backend, true)
		check(t, "may begin there", b.BeginAttempt(b.now+500, request.attempts[1]), true)
		check(t, "in flight", backends[0].inFlight+backends[1].inFlight, 1)
	}
}

// TestBeginAttempt_LateRetry: a retry that is chosen within the deduplication window, but whose connection is
// established after the end of that window, is not sent. The first attempt may have run, so the request is failed and
// not rejected (see safeToReject).
func TestBeginAttempt_LateRetry(t *testing.T) {
	for _, c := range []struct {
		writeDelay Tick // time from the first attempt to the write of the retry
		want       bool
	}{{9900, true}, {10000, false}, {11000, false}} { // the deduplication window is one second, or 10000 ticks
		b := newFixture(nil)
		for id := range uint32(2) {
			b.OnEndpoint(b.now, &Backend{ID: id}, Endpoint{State: Ready, Version: 1})
		}
		b.status(1, 0, Released, 1)
		request := b.request(withKey)
		from := b.now
		b.now += 1000
		b.finish(request, Reset)
		check(t, "attempts", len(request.attempts), 2)
		retry := request.attempts[1]
		check(t, "may begin at once", b.BeginAttempt(b.now, retry), true)
		if got := b.BeginAttempt(from+c.writeDelay, retry); got != c.want {
			t.Errorf("written %d ticks after the first attempt: BeginAttempt returned %v", c.writeDelay, got)
		}
		if b.OnOutcome(from+c.writeDelay, retry, Discarded, 0, false, nil); !c.want {
			check(t, "failed, as the first attempt may have run", b.host.failed[request], true)
		}
	}
}

// TestBeginAttempt_LoweredCapBinds: the exposure cap is lowered while the connection of an attempt is established. The
// lower cap applies to the attempt if it is written later than writeGracePeriod after it was chosen.
func TestBeginAttempt_LoweredCapBinds(t *testing.T) {
	for _, c := range []struct {
		writeDelay Tick
		want       bool
	}{{0, true}, {30, true}, {1500, false}, {9000, false}} { // writeGracePeriod is 50 ticks, so only the delays 0 and 30 lie within it
		b := newFixture(nil)
		b.addBackend(1, 2, 0)
		b.status(2, 1, Canary, 1)
		b.advance(5 * Second)
		b.request(idempotent)
		check(t, "attempts", len(b.host.started), 1)
		b.status(2, 1, RollingBack, 0)
		if got := b.BeginAttempt(b.now+c.writeDelay, b.host.started[0]); got != c.want {
			t.Errorf("written %d ticks late: BeginAttempt returned %v", c.writeDelay, got)
		}
		if sent := b.exposureOf(idempotent).attempts; len(sent) > 1 || c.want != (len(sent) == 1 && sent[0] == b.now+c.writeDelay) {
			t.Errorf("written %d ticks late: counted at %v", c.writeDelay, sent)
		}
	}
}

// TestBeginAttempt_CountsOnce: writing an attempt again does not count it twice towards exposure, and does not remove
// another attempt from the counts.
func TestBeginAttempt_CountsOnce(t *testing.T) {
	b := newFixture(nil)
	b.addBackend(1, 1, 0)
	b.addBackend(2, 2, 0)
	b.status(2, 0, Canary, 1)
	b.advance(5 * Second)
	canary := 0
	for range 20 {
		from := len(b.host.started)
		b.request(idempotent) // two requests at the same time
		b.request(idempotent)
		for range 2 { // the second pass calls BeginAttempt for the same attempts again, as if they were written on another connection
			b.now++
			for _, attempt := range b.host.started[from:] {
				check(t, "may begin", b.BeginAttempt(b.now, attempt), true)
			}
		}
		for _, attempt := range b.host.started[from:] {
			if attempt.version == 2 {
				canary++
			}
			b.OnOutcome(b.now, attempt, Succeeded, 100, true, nil)
		}
		check(t, "counted attempts at the canary", len(b.exposureOf(idempotent).attempts), canary)
	}
	check(t, "both versions got attempts", canary > 0 && canary < 40, true)
}

// TestBeginAttempt_LateConnectionsStayWithinTheCap: connections to the canary come up late while traffic falls. In any
// window of one second, the attempts sent to the canary stay within the site's tolerance above the exposure cap. The
// cap is a share of the requests received in the same window.
func TestBeginAttempt_LateConnectionsStayWithinTheCap(t *testing.T) {
	for _, lateBy := range []Tick{0, 1, 150, Second / 10, Second / 4} {
		t.Run(fmt.Sprint(lateBy), func(t *testing.T) {
			b := newFixture(func(s *Settings) {
				s.Rollout.ExposureWindow = 1
				s.Rollout.StageCaps = []float64{0.3, 1.0}
				s.Rollout.StageShares = []float64{0.5, 1.0}
			})
			stable, canary := b.addBackend(1, 1, 0), b.addBackend(2, 2, 0)
			b.status(2, 0, Canary, 0.3)
			b.advance(5 * Second)
			type write struct {
				at      Tick
				attempt *Attempt
			}
			var writes []write
			var received, sent []Tick
			done, worst, discarded, all := 0, 0.0, 0, 0
			for i := range 12000 { // steps of 1 ms
				b.now += 10
				if i%50 == 0 {
					b.OnTimer(b.now, 0)
				}
				if every := 1 + 40*(i/1500%2); i%every == 0 {
					received = append(received, b.now)
					b.request(idempotent)
				}
				for i := 0; i < len(writes); i++ {
					if w := writes[i]; w.at <= b.now {
						writes = append(writes[:i], writes[i+1:]...)
						i--
						if b.BeginAttempt(b.now, w.attempt) {
							sent, all = append(sent, b.now), all+1
							b.OnOutcome(b.now, w.attempt, Succeeded, 10, true, nil)
						} else {
							discarded++
							b.OnOutcome(b.now, w.attempt, Discarded, 0, false, nil)
						}
					}
				}
				for ; done < len(b.host.started); done++ {
					if attempt := b.host.started[done]; attempt.Backend == stable {
						b.OnOutcome(b.now, attempt, Succeeded, 10, true, nil)
					} else if attempt.Backend == canary {
						writes = append(writes, write{b.now + lateBy*Tick(1+done%3)/3, attempt})
					}
				}
				received, sent = dropBefore(received, b.now-Second), dropBefore(sent, b.now-Second)
				if len(sent) > 0 && sent[len(sent)-1] < b.now {
					continue // the cap is checked only at the times at which an attempt is written
				}
				// The cap is 0.3 times the number of requests received. The site tolerates 1.04 times the cap, plus
				// two attempts.
				worst = max(worst, float64(len(sent))-2-0.3*1.04*float64(len(received)))
			}
			if worst > 1e-9 || all < 100 || lateBy < 10 && discarded > 0 {
				t.Errorf("at most %.1f attempts over the cap, %d written, %d discarded", worst, all, discarded)
			}
		})
	}
}

// TestBeginAttempt_LateConnectionsAtAWarmingBackend: two attempts go to a backend that warms up, and the connection of
// the first comes up late. If the second attempt has been sent by then, the first is discarded. Without a second
// attempt, the first is sent.
func TestBeginAttempt_LateConnectionsAtAWarmingBackend(t *testing.T) {
	for _, relays := range []float64{1, 100} {
		for _, sendSecond := range []bool{false, true} {
			b := newFixture(func(s *Settings) { s.Relays = relays })
			backend := b.addBackend(1, 1, testStart)
			// The slow-start budget of one relay is just over one attempt per window if it is the only relay, and a
			// small part of one attempt if there are 100 relays.
			b.ratePerBackend, b.now = 1.2/relays, b.now+Second
			backend.lastWarmUpSend = testStart - 1000*Second
			request := &Request{Class: idempotent, Deadline: b.now + 5000*Second}
			b.OnRequest(b.now, request)
			check(t, "attempts", len(b.host.started), 1)
			first := b.host.started[0]
			// The backend is one second old now. StartedAt is moved so that the backend is one second old again after
			// 100 s, when the connection of the first attempt comes up. The warm-up fraction is then the same at both
			// times.
			backend.StartedAt = b.now + 100*Second - Second
			first.backendStart = backend.StartedAt
			if b.now += 100 * Second; sendSecond {
				backend.inFlight, backend.lastWarmUpSend = 0, testStart-3000*Second
				b.request(idempotent)
				check(t, "attempts", len(b.host.started), 2)
				check(t, "the second may begin at once", b.BeginAttempt(b.now, b.host.started[1]), true)
			}
			what := fmt.Sprintf("%v relays: the late attempt may begin, with a second one sent %v", relays, sendSecond)
			check(t, what, b.BeginAttempt(b.now+100, first), !sendSecond)
		}
	}
}
