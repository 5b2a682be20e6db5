package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// Resets of a network that breaks connections of all builds hide no errors, and are no fault of a build.
func TestResetsHideNoErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		errors int // one in so many at the trial build
		alarm  bool
	}{{"resets at both builds", 0, false}, {"and errors at the later one", 6, true}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.news(1, 0, Released, 1)
			b.news(2, 0, Canary, 0.2)
			for build := uint16(1); build <= 2; build++ {
				for i := range 200 {
					e := Succeeded
					switch {
					case i%7 == 0:
						e = Reset
					case build == 2 && c.errors > 0 && i%c.errors == 1:
						e = Errored
					}
					d := &Attempt{Request: &Request{answered: true}, Backend: &Backend{lastAnswer: b.now}, sentAt: b.now, slowAfter: b.now + 1,
						version: build, outcome: e}
					b.recordForVersion(d, false)
				}
				b.now += 2 * Second // it has been released meanwhile
				b.Balancer.now = b.now
			}
			check(t, "alarm", b.evaluation.alarm != nil, c.alarm)
		})
	}
}

// Where news is late the list shows the stage, and a vote back finds the stage by what it is answered.
func TestStageBeforeTheNews(t *testing.T) {
	for _, c := range []struct {
		name   string
		more   int // units of the build listed
		k      int // one in so many outcomes fails
		moot   bool
		stages []int
	}{
		{"as told", 1, 0, false, []int{0}},
		{"more units than the stage has", 2, 0, false, []int{1}},
		{"a vote back of a stage that has passed", 1, 3, true, []int{0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.news(1, 0, Released, 1)
			for i := range uint32(8) {
				b.unit(i, 1, 0)
			}
			b.outcomes(1, 200, 0)
			b.news(2, 0, Canary, 0.2)
			for i := range c.more {
				b.unit(uint32(10+i), 2, 0)
			}
			b.outcomes(2, 30, c.k)
			b.pass(Second / 10)
			if c.moot {
				b.OnReleaseStatus(b.now, ReleaseStatus{VoteReply: true, Outcome: Discarded})
				b.pass(Second)
			}
			check(t, "stages voted on", fmt.Sprint(b.host.stages), fmt.Sprint(c.stages))
		})
	}
}

func TestChance(t *testing.T) {
	a, b := newBench(nil), newBench(nil)
	counts := make([]int, 4)
	for range 4000 {
		x := a.random.intN(4)
		check(t, "same seed, same draw", b.random.intN(4), x)
		counts[x]++
	}
	for i, n := range counts {
		if n < 900 || n > 1100 {
			t.Errorf("%d drawn %d times in 4000", i, n)
		}
	}
}

func TestEveryCommandIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name     string
		op       int
		units    int
		endings  []Outcome
		nack     bool
		delivers int
	}{
		{"no unit, held until it is of no use", idempotent, 0, nil, true, 0},
		{"no unit, at most once: it never ran", atMostOnce, 0, nil, true, 0},
		{"error, idempotent: again elsewhere, once", idempotent, 2, []Outcome{Errored, Errored}, true, 2},
		{"error, at most once: failed at once", atMostOnce, 2, []Outcome{Errored}, false, 1},
		{"full, at most once: again", atMostOnce, 2, []Outcome{AtCapacity, AtCapacity, AtCapacity}, true, 3},
		{"connect failed then reset, at most once", atMostOnce, 2, []Outcome{ConnectFailed, Reset}, false, 2},
		{"reset, withKey, other zone: failed", withKey, 2, []Outcome{Reset}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			for i := range c.units {
				b.unit(uint32(i+1), 1, 0)
			}
			cmd := b.take(c.op)
			for _, e := range c.endings {
				b.end(cmd, e)
			}
			b.pass(Second)
			_, nacked := b.host.nacked[cmd]
			check(t, "nacked", nacked, c.nack)
			check(t, "failed", b.host.failed[cmd], !c.nack)
			check(t, "deliveries", len(b.host.sent), c.delivers)
		})
	}
}

