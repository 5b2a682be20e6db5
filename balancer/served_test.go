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
			for answers := 0; answers < keptUnit; {
				cmd := b.take(redeliverable)
				if b.now += 7 * Second / 10; len(cmd.deliveries) > 0 {
					b.Outcome(b.now, cmd.deliveries[0], Acked, 7*Second/10, true, nil)
					answers++
				}
				b.Alarm(b.now, 0)
			}
			clear(b.host.nacked)
			sent := len(b.host.sent)
			for range 600 {
				b.pass(Second)
				cmd := &Command{OpType: redeliverable, NotAfter: b.now + c.patience}
				if b.Command(b.now, cmd); len(cmd.deliveries) > 0 {
					b.now += Second / 100
					b.end(cmd, Acked)
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
	Listing
}

type rigRelay struct {
	desk
	*Relay
	rig      *rig
	units    []*Unit
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
	d      *Delivery
	ending Ending
}

// Deliver works out how the delivery will end, by the mood of its unit.
func (r *rigRelay) Deliver(d *Delivery, stopAt Tick) {
	u := r.rig.units[d.To.Door]
	took, ending := Tick(50+r.rig.rand.IntN(300)), Acked
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
		ending = Full
	case unreached:
		took, ending = took+Tick(r.rig.rand.IntN(10000)), ConnectFailed
	case resetting:
		ending = Reset
	case broken:
		ending = Ending(1 + r.rig.rand.IntN(int(Reset)))
	}
	if at := r.rig.now + took; at >= stopAt {
		r.pending = append(r.pending, pending{stopAt, d, TimedOut})
	} else {
		r.pending = append(r.pending, pending{at, d, ending})
	}
}

// Cancel ends the delivery at once; the module is told with the next step.
func (r *rigRelay) Cancel(d *Delivery) {
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
			settled := p.ending == Acked || g.now >= p.d.Cmd.NotAfter
			if r.counting && p.ending == Acked && p.d.Cmd.taken >= r.due {
				r.acked[p.d.Cmd.OpType]++
			}
			r.Outcome(g.now, p.d, p.ending, g.now-p.d.sent, settled, nil)
		}
		kept := r.pending[:0]
		for _, p := range r.pending {
			if !p.d.ended {
				kept = append(kept, p)
			}
		}
		r.pending = kept
		if g.now%(sweepEvery) == 0 {
			r.Alarm(g.now, 0)
		}
		for op := range r.next {
			for ; r.next[op] <= g.now; r.next[op] += 1 + Tick(g.rand.ExpFloat64()*float64(every[op])) {
				if r.counting {
					r.taken[op]++
				}
				r.Command(g.now, &Command{OpType: op, Key: g.rand.Uint64N(50), NotAfter: g.now + patience[op]})
			}
		}
	}
}

// list tells all relays of a unit.
func (g *rig) list(door int) {
	for _, r := range g.relays {
		r.UnitListed(g.now, r.units[door], g.units[door].Listing)
		r.Listed(g.now, true)
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
		u.State = Gone
	case restarting, replaced:
		u.Start = g.now
		if m == replaced {
			u.Build, u.mood = build, well
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
					g.units = append(g.units, &rigUnit{Listing: Listing{State: Ready, Build: 1}})
				}
				for i := range c.relays {
					r := &rigRelay{rig: g, desk: desk{nacked: map[*Command]Tick{}, failed: map[*Command]bool{}}}
					r.Relay = New(r, start, uint64(i)+1, settings(map[string]any{"relays": float64(c.told)}))
					for door := range c.units {
						r.units = append(r.units, &Unit{Door: uint32(door)})
					}
					for op := range r.next {
						r.next[op] = start + Tick(g.rand.IntN(10000))
					}
					r.Stage(g.now, StageNews{Build: 1, Phase: Released, Cap: 1, Ending: Acked})
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
						r.Stage(g.now, StageNews{Build: build, Phase: phase, Cap: map[Phase]float64{OnTrial: 0.2, Released: 1}[phase],
							Ending: Acked})
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
						build, phase = build+1, OnTrial
						news()
					case 2:
						phase = rapid.SampledFrom([]Phase{RollingBack, Released, Withdrawn}).Draw(t, "phase")
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
					g.units[door].mood, g.units[door].State, g.units[door].Build = well, Ready, build
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
						if patience[op]-2*sweepEvery <= ticks(r.opTypes[op]["service_target"])/4 {
							least = 1 // one in 4 s, and the next to come after that, where clients wait for next to nothing
						}
						if n >= 5 && r.acked[op] < min(n*7/10, least) {
							failed = true
							t.Fatalf("relay %d, op type %d: %d taken, %d acked; limit %.1f, middle %v, typical %v, units %d", i, op, n,
								r.acked[op], r.limit, r.middle, r.typical, len(r.Relay.units))
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
			d  *Delivery
		}
		var due []answer
		done, last, longest := 0, b.now, Tick(0)
		for step := range 6000 { // a hundredth of a second each
			b.now += Second / 100
			if step%5 == 0 {
				b.Alarm(b.now, 0)
			}
			for len(due) > 0 && due[0].at <= b.now {
				d := due[0].d
				due = due[1:]
				ending := Acked
				if b.now >= d.Cmd.NotAfter {
					ending = TimedOut
				}
				b.Outcome(b.now, d, ending, b.now-d.sent, true, nil)
			}
			if step%10 == 0 {
				wait := patience
				if step < 300 {
					wait = 2 * Second // who waits long enough shows how long answers take
				}
				b.Command(b.now, &Command{OpType: redeliverable, NotAfter: b.now + wait})
			}
			for ; done < len(b.host.sent); done++ {
				last, due = b.now, append(due, answer{b.now + min(7*Second/10, b.host.sent[done].Cmd.NotAfter-b.now), b.host.sent[done]})
			}
			longest = max(longest, b.now-last)
		}
		if longest >= 3*Second || len(b.host.nacked) < 15 {
			t.Errorf("patience %d: %.1f s without an attempt, %d nacked", patience, float64(longest)/float64(Second), len(b.host.nacked))
		}
	}
}
