package choice

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// The hard part of each whole-fleet day, in simulated time: many relays' modules in one process before the same units,
// each with little traffic. The checks count what all relays did together.

// fleet is the units, the relays and what is due to happen.
type fleet struct {
	t      *testing.T
	chance *rand.Rand
	now    Tick
	due    dues
	units  []*machine
	relays []*node
	taken  int
	served int
	lost   int // with a relay that was killed
	failed map[string]int
	resets float64 // share of the deliveries whose connection breaks after the send
	errs   float64 // that a unit answers with an error
	late   Tick    // by which the list lags
}

type dues []due
type due struct {
	at Tick
	do func()
}

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

func (f *fleet) at(at Tick, do func()) { heap.Push(&f.due, due{max(at, f.now), do}) }

// machine is a unit: its service time grows with what it has in work, and it is silent up to a moment.
type machine struct {
	Listing
	busy      int
	back      Tick
	listed    Tick // when it was told as draining
	coldSends []Tick
}

// node is one relay with its host.
type node struct {
	*Relay
	f       *fleet
	known   []*Unit
	open    map[*Command]bool
	dead    bool
	leaving bool
	told    []Tick // when it was told that a unit drains
}

const (
	fleetRelays = 60
	fleetUnits  = 30
	perRelay    = 3  // commands a second
	capacity    = 10 // that a warm unit takes in a second; six come on average
	tip         = Second
)

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{t: t, chance: rand.New(rand.NewPCG(seed, 7)), now: start, failed: map[string]int{}}
	for i := range fleetUnits {
		f.units = append(f.units, &machine{Listing: Listing{Zone: i % 3, State: Ready, Build: 1}})
	}
	for range fleetRelays {
		f.join()
	}
	return f
}

// join starts a relay, and its clients.
func (f *fleet) join() {
	n := &node{f: f, open: map[*Command]bool{}, told: make([]Tick, len(f.units))}
	n.Relay = New(n, f.now, f.chance.Uint64(), settings(map[string]any{"relays": float64(fleetRelays),
		"rollout.metrics_period": 2.0}))
	f.relays = append(f.relays, n)
	for i, m := range f.units {
		u := &Unit{Door: uint32(i)}
		n.known = append(n.known, u)
		n.UnitListed(f.now, u, m.Listing)
	}
	n.Listed(f.now, true)
	n.Stage(f.now, StageNews{Build: 1, Phase: Released, Cap: 1, Ending: Acked})
	f.at(f.now+Tick(f.chance.ExpFloat64()*float64(Second)/perRelay), n.command)
}

// command has a client ask, and the next one come later.
func (n *node) command() {
	f := n.f
	if n.dead || n.leaving {
		return
	}
	f.at(f.now+Tick(f.chance.ExpFloat64()*float64(Second)/perRelay), n.command)
	c := &Command{OpType: f.chance.IntN(3), NotAfter: f.now + 2*Second}
	n.open[c] = true
	f.taken++
	f.at(c.NotAfter+Second/20, func() {
		if n.open[c] && !n.dead {
			f.failed["a command without an answer by its time"]++
		}
	})
	n.Command(f.now, c)
}

func (n *node) ends(c *Command, served bool) {
	if !n.open[c] {
		n.f.failed["a second answer"]++
	}
	delete(n.open, c)
	if served {
		n.f.served++
	}
}

func (n *node) Deliver(d *Delivery, stopAt Tick) {
	f, m := n.f, n.f.units[d.To.Door]
	for _, before := range d.Cmd.deliveries[:len(d.Cmd.deliveries)-1] {
		if before.mayHaveRun() && d.Cmd.OpType == atMostOnce || !before.ended {
			f.failed["a second delivery that may run twice"]++
		}
	}
	if told := n.told[d.To.Door]; told > 0 && f.now > told+Second {
		f.failed["a delivery at a drained unit"]++
	}
	if m.Start > 0 && f.now < m.Start+4*Second {
		m.coldSends = append(recent(m.coldSends, f.now-tip), f.now)
		warmth := 0.5 + 0.5*(f.now-m.Start).seconds()/4
		if float64(len(m.coldSends)) > 2*warmth*capacity*tip.seconds()+1 {
			f.failed["a delivery too many at a cold unit"]++
		}
	}
	m.busy++
	took := Tick((0.5 + f.chance.ExpFloat64()) * 300 * float64(4+m.busy) / 4)
	ending := Acked
	switch p := f.chance.Float64(); {
	case f.now+took > stopAt || f.now < m.back || m.State == Gone:
		took, ending = stopAt-f.now, TimedOut
	case p < f.resets:
		ending = Reset
	case p < f.resets+f.errs:
		ending = Errored
	}
	f.at(f.now+took, func() { n.ended(d, m, ending) })
}

func (t Tick) seconds() float64 { return float64(t) / float64(Second) }

func (n *node) ended(d *Delivery, m *machine, ending Ending) {
	if d.ended || n.dead {
		return
	}
	m.busy--
	acked := ending == Acked
	if acked && n.open[d.Cmd] {
		n.ends(d.Cmd, true)
	}
	n.Outcome(n.f.now, d, ending, n.f.now-d.sent, acked || !n.open[d.Cmd], nil)
}

