package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestSlowAnswersShutNothingOut: sixteen answers that took longer than the service target, then one command a second for ten
// quiet minutes: what comes is tried, so that the relay learns that its units are well. Likewise where clients wait for
// less than the slow answers took, and where their patience is less than a guess by the target.
func TestSlowAnswersShutNothingOut(t *testing.T) {
	for _, c := range []struct {
		name     string
		patience Tick
		most     int // nacked, of 600; sixteen answers at one in 4 s tell that such clients can be served
	}{{"two seconds", 2 * Second, 0}, {"less than the bound", 35 * Second / 100, 30}, {"next to none", 15 * Second / 100, 60}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(nil)
			b.news(1, 0, Released, 1)
			b.unit(1, 1, 0)
			b.unit(2, 1, 0)
			for answers := 0; answers < backendSampleSize; {
				cmd := b.take(idempotent)
				if b.now += 7 * Second / 10; len(cmd.attempts) > 0 {
					b.OnOutcome(b.now, cmd.attempts[0], Succeeded, 7*Second/10, true, nil)
					answers++
				}
				b.OnTimer(b.now, 0)
			}
			clear(b.host.nacked)
			sent := len(b.host.sent)
			for range 600 {
				b.pass(Second)
				cmd := &Request{Class: idempotent, Deadline: b.now + c.patience}
				if b.OnRequest(b.now, cmd); len(cmd.attempts) > 0 {
					b.now += Second / 100
					b.end(cmd, Succeeded)
				}
			}
			if len(b.host.nacked) > c.most || len(b.host.sent)-sent < 600-c.most {
				t.Errorf("600 taken, %d sent, %d nacked", len(b.host.sent)-sent, len(b.host.nacked))
			}
		})
	}
}

// mood is how a unit treats deliveries for a while.
type mood int

const (
	well mood = iota
	slow
	slower
	erring
	dumb
	full
	unreached
	resetting
	broken
	draining
	gone
	restarting
	replaced
	moods
)

// rig plays relays before the same units in simulated time, as a host for each.
type rig struct {
	now    Tick
	rand   *rand.Rand
	units  []*rigUnit
	relays []*rigRelay
}

type rigUnit struct {
	mood mood
	Endpoint
}

type rigRelay struct {
	desk
	*Balancer
	rig      *rig
	units    []*Backend
	pending  []pending
	stalled  Tick // it handles nothing before
	due      Tick
	next     [3]Tick // command of each op type
	taken    [3]int  // in the window that is checked
	acked    [3]int
	counting bool
}

type pending struct {
	at     Tick
	d      *Attempt
	ending Outcome
}

// StartAttempt works out how the delivery will end, by the mood of its unit.
func (r *rigRelay) StartAttempt(d *Attempt, stopAt Tick) {
	u := r.rig.units[d.Backend.ID]
	took, ending := Tick(50+r.rig.rand.IntN(300)), Succeeded
	switch u.mood {
	case slow:
		took = 4000 + Tick(r.rig.rand.IntN(3000))
	case slower:
		took = 8000 + Tick(r.rig.rand.IntN(30000))
	case erring:
		ending = Errored
	case dumb, gone, restarting:
		took = 100 * Second
	case full, draining:
		ending = AtCapacity
	case unreached:
		took, ending = took+Tick(r.rig.rand.IntN(10000)), ConnectFailed
	case resetting:
		ending = Reset
	case broken:
		ending = Outcome(1 + r.rig.rand.IntN(int(Reset)))
	}
	if at := r.rig.now + took; at >= stopAt {
		r.pending = append(r.pending, pending{stopAt, d, TimedOut})
	} else {
		r.pending = append(r.pending, pending{at, d, ending})
	}
}

// CancelAttempt ends the delivery at once; the module is told with the next step.
func (r *rigRelay) CancelAttempt(d *Attempt) {
	for i := range r.pending {
		if r.pending[i].d == d {
			r.pending[i].at, r.pending[i].ending = r.rig.now, Cancelled
		}
	}
}