func TestAnswerComesBeforeTheClientsOwnTime(t *testing.T) {
	b := newBench(nil)
	cmd := &Request{Class: idempotent, Deadline: b.now + Second/10} // far before the service target
	b.OnRequest(b.now, cmd)
	b.pass(Second / 10)
	if _, ok := b.host.nacked[cmd]; !ok {
		t.Error("a held command outlived its client")
	}
	late := &Request{Class: idempotent, Deadline: b.now}
	b.OnRequest(b.now, late)
	if _, ok := b.host.nacked[late]; !ok {
		t.Error("a command that came too late was not answered at once")
	}
}

func TestDrainsAreKept(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		b := newBench(nil)
		u := b.unit(1, 1, 0)
		listing := u.Endpoint
		listing.State = state
		b.OnEndpoint(b.now, u, listing)
		b.take(idempotent)
		check(t, "deliveries", len(b.host.sent), 0)
	}
}

func TestColdUnitIsNotPushedOver(t *testing.T) {
	b := newBench(nil)
	u := b.unit(1, 1, start)
	for range 50 { // fast answers leave room, but no warm unit says what can be taken
		b.take(idempotent)
		b.answer()
		b.now += 10
	}
	check(t, "deliveries to a cold unit", len(b.host.sent), 0)
	u.ejected = true
	check(t, "the trickle keeps the budget too", b.refuses(&Request{}, u) == NotRefused, false)
}

func TestExposureStaysWithinTheCap(t *testing.T) {
	for _, c := range []struct {
		name  string
		more  func(*Settings)
		op    int
		cap   float64
		phase RolloutPhase
		wait  Tick
		want  int // of 100 commands, with nothing but the build on trial to send to
	}{
		{"free plus cap", nil, idempotent, 0.2, Canary, 5 * Second, 21},
		{"no free just after a start", nil, idempotent, 0.2, Canary, 0, 19},
		{"cap 0", nil, idempotent, 0, RollingBack, 5 * Second, 0},
		{"released", nil, idempotent, 0, Released, 5 * Second, 100},
		{"guarded stage, effect", func(s *Settings) { s.Rollout.GuardedStages = 1 }, atMostOnce, 0.2, Canary, 5 * Second, 0},
		{"guarded stage, redeliverable", func(s *Settings) { s.Rollout.GuardedStages = 1 }, idempotent, 0.2, Canary, 5 * Second, 21},
		{"by op type", func(s *Settings) { s.Rollout.ExposurePerClass = true }, idempotent, 0.2, Canary, 5 * Second, 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.more)
			b.unit(1, 2, 0)
			b.news(2, 0, c.phase, c.cap)
			b.pass(c.wait)
			for range 100 {
				b.take(c.op)
				b.answer()
			}
			check(t, "deliveries", len(b.host.sent), c.want)
		})
	}
}

func TestUnannouncedBuildCountsAsFirstStage(t *testing.T) {
	b := newBench(nil)
	b.news(1, 0, Released, 1)
	b.unit(1, 2, 0)
	share, stage := b.exposureCapOf(2)
	check(t, "on trial", b.isCanary(2), true)
	check(t, "cap", share, 0.2)
	check(t, "stage", stage, 0)
}

func TestLoweredCapCountsAnewAfterTheGrace(t *testing.T) {
	b := newBench(nil)
	b.unit(1, 2, 0)
	b.news(2, 1, Canary, 1)
	b.pass(5 * Second)
	for range 50 {
		b.take(idempotent)
		b.answer()
	}
	sent := len(b.host.sent)
	b.news(2, 0, Canary, 0.2)
	b.take(idempotent)
	check(t, "within the grace the old count binds", len(b.host.sent), sent)
	b.pass(Second + 100)
	b.take(idempotent)
	check(t, "after it the count starts anew", len(b.host.sent), sent+1)
}

func TestForwardOnlyKeys(t *testing.T) {
	b := newBench(func(s *Settings) { s.Rollout.ForwardOnly = true })
	b.news(2, 0, Canary, 0.2)
	old := b.unit(1, 1, 0)
	b.unit(2, 2, 0)
	b.rememberKey(9, 2)
	check(t, "to the earlier build", b.refuses(&Request{Key: 9}, old) == NotRefused, false)
	check(t, "another key", b.refuses(&Request{Key: 8}, old) == NotRefused, true)
	b.rememberKey(7, 3) // answered by a build that no news has named yet
	check(t, "by an unannounced build", b.refuses(&Request{Key: 7}, old) == NotRefused, false)
	b.news(2, 0, RollingBack, 0)
	check(t, "when it goes back", b.refuses(&Request{Key: 9}, old) == NotRefused, true)
	check(t, "when another goes back", b.refuses(&Request{Key: 7}, old) == NotRefused, false)
}

