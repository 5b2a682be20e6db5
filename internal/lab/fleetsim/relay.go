package fleetsim

import (
	"fmt"

	"silvercove/internal/overload"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// Of commands.
const (
	target   = 2 * tick.Second       // service target: each has its final answer by then
	holds    = 50 * milli            // a relay tries a held command again
	answerBy = 400 * milli           // a unit that does not answer so long is taken to be lost
	lagUsual = 15 * milli            // by which a relay's news of places lag behind
	slack    = 100 * milli           // of the check of answers in time
	worth    = 3 * tick.Second / 100 // of work that a command is, at a unit
	sampled  = 4                     // relays that one tells its news while none is pressed
)

// relay is one of them: it routes by the places as it has heard of them.
type relay struct {
	f      *Fleet
	number int // of the fleet's relays
	node   *node
	run    uint64
	over   *overload.Manager
	offset tick.Tick
	down   int
	cutAt  tick.Tick // what has happened since it has not heard of; 0: it hears all
	inside int       // commands at units
	sheds  bool
	beats  int
	member *member // where members are played: its news go by them
}

func (r *relay) at() tick.Tick { return r.offset + r.f.now }

func (f *Fleet) addRelay(name string, z *zone) {
	r := &relay{f: f, number: len(f.relays), node: f.addNode(name, z), run: 1}
	r.over = overload.NewManager(r.at(), f.seed+uint64(len(f.relays)), name, f.set)
	f.relays = append(f.relays, r)
}

// news measures the relay, tells the others of it, and notes whether the keepers are heard.
func (r *relay) news() {
	f := r.f
	f.in(f.News, r.news)
	if r.down > 0 {
		return
	}
	now := r.at()
	r.beats++
	room := 16 * float64(f.Units) / float64(f.Relays)
	r.over.UpdatePressure(now, overload.Pressure{BackendUtilization: float64(r.inside) / room})
	pressed := float64(r.inside)/room > 0.5 || r.over.AdmittedFraction() < 1
	if pressed {
		f.pressed = f.now
	}
	if r.member != nil {
		if err := r.member.table.Publish("overload", r.over.LocalReport(now).Encode()); err != nil {
			f.check.fail("news of %s: %v", r.node.name, err)
		}
	}
	// While no relay is pressed for long, news change nothing but whether a relay is cut off: few are told then.
	some := f.relays
	if r.member != nil {
		some = nil
	} else if f.now-f.pressed > 10*tick.Second && f.now > 10*tick.Second {
		if some = r.sample(); len(some) == 0 {
			return
		}
	}
	told := r.over.LocalReport(now)
	run := r.run
	for _, o := range some {
		if o == r || o.down > 0 || f.cut(r.node, o.node) {
			continue
		}
		o.over.UpdatePeer(o.at(), overload.PeerUpdate{
			Name:        r.node.name,
			Incarnation: run,
			Report:      told,
			Age:         10 * milli,
			State:       overload.PeerAlive,
		})
	}
	if sheds := r.over.AdmittedFraction() < 0.99; sheds != r.sheds {
		r.sheds = sheds
		f.say(testcluster.Event{Node: r.node.name, Name: map[bool]string{true: "sheds", false: "admits"}[sheds],
			State: fmt.Sprintf("%.2f", r.over.AdmittedFraction())})
	}
}

// sample are the relays that are told while no relay is pressed: each third time all of a few; of many some, which lie
// apart, as relays whose numbers follow one another tell at about the same time.
func (r *relay) sample() (some []*relay) {
	all := r.f.relays
	if len(all) <= 4*sampled {
		if r.beats%3 != 0 {
			return nil
		}
		return all
	}
	for i := range sampled {
		some = append(some, all[(r.number+1+r.beats+i*len(all)/sampled)%len(all)])
	}
	return some
}

// hears brings up since when the relay hears nothing of the keepers.
func (r *relay) hears() {
	f := r.f
	switch l := f.keep.lead; {
	case l == nil || f.cut(l.who.node, r.node) || f.cut(r.node, l.who.node):
		if r.cutAt == 0 {
			r.cutAt = f.now
		}
	default:
		r.cutAt = 0
	}
}

// route is the unit that owns an instance as far as the relay has heard.
func (r *relay) route(c *camera) string {
	r.hears()
	at := r.f.now - lagUsual
	if r.cutAt != 0 {
		at = min(at, r.cutAt)
	}
	for i := len(c.owners) - 1; i >= 0; i-- {
		if c.owners[i].at <= at {
			return c.owners[i].unit
		}
	}
	return c.owners[0].unit
}

// command is one of a camera's, on its way through a relay.
type command struct {
	f        *Fleet
	cam      *camera
	r        *relay
	id       string
	write    bool
	again    int // times that its camera has asked for it
	by       tick.Tick
	least    uint64 // effects that were acked when it began: it has to show them
	line     int    // of told losses, when it began
	final    bool
	unsure   bool // a delivery of it may have an effect
	delivery int
}

// asked is a command at a unit.
type asked struct {
	cmd *command
	u   *unit
	run uint64
	end func(replica.Response)
}

// client begins the next command of the sample.
func (f *Fleet) client() {
	f.in(tick.Tick(f.rng.ExpFloat64()*float64(tick.Second)/f.Commands), f.client)
	tracked := min(len(f.cams), max(12, int(f.Commands)*4)) // so that one has many
	c := f.cams[f.rng.IntN(tracked)*7919%len(f.cams)]       // of all zones
	c.n++
	cmd := &command{f: f, cam: c, id: fmt.Sprintf("%s-%d", c.name, c.n), write: f.rng.IntN(4) > 0}
	cmd.begin()
}

func (m *command) begin() {
	f := m.f
	m.by, m.final, m.unsure = f.now+target, false, false
	m.least, m.line = m.cam.acked, m.cam.lines
	m.r = f.relays[f.rng.IntN(len(f.relays))]
	m.again++
	f.check.Commands++
	f.in(target+slack, func() {
		if !m.final {
			f.check.fail("command %s has no final answer in time", m.id)
		}
	})
	if m.r.down > 0 {
		m.ends("nacked")
		return
	}
	if ok, _ := m.r.over.Admit(m.r.at(), 0, m.cam.weight, m.cam.name); !ok {
		f.check.Shed++
		m.ends("nacked")
		return
	}
	m.r.over.RecordFirstAttempt(m.r.at())
	m.deliver()
}

// deliver tries to have a command carried out where its instance is held to run.
func (m *command) deliver() {
	f := m.f
	if m.final {
		return
	}
	left := m.by - f.now
	if left <= answerBy/4 {
		m.over()
		return
	}
	hold := func() { f.in(holds, m.deliver) }
	name := m.r.route(m.cam)
	u := f.byUnit[name]
	if u == nil || m.r.down > 0 {
		hold()
		return
	}
	m.delivery++
	mine := m.delivery
	m.r.inside++
	back := func() {
		if mine >= 0 {
			m.r.inside--
			mine = -1
		}
	}
	f.ship(m.r.node, u.node, 300, func() {
		u := u.process()
		if u.sick > 0 {
			f.ship(u.node, m.r.node, 100, func() {
				if mine != m.delivery {
					return
				}
				back()
				m.delivery++
				m.r.saw(u.name, false)
				f.in(holds, m.deliver)
			})
			return
		}
		run := u.run
		u.does(run, func() {
			a := &replica.Request{ID: m.id, Instance: m.cam.name, Write: m.write,
				Deadline: u.at() + tick.Tick(float64(m.by-f.now-answerBy/4)*0.98)}
			s := &asked{cmd: m, u: u, run: run}
			f.in(max(0, m.by-f.now)+tick.Tick(f.Lease*float64(tick.Second)/5)+slack, func() {
				if u.asks[a] == s && u.run == run && u.frozen == 0 && len(u.waiting) == 0 {
					f.check.fail("%s has not answered %s in time", u.shown, m.id)
				}
			})
			s.end = func(ans replica.Response) {
				f.check.answered(u, m, ans)
				f.ship(u.node, m.r.node, 200, func() {
					if mine != m.delivery {
						return // too late: the relay has given it up
					}
					back()
					m.answered(u, ans)
				})
			}
			u.asks[a] = s
			u.o.OnRequest(u.at(), a)
		})
	})
	f.in(min(left-answerBy/8, answerBy), func() {
		if mine != m.delivery || m.final {
			back()
			return
		}
		back()
		m.delivery++ // what comes later is passed over
		m.unsure = m.unsure || m.write
		m.r.saw(u.name, false)
		if m.r.over.AllowRetry(m.r.at(), m.again > 1) {
			f.check.Repeats++
			m.deliver() // with the same id: an effect is not applied twice
			return
		}
		m.over()
	})
}

// answered takes a unit's answer in.
func (m *command) answered(u *unit, a replica.Response) {
	f := m.f
	if m.final {
		return
	}
	switch a.Outcome {
	case replica.Succeeded:
		m.r.saw(u.name, true)
		m.r.over.RecordServiceTime(m.r.at(), 0, worth)
		m.ends("acked")
	case replica.Rejected:
		m.delivery++
		f.in(holds, m.deliver) // held until the news come
	case replica.TooLarge:
		m.ends("nacked")
	default:
		m.unsure = m.unsure || m.write
		m.over()
	}
}

// saw takes how a command at a unit ended, and tells the leading keeper.
func (r *relay) saw(unit string, good bool) {
	f := r.f
	r.over.RecordOutcome(r.at(), unit, good)
	if l := f.keep.lead; f.Believes && l != nil && !f.cut(r.node, l.who.node) {
		l.claims.RecordOutcome(l.at(), unit, good)
	}
}

// over ends a command that can't be carried out in time.
func (m *command) over() {
	if m.unsure {
		m.ends("unknown")
		return
	}
	m.ends("nacked")
}

// ends is its one final answer.
func (m *command) ends(how string) {
	f := m.f
	if m.final {
		f.check.fail("command %s has two final answers", m.id)
		return
	}
	m.final = true
	m.delivery++
	f.check.ended(how)
	if how != "acked" && m.write && m.again < 4 && f.rng.IntN(2) == 0 {
		f.in(tick.Second/2+tick.Tick(f.rng.IntN(int(tick.Second))), func() {
			n := *m
			n.begin()
		})
	}
}
