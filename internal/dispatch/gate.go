// Package gate is the module's blocking facade: Pick, Report and Tick, plus news of the list and of
// the platform. It serialises all calls on the module, is the module's Host, and alone sees what the
// module asks for. Nothing blocks while the gate is held.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"silvercove/balancer"
	"silvercove/internal/transport"
	"silvercove/internal/wakeup"
)

// Hands are what the module acts with beside deliveries. None of them may block.
type Hands struct {
	Vote      func(Vote)
	Watch     func(on bool)
	Fetch     func()
	Probe     func(unit Unit)
	CloseIdle func(unit string)
	Log       func(text string)

	// Of fronts that hand on what the gate hears; nil where there is none.
	Hosts func(whole bool, hosts []Host)
	Stage func(Stage)

	// Keeps what was seen of each build; nil for none. It is called while the gate is held.
	Witness Witness

	// Decides for the fleet what is shed, repeated and probed; nil for a relay on its own.
	Shed Shed
}

// Shed is what a relay of a fleet asks before it acts. It is called while the gate is held, and may not block.
type Shed interface {
	// Take tells whether a command goes to the module. One that does not is nacked at once, with a time to come back.
	Take(op int, importance float64, customer string, repeated bool) (ok bool, back time.Duration)
	First()                            // the first delivery of a command that its client does not repeat goes out
	Again(repeated bool) bool          // whether one more delivery of a command may go out; repeated: by its client
	Outcome(unit string, good bool)    // of a delivery that tells something of its unit
	Worked(op int, took time.Duration) // a unit answered a delivery, after so long
	Avoids(unit string) bool           // whether a unit that this relay does not doubt is sick for others
	Probes(unit string) bool           // whether a unit that is doubted may be tried by this relay now
}

// Witness is told what the module is told of builds, and each vote with its reason.
type Witness interface {
	Offered(now balancer.Tick, build uint16, state string)
	Outcome(now balancer.Tick, build uint16, opType, stage int, bad bool)
	Flag(now balancer.Tick, build uint16, opType, stage int, delay balancer.Tick)
	Tally(now balancer.Tick, build uint16, opType, stage, many, failed int)
	Voted(now balancer.Tick, build uint16, stage int, verdict, why string)
}

// Hold has something done while the gate is held, such as a copy of what its witness keeps. It may not block.
func (g *Gate) Hold(do func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do()
}

// Recall hands the module what was known of a build before a restart: outcomes of each op type in the settings' order,
// and how many of them were bad. They enter as another relay's counts do, in messages of what fits into one.
func (g *Gate) Recall(build uint16, n, bad []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	const most, messages = 254, 64
	n, bad = slices.Clone(n), slices.Clone(bad)
	for range messages {
		data, any := make([]byte, 4+2*len(g.Counts.Ops)), false
		data[0], data[1] = byte(build), byte(build>>8)
		for op := range min(len(n), len(bad), len(g.Counts.Ops)) {
			part := min(n[op], most)
			wrong := 0
			if n[op] > 0 {
				wrong = min(part, (bad[op]*part+n[op]-1)/n[op])
			}
			data[2+2*op], data[3+2*op] = byte(part), byte(wrong)
			n[op], bad[op], any = n[op]-part, max(0, bad[op]-wrong), any || part > 0
		}
		if !any {
			return
		}
		g.module.OnGossip(g.now(), 0, data)
	}
}

// Gate stands before one module.
type Gate struct {
	mu     sync.Mutex
	module *balancer.Balancer
	hands  Hands
	opened time.Time     // both of its clocks were read at once
	base   balancer.Tick // Unix time then
	alarms []alarm
	bell   *wakeup.Bell // the earliest alarm may have changed
	doors  uint64
	ops    map[string]int
	weight []float64                 // importance of each op type
	most   time.Duration             // to come back after, 0 where clients are told none
	names  map[string]map[string]int // zones, kinds and customers to their places in the settings
	loads  []string
	asks   bool // the list comes only when it is asked for
	units  map[string]*unit
	byDoor []*unit // in the order in which they were first listed; nil where one was forgotten
	gone   []*unit // those not listed any more, the longest first
	keep   balancer.Tick
	stage  int // of the newest build
	open   map[*balancer.Request]*Command
	out    map[*balancer.Attempt]*Delivery
	spots  map[string]*spot // by instance; nil outside of a fleet
	lag    lag
	Counts Counts
}

