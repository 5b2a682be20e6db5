// Package gate is the module's blocking facade: Pick, Report and Tick, plus news of the list and of
// the platform. It serialises all calls on the module, is the module's Host, and alone sees what the
// module asks for. Nothing blocks while the gate is held.
package dispatch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"silvercove/balancer"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
	"silvercove/internal/wakeup"
)

// Callbacks are what the module acts with beside deliveries. None of them may block.
type Callbacks struct {
	Vote           func(Vote)
	WatchEndpoints func(on bool)
	FetchEndpoints func()
	Probe          func(unit Backend)
	CloseIdle      func(unit string)
	Log            func(text string)

	// Of fronts that hand on what the gate hears; nil where there is none.
	OnEndpoints func(whole bool, hosts []Endpoint)
	OnStage     func(RolloutStage)

	// Keeps what was seen of each build; nil for none. It is called while the gate is held.
	Evidence EvidenceRecorder

	// Decides for the fleet what is shed, repeated and probed; nil for a relay on its own.
	LoadShedder LoadShedder
}

// LoadShedder is what a relay of a fleet asks before it acts. It is called while the gate is held, and may not block.
type LoadShedder interface {
	// Admit tells whether a command goes to the module. One that does not is nacked at once, with a time to come back.
	Admit(op int, importance float64, customer string, repeated bool) (ok bool, back time.Duration)
	RecordFirstAttempt()                          // the first delivery of a command that its client does not repeat goes out
	AllowRetry(repeated bool) bool                // whether one more delivery of a command may go out; repeated: by its client
	RecordOutcome(unit string, good bool)         // of a delivery that tells something of its unit
	RecordServiceTime(op int, took time.Duration) // a unit answered a delivery, after so long
	IsEjected(unit string) bool                   // whether a unit that this relay does not doubt is sick for others
	AllowProbe(unit string) bool                  // whether a unit that is doubted may be tried by this relay now
}

// EvidenceRecorder is told what the module is told of builds, and each vote with its reason.
type EvidenceRecorder interface {
	UpdateVersion(now balancer.Tick, build uint16, state string)
	RecordOutcome(now balancer.Tick, build uint16, opType, stage int, bad bool)
	RecordFlag(now balancer.Tick, build uint16, opType, stage int, delay balancer.Tick)
	RecordPlatformCount(now balancer.Tick, build uint16, opType, stage, many, failed int)
	RecordVote(now balancer.Tick, build uint16, stage int, verdict, why string)
}

// WithLock has something done while the gate is held, such as a copy of what its witness keeps. It may not block.
func (g *Dispatcher) WithLock(do func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do()
}