// TestAskingForTheList: a relay that is turned away asks again less and less often, also where the settings do not say
// how often they want it.
func TestAskingForTheList(t *testing.T) {
	for _, c := range []struct {
		every       Seconds
		least, most int // calls in 20 s
	}{{20, 2, 9}, {0, 10, 30}, {-1e300, 10, 30}, {-5, 10, 30}} {
		b := newBench(func(s *Settings) {
			s.Discovery = DiscoverySubscribe
			s.Endpoints.PollInterval = c.every
		})
		b.OnListSynced(b.now, false)
		b.host.watch = 0
		for range 20 {
			b.pass(Second)
			b.OnListSynced(b.now, false)
		}
		if n := b.host.watch; n < c.least || n > c.most {
			t.Errorf("asked %d times with %v", n, c.every)
		}
	}
}

// TestChangeIsAskedForInTime: whatever the settings say, a list that could not be had is asked for again within 4 s and a
// timer's period, so that 2 s are left of the 6 s after which a change counts as told; and from the first call on. Relays
// that were turned away together do not come again together.
func TestChangeIsAskedForInTime(t *testing.T) {
	const most = 4*Second + timerInterval
	for _, every := range []Seconds{-1e300, -5, 0, 0.1, 1, 3, 10, 20, 600, 1e6, 1e300} {
		for _, starts := range []bool{true, false} { // turned away at the start, or after the list was had
			at := map[Tick]int{} // when the tenth call comes
			for seed := range uint64(60) {
				host := &desk{nacked: map[*Request]Tick{}, failed: map[*Request]bool{}}
				b := &bench{Balancer: New(host, start, seed, settings(func(s *Settings) {
					s.Discovery = DiscoverySubscribe
					s.Endpoints.PollInterval = every
				})),
					host: host, now: start}
				if !starts {
					b.pass(timerInterval)
					b.OnListSynced(b.now, true)
				}
				b.OnListSynced(b.now, false)
				for last, n := b.now, 0; n < 10; {
					before := host.watch
					if b.pass(timerInterval); b.now-last > most {
						t.Fatalf("ask_every %v: nothing is asked for %d s after a call", every, (b.now-last)/Second)
					}
					if host.watch > before {
						last, n = b.now, n+1
						b.OnListSynced(b.now, false)
						if n == 10 {
							at[b.now]++
						}
					}
				}
			}
			for when, n := range at {
				if n > 12 {
					t.Errorf("ask_every %v: %d of 60 relays ask at %d", every, n, when)
				}
			}
		}
	}
}

// TestLittleTimeLeft: a command that has just come is tried while half of the deliveries would be in time; one that had
// to wait is given up when nine in ten would not be.
func TestLittleTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		left Tick // of its client's patience; half of the deliveries take 1000, nine in ten 3000
		room bool
		sent bool
	}{
		{"as long as one in two takes", 2 * 1000, true, true},
		{"less than one in two takes", 900, true, false},
		{"no room, then some, for less than nine in ten", 2500, false, false},
		{"no room, then some, for nine in ten", 4500, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.news(1, 0, Released, 1)
			u := b.unit(1, 1, 0)
			for i := range sampleSize {
				b.latencies[idempotent] = appendBounded(b.latencies[idempotent], Tick(1000+i/(sampleSize*6/10)*2000), sampleSize)
			}
			b.latencyKnownAt[idempotent] = b.now
			b.updateLatencies()
			check(t, "one in two", b.medianLatency[idempotent], 1000)
			check(t, "nine in ten", b.p90Latency[idempotent], 3000)
			if !c.room {
				u.State = Draining
			}
			cmd := &Request{Class: idempotent, Deadline: b.now + 2*timerInterval + c.left}
			b.OnRequest(b.now, cmd)
			if !c.room {
				b.now += 100
				u.State, b.Balancer.now = Ready, b.now
				b.serveQueue()
			}
			check(t, "sent", len(b.host.sent) == 1, c.sent)
			_, nacked := b.host.nacked[cmd]
			check(t, "else answered at once", nacked, !c.sent)
		})
	}
}

