// Package overload decides how the relays of one fleet meet overload as one: which commands are shed, who may repeat
// deliveries, who probes a sick unit, and how starts, list calls and connections are spread after a common restart.
// It also has the shares of a front's places.
//
// How to call it: New makes the Fleet of one relay. Call the one method that names what has happened, with the time,
// one call at a time. Peers are the fleet's other relays; news of them come by Peer, and Tell is this one's.
//
// One that has no peers by its settings (fleet.relays at most 1) and never heard of any decides nothing: it takes all,
// repeats all, probes all and waits for nothing. One that has heard nobody for 5 s is cut off: it sheds nothing by the
// fleet's level and waits for nothing, as without peers; its budget of repeats, which rests on its own first deliveries
// alone, and the rate of its probes stay.
//
// Kind: decision
package overload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	fresh     = 3 * tick.Second         // news this old are counted; a relay this silent does not probe
	lost      = 5 * tick.Second         // with no news for so long a relay is cut off
	forgotten = 60 * tick.Second        // a relay that left or died is kept for its successor's sake
	figures   = tick.Second / 10        // between two workings out
	bearable  = 50 * tick.Second / 1000 // a loop that is so late is at its limit
	nearFull  = 0.9                     // of processor and memory
	easy      = 0.95                    // pressure below which more is admitted
	beyond    = 1.25                    // times what is done: what is taken at least, so that units never want for work
	cut       = 2.0                     // a second: part by which less is admitted, for each 1 of pressure above 1
	grow      = 1.5                     // a second: part by which more is admitted
	pull      = 1.0                     // a second: toward what half of the relays admit
	rateSpan  = 1.0                     // seconds over which offered work is taken
	yieldSpan = 4.0                     // and over which what passes is held against the level
	leastPass = 0.25                    // of what is to pass, that is believed to
	pauseMost = 4 * tick.Second         // a shed command's time to come back, where nearly all are
	pause     = tick.Second             // and where few are
	mostOps   = 64                      // op types that are told apart
	mostPeers = 1 << 14
	buckets   = 256 // of what relays admit, for the middle one
)

// Pressure is what a relay sees of its own load. Parts are of 1; above 1 means more than can be borne.
type Pressure struct {
	SchedulingDelay    tick.Tick // by which alarms come late, of late
	CPU, Memory        float64   // parts of what the process may use
	BackendUtilization float64   // commands at units and waiting for one, in parts of the room that units have
}

// Manager decides for one relay. It is not safe for calls at once.
type Manager struct {
	now, born, heard tick.Tick // heard: the last news of any peer
	self             uint64    // hash of its name
	rand             *rand.Rand
	turn             float64 // of the drawn times

	relays               float64 // by the settings
	share, floor, probes float64
	ramp                 tick.Tick
	peers                map[string]*peer
	silent               queue // those whose news are fresh, the oldest news first
	known                int   // of them
	old                  int   // of them those that have run for longer than a ramp
	admits               [buckets]int
	says                 int              // relays counted in admits
	work                 [mostOps]float64 // offered to the fresh peers, a second
	done                 float64          // by them
	before               int              // peers whose names' hashes are below its own

	own, shared float64 // admitted parts: by this process's strength, by the units'
	due, taken  float64 // work that was to pass by the level, and that did, decayed over yieldSpan
	pressed     tick.Tick
	figured     tick.Tick
	ops         []op
	order       []int // op types, the ones to shed first at the end

	credit, spilled, firsts float64
	units                   map[uint64]*sick
	told                    []*sick         // the same, that with the newest verdict last
	last                    [lately]outcome // own ones at any unit
	lasts, bad              int             // of them, in all and bad ones
	next                    int             // place in last
}

// op is what is known of one op type.
type op struct {
	importance float64
	offered    float64 // commands, decayed over rateSpan
	done       float64 // and those that a unit answered
	took       float64 // seconds of work for one, 0: not known
	pass       float64 // customers whose draw is below it are taken
}