type alarm struct {
	at  balancer.Tick
	tag uint32
}

// unit is what the door knows of a unit of the list.
type unit struct {
	balancer.Backend
	name, dial string
	out        int           // deliveries
	went       balancer.Tick // when it was last listed as gone
}

// New makes the module and hands it its settings. The hands may be used from then on.
func New(seed uint64, settings map[string]any, hands Hands) *Gate {
	now := time.Now()
	g := &Gate{hands: hands, opened: now, base: balancer.Tick(now.UnixMicro() / 100), bell: wakeup.New(),
		ops: map[string]int{}, units: map[string]*unit{}, open: map[*balancer.Request]*Command{},
		out: map[*balancer.Attempt]*Delivery{}}
	types, _ := settings["op_types"].([]map[string]any)
	for i, t := range types {
		name, _ := t["name"].(string)
		weight, _ := t["importance"].(float64)
		g.ops[name], g.weight = i, append(g.weight, weight)
		g.Counts.Ops = append(g.Counts.Ops, OpCount{Name: name})
	}
	g.names = map[string]map[string]int{"zones": places(settings["zones"]), "kinds": places(settings["kinds"]),
		"customers": places(settings["customers"])}
	if most, _ := settings["limits.max_come_back"].(float64); settings["limits.come_back"] == true {
		g.most = time.Duration(most * float64(time.Second))
	}
	columns, _ := settings["load.figures"].([]any)
	for _, c := range columns {
		name, _ := c.(string)
		g.loads = append(g.loads, name)
	}
	g.asks = settings["discovery"] == "subscribe"
	for _, name := range []string{"rules.cold", "rules.tip_after", "rollout.exposure_window"} {
		s, _ := settings[name].(float64)
		g.keep += balancer.Tick(s * float64(balancer.Second))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.module = balancer.New(g, g.now(), seed, settings)
	return g
}

// places numbers a list of names, or of objects that have one.
func places(list any) map[string]int {
	out := map[string]int{}
	switch l := list.(type) {
	case []any:
		for i, v := range l {
			name, _ := v.(string)
			out[name] = i
		}
	case []map[string]any:
		for i, m := range l {
			name, _ := m["name"].(string)
			out[name] = i
		}
	}
	return out
}

// number is the place of a name in a list of the settings. One that the list lacks is none of those there, least of all
// the first: it gets a number below 0 by its own letters.
func (g *Gate) number(list, name string) int {
	if at, ok := g.names[list][name]; ok {
		return at
	}
	return -1 - int(keyOf(name)>>1)
}

// zone is the number of a unit's zone. Of a unit without one nobody knows what others drop the same repeats.
func (g *Gate) zone(h Host) int {
	if _, ok := g.names["zones"][h.Zone]; h.Zone == "" && !ok {
		return g.number("zones", "\x00"+h.Name)
	}
	return g.number("zones", h.Zone)
}

// now is the module's time: Unix time as the clock had it at the start, going on evenly.
func (g *Gate) now() balancer.Tick { return g.tick(time.Now()) }

func (g *Gate) tick(t time.Time) balancer.Tick { return g.base + balancer.Tick(t.Sub(g.opened)/tenth) }

func (g *Gate) time(t balancer.Tick) time.Time { return g.opened.Add(time.Duration(t-g.base) * tenth) }

// tenth is one tick of the module.
const tenth = time.Second / time.Duration(balancer.Second)

func spanOf(t balancer.Tick) time.Duration { return time.Duration(t) * tenth }

// Ask is one command as a client put it.
type Ask struct {
	OpType, Customer, Key string
	Came                  time.Time     // when its last byte was read
	Wait                  time.Duration // how long its client waits from then on
	Work                  time.Duration // a guess, 0 for none
	Write, Repeated       bool
	Left                  func() bool // whether its client has closed, asked without the gate being held; nil: it says so itself
}

// Command is one command that was taken.
type Command struct {
	module balancer.Request
	steps  chan Step // at most one delivery and one final answer are ever waiting
	handed bool
	left   bool // its client went before it was handed over
	closed func() bool
	op     int
	key    string
	from   string // its customer
}

// Step is what is to be done for a command: a delivery, or else a final answer.
type Step struct {
	Delivery *Delivery
	Final    Final
	ComeBack time.Duration
}

// Final is a final answer of the relay's own.
type Final uint8

// The final answers. Gone: the client has left, and nothing is owed.
const (
	None Final = iota
	Nacked
	Failed
	Gone
)

// Unit is where a delivery goes. A connection to another address or process is not this unit's.
type Unit struct {
	Name, Dial string
	Start      int64
}

// Delivery is one try at a unit. Its context ends when the relay stops waiting for it.
type Delivery struct {
	Unit
	Context context.Context
	StopAt  time.Time
	module  *balancer.Attempt
	of      *Command
	cancel  context.CancelFunc
	sent    time.Time
	build   uint16 // of its unit then
}

// Chosen is when the module chose the delivery.
func (d *Delivery) Chosen() time.Time { return d.sent }

// Take makes a command of what a client asked; false: the settings name no such op type.
func (g *Gate) Take(a Ask) (*Command, bool) {
	op, ok := g.ops[a.OpType]
	if !ok {
		return nil, false
	}
	return &Command{op: op, key: a.Key, from: a.Customer, closed: a.Left, steps: make(chan Step, 4), module: balancer.Request{Class: op,
		Tenant: g.number("customers", a.Customer), Key: keyOf(a.Key), Deadline: g.tick(a.Came.Add(a.Wait)),
		EstimatedWork: balancer.Tick((a.Work + tenth - 1) / tenth), ClientRetry: a.Repeated, Write: a.Write}}, true
}

// keyOf tells keys apart (FNV-1a); 0 is no key.
func keyOf(name string) uint64 {
	if name == "" {
		return 0
	}
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return max(1, h)
}

// Pick waits for the next thing to do for a command. The first call hands it to the module, unless the fleet sheds it.
func (g *Gate) Pick(c *Command) Step {
	if !c.handed {
		c.handed = true
		g.mu.Lock()
		if c.left {
			g.mu.Unlock()
			return Step{Final: Gone}
		}
		g.doors++
		c.module.ID = g.doors
		g.open[&c.module] = c
		g.tie(c)
		g.Counts.Ops[c.op].Taken++
		if back, shed := g.sheds(c); shed {
			g.final(&c.module, Step{Final: Nacked, ComeBack: back})
		} else {
			g.module.OnRequest(g.now(), &c.module)
		}
		g.mu.Unlock()
	}
	return <-c.steps
}

// sheds asks the fleet about a command that has just come. Nothing of it has been sent, so a nack keeps its promise.
func (g *Gate) sheds(c *Command) (back time.Duration, shed bool) {
	if g.hands.Shed == nil {
		return 0, false
	}
	ok, back := g.hands.Shed.Take(c.op, g.weight[c.op], c.from, c.module.ClientRetry)
	if !ok {
		g.Counts.Shed++
	}
	return min(back, g.most), !ok
}

// Report tells how a delivery ended: with a SQLSTATE, or without an answer.
func (g *Gate) Report(d *Delivery, state string, end transport.End, load []float64) (acked bool) {
	return g.ended(d, Outcome(state, end), load)
}

// ReportMirror tells how a delivery at a mirror ended: with an HTTP status, or without an answer.
func (g *Gate) ReportMirror(d *Delivery, status int, believed bool, end transport.End) (acked bool) {
	return g.ended(d, MirrorOutcome(status, believed, end), nil)
}

// Begin tells whether a delivery that is about to be written still may be: its client waits for it, its unit is where it
// was chosen, and the module's rules hold as they stand now. It counts as sent from now on. A client whose close has come, but
// whose session has not had the processor since, has gone too: news of the list send many held commands on at once.
func (g *Gate) Begin(d *Delivery) bool {
	if c := d.of; c != nil && c.closed != nil && c.closed() {
		g.Leave(c)
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return d.Context.Err() == nil && g.open[d.module.Request] != nil && g.byDoor[d.module.Backend.ID].place() == d.Unit &&
		g.module.BeginAttempt(g.now(), d.module)
}

// Streaming tells that the answer to a delivery is being passed on while it comes.
func (g *Gate) Streaming(d *Delivery) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.module.OnStreamStart(g.now(), d.module)
}

func (g *Gate) ended(d *Delivery, ending balancer.Outcome, load []float64) (acked bool) {
	d.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.open[d.module.Request]
	delete(g.out, d.module)
	g.byDoor[d.module.Backend.ID].out--
	g.Counts.Endings[ending]++
	acked = ending == balancer.Succeeded
	if acked && c != nil {
		g.Counts.Ops[c.op].Acked++
		delete(g.open, d.module.Request)
		g.untie(c)
	}
	now := g.now()
	if w := g.hands.Witness; w != nil && (acked || ending == balancer.Errored) {
		w.Outcome(now, d.build, d.module.Request.Class, g.stage, !acked)
	}
	if s := g.hands.Shed; s != nil && ending <= balancer.Reset && ending != balancer.AtCapacity { // one that is full is well
		s.Outcome(d.Name, acked)
		if acked {
			s.Worked(d.module.Request.Class, time.Since(d.sent))
		}
	}
	g.module.OnOutcome(now, d.module, ending, max(0, now-g.tick(d.sent)), acked || c == nil, load)
	return acked
}

// Leave tells that a command's client has gone. Pick returns Gone then.
func (g *Gate) Leave(c *Command) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[&c.module] == nil {
		c.left = true
		return
	}
	delete(g.open, &c.module)
	g.untie(c)
	g.Counts.Ops[c.op].Left++
	g.module.OnClientGone(g.now(), &c.module)
	c.steps <- Step{Final: Gone}
}