// TestForwardOnlyKeysStayInTheirSpace: many keys and builds take no more than their filters, lose no key, and turn
// few others away.
func TestForwardOnlyKeysStayInTheirSpace(t *testing.T) {
	b := newBench(func(s *Settings) { s.Rollout.ForwardOnly = true })
	key := func(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 }
	const many = 100_000
	for build := uint16(2); build < 40; build++ {
		for i := range many / 38 {
			b.rememberKey(key(i), build)
		}
	}
	check(t, "builds kept", len(b.answeredKeys), rememberedVersions)
	f := &keySet{}
	for i := range many {
		f.add(key(i))
	}
	wrong := 0
	for i := range many {
		check(t, "a key that was added", f.has(key(i)), true)
		if f.has(key(many + i)) {
			wrong++
		}
	}
	if wrong > many/50 {
		t.Errorf("%d of %d other keys are taken for added ones", wrong, many)
	}
}

// outcomes gives the judged build n outcomes of which each k-th fails.
func (b *bench) outcomes(build uint16, n, k int) {
	u := &Backend{ID: 99, Endpoint: Endpoint{State: Ready, Version: build}}
	for i := range n {
		e := Succeeded
		if k > 0 && i%k == 0 {
			e = Errored
		}
		d := &Attempt{Request: &Request{answered: true}, Backend: u, sentAt: b.now, slowAfter: b.now + 5000, lateAfter: b.now + 5000, version: build}
		u.lastAnswer, u.inFlight = b.now, 1
		b.OnOutcome(b.now, d, e, 100, true, nil)
	}
}

func TestVotes(t *testing.T) {
	back, on := []Verdict{RollBack}, []Verdict{Promote}
	for _, c := range []struct {
		name  string
		more  func(*Settings)
		phase RolloutPhase
		n, k  int
		wait  Tick
		want  []Verdict
	}{
		{"too few outcomes, too early", nil, Canary, 19, 0, Second, nil},
		{"enough outcomes", nil, Canary, 20, 0, Second, on},
		{"few outcomes, 3 s", nil, Canary, 6, 0, 4 * Second, on},
		{"too few even then", nil, Canary, 2, 0, 4 * Second, nil},
		{"a wary test holds it back", nil, Canary, 7, 3, 4 * Second, nil},
		{"alarm", nil, Canary, 30, 3, Second, back},
		{"alarm after the release", nil, Released, 30, 3, Second, back},
		{"no vote once it goes back", nil, RollingBack, 30, 3, Second, nil},
		{"clocked, nothing against it", func(s *Settings) { s.Rollout.Control = AdvanceByClock }, Canary, 20, 0, Second, nil},
		{"clocked, wary", func(s *Settings) { s.Rollout.Control = AdvanceByClock }, Canary, 7, 3, Second, []Verdict{Pause}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.more)
			b.news(1, 0, Released, 1)
			b.outcomes(1, 200, 0)
			b.news(2, 0, c.phase, 0.2)
			b.outcomes(2, c.n, c.k)
			b.pass(c.wait)
			check(t, "votes", fmt.Sprint(b.host.votes), fmt.Sprint(c.want))
		})
	}
}

func TestVoteIsSaidAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer Outcome
		wait   Tick
		want   int
	}{{"it stands", Succeeded, 3 * Second, 1}, {"its life is over", Succeeded, 5 * Second, 2}, {"full", AtCapacity, Second, 2}, {"no answer", TimedOut, Second, 2}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.news(1, 0, Released, 1)
			b.news(2, 0, Canary, 0.2)
			b.outcomes(2, 30, 0)
			b.pass(Second / 10)
			check(t, "first vote", len(b.host.votes), 1)
			b.OnReleaseStatus(b.now, ReleaseStatus{VoteReply: true, Version: 2, ExposureCap: 0.2, Outcome: c.answer})
			b.pass(c.wait)
			check(t, "votes", len(b.host.votes), c.want)
		})
	}
}