// step moves the clock by 10 ms.
func (g *rig) step(patience, every [3]Tick) {
	g.now += Second / 100
	for _, r := range g.relays {
		if g.now < r.stalled {
			continue
		}
		for _, p := range r.pending {
			if p.at > g.now {
				continue
			}
			settled := p.ending == Succeeded || g.now >= p.d.Request.Deadline
			if r.counting && p.ending == Succeeded && p.d.Request.receivedAt >= r.due {
				r.acked[p.d.Request.Class]++
			}
			r.OnOutcome(g.now, p.d, p.ending, g.now-p.d.sentAt, settled, nil)
		}
		kept := r.pending[:0]
		for _, p := range r.pending {
			if !p.d.ended {
				kept = append(kept, p)
			}
		}
		r.pending = kept
		if g.now%(timerInterval) == 0 {
			r.OnTimer(g.now, 0)
		}
		for op := range r.next {
			for ; r.next[op] <= g.now; r.next[op] += 1 + Tick(g.rand.ExpFloat64()*float64(every[op])) {
				if r.counting {
					r.taken[op]++
				}
				r.OnRequest(g.now, &Request{Class: op, Key: g.rand.Uint64N(50), Deadline: g.now + patience[op]})
			}
		}
	}
}

// list tells all relays of a unit.
func (g *rig) list(door int) {
	for _, r := range g.relays {
		r.OnEndpoint(g.now, r.units[door], g.units[door].Endpoint)
		r.OnListSynced(g.now, true)
	}
}

// feel gives a unit a mood, and the list what it says of it.
func (g *rig) feel(door int, m mood, build uint16) {
	u := g.units[door]
	u.mood, u.State = m, Ready
	switch m {
	case draining:
		u.State = Draining
	case gone:
		u.State = Removed
	case restarting, replaced:
		u.StartedAt = g.now
		if m == replaced {
			u.Version, u.mood = build, well
		}
	}
	g.list(door)
}