// Ready are the units that may get deliveries, in the order in which they were first listed.
func (g *Gate) Ready() (all []Unit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.byDoor {
		if u != nil && u.State == balancer.Ready {
			all = append(all, u.place())
		}
	}
	return all
}

// Serves tells whether a unit still is where it was chosen, and may get deliveries.
func (g *Gate) Serves(u Unit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	is := g.units[u.Name]
	return is != nil && is.State == balancer.Ready && is.place() == u
}

// Figures are the names of the values of a load report, in the settings' order.
func (g *Gate) Figures() []string { return g.loads }

// Tick rings the module's alarms until the context ends.
func (g *Gate) Tick(ctx context.Context) error { return g.bell.Run(ctx, g.ring) }

// ring calls the alarms that are due and tells how long it is until the next.
func (g *Gate) ring() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		next := -1
		for i, a := range g.alarms {
			if next < 0 || a.at < g.alarms[next].at {
				next = i
			}
		}
		if next < 0 {
			return time.Hour
		}
		a, now := g.alarms[next], g.now()
		if a.at > now {
			return time.Until(g.time(a.at))
		}
		g.alarms = append(g.alarms[:next], g.alarms[next+1:]...)
		g.lag.add(spanOf(now - a.at))
		before := time.Now()
		g.module.OnTimer(now, a.tag)
		g.lag.busy(time.Since(before))
	}
}