func TestUnitIsSetAsideAndComesBack(t *testing.T) {
	b := newBench(nil)
	u := b.unit(1, 1, 0)
	for range 3 {
		b.recordForBackend(u, true)
	}
	check(t, "aside", u.ejected, true)
	for range 8 {
		b.recordForBackend(u, false)
	}
	check(t, "aside after the trickle went well", u.ejected, false)
	b.recentFailures = slices.Repeat([]float64{1}, sampleSize)
	for range 10 {
		b.recordForBackend(u, true)
	}
	check(t, "aside when the whole fleet fails", u.ejected, false)
}

func TestHeldByImportance(t *testing.T) {
	b := newBench(nil)
	b.settings.Classes[atMostOnce].PriorityWeight = 3
	_, high := b.take(idempotent), b.take(atMostOnce)
	check(t, "the important command is first", b.queue[0], high)
}

// What ends at its client's own time is answered in the same call.
func TestTimeOutAtTheDeadlineIsAnsweredAtOnce(t *testing.T) {
	for _, op := range []int{idempotent, withKey, atMostOnce} {
		b := newBench(nil)
		b.unit(1, 1, 0)
		b.unit(2, 1, 0)
		cmd := b.take(op)
		b.now += 2 * Second
		b.end(cmd, TimedOut)
		check(t, "answered", cmd.answered, true)
	}
}

// A vote to go on waits for more outcomes while the trial is past its edge, and for no longer.
func TestSlowTrialWaits(t *testing.T) {
	for _, c := range []struct {
		name           string
		outcomes, slow int // one in so many is slow
		want           []Verdict
	}{{"on time", 30, 0, []Verdict{Promote}}, {"every other slow", 30, 2, nil}, {"every other slow, and more outcomes", 61, 2,
		[]Verdict{Promote}}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.news(1, 0, Released, 1)
			b.outcomes(1, 200, 0)
			b.baseline.slow = slices.Repeat([]float64{0, 0, 0, 1}, 50)
			b.evaluation.slowShareBefore = 0.25
			b.news(2, 0, Canary, 0.2)
			b.outcomes(2, c.outcomes, 0)
			for i := range c.outcomes {
				if c.slow > 0 {
					b.evaluation.samples.slow = appendBounded(b.evaluation.samples.slow, float64(i%c.slow), sampleSize)
				}
			}
			b.evaluation.slowShareBefore = 0.25
			b.pass(Second)
			check(t, "votes", fmt.Sprint(b.host.votes), fmt.Sprint(c.want))
		})
	}
}

// A burst of commands slows units of any build; the same slowness without one is the build's.
func TestSlownessInABurst(t *testing.T) {
	for _, c := range []struct {
		name  string
		acked int
		alarm bool
	}{{"as many as before", 20, true}, {"a burst", 60, false}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.news(1, 0, Released, 1)
			b.outcomes(1, 100, 0)
			b.successTimes = b.successTimes[:20]
			b.news(2, 0, Canary, 0.2)
			b.successTimes = make([]Tick, c.acked)
			for range 100 {
				d := &Attempt{Request: &Request{answered: true}, Backend: &Backend{}, sentAt: b.now - 9000, slowAfter: b.now - 1, version: 2}
				b.recordTimeliness(d, true)
			}
			check(t, "alarm", b.evaluation.alarm != nil, c.alarm)
		})
	}
}