func (n *node) Nack(c *Command, _ Tick) {
	for _, d := range c.deliveries {
		if d.mayHaveRun() && c.OpType != redeliverable {
			n.f.failed["a nack of what may have run"]++
		}
	}
	n.ends(c, false)
}
func (n *node) Fail(c *Command) { n.ends(c, false) }
func (n *node) Cancel(d *Delivery) {
	n.f.at(n.f.now, func() { n.ended(d, n.f.units[d.To.Door], Cancelled) })
}
func (n *node) WakeAt(at Tick, tag uint32) {
	n.f.at(at, func() {
		if !n.dead {
			n.Alarm(n.f.now, tag)
		}
	})
}
func (n *node) Probe(*Unit)         {}
func (n *node) CloseIdle(*Unit)     {}
func (n *node) Tell(uint32, []byte) {}
func (n *node) Log(string)          {}
func (n *node) Watch(bool)          {}
func (n *node) Fetch()              {}
func (n *node) Vote(_ uint16, _ int, v Verdict) {
	n.f.failed[fmt.Sprintf("a vote %d on a good build", v)]++
}

// list tells all relays of a unit, each a little later than the list lags.
func (f *fleet) list(i int) {
	is := f.units[i].Listing
	for _, n := range f.relays {
		f.at(f.now+f.late+Tick(f.chance.IntN(2000)), func() {
			if n.dead {
				return
			}
			if n.told[i] = 0; is.State != Ready {
				n.told[i] = f.now
			}
			n.UnitListed(f.now, n.known[i], is)
			n.Listed(f.now, true)
		})
	}
}

// restart starts a unit anew, cold and silent until then.
func (f *fleet) restart(i int, at Tick) {
	f.units[i].back = at
	f.at(at, func() {
		f.units[i].Start, f.units[i].busy, f.units[i].coldSends = f.now, 0, nil
		f.list(i)
	})
}

// kill ends a relay at once; another starts in its place.
func (f *fleet) kill(n *node) {
	n.dead = true
	f.lost += len(n.open)
	for _, m := range n.out {
		f.units[m.To.Door].busy--
	}
	f.at(f.now+Second, f.join)
}

// leave has a relay take nothing new; once all it took is answered another starts in its place.
func (f *fleet) leave(n *node) {
	n.leaving = true
	f.at(f.now+5*Second/2, func() {
		if len(n.open) > 0 {
			f.failed["a command left by a relay that ends in order"]++
		}
		n.dead = true
		f.join()
	})
}

func (f *fleet) run(until Tick) {
	for len(f.due) > 0 && f.due[0].at <= until {
		next := heap.Pop(&f.due).(due)
		f.now = next.at
		next.do()
	}
}

// TestFleetDays: no rule is broken by all relays together, no good build is voted on, and most is served, whatever
// happens on the day.
func TestFleetDays(t *testing.T) {
	pauses := func(f *fleet, part int) {
		for i := range fleetUnits / part {
			for s := range Tick(6) {
				f.at(start+(5+3*s)*Second, func() { f.units[i*part].back = f.now + Second })
			}
		}
	}
	for _, day := range []struct {
		name  string
		least float64 // share served of what was taken
		plan  func(f *fleet)
	}{
		{"calm", 0.97, func(f *fleet) {}},
		{"roll: a tenth at a time ends in order while units pause", 0.85, func(f *fleet) {
			pauses(f, 3)
			for i, n := range f.relays {
				f.at(start+(5+2*Tick(i%10))*Second, func() { f.leave(n) })
			}
		}},
		{"herd: seven in ten are killed at once while units pause", 0.85, func(f *fleet) {
			pauses(f, 4)
			for i, n := range f.relays {
				if i%10 < 7 {
					f.at(start+10*Second, func() { f.kill(n) })
				}
			}
		}},
		{"zone: a third of the units is lost for 5 s and returns cold", 0.85, func(f *fleet) {
			for i := 0; i < fleetUnits; i += 3 {
				f.at(start+8*Second, func() { f.restart(i, f.now+5*Second) })
			}
		}},
		{"split: a fifth falls silent, lists are late, connections break", 0.8, func(f *fleet) {
			f.late = 3 * Second
			f.at(start+8*Second, func() {
				f.resets = 0.05
				for i := 0; i < fleetUnits; i += 5 {
					f.units[i].back = f.now + 6*Second
				}
				for i := 1; i < fleetUnits; i += 10 {
					f.units[i].State = Draining
					f.list(i)
				}
			})
		}},
		{"join: a third pauses, units answer errors", 0.8, func(f *fleet) {
			pauses(f, 3)
			f.errs = 0.03
		}},
	} {
		t.Run(day.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newFleet(t, seed)
				day.plan(f)
				f.run(start + 30*Second)
				for _, n := range f.relays {
					n.leaving = true
				}
				f.run(start + 33*Second)
				for what, n := range f.failed {
					t.Errorf("seed %d: %d times %s", seed, n, what)
				}
				if share := float64(f.served) / float64(f.taken-f.lost); share < day.least {
					t.Errorf("seed %d: %.3f of %d served, wanted %.2f", seed, share, f.taken, day.least)
				} else {
					t.Logf("seed %d: %.3f of %d served", seed, share, f.taken)
				}
			}
		})
	}
}