// What follows is the module's Host. All of it runs while the gate is held.

// StartAttempt hands a delivery to whoever waits in Pick.
func (g *Gate) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	c, u := g.open[d.Request], g.byDoor[d.Backend.ID]
	if s := g.hands.Shed; s != nil && d.Number == 0 && !d.Request.ClientRetry {
		s.First()
	}
	at := g.time(stopAt)
	ctx, cancel := context.WithDeadline(context.Background(), at)
	out := &Delivery{Unit: u.place(), Context: ctx, StopAt: at, module: d, of: c, cancel: cancel, sent: time.Now()}
	g.out[d] = out
	u.out++
	g.Counts.Delivered++
	c.steps <- Step{Delivery: out}
}

// MayRetry tells whether a command may be delivered once more, as far as the fleet is concerned.
func (g *Gate) MayRetry(cmd *balancer.Request) bool {
	return g.hands.Shed == nil || g.hands.Shed.Again(cmd.ClientRetry)
}

// AvoidsBackend tells whether a unit is sick for other relays of the fleet.
func (g *Gate) AvoidsBackend(u *balancer.Backend) bool {
	return g.hands.Shed != nil && g.hands.Shed.Avoids(g.byDoor[u.ID].name)
}

// MayProbe tells whether a delivery may try a doubted unit, as far as the fleet is concerned.
func (g *Gate) MayProbe(u *balancer.Backend) bool {
	return g.hands.Shed == nil || g.hands.Shed.Probes(g.byDoor[u.ID].name)
}