// RestoreEvidence hands the module what was known of a build before a restart: outcomes of each op type in the settings' order,
// and how many of them were bad. They enter as another relay's counts do, in messages of what fits into one.
func (g *Dispatcher) RestoreEvidence(build uint16, n, bad []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	const most, messages = 254, 64
	n, bad = slices.Clone(n), slices.Clone(bad)
	for range messages {
		data, any := make([]byte, 4+2*len(g.Counters.Classes)), false
		data[0], data[1] = byte(build), byte(build>>8)
		for op := range min(len(n), len(bad), len(g.Counters.Classes)) {
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

// Dispatcher stands before one module.
type Dispatcher struct {
	mu       sync.Mutex
	module   *balancer.Balancer
	hands    Callbacks
	opened   time.Time     // both of its clocks were read at once
	base     balancer.Tick // Unix time then
	alarms   []alarm
	bell     *wakeup.Waker // the earliest alarm may have changed
	doors    uint64
	ops      map[string]int
	weight   []float64                 // importance of each op type
	most     time.Duration             // to come back after, 0 where clients are told none
	names    map[string]map[string]int // zones, kinds and customers to their places in the settings
	loads    []string
	asks     bool // the list comes only when it is asked for
	units    map[string]*unit
	byDoor   []*unit // in the order in which they were first listed; nil where one was forgotten
	gone     []*unit // those not listed any more, the longest first
	keep     balancer.Tick
	stage    int // of the newest build
	open     map[*balancer.Request]*Call
	out      map[*balancer.Attempt]*Attempt
	spots    map[string]*spot // by instance; nil outside of a fleet
	lag      lag
	Counters Counters
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
func New(seed uint64, site settings.Site, hands Callbacks) *Dispatcher {
	now := time.Now()
	g := &Dispatcher{hands: hands, opened: now, base: balancer.Tick(now.UnixMicro() / 100), bell: wakeup.New(),
		ops: map[string]int{}, units: map[string]*unit{}, open: map[*balancer.Request]*Call{},
		out: map[*balancer.Attempt]*Attempt{}}
	for i, class := range site.Balancer.Classes {
		g.ops[class.Name], g.weight = i, append(g.weight, class.PriorityWeight)
		g.Counters.Classes = append(g.Counters.Classes, ClassCounters{Name: class.Name})
	}
	g.names = map[string]map[string]int{"zones": places(site.Zones), "kinds": places(site.MachineKinds),
		"customers": places(site.Tenants)}
	if site.Balancer.Limits.RetryAfter {
		g.most = site.Balancer.Limits.MaxRetryAfter.Duration()
	}
	g.loads = site.LoadColumns
	g.asks = site.Balancer.Discovery == balancer.DiscoverySubscribe
	g.keep = site.Balancer.SlowStart.Window.Ticks() + site.Balancer.SlowStart.OverloadWindow.Ticks() +
		site.Balancer.Rollout.ExposureWindow.Ticks()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.module = balancer.New(g, g.now(), seed, site.Balancer)
	return g
}

// places numbers a list of names.
func places(names []string) map[string]int {
	out := map[string]int{}
	for i, name := range names {
		out[name] = i
	}
	return out
}

// number is the place of a name in a list of the settings. One that the list lacks is none of those there, least of all
// the first: it gets a number below 0 by its own letters.
func (g *Dispatcher) number(list, name string) int {
	if at, ok := g.names[list][name]; ok {
		return at
	}
	return -1 - int(keyOf(name)>>1)
}

// zone is the number of a unit's zone. Of a unit without one nobody knows what others drop the same repeats.
func (g *Dispatcher) zone(h Endpoint) int {
	if _, ok := g.names["zones"][h.Zone]; h.Zone == "" && !ok {
		return g.number("zones", "\x00"+h.Name)
	}
	return g.number("zones", h.Zone)
}

// now is the module's time: Unix time as the clock had it at the start, going on evenly.
func (g *Dispatcher) now() balancer.Tick { return g.tick(time.Now()) }

func (g *Dispatcher) tick(t time.Time) balancer.Tick {
	return g.base + balancer.Tick(t.Sub(g.opened)/tenth)
}

func (g *Dispatcher) time(t balancer.Tick) time.Time {
	return g.opened.Add(time.Duration(t-g.base) * tenth)
}

// tenth is one tick of the module.
const tenth = time.Second / time.Duration(balancer.Second)

func spanOf(t balancer.Tick) time.Duration { return time.Duration(t) * tenth }

// Request is one command as a client put it.
type Request struct {
	Class, Tenant, Key string
	ReceivedAt         time.Time     // when its last byte was read
	Timeout            time.Duration // how long its client waits from then on
	EstimatedWork      time.Duration // a guess, 0 for none
	Write, ClientRetry bool
	ClientClosed       func() bool // whether its client has closed, asked without the gate being held; nil: it says so itself
}

// Call is one command that was taken.
type Call struct {
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
	Attempt    *Attempt
	Answer     FinalAnswer
	RetryAfter time.Duration
}

// FinalAnswer is a final answer of the relay's own.
type FinalAnswer uint8

// The final answers. Gone: the client has left, and nothing is owed.
const (
	NoAnswer FinalAnswer = iota
	Rejected
	Failed
	ClientGone
)

// Backend is where a delivery goes. A connection to another address or process is not this unit's.
type Backend struct {
	Name, Address string
	StartedAt     int64
}

// Attempt is one try at a unit. Its context ends when the relay stops waiting for it.
type Attempt struct {
	Backend
	Context  context.Context
	Deadline time.Time
	module   *balancer.Attempt
	of       *Call
	cancel   context.CancelFunc
	sent     time.Time
	build    uint16 // of its unit then
}

// ChosenAt is when the module chose the delivery.
func (d *Attempt) ChosenAt() time.Time { return d.sent }

// Accept makes a command of what a client asked; false: the settings name no such op type.
func (g *Dispatcher) Accept(a Request) (*Call, bool) {
	op, ok := g.ops[a.Class]
	if !ok {
		return nil, false
	}
	return &Call{op: op, key: a.Key, from: a.Tenant, closed: a.ClientClosed, steps: make(chan Step, 4), module: balancer.Request{Class: op,
		Tenant: g.number("customers", a.Tenant), Key: keyOf(a.Key), Deadline: g.tick(a.ReceivedAt.Add(a.Timeout)),
		EstimatedWork: balancer.Tick((a.EstimatedWork + tenth - 1) / tenth), ClientRetry: a.ClientRetry, Write: a.Write}}, true
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

// Next waits for the next thing to do for a command. The first call hands it to the module, unless the fleet sheds it.
func (g *Dispatcher) Next(c *Call) Step {
	if !c.handed {
		c.handed = true
		g.mu.Lock()
		if c.left {
			g.mu.Unlock()
			return Step{Answer: ClientGone}
		}
		g.doors++
		c.module.ID = g.doors
		g.open[&c.module] = c
		g.tie(c)
		g.Counters.Classes[c.op].Accepted++
		if back, shed := g.sheds(c); shed {
			g.final(&c.module, Step{Answer: Rejected, RetryAfter: back})
		} else {
			g.module.OnRequest(g.now(), &c.module)
		}
		g.mu.Unlock()
	}
	return <-c.steps
}

// sheds asks the fleet about a command that has just come. Nothing of it has been sent, so a nack keeps its promise.
func (g *Dispatcher) sheds(c *Call) (back time.Duration, shed bool) {
	if g.hands.LoadShedder == nil {
		return 0, false
	}
	ok, back := g.hands.LoadShedder.Admit(c.op, g.weight[c.op], c.from, c.module.ClientRetry)
	if !ok {
		g.Counters.Shed++
	}
	return min(back, g.most), !ok
}

// Report tells how a delivery ended: with a SQLSTATE, or without an answer.
func (g *Dispatcher) Report(d *Attempt, state string, end transport.CloseStatus, load []float64) (acked bool) {
	return g.ended(d, AttemptOutcome(state, end), load)
}

// ReportMirror tells how a delivery at a mirror ended: with an HTTP status, or without an answer.
func (g *Dispatcher) ReportMirror(d *Attempt, status int, believed bool, end transport.CloseStatus) (acked bool) {
	return g.ended(d, MirrorOutcome(status, believed, end), nil)
}

// Begin tells whether a delivery that is about to be written still may be: its client waits for it, its unit is where it
// was chosen, and the module's rules hold as they stand now. It counts as sent from now on. A client whose close has come, but
// whose session has not had the processor since, has gone too: news of the list send many held commands on at once.
func (g *Dispatcher) Begin(d *Attempt) bool {
	if c := d.of; c != nil && c.closed != nil && c.closed() {
		g.Abandon(c)
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return d.Context.Err() == nil && g.open[d.module.Request] != nil && g.byDoor[d.module.Backend.ID].place() == d.Backend &&
		g.module.BeginAttempt(g.now(), d.module)
}

// StreamStarted tells that the answer to a delivery is being passed on while it comes.
func (g *Dispatcher) StreamStarted(d *Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.module.OnStreamStart(g.now(), d.module)
}

func (g *Dispatcher) ended(d *Attempt, ending balancer.Outcome, load []float64) (acked bool) {
	d.cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.open[d.module.Request]
	delete(g.out, d.module)
	g.byDoor[d.module.Backend.ID].out--
	g.Counters.Outcomes[ending]++
	acked = ending == balancer.Succeeded
	if acked && c != nil {
		g.Counters.Classes[c.op].Succeeded++
		delete(g.open, d.module.Request)
		g.untie(c)
	}
	now := g.now()
	if w := g.hands.Evidence; w != nil && (acked || ending == balancer.Errored) {
		w.RecordOutcome(now, d.build, d.module.Request.Class, g.stage, !acked)
	}
	if s := g.hands.LoadShedder; s != nil && ending <= balancer.Reset && ending != balancer.AtCapacity { // one that is full is well
		s.RecordOutcome(d.Name, acked)
		if acked {
			s.RecordServiceTime(d.module.Request.Class, time.Since(d.sent))
		}
	}
	g.module.OnOutcome(now, d.module, ending, max(0, now-g.tick(d.sent)), acked || c == nil, load)
	return acked
}

// Abandon tells that a command's client has gone. Pick returns Gone then.
func (g *Dispatcher) Abandon(c *Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[&c.module] == nil {
		c.left = true
		return
	}
	delete(g.open, &c.module)
	g.untie(c)
	g.Counters.Classes[c.op].Abandoned++
	g.module.OnClientGone(g.now(), &c.module)
	c.steps <- Step{Answer: ClientGone}
}

// ReadyBackends are the units that may get deliveries, in the order in which they were first listed.
func (g *Dispatcher) ReadyBackends() (all []Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.byDoor {
		if u != nil && u.State == balancer.Ready {
			all = append(all, u.place())
		}
	}
	return all
}

// IsCurrent tells whether a unit still is where it was chosen, and may get deliveries.
func (g *Dispatcher) IsCurrent(u Backend) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	is := g.units[u.Name]
	return is != nil && is.State == balancer.Ready && is.place() == u
}

// LoadColumns are the names of the values of a load report, in the settings' order.
func (g *Dispatcher) LoadColumns() []string { return g.loads }

// RunTimers rings the module's alarms until the context ends.
func (g *Dispatcher) RunTimers(ctx context.Context) error { return g.bell.Run(ctx, g.ring) }

// ring calls the alarms that are due and tells how long it is until the next.
func (g *Dispatcher) ring() time.Duration {
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
func (g *Dispatcher) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	c, u := g.open[d.Request], g.byDoor[d.Backend.ID]
	if s := g.hands.LoadShedder; s != nil && d.Number == 0 && !d.Request.ClientRetry {
		s.RecordFirstAttempt()
	}
	at := g.time(stopAt)
	ctx, cancel := context.WithDeadline(context.Background(), at)
	out := &Attempt{Backend: u.place(), Context: ctx, Deadline: at, module: d, of: c, cancel: cancel, sent: time.Now()}
	g.out[d] = out
	u.out++
	g.Counters.Attempts++
	c.steps <- Step{Attempt: out}
}

// MayRetry tells whether a command may be delivered once more, as far as the fleet is concerned.
func (g *Dispatcher) MayRetry(cmd *balancer.Request) bool {
	return g.hands.LoadShedder == nil || g.hands.LoadShedder.AllowRetry(cmd.ClientRetry)
}

// AvoidsBackend tells whether a unit is sick for other relays of the fleet.
func (g *Dispatcher) AvoidsBackend(u *balancer.Backend) bool {
	return g.hands.LoadShedder != nil && g.hands.LoadShedder.IsEjected(g.byDoor[u.ID].name)
}

// MayProbe tells whether a delivery may try a doubted unit, as far as the fleet is concerned.
func (g *Dispatcher) MayProbe(u *balancer.Backend) bool {
	return g.hands.LoadShedder == nil || g.hands.LoadShedder.AllowProbe(g.byDoor[u.ID].name)
}

func (u *unit) place() Backend { return Backend{u.name, u.dial, int64(u.StartedAt)} }

// Reject ends a command with the promise that trying again is harmless.
func (g *Dispatcher) Reject(cmd *balancer.Request, comeBack balancer.Tick) {
	g.final(cmd, Step{Answer: Rejected, RetryAfter: spanOf(comeBack)})
}

// Fail ends a command without any promise.
func (g *Dispatcher) Fail(cmd *balancer.Request) { g.final(cmd, Step{Answer: Failed}) }

func (g *Dispatcher) final(cmd *balancer.Request, s Step) {
	c := g.open[cmd]
	if c == nil {
		return // its client has left
	}
	delete(g.open, cmd)
	g.untie(c)
	if s.Answer == Rejected {
		g.Counters.Classes[c.op].Rejected++
	} else {
		g.Counters.Classes[c.op].Failed++
	}
	c.steps <- s
}

// CancelAttempt stops waiting for a delivery.
func (g *Dispatcher) CancelAttempt(d *balancer.Attempt) {
	if out := g.out[d]; out != nil {
		out.cancel()
	}
}

// SetTimer sets an alarm.
func (g *Dispatcher) SetTimer(at balancer.Tick, tag uint32) {
	g.alarms = append(g.alarms, alarm{at, tag})
	g.bell.Wake()
}

// Probe checks a unit.
func (g *Dispatcher) Probe(u *balancer.Backend) { g.hands.Probe(g.byDoor[u.ID].place()) }

// CloseIdle closes idle connections to a unit.
func (g *Dispatcher) CloseIdle(u *balancer.Backend) { g.hands.CloseIdle(g.byDoor[u.ID].name) }

// SendGossip is not called where the settings allow no messages, which is everywhere so far.
func (g *Dispatcher) SendGossip(uint32, []byte) {}

// Log writes a line for the people on call.
func (g *Dispatcher) Log(message string, fields ...slog.Attr) {
	g.hands.Log(balancer.LogLine(message, fields...))
}

// WatchEndpoints asks for changes of the list.
func (g *Dispatcher) WatchEndpoints(on bool) { g.hands.WatchEndpoints(on) }

// FetchEndpoints asks for the whole list once.
func (g *Dispatcher) FetchEndpoints() { g.hands.FetchEndpoints() }

// CastVote casts a vote.
func (g *Dispatcher) CastVote(build uint16, stage int, verdict balancer.Verdict) {
	g.Counters.Votes++
	if w := g.hands.Evidence; w != nil {
		w.RecordVote(g.now(), build, stage, words[verdict], g.module.VoteReason(verdict))
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

// ClassCounters counts the commands of one op type.
type ClassCounters struct {
	Name                                             string
	Accepted, Succeeded, Rejected, Failed, Abandoned int64
}

// Counters are what went through the gate since the start.
type Counters struct {
	Classes                                        []ClassCounters
	Outcomes                                       [balancer.Discarded + 1]int64
	VoteOutcomes                                   [balancer.Discarded + 1]int64
	Attempts, Votes, Shed                          int64
	EndpointUpdates, StageUpdates, PlatformCounts  int64
	WrongAnswers, OpenRequests, InFlight, Backends int64
	Wakeups                                        int64
	WakeupDelayMean, WakeupDelayMax                time.Duration // on average, and the most
	TimerCallMean, TimerCallMax                    time.Duration // what an alarm takes
}

// Snapshot copies the counts.
func (g *Dispatcher) Snapshot() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.Counters
	c.Classes = append([]ClassCounters(nil), c.Classes...)
	c.OpenRequests, c.InFlight, c.Backends = int64(len(g.open)), int64(len(g.out)), int64(len(g.units))
	n := time.Duration(max(1, g.lag.n))
	c.Wakeups, c.WakeupDelayMean, c.WakeupDelayMax = g.lag.n, g.lag.late/n, g.lag.worst
	c.TimerCallMean, c.TimerCallMax = g.lag.spent/n, g.lag.longestCall
	return c
}