// peer is one other relay.
type peer struct {
	name      string
	hash      uint64
	run       uint64
	state     string
	told      Report
	heard     tick.Tick // when its news were made
	fresh     bool
	alive     bool                // counted so for the probes
	place     int                 // in silent
	counted   int                 // bucket in admits, -1 for none
	signs     [mostSigns]evidence // what counts of it
	inherited bool
	gone      tick.Tick
}

// NewManager makes the fleet's part of one relay that starts now. The settings are those of the directives fleet.relays,
// fleet.repeats, fleet.floor, fleet.probes and fleet.ramp: numbers, the ramp in seconds.
func NewManager(now tick.Tick, seed uint64, self string, set map[string]any) *Manager {
	num := func(name string) float64 { v, _ := set["fleet."+name].(float64); return v }
	f := &Manager{now: now, born: now, heard: now, pressed: now, figured: now, self: xxhash.Sum64String(self),
		rand: rand.New(rand.NewPCG(seed, 0x0f1ee7)), relays: max(1, num("relays")), share: num("repeats"),
		floor: num("floor"), probes: num("probes"), ramp: tick.Tick(num("ramp") * float64(tick.Second)),
		peers: map[string]*peer{}, own: 1, shared: 1, units: map[uint64]*sick{}}
	f.turn = part(f.self)
	return f
}