func (u *unit) place() Unit { return Unit{u.name, u.dial, int64(u.StartedAt)} }

// Reject ends a command with the promise that trying again is harmless.
func (g *Gate) Reject(cmd *balancer.Request, comeBack balancer.Tick) {
	g.final(cmd, Step{Final: Nacked, ComeBack: spanOf(comeBack)})
}

// Fail ends a command without any promise.
func (g *Gate) Fail(cmd *balancer.Request) { g.final(cmd, Step{Final: Failed}) }

func (g *Gate) final(cmd *balancer.Request, s Step) {
	c := g.open[cmd]
	if c == nil {
		return // its client has left
	}
	delete(g.open, cmd)
	g.untie(c)
	if s.Final == Nacked {
		g.Counts.Ops[c.op].Nacked++
	} else {
		g.Counts.Ops[c.op].Failed++
	}
	c.steps <- s
}

// CancelAttempt stops waiting for a delivery.
func (g *Gate) CancelAttempt(d *balancer.Attempt) {
	if out := g.out[d]; out != nil {
		out.cancel()
	}
}

// SetTimer sets an alarm.
func (g *Gate) SetTimer(at balancer.Tick, tag uint32) {
	g.alarms = append(g.alarms, alarm{at, tag})
	g.bell.Ring()
}

// Probe checks a unit.
func (g *Gate) Probe(u *balancer.Backend) { g.hands.Probe(g.byDoor[u.ID].place()) }

// CloseIdle closes idle connections to a unit.
func (g *Gate) CloseIdle(u *balancer.Backend) { g.hands.CloseIdle(g.byDoor[u.ID].name) }

// SendGossip is not called where the settings allow no messages, which is everywhere so far.
func (g *Gate) SendGossip(uint32, []byte) {}

// Log writes a line for the people on call.
func (g *Gate) Log(text string) { g.hands.Log(text) }

// WatchEndpoints asks for changes of the list.
func (g *Gate) WatchEndpoints(on bool) { g.hands.Watch(on) }

// FetchEndpoints asks for the whole list once.
func (g *Gate) FetchEndpoints() { g.hands.Fetch() }

// CastVote casts a vote.
func (g *Gate) CastVote(build uint16, stage int, verdict balancer.Verdict) {
	g.Counts.Votes++
	if w := g.hands.Witness; w != nil {
		w.Voted(g.now(), build, stage, words[verdict], g.module.VoteReason(verdict))
	}
	g.hands.Vote(Vote{build, stage, verdicts[verdict]})
}

// lag keeps what the wake-ups and the module's calls cost.
type lag struct {
	n                  int64
	late, worst        time.Duration
	spent, longestCall time.Duration
}

func (l *lag) add(late time.Duration) {
	l.n++
	l.late += late
	l.worst = max(l.worst, late)
}

func (l *lag) busy(took time.Duration) {
	l.spent += took
	l.longestCall = max(l.longestCall, took)
}

// OpCount counts the commands of one op type.
type OpCount struct {
	Name                               string
	Taken, Acked, Nacked, Failed, Left int64
}

// Counts are what went through the gate since the start.
type Counts struct {
	Ops                     []OpCount
	Endings                 [balancer.Discarded + 1]int64
	VoteEndings             [balancer.Discarded + 1]int64
	Delivered, Votes, Shed  int64
	Lists, Stages, Tallies  int64
	Flags, Open, Out, Units int64
	Wakes                   int64
	WakeLate, WakeWorst     time.Duration // on average, and the most
	Alarm, AlarmWorst       time.Duration // what an alarm takes
}

// Snapshot copies the counts.
func (g *Gate) Snapshot() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.Counts
	c.Ops = append([]OpCount(nil), c.Ops...)
	c.Open, c.Out, c.Units = int64(len(g.open)), int64(len(g.out)), int64(len(g.units))
	n := time.Duration(max(1, g.lag.n))
	c.Wakes, c.WakeLate, c.WakeWorst = g.lag.n, g.lag.late/n, g.lag.worst
	c.Alarm, c.AlarmWorst = g.lag.spent/n, g.lag.longestCall
	return c
}