// TestPlatformCounts: a build whose units stop answering shows to no relay that sees next to nothing of each unit,
// as silence speaks for units; it shows in what the platform counts of all of them.
func TestPlatformCounts(t *testing.T) {
	for _, c := range []struct {
		name                      string
		base, baseBad, trial, bad int // samples of a period at the earlier build and at the one on trial
		later                     Tick
		periods                   int
		alarm                     bool
	}{
		{"units that stop answering", 100, 2, 16, 12, 0, 1, true},
		{"as good as before", 100, 2, 16, 0, 0, 20, false},
		{"some more fail, by the load of units on trial", 100, 2, 20, 3, 0, 20, false},
		{"deliveries lost at both builds alike", 100, 40, 20, 8, 0, 20, false},
		{"nothing counted at the earlier build", 0, 0, 20, 20, 0, 5, false},
		{"not for long", 100, 2, 20, 20, 5 * Second, 1, false},
		{"more failures than samples are no more than all", 100, 2, 16, 1 << 30, 0, 1, true},
		{"counts that make no sense", 100, 2, -5, 3, 0, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(func(s *Settings) {
				s.Relays = 300
				s.Rollout.MetricsPeriod = 2
			})
			b.news(1, 0, Released, 1)
			b.unit(1, 1, 0)
			b.news(2, 0, Canary, 0.2)
			b.unit(2, 2, 0)
			for range 4 {
				b.OnMetrics(b.now, 1, 0, c.base, c.baseBad, 100, 9000)
			}
			b.now += c.later
			for range c.periods {
				b.now += 2 * Second
				if c.later == 0 {
					b.OnMetrics(b.now, 1, 0, c.base, c.baseBad, 100, 9000)
				}
				b.OnMetrics(b.now, 2, 0, c.trial, c.bad, 100, 9000)
			}
			check(t, "alarm", b.evaluation.alarm != nil, c.alarm)
			if c.alarm {
				check(t, "verdict", b.verdict(), RollBack)
			}
		})
	}
}

func TestRelaysTellEachOther(t *testing.T) {
	b := newBench(func(s *Settings) { s.Limits.Gossip = true })
	b.news(1, 0, Released, 1)
	b.outcomes(1, 200, 0)
	b.news(2, 0, Canary, 0.2)
	b.OnGossip(b.now, 1, []byte{9, 0, 200, 90, 0, 0, 0, 0, 0, 0}) // another build
	b.OnGossip(b.now, 1, []byte{2, 0, 200, 90})                   // cut short
	check(t, "outcomes", b.evaluation.detectors.all.Outcomes(), 0)
	b.OnGossip(b.now, 1, []byte{2, 0, 200, 90, 0, 0, 0, 0, 0, 0})
	check(t, "outcomes told", b.evaluation.detectors.all.Outcomes(), 200)
	check(t, "alarm", b.evaluation.alarm != nil, true)
	check(t, "in the stage: own outcomes and those told", b.evaluation.outcomesInStage, 200)
}

func TestSilentUnitIsRescuedFrom(t *testing.T) {
	for _, op := range []int{idempotent, atMostOnce} {
		b := newBench(nil)
		b.unit(1, 1, 0)
		cmd := b.take(op)
		b.unit(2, 1, 0)
		b.pass(Second)
		check(t, "called off", len(b.host.called), map[int]int{idempotent: 1, atMostOnce: 0}[op])
		if op == idempotent {
			b.end(cmd, Cancelled)
		}
	}
}

func TestNoEffectHappensTwice(t *testing.T) {
	for _, c := range []struct {
		name        string
		op          int
		scope       DedupScope
		ending      Outcome
		age         Tick
		zone, cell  int // of the second unit; the first has 1 and 1
		again, nack bool
	}{
		{"idempotent, timed out", idempotent, DedupNowhere, TimedOut, 0, 2, 2, true, true},
		{"at most once, full", atMostOnce, DedupNowhere, AtCapacity, 0, 2, 2, true, true},
		{"at most once, connect failed", atMostOnce, DedupNowhere, ConnectFailed, 0, 2, 2, true, true},
		{"at most once, never sent", atMostOnce, DedupNowhere, Discarded, 0, 2, 2, true, true},
		{"at most once, timed out", atMostOnce, DedupNowhere, TimedOut, 0, 1, 1, false, false},
		{"at most once, called off", atMostOnce, DedupNowhere, Cancelled, 0, 1, 1, false, false},
		{"deduplicated by all, within the window", withKey, DedupEverywhere, Reset, Second - 2, 2, 2, true, true},
		{"deduplicated by all, at its end", withKey, DedupEverywhere, Reset, Second - 1, 2, 2, false, true},
		{"deduplicated by zone, same zone", withKey, DedupZone, Reset, 0, 1, 2, true, false},
		{"deduplicated by zone, another", withKey, DedupZone, Reset, 0, 2, 1, false, false},
		{"deduplicated by cell, same cell", withKey, DedupCell, Reset, 0, 2, 1, true, false},
		{"deduplicated by cell, another", withKey, DedupCell, Reset, 0, 1, 2, false, false},
		{"deduplicated by zone, full", withKey, DedupZone, AtCapacity, 0, 2, 2, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.settings.Classes[c.op].DedupScope = c.scope
			b.Balancer.now = start + c.age
			first := &Backend{Endpoint: Endpoint{Zone: 1, Cell: 1}}
			cmd := &Request{Class: c.op}
			cmd.attempts = []*Attempt{{Request: cmd, Backend: first, sentAt: start, ended: true, outcome: c.ending}}
			check(t, "again", b.safeToRepeat(cmd, cmd.attempts, &Backend{Endpoint: Endpoint{Zone: c.zone, Cell: c.cell}}), c.again)
			check(t, "nack", b.safeToReject(cmd), c.nack)
			cmd.attempts[0].ended = false
			check(t, "while one is out", b.safeToRepeat(cmd, cmd.attempts, first), false)
		})
	}
}