// part is a hash as a number from 0 up to 1.
func part(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// solo: there is no fleet.
func (f *Manager) solo() bool { return f.relays <= 1 && len(f.peers) == 0 }

// alone: there is none, or it cannot be heard.
func (f *Manager) alone() bool { return f.solo() || f.now-f.heard >= lost }

// size is how many relays the fleet has.
func (f *Manager) size() float64 { return max(f.relays, float64(len(f.peers)+1)) }

// knowledge is the part of the fleet whose news are fresh, itself with it. Old or unknown news make careful by it.
func (f *Manager) knowledge() float64 { return float64(f.known+1) / f.size() }

// UpdatePeer takes what is known of another relay: its run (a larger one is a restart, a smaller one an old copy and
// ignored), what it told, how old that is, and its state as members' news have it.
func (f *Manager) UpdatePeer(now tick.Tick, name string, run uint64, zone string, told Report, age tick.Tick, state string) {
	f.step(now)
	p := f.peers[name]
	switch {
	case p == nil && (len(f.peers) >= mostPeers || state == "left" || xxhash.Sum64String(name) == f.self):
		return
	case p == nil:
		p = &peer{name: name, hash: xxhash.Sum64String(name), run: run, heard: math.MinInt64, counted: -1}
		f.peers[name] = p
		if p.hash < f.self {
			f.before++
		}
	case run < p.run:
		return
	}
	defer f.settle(p)
	if run > p.run {
		f.uncount(p)
		p.run, p.inherited, p.heard, p.told = run, false, math.MinInt64, Report{}
	}
	if p.state = state; state == "dead" || state == "left" {
		f.inherit(p)
		f.uncount(p)
		if p.gone == 0 {
			p.gone = now
		}
		f.forget()
		return
	}
	p.gone = 0
	made := now - max(0, age)
	if made <= p.heard || told.LocalFraction <= 0 || told.sound() != nil { // of no use, or none yet
		return
	}
	if p.heard != math.MinInt64 {
		f.gain(p.told.SpilledCredit, told.SpilledCredit)
	}
	f.uncount(p)
	p.told, p.heard = told, made
	f.heard = max(f.heard, made)
	if now-made < fresh {
		f.count(p)
	}
	f.learn(made, told.Verdicts)
	f.signed(p, made, told)
}

// forget drops relays that went long ago.
func (f *Manager) forget() {
	for name, p := range f.peers {
		if p.gone > 0 && f.now-p.gone > forgotten {
			delete(f.peers, name)
			if p.hash < f.self {
				f.before--
			}
		}
	}
}

// count adds a peer's fresh news to the sums, uncount takes them out. Both cost a logarithm.
func (f *Manager) count(p *peer) {
	p.fresh = true
	heap.Push(&f.silent, p)
	f.known++
	if p.told.Uptime > f.ramp {
		f.old++
	}
	f.done += p.told.CompletedWork
	offered := 0.0
	for i, w := range p.told.OfferedWork {
		f.work[i] += w
		offered += w
	}
	if offered > 0 { // one that has no commands has no say
		p.counted = min(buckets-1, int(p.told.SharedFraction*buckets))
		f.admits[p.counted]++
		f.says++
	}
}

func (f *Manager) uncount(p *peer) {
	if !p.fresh {
		return
	}
	p.fresh = false
	heap.Remove(&f.silent, p.place)
	f.known--
	if p.told.Uptime > f.ramp {
		f.old--
	}
	for i, w := range p.told.OfferedWork {
		f.work[i] = max(0, f.work[i]-w)
	}
	if p.counted >= 0 {
		f.admits[p.counted]--
		f.says--
		p.counted = -1
	}
	if f.done = max(0, f.done-p.told.CompletedWork); f.known == 0 {
		f.done = 0
		f.work = [mostOps]float64{}
	}
}

// settle counts a peer as living or not, where that has changed. It costs the same however many peers there are.
func (f *Manager) settle(p *peer) {
	if is := p.fresh || p.state == "cut"; is != p.alive {
		p.alive = is
		f.ranked(p)
	}
}

// queue has the fresh peers, the one heard the longest ago first.
type queue []*peer

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].heard < q[j].heard }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}
func (q *queue) Push(x any) {
	p := x.(*peer)
	p.place = len(*q)
	*q = append(*q, p)
}
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// step brings the clock on, drops news that have grown old, and works the figures out when they are due.
func (f *Manager) step(now tick.Tick) {
	f.now = max(f.now, now)
	for len(f.silent) > 0 && f.now-f.silent[0].heard >= fresh {
		p := f.silent[0]
		f.uncount(p)
		f.settle(p)
	}
	if f.now-f.figured < figures {
		return
	}
	spans := float64(f.now-f.figured) / float64(tick.Second)
	f.figured = f.now
	for i := range f.ops {
		f.ops[i].offered *= math.Exp(-spans / rateSpan)
		f.ops[i].done *= math.Exp(-spans / rateSpan)
	}
	f.due, f.taken = f.due*math.Exp(-spans/yieldSpan), f.taken*math.Exp(-spans/yieldSpan)
	f.age(spans)
	for f.lasts > 0 && f.now-f.oldest().at > recall {
		f.drop()
	}
	f.thresholds()
}

// UpdatePressure takes what the relay sees of its own load, a few times a second. What it admits falls the faster the more
// there is too much, but not below a little more than what units are seen to do, and rises again; it is drawn toward what half of the relays with commands admit, so that all shed
// alike. Guards against overload that each relay meets on its own, some by nacks and others by queues. A unit or a link
// that is slow for this relay alone looks the same; it hurts then by the pull of the others' higher parts.
func (f *Manager) UpdatePressure(now tick.Tick, p Pressure) {
	f.step(now)
	dt := min(0.5, float64(f.now-f.pressed)/float64(tick.Second))
	f.pressed = f.now
	if f.alone() {
		f.own, f.shared = 1, 1
		f.thresholds()
		return
	}
	care := max(0.25, f.knowledge())
	own := max(float64(p.SchedulingDelay)/float64(bearable), p.CPU/nearFull, p.Memory/nearFull)
	f.own = f.moved(f.own, own, dt, care, 0)
	done, offered := f.rates()
	f.shared = f.moved(f.shared, p.BackendUtilization, dt, care, beyond*(done+f.done)/max(1e-9, offered*f.passes()))
	if f.says > 0 {
		by := (f.middle() - f.shared) * pull * dt
		if by > 0 {
			by *= care
		}
		f.shared = f.bound(f.shared + by)
	}
	f.thresholds()
}