// TestServedAgainAfterAnyHistory: whatever the units, the list, the platform and the relay's own host did before, a
// settling time after all units are well each op type is served at each relay, and nothing starts anew.
func TestServedAgainAfterAnyHistory(t *testing.T) {
	const settle, window = 20 * Second, 20 * Second
	for _, c := range []struct{ relays, units, told, most int }{{1, 1, 1, 15}, {1, 3, 1, 15}, {1, 12, 300, 15},
		{60, 30, 60, 1}} {
		t.Run(fmt.Sprintf("%d of %d relays, %d units", c.relays, c.told, c.units), func(t *testing.T) {
			played, failed := 0, false
			rapid.Check(t, func(t *rapid.T) {
				if played++; played > c.most && !failed {
					return // sixty relays take a second each time
				}
				g := &rig{now: start, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
				var patience, every [3]Tick
				for op := range patience {
					patience[op] = Tick(rapid.IntRange(1500, 30000).Draw(t, "patience"))
					every[op] = Tick(rapid.IntRange(500, 10000).Draw(t, "between commands"))
					if rapid.IntRange(0, 3).Draw(t, "none") == 0 {
						every[op] = 1e9
					}
				}
				for range c.units {
					g.units = append(g.units, &rigUnit{Endpoint: Endpoint{State: Ready, Version: 1}})
				}
				for i := range c.relays {
					r := &rigRelay{rig: g, desk: desk{nacked: map[*Request]Tick{}, failed: map[*Request]bool{}}}
					r.Balancer = New(r, start, uint64(i)+1, settings(func(s *Settings) { s.Relays = float64(c.told) }))
					for door := range c.units {
						r.units = append(r.units, &Backend{ID: uint32(door)})
					}
					for op := range r.next {
						r.next[op] = start + Tick(g.rand.IntN(10000))
					}
					r.OnReleaseStatus(g.now, ReleaseStatus{Version: 1, Phase: Released, ExposureCap: 1, Outcome: Succeeded})
					g.relays = append(g.relays, r)
				}
				for door := range c.units {
					g.list(door)
				}
				play := func(span Tick) {
					for end := g.now + span; g.now < end; {
						g.step(patience, every)
					}
				}
				build, phase := uint16(1), Released
				news := func() {
					for _, r := range g.relays {
						r.OnReleaseStatus(g.now, ReleaseStatus{Version: build, Phase: phase, ExposureCap: map[RolloutPhase]float64{Canary: 0.2, Released: 1}[phase],
							Outcome: Succeeded})
					}
				}
				for range rapid.IntRange(1, 5).Draw(t, "troubles") {
					m := mood(rapid.IntRange(0, int(moods)-1).Draw(t, "mood"))
					share := rapid.Float64Range(0, 1).Draw(t, "share")
					if rapid.Bool().Draw(t, "all") {
						share = 1
					}
					switch rapid.IntRange(0, 3).Draw(t, "beside") {
					case 1:
						build, phase = build+1, Canary
						news()
					case 2:
						phase = rapid.SampledFrom([]RolloutPhase{RollingBack, Released, Withdrawn}).Draw(t, "phase")
						news()
					case 3:
						for _, r := range g.relays {
							r.stalled = g.now + Tick(g.rand.IntN(int(3*Second)))
						}
					}
					for door := range g.units {
						if g.rand.Float64() < share {
							g.feel(door, m, build)
						}
					}
					play(Tick(rapid.IntRange(1, 1000).Draw(t, "length")) * Second / 100)
				}
				phase = Released
				news()
				for door := range g.units {
					g.units[door].mood, g.units[door].State, g.units[door].Version = well, Ready, build
					g.list(door)
				}
				play(settle)
				for _, r := range g.relays {
					r.counting, r.due = true, g.now
				}
				play(window)
				for i, r := range g.relays {
					for op, n := range r.taken {
						least := 3
						if patience[op]-2*timerInterval <= r.settings.Classes[op].LatencyObjective.Ticks()/4 {
							least = 1 // one in 4 s, and the next to come after that, where clients wait for next to nothing
						}
						if n >= 5 && r.acked[op] < min(n*7/10, least) {
							failed = true
							t.Fatalf("relay %d, op type %d: %d taken, %d acked; limit %.1f, middle %v, typical %v, units %d", i, op, n,
								r.acked[op], r.concurrencyLimit, r.medianLatency, r.p90Latency, len(r.Balancer.backends))
						}
					}
				}
			})
		})
	}
}

// TestNotAllIsTurnedAway: clients that wait for less than answers take now get some tries all the same. A relay that turns
// away all that it gets for 4 s on end, with no attempt in between, may as well be dead, and counts so.
func TestNotAllIsTurnedAway(t *testing.T) {
	for _, patience := range []Tick{35 * Second / 100, 15 * Second / 100} {
		b := newBench(nil)
		b.news(1, 0, Released, 1)
		for door := range uint32(5) {
			b.unit(door+1, 1, 0)
		}
		type answer struct {
			at Tick
			d  *Attempt
		}
		var due []answer
		done, last, longest := 0, b.now, Tick(0)
		for step := range 6000 { // a hundredth of a second each
			b.now += Second / 100
			if step%5 == 0 {
				b.OnTimer(b.now, 0)
			}
			for len(due) > 0 && due[0].at <= b.now {
				d := due[0].d
				due = due[1:]
				ending := Succeeded
				if b.now >= d.Request.Deadline {
					ending = TimedOut
				}
				b.OnOutcome(b.now, d, ending, b.now-d.sentAt, true, nil)
			}
			if step%10 == 0 {
				wait := patience
				if step < 300 {
					wait = 2 * Second // who waits long enough shows how long answers take
				}
				b.OnRequest(b.now, &Request{Class: idempotent, Deadline: b.now + wait})
			}
			for ; done < len(b.host.sent); done++ {
				last, due = b.now, append(due, answer{b.now + min(7*Second/10, b.host.sent[done].Request.Deadline-b.now), b.host.sent[done]})
			}
			longest = max(longest, b.now-last)
		}
		if longest >= 3*Second || len(b.host.nacked) < 15 {
			t.Errorf("patience %d: %.1f s without an attempt, %d nacked", patience, float64(longest)/float64(Second), len(b.host.nacked))
		}
	}
}