// A part of the cold budget of less than one delivery a window is one budget for all relays.
func TestColdBudgetIsOneForAllRelays(t *testing.T) {
	sent := 0
	for seed := range 100 {
		b := newBench(func(s *Settings) { s.Relays = 100 })
		b.Balancer.random.word = uint32(seed*7919 + 1)
		u := b.unit(1, 1, start)
		b.ratePerBackend = 0.2 // 20 a second from all: at half its capacity a unit takes 20 in a window of 1 s
		for range 10 {
			if b.now += Second / 10; b.take(idempotent).attempts != nil {
				u.inFlight = 0
			}
		}
		sent += len(b.host.sent)
	}
	check(t, "some, and fewer than the rule allows", sent > 0 && sent < 20, true)
}

func TestErrorsOfACommandItself(t *testing.T) {
	for _, c := range []struct {
		name string
		then Outcome
		bad  float64
	}{{"acked elsewhere: its build failed", Succeeded, 1}, {"failed again: its own doing", Errored, 0}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.unit(1, 1, 0)
			b.unit(2, 1, 0)
			cmd := b.take(idempotent)
			b.end(cmd, Errored)
			b.end(cmd, c.then)
			bad, _ := b.evaluation.samples.failuresOfAll()
			check(t, "failures of the build", bad, c.bad)
		})
	}
}

func TestLimitOfOpenDeliveries(t *testing.T) {
	b := newBench(func(s *Settings) { s.Relays = 100 })
	b.unit(1, 1, 0)
	for _, c := range []struct{ took, low, high Tick }{{4000, 1, 1}, {100, 2, 1e6}} { // slow answers, then early ones
		for range 40 {
			b.take(idempotent)
			b.now += c.took
			b.answer()
			b.host.sent = nil
		}
		check(t, "limit", b.concurrencyLimit >= float64(c.low) && b.concurrencyLimit <= float64(c.high), true)
	}
}

// Settings that are absent or zero break nothing; a poor unit comes last.
func TestOddSettingsAndPoorUnits(t *testing.T) {
	b := newBench(func(s *Settings) {
		s.Relays = 0
		s.Rollout.VotesPerSecond = 0
		s.Rollout.StageCaps = nil
		s.SlowStart.OverloadWindow = 0
	})
	poor := b.unit(1, 1, 0)
	b.unit(2, 1, start)
	b.news(2, 0, Canary, 0.2)
	b.recordForBackend(poor, true)
	check(t, "last", b.backends[len(b.backends)-1], poor)
	b.take(idempotent)
	b.pass(5 * Second)
}

// A relay that stalls finds every unit silent at once; that is no news of the units.
func TestStallOfTheRelayItself(t *testing.T) {
	b := newBench(nil)
	for i := range 3 {
		b.unit(uint32(i), 1, 0)
		b.take(atMostOnce)
	}
	b.now += Second
	b.OnTimer(b.now, 0)
	check(t, "alone", b.mostSuspect, true)
}

// Answers count for the flags once these would have come.
func TestFlagsOnTheWayAreWaitedFor(t *testing.T) {
	b := newBench(func(s *Settings) {
		s.Rollout.FoundShare = 1
		s.Rollout.ReportWithin = 5
	})
	b.unit(1, 1, 0)
	b.unit(2, 2, 0)
	b.news(2, 0, Canary, 0.2)
	for range 60 {
		b.Balancer.recordAnswer(2, 0)
	}
	if open, missing := b.missingEvidence(); !missing || open.kind != wrongAnswers {
		t.Errorf("%v is open, wanted the flags", open)
	}
	b.now += 5*Second + 1
	b.Balancer.now = b.now
	if open, _ := b.missingEvidence(); open.kind == wrongAnswers {
		t.Error("the flags are still waited for after their time")
	}
	b.OnWrongAnswer(b.now, b.backends[0], idempotent, Second)
}

