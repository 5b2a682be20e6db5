package balancer

import "testing"

func TestAdmission_AnswersBeforeTheDeadline(t *testing.T) {
	b := newFixture(nil)
	request := &Request{Class: idempotent, Deadline: b.now + Second/10} // the deadline is well before the end of the latency objective
	b.OnRequest(b.now, request)
	b.advance(Second / 10)
	if _, ok := b.host.rejected[request]; !ok {
		t.Error("a queued request was not rejected before its deadline")
	}
	late := &Request{Class: idempotent, Deadline: b.now}
	b.OnRequest(b.now, late)
	if _, ok := b.host.rejected[late]; !ok {
		t.Error("a request that arrived at its deadline was not rejected at once")
	}
}

// TestAdmission_ShedsExpectedLate: half of the attempts take 1000 ticks, and nine in ten up to 3000. A request that has
// just arrived is attempted while half of the answers would be in time. A request that had to wait is shed once fewer
// than nine in ten would be.
func TestAdmission_ShedsExpectedLate(t *testing.T) {
	for _, c := range []struct {
		name         string
		timeLeft     Tick // time from the arrival of the request to the moment that is deadlineMargin before its deadline
		backendReady bool
		sent         bool
	}{
		{"twice the median left", 2 * 1000, true, true},
		{"less than the median left", 900, true, false},
		{"queued, less than the 90th percentile left", 2500, false, false},
		{"queued, more than the 90th percentile left", 4500, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.status(1, 0, Released, 1)
			backend := b.addBackend(1, 1, 0)
			for i := range sampleSize {
				b.latencies[idempotent] = appendBounded(b.latencies[idempotent], Tick(1000+i/(sampleSize*6/10)*2000), sampleSize)
			}
			b.lastAnswerOrLateAttempt[idempotent] = b.now
			b.updateLatencies()
			check(t, "median", b.medianLatency[idempotent], 1000)
			check(t, "90th percentile", b.p90Latency[idempotent], 3000)
			if !c.backendReady {
				backend.State = Draining
			}
			request := &Request{Class: idempotent, Deadline: b.now + 2*timerInterval + c.timeLeft}
			b.OnRequest(b.now, request)
			if !c.backendReady {
				b.now += 100
				backend.State, b.Balancer.now = Ready, b.now
				b.serveQueue()
			}
			check(t, "sent", len(b.host.started) == 1, c.sent)
			_, rejected := b.host.rejected[request]
			check(t, "rejected if not sent", rejected, !c.sent)
		})
	}
}

func TestAdmission_QueuesByPriority(t *testing.T) {
	b := newFixture(nil)
	b.settings.Classes[atMostOnce].PriorityWeight = 3
	_, high := b.request(idempotent), b.request(atMostOnce)
	check(t, "the request with the higher weight is first", b.queue[0], high)
}

// TestAdmission_RecoversAfterSlowAnswers: sixteen answers take longer than the latency objective, and then one request
// arrives each second for ten minutes. These requests have to be attempted, so that the relay learns that its backends
// are healthy. Requests whose deadlines are shorter than the latency of the slow answers have to be attempted too. So
// do requests whose deadlines are shorter than the default estimate (see estimateDivisor).
func TestAdmission_RecoversAfterSlowAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout Tick
		// maxRejected is the maximum number of rejections among 600 requests. Rejections end once minLatencySample (16)
		// new answers show that requests with the given timeout can be answered in time. Until then, a request that is
		// expected to be late is attempted at most once in each lateAttemptInterval.
		maxRejected int
	}{{"long deadline", 2 * Second, 0}, {"below the longest estimate", 35 * Second / 100, 30}, {"hardly any time", 15 * Second / 100, 60}} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(nil)
			b.status(1, 0, Released, 1)
			b.addBackend(1, 1, 0)
			b.addBackend(2, 1, 0)
			for answers := 0; answers < minLatencySample; {
				request := b.request(idempotent)
				if b.now += 7 * Second / 10; len(request.attempts) > 0 {
					b.OnOutcome(b.now, request.attempts[0], Succeeded, 7*Second/10, true, nil)
					answers++
				}
				b.OnTimer(b.now, 0)
			}
			clear(b.host.rejected)
			sent := len(b.host.started)
			for range 600 {
				b.advance(Second)
				request := &Request{Class: idempotent, Deadline: b.now + c.timeout}
				if b.OnRequest(b.now, request); len(request.attempts) > 0 {
					b.now += Second / 100
					b.finish(request, Succeeded)
				}
			}
			if len(b.host.rejected) > c.maxRejected || len(b.host.started)-sent < 600-c.maxRejected {
				t.Errorf("600 received, %d sent, %d rejected", len(b.host.started)-sent, len(b.host.rejected))
			}
		})
	}
}

// TestAdmission_AttemptsSomeWithShortDeadlines: some of the requests whose deadlines are shorter than the present
// latencies are attempted. A relay that makes no attempt for 4 s, because it rejects every request, is considered dead.
// The test therefore requires that less than 3 s pass without an attempt.
func TestAdmission_AttemptsSomeWithShortDeadlines(t *testing.T) {
	for _, timeout := range []Tick{35 * Second / 100, 15 * Second / 100} {
		b := newFixture(nil)
		b.status(1, 0, Released, 1)
		for id := range uint32(5) {
			b.addBackend(id+1, 1, 0)
		}
		type answer struct {
			at      Tick
			attempt *Attempt
		}
		var due []answer
		done, last, longest := 0, b.now, Tick(0)
		for step := range 6000 { // steps of 10 ms
			b.now += Second / 100
			if step%5 == 0 {
				b.OnTimer(b.now, 0)
			}
			for len(due) > 0 && due[0].at <= b.now {
				attempt := due[0].attempt
				due = due[1:]
				outcome := Succeeded
				if b.now >= attempt.Request.Deadline {
					outcome = TimedOut
				}
				b.OnOutcome(b.now, attempt, outcome, b.now-attempt.chosenAt, true, nil)
			}
			if step%10 == 0 {
				wait := timeout
				if step < 300 {
					// At first the deadlines are long, so that the relay measures how long answers take.
					wait = 2 * Second
				}
				b.OnRequest(b.now, &Request{Class: idempotent, Deadline: b.now + wait})
			}
			for ; done < len(b.host.started); done++ {
				attempt := b.host.started[done]
				took := min(7*Second/10, attempt.Request.Deadline-b.now)
				last, due = b.now, append(due, answer{b.now + took, attempt})
			}
			longest = max(longest, b.now-last)
		}
		if longest >= 3*Second || len(b.host.rejected) < 15 {
			t.Errorf("timeout %d: %.1f s without an attempt, %d rejected", timeout, float64(longest)/float64(Second),
				len(b.host.rejected))
		}
	}
}