// moved is a part one step further: less where the pressure is above 1, but no less than the least.
func (f *Manager) moved(admit, pressure, dt, care, least float64) float64 {
	switch {
	case math.IsNaN(pressure):
	case pressure > 1:
		admit = max(min(admit, least), admit*(1-cut*min(1, pressure-1)*dt))
	case pressure < easy:
		admit = max(admit*(1+grow*care*dt), min(1, least))
	}
	return f.bound(admit)
}

// rates are the work that units did for this relay and the work offered to the fleet, in seconds a second.
func (f *Manager) rates() (done, offered float64) {
	for i := range f.ops {
		done += f.load(i) * f.ops[i].done / max(1e-9, f.ops[i].offered)
		offered += f.load(i) + f.work[i]
	}
	return done, offered
}

// passes is the part of the work that is to pass by the level which does. Customers that are shed ask again, those that
// pass do not, so after a while most of what is offered is of those that are shed. Guards against a level that is cut
// below what units can do, again and again, as long as they come back.
func (f *Manager) passes() float64 {
	if f.due <= 0 {
		return 1
	}
	return min(1, max(leastPass, f.taken/f.due))
}

func (f *Manager) bound(admit float64) float64 { return min(1, max(admit, f.floor, 0.01)) }

// middle is what half of the relays with commands and fresh news admit at the most.
func (f *Manager) middle() float64 {
	n := 0
	for i, many := range f.admits {
		if n += many; 2*n >= f.says {
			return float64(i+1) / buckets
		}
	}
	return 1
}

// AdmittedFraction is the part of the offered work that is taken now.
func (f *Manager) AdmittedFraction() float64 { return min(f.own, f.shared) }

// RecordServiceTime takes an answer of a unit and how long the unit took for it.
func (f *Manager) RecordServiceTime(now tick.Tick, opType int, took tick.Tick) {
	f.step(now)
	if o := f.op(opType); o != nil && took >= 0 {
		s := float64(took) / float64(tick.Second)
		if o.took == 0 {
			o.took = s
		}
		o.took += (s - o.took) / 64
		o.done++
	}
}

func (f *Manager) op(opType int) *op {
	if opType < 0 || opType >= mostOps {
		return nil
	}
	for len(f.ops) <= opType {
		f.ops, f.order = append(f.ops, op{pass: 1}), append(f.order, len(f.ops))
	}
	return &f.ops[opType]
}

// Admit tells whether a command is taken, and else the time after which to come back. Least important op types are shed
// first, of equals the one with more work for each; of the one at the edge, the customers whose hash is above a mark,
// which is the same at all relays, so that a customer's many commands fall or pass together. The floor's part of the
// customers always passes, so that no op type starves.
func (f *Manager) Admit(now tick.Tick, opType int, importance float64, customer string) (ok bool, back tick.Tick) {
	f.step(now)
	o := f.op(opType)
	if o == nil {
		return true, 0
	}
	o.importance = importance
	o.offered++
	if f.alone() {
		return true, 0
	}
	took := max(o.took, 1e-3)
	f.due += took * o.pass
	if part(xxhash.Sum64String(customer)) < o.pass {
		f.taken += took
		return true, 0
	}
	less := 1 - f.AdmittedFraction()
	return false, f.RetryAfter(now, pause/2+tick.Tick(less*float64(pause)), pause+tick.Tick(less*float64(pauseMost)))
}

// load is the work offered of an op type at this relay, in seconds a second.
func (f *Manager) load(which int) float64 {
	o := f.ops[which]
	took := o.took
	if took == 0 {
		took = 0.01
	}
	return o.offered / rateSpan * took
}