// While nothing is known of the earlier build a few good outcomes rule nothing out.
func TestUnknownBaseRulesNothingOut(t *testing.T) {
	b := newBench(nil)
	b.unit(1, 1, 0)
	b.unit(2, 2, 0)
	b.news(2, 0, Canary, 0.2)
	for range 12 {
		b.evaluation.effects[idempotent].Observe(0, b.baselineShare(idempotent), ruledOutEffect)
	}
	if b.evaluation.effects[idempotent].RuledOut() {
		t.Errorf("ruled out by 12 outcomes, %+v", b.evaluation.effects[idempotent])
	}
	for range backendSampleSize {
		b.baseline.class[idempotent] = appendBounded(b.baseline.class[idempotent], 1, sampleSize)
	}
	check(t, "a known base", b.baselineShare(idempotent), b.baseline.failureShare(stream{kind: oneClass, class: idempotent}))
}

// A relay that starts amid a wave holds the stage that it is told for the present one, however its list is ordered.
func TestStartAmidAWave(t *testing.T) {
	for _, c := range []struct {
		name  string
		trial []int // units on trial, of ten
		stage int
	}{{"the first are on trial", []int{0}, 0}, {"the last are", []int{9}, 0}, {"half of them", []int{0, 1, 2, 3, 4}, 1}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(func(s *Settings) {
				s.Rollout.StageShares = []float64{0.1, 0.5, 1.0}
				s.Rollout.StageCaps = []float64{0.1, 0.5, 1.0}
			})
			for i := range 10 {
				build := uint16(1)
				if slices.Contains(c.trial, i) {
					build = 2
				}
				b.unit(uint32(i), build, 0)
			}
			b.OnListSynced(b.now, true)
			b.news(2, c.stage, Canary, 0.1)
			check(t, "stage", b.Balancer.currentStage(), c.stage)
		})
	}
}

// TestTiedCommandGoesWhereItsInstanceRuns: to that unit alone, after a pause once it was refused, and it waits while
// the instance runs nowhere; refusals of tied commands set no unit aside and lower no limit.
func TestTiedCommandGoesWhereItsInstanceRuns(t *testing.T) {
	b := newBench(nil)
	one, two := b.unit(1, 1, 0), b.unit(2, 1, 0)
	for range 30 {
		c := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: two}
		b.OnRequest(b.now, c)
		check(t, "to", b.host.sent[len(b.host.sent)-1].Backend, two)
		b.end(c, Succeeded)
	}
	c := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: two}
	b.OnRequest(b.now, c)
	n, limit := len(b.host.sent), b.concurrencyLimit
	b.end(c, AtCapacity)
	check(t, "sent again at once", len(b.host.sent), n)
	b.pass(Second / 10)
	check(t, "sent again after a pause", len(b.host.sent), n+1)
	b.end(c, AtCapacity)
	c.PinnedTo = one
	b.OnInstancesMoved(b.now)
	check(t, "sent where it runs now", len(b.host.sent), n+2)
	check(t, "to", b.host.sent[n+1].Backend, one)
	b.end(c, Succeeded)
	check(t, "limit", b.concurrencyLimit >= limit, true)
	for range 40 {
		c := &Request{Deadline: b.now + 2*Second, Pinned: true, PinnedTo: two}
		b.OnRequest(b.now, c)
		b.end(c, AtCapacity)
		c.answered = true
	}
	check(t, "set aside", two.ejected, false)
	nowhere := &Request{Deadline: b.now + 2*Second, Pinned: true}
	n = len(b.host.sent)
	b.OnRequest(b.now, nowhere)
	b.pass(Second)
	check(t, "sent while it runs nowhere", len(b.host.sent), n)
	_, nacked := b.host.nacked[nowhere]
	check(t, "nacked when its target is lost", nacked, true)
}