// thresholds works out which part of the customers of each op type passes, from the work offered to the whole fleet.
func (f *Manager) thresholds() {
	if len(f.ops) == 0 {
		return
	}
	admit := f.AdmittedFraction()
	if admit >= 1 || f.alone() {
		for i := range f.ops {
			f.ops[i].pass = 1
		}
		return
	}
	dear := func(i int) int { // by powers of two: a small difference must not swap two op types
		_, exp := math.Frexp(f.ops[i].took)
		return exp
	}
	slices.SortFunc(f.order, func(a, b int) int {
		switch x, y := f.ops[a], f.ops[b]; {
		case x.importance != y.importance && x.importance > y.importance:
			return -1
		case x.importance != y.importance:
			return 1
		case dear(a) != dear(b):
			return dear(a) - dear(b)
		}
		return a - b
	})
	total := 0.0
	for i := range f.ops {
		total += f.load(i) + f.work[i]
	}
	left := total * (admit - f.floor) // beside the floors
	for _, i := range f.order {
		rest := (f.load(i) + f.work[i]) * (1 - f.floor)
		more := 1.0
		if rest > 0 {
			more = min(1, max(0, left/rest))
		}
		f.ops[i].pass = f.floor + more*(1-f.floor)
		left = max(0, left-rest)
	}
}

// RetryAfter is a time to come back between two, spread evenly over what one relay gives and over the relays: steps of the
// golden section from a start of its own, with chance on top. Guards against clients that come back in step.
func (f *Manager) RetryAfter(now tick.Tick, least, most tick.Tick) tick.Tick {
	f.step(now)
	_, f.turn = math.Modf(f.turn + 0.6180339887498949 + 0.05*f.rand.Float64())
	return least + tick.Tick(f.turn*float64(max(0, most-least)))
}

// StartupStep is a thing that is spread after a common restart.
type StartupStep uint8

// Things that are spread.
const (
	StepAccept  StartupStep = iota // of taking commands
	StepList                       // a call for the whole list
	StepConnect                    // a connection to a unit
)

// StartupDelay is how long a relay that has just started is to wait with something: as much of the ramp as the part of the
// fleet that is young too, dead or not heard of yet. Starts and list calls take the relay's place in the order of the
// names' hashes, connections a drawn time. It gets shorter with news, so one that waits may ask again.
// Guards against the sum of a common restart; a relay that starts alone before it has news waits for nothing real.
func (f *Manager) StartupDelay(now tick.Tick, what StartupStep) tick.Tick {
	f.step(now)
	if f.alone() || f.ramp == 0 {
		return 0
	}
	span := float64(f.ramp) * (f.size() - float64(f.old)) / f.size()
	left := span - float64(f.now-f.born)
	if left <= 0 {
		return 0
	}
	if what == StepConnect {
		return tick.Tick(f.rand.Float64() * left)
	}
	_, slot := math.Modf(f.slot() + 0.38*float64(what))
	return max(0, f.born+tick.Tick(slot*span)-f.now)
}

// slot is this relay's place among all, from 0 to 1; as long as few are known it is its hash.
func (f *Manager) slot() float64 {
	among := len(f.peers) + 1
	if float64(2*among) < f.size() {
		return part(f.self)
	}
	return (float64(f.before) + part(f.self*0x9e3779b97f4a7c15)) / float64(among)
}

// LocalReport is this relay's own news.
func (f *Manager) LocalReport(now tick.Tick) Report {
	f.step(now)
	t := Report{Uptime: f.now - f.born, LocalFraction: f.own, SharedFraction: f.shared, FirstAttempts: f.firsts / budgetSpan, RetryCredit: f.credit,
		SpilledCredit: f.spilled}
	for i := range min(len(f.ops), mostWork) {
		t.OfferedWork = append(t.OfferedWork, f.load(i))
	}
	t.CompletedWork, _ = f.rates()
	t.Verdicts, t.Evidence = f.verdicts(), f.worst()
	return t
}
