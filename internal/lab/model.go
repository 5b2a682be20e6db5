package lab

import (
	"container/heap"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"silvercove/balancer"
)

// Op is one op type of an experiment.
type Op struct {
	Name    string
	Share   float64 // of the commands
	Repeats string
}

// Wave is one stage of a rollout.
type Wave struct{ Part, Cap float64 }

// Package is one kind of package that is rolled out.
type Package struct {
	Name   string
	Bad    bool               // whether it is to be taken back
	Errors map[string]float64 // share of failures by op type beyond the base; "all" for each
	Wrong  float64            // share of answers that are wrong
	Slow   float64            // times the usual time
	Silent float64            // share of commands that are never answered
	After  float64            // seconds from a unit's start until it shows
	Prior  string             // a package that is offered before it, and taken back or released first; "" for none
}

// Condition is what goes on beside a rollout.
type Condition struct {
	Name             string
	Late             float64 // seconds by which flags of wrong answers come late, in the middle
	Lost             float64 // share of them that never come
	Burst, From, For float64 // times the usual traffic, from and for so many seconds
	Blind            float64 // share of the relays that hear of nothing but their own outcomes, late
	Restart          float64 // seconds between two restarts of relays, one after the other; 0: none
	Clump            float64 // share of a package's failures that are at one unit of each six
	Garbage          int     // relays whose every tenth outcome reads as an error, at any build
	GarbageFrom      float64 // from so many seconds on
	BaseFails        float64 // failures of the earlier package beyond the usual
	SlowZone         float64 // times the usual time in one zone
	Sick, SickFails  float64 // share of the units that fail a share of what they get, at any build
	SickFrom         float64 // from so many seconds on
}

// Rollout is one simulated rollout. Its figures are the lab's own.
type Rollout struct {
	Relays, Units, Zones int
	Rate                 float64 // commands a second at all relays together
	Ops                  []Op
	Waves                []Wave
	Bake                 float64 // seconds that each wave lasts at the least
	Base                 float64 // share of failures of the earlier package
	Found                float64 // share of wrong answers that are found
	Watch                float64 // seconds after the release
	Longest              float64 // seconds after which it is given up
	EvidenceWait         float64 // seconds that a wave waits for evidence on op types that lack it
	ReportWithin         float64 // seconds within which flags are held to come
	CountEvery           float64 // seconds of a period in which the platform counts outcomes; 0: it counts none
	CountShare           float64 // share of the outcomes that it counts
	Package              Package
	Before               []Package // that are offered first, one after the other
	Condition            Condition
	Seed                 uint64

	wrapHost hostWrapper
}

// hostWrapper puts a recorder between one relay and its host; nil for none. Only tests set one.
type hostWrapper func(host balancer.Host, relay int, now func() balancer.Tick) balancer.Host

func (wrap hostWrapper) apply(host balancer.Host, relay int, now func() balancer.Tick) balancer.Host {
	if wrap == nil {
		return host
	}
	return wrap(host, relay, now)
}

// Result is how one rollout went.
type Result struct {
	Package   string  `json:"package"`
	Condition string  `json:"condition"`
	Seed      uint64  `json:"seed"`
	Bad       bool    `json:"bad"`
	Waves     int     `json:"waves"`    // that it was advanced past
	Released  bool    `json:"released"` // at any time
	Back      bool    `json:"back"`     // it was taken back
	Verdict   float64 `json:"verdict"`  // seconds to release or way back, whichever came first
	Undecided bool    `json:"undecided"`
	Commands  int     `json:"commands"`
	Failed    int     `json:"failed"`           // commands that got an error, a nack or no answer in time
	Trial     int     `json:"trial"`            // deliveries at the package before its release
	Broken    int     `json:"broken"`           // times the exposure rule was broken
	Before    string  `json:"before,omitempty"` // how the packages before it ended: back or released, one word each
}

const (
	second   = float64(balancer.Second)
	earlier  = 1   // the build that all run at first; packages count up from it
	window   = 4.0 // seconds of the exposure rule
	newsLag  = 0.05
	listLag  = 0.1
	replace  = 1.0 // seconds that a unit is away
	cold     = 4.0 // seconds until it is warm
	slots    = 8
	callTime = 0.02 // seconds that a unit works on a command, in the middle
	countLag = 1.0  // seconds until the platform tells what it counted
)

// event is one thing that happens.
type event struct {
	at  balancer.Tick
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }

// model is one rollout under way.
type model struct {
	Rollout
	now    balancer.Tick
	seq    int
	queue  events
	rand   *rand.Rand
	work   distuv.LogNormal
	gap    distuv.Exponential
	delay  distuv.LogNormal
	nodes  []*node
	units  []*unit
	set    balancer.Settings
	doors  uint64
	result Result

	counts  map[uint16][]tally // of the present period, by build and op type
	builds  map[uint16]Package
	build   uint16 // the newest, 0 before any was offered
	base    uint16 // what the others run
	offers  []Package
	offered balancer.Tick
	stage   int
	phase   balancer.RolloutPhase
	began   balancer.Tick // the stage
	pending bool          // a vote to go on waits for the bake
	done    bool
}

// tally is what the platform counted: outcomes, the failed ones of them, and the time that the others took.
type tally struct {
	many, failed int
	took         balancer.Tick
}

// unit is one machine.
type unit struct {
	door  int
	zone  int
	build uint16
	start balancer.Tick
	state balancer.EndpointState
	life  int
	sick  bool
	busy  [slots]balancer.Tick
	moves int // replacements asked for; only the newest counts
}

// node is one relay.
type node struct {
	*model
	no       int
	relay    *balancer.Balancer
	units    []*balancer.Backend
	life     int
	blind    bool
	taken    []balancer.Tick
	sent     []balancer.Tick
	out      map[*balancer.Attempt]bool
	stageCap float64
	capAt    balancer.Tick
	of       uint16 // the build that it is of
	wasCap   float64
	garbage  int
}

func ticksOf(seconds float64) balancer.Tick { return balancer.Tick(seconds * second) }

// Run plays one rollout. The same rollout always goes the same way.
func (r Rollout) Run() Result {
	m := &model{Rollout: r, now: ticksOf(1000), rand: rand.New(rand.NewPCG(r.Seed, 0x5117e2c07e))}
	src := rand.NewPCG(r.Seed, 0xd157)
	m.work = distuv.LogNormal{Mu: math.Log(callTime), Sigma: 0.5, Src: src}
	m.gap = distuv.Exponential{Rate: r.Rate / float64(r.Relays), Src: src}
	m.delay = distuv.LogNormal{Mu: math.Log(max(0.5, r.Condition.Late)), Sigma: 0.4, Src: src}
	m.set = m.settings()
	m.result = Result{Package: r.Package.Name, Condition: r.Condition.Name, Seed: r.Seed, Bad: r.Package.Bad}
	for i := range r.Units {
		m.units = append(m.units, &unit{door: i, zone: i % max(1, r.Zones), build: earlier, state: balancer.Ready})
	}
	for _, i := range rand.New(rand.NewPCG(r.Seed, 0x51c4)).Perm(r.Units)[:int(r.Condition.Sick*float64(r.Units))] {
		m.units[i].sick = true
	}
	m.phase = balancer.Released
	for i := range r.Relays {
		n := &node{model: m, no: i, blind: i < int(r.Condition.Blind*float64(r.Relays))}
		m.nodes = append(m.nodes, n)
		n.start()
		m.after(m.gap.Rand(), n.arrive)
	}
	const warm = 3.0 // seconds of traffic at the earlier package alone
	m.base, m.builds = earlier, map[uint16]Package{}
	m.offers = append(slices.Clone(r.Before), r.Package)
	m.after(warm, m.offer)
	if r.Condition.Restart > 0 {
		m.after(warm+r.Condition.Restart, func() { m.restart(0) })
	}
	if r.CountEvery > 0 {
		m.counts = map[uint16][]tally{}
		m.after(r.CountEvery, m.countOut)
	}
	end := m.now + ticksOf(warm+r.Longest)
	for len(m.queue) > 0 && !m.done {
		e := heap.Pop(&m.queue).(event)
		if e.at > end {
			m.result.Undecided = !m.result.Released && !m.result.Back
			break
		}
		m.now = e.at
		e.do()
	}
	return m.result
}

func (m *model) after(seconds float64, do func()) { m.at(m.now+max(0, ticksOf(seconds)), do) }

func (m *model) at(t balancer.Tick, do func()) {
	m.seq++
	heap.Push(&m.queue, event{max(t, m.now), m.seq, do})
}

// settings are those of a relay, in the lab's own figures.
func (m *model) settings() balancer.Settings {
	s := balancer.Settings{
		Relays: float64(m.Relays),
		Limits: balancer.Limits{MaxAttempts: 3, MayCancel: true, RetryAfter: true, MaxRetryAfter: 1, IdleTimeout: 5,
			ConnectTimeout: 0.5},
		Endpoints: balancer.EndpointRules{DrainGrace: 1, PollInterval: 20},
		SlowStart: balancer.SlowStart{Window: cold, InitialFraction: 0.5, OverloadMultiple: 2, OverloadWindow: 1},
		Rollout: balancer.Rollout{
			ExposureFree:   4,
			ExposureWindow: window,
			VoteLifetime:   4,
			VoteTimeout:    1,
			VotesPerSecond: 2 * float64(m.Relays),
			FoundShare:     m.Found,
			MetricsPeriod:  balancer.Seconds(m.CountEvery),
			EvidenceWait:   balancer.Seconds(m.EvidenceWait),
			ReportWithin:   balancer.Seconds(m.ReportWithin),
		},
	}
	for _, o := range m.Ops {
		s.Classes = append(s.Classes, balancer.RequestClass{Name: o.Name, Idempotency: idempotencyOf[o.Repeats],
			DedupScope: balancer.DedupEverywhere, DedupWindow: 30, LatencyObjective: 0.5, Deadline: 2, PriorityWeight: 1})
	}
	for _, w := range m.Waves {
		s.Rollout.StageCaps = append(s.Rollout.StageCaps, w.Cap)
		s.Rollout.StageShares = append(s.Rollout.StageShares, w.Part)
	}
	return s
}

// idempotencyOf is what an experiment's file says of an op type. Any other word is at most once.
var idempotencyOf = map[string]balancer.Idempotency{"redeliverable": balancer.Idempotent,
	"deduplicated": balancer.IdempotentWithKey, "at_most_once": balancer.AtMostOnce}

// start starts a relay's process: nothing is known from before.
func (n *node) start() {
	n.life++
	n.out = map[*balancer.Attempt]bool{}
	n.units = make([]*balancer.Backend, len(n.model.units))
	host := n.wrapHost.apply(n, n.no, func() balancer.Tick { return n.now })
	n.relay = balancer.New(host, n.now, n.Seed<<8^uint64(n.no)<<1^uint64(n.life), n.set)
	for i, u := range n.model.units {
		n.units[i] = &balancer.Backend{ID: uint32(i)}
		n.list(u)
	}
	n.relay.OnListSynced(n.now, true)
	n.news(false, balancer.Succeeded)
}

// list tells a relay of a unit.
func (n *node) list(u *unit) {
	n.relay.OnEndpoint(n.now, n.units[u.door], balancer.Endpoint{Zone: u.zone, State: u.state, NominalWeight: 1, StartedAt: u.start,
		Version: u.build})
}

// news tells it where the package stands.
func (n *node) news(answer bool, ending balancer.Outcome) {
	build, stageCap := n.build, 1.0
	if build == 0 {
		build = earlier
	} else {
		stageCap = n.capNow()
	}
	if build != earlier && (stageCap != n.stageCap || build != n.of) {
		n.wasCap, n.stageCap, n.capAt, n.of = n.stageCap, stageCap, n.now, build
	}
	n.relay.OnReleaseStatus(n.now, balancer.ReleaseStatus{Version: build, Stage: max(0, n.stage), Phase: n.phase, ExposureCap: stageCap, VoteReply: answer,
		Outcome: ending, Age: n.now - n.began})
}

func (m *model) capNow() float64 {
	switch m.phase {
	case balancer.Canary:
		return m.Waves[m.stage].Cap
	case balancer.Released:
		return 1
	}
	return 0
}

// tellAll tells every relay where the package stands, after a while; the blind hear of it late.
func (m *model) tellAll() {
	for _, n := range m.nodes {
		lag, life := newsLag, n.life
		if n.blind {
			lag = 5
		}
		m.after(lag, func() {
			if n.life == life {
				n.news(false, balancer.Succeeded)
			}
		})
	}
}

// offer begins the rollout of the next package.
func (m *model) offer() {
	m.build = max(m.build, earlier) + 1
	m.builds[m.build], m.offers = m.offers[0], m.offers[1:]
	m.offered = m.now
	m.enter(0)
}

// next goes on to the package after one that has ended, or ends the rollout.
func (m *model) next(how string, wait float64) {
	if len(m.offers) == 0 {
		m.after(wait, func() { m.done = true })
		return
	}
	m.result.Before += how + " "
	m.after(wait, m.offer)
}

// enter begins a wave: so many units get the package.
func (m *model) enter(stage int) {
	m.stage, m.phase, m.began, m.pending = stage, balancer.Canary, m.now, false
	m.tellAll()
	m.replace(m.build, int(math.Ceil(m.Waves[stage].Part*float64(m.Units))))
}

// replace has units run a build until so many do; one unit of each six is first, then the next.
func (m *model) replace(build uint16, upTo int) {
	has := 0
	for _, u := range m.units {
		if u.build == build {
			has++
		}
	}
	for i := 0; i < m.Units && has < upTo; i++ {
		u := m.units[i*7%m.Units]
		if m.Units%7 == 0 {
			u = m.units[i]
		}
		if u.build == build {
			continue
		}
		has++
		u.moves++
		move := u.moves
		u.state = balancer.Draining
		m.tellUnit(u)
		m.after(replace, func() {
			if u.moves != move {
				return
			}
			u.build, u.start, u.state = build, m.now, balancer.Ready
			u.life++
			u.busy = [slots]balancer.Tick{}
			m.tellUnit(u)
		})
	}
}

// tellUnit tells every relay of a unit, after a while.
func (m *model) tellUnit(u *unit) {
	is := *u
	for _, n := range m.nodes {
		life, lag := n.life, listLag
		if n.blind {
			lag = 0.9 * replace // the grace of a drain is kept
		}
		m.after(lag, func() {
			if n.life == life {
				n.list(&is)
				n.relay.OnListSynced(m.now, true)
			}
		})
	}
}

// restart kills one relay after the other; each starts again at once and knows nothing.
func (m *model) restart(no int) {
	n := m.nodes[no%m.Relays]
	n.start()
	m.after(m.Condition.Restart, func() { m.restart(no + 1) })
}

// arrive takes the next command at a relay.
func (n *node) arrive() {
	c := n.Condition
	since := (n.now - ticksOf(1003))
	rate := 1.0
	if c.Burst > 0 && since >= ticksOf(c.From) && since < ticksOf(c.From+c.For) {
		rate = c.Burst
	}
	n.after(n.gap.Rand()/rate, n.arrive)
	draw, op := n.rand.Float64(), 0
	for draw >= n.Ops[op].Share && op < len(n.Ops)-1 {
		draw -= n.Ops[op].Share
		op++
	}
	n.doors++
	cmd := &balancer.Request{ID: n.doors, Class: op, Deadline: n.now + ticksOf(2), Write: op > 0}
	n.result.Commands++
	n.taken = append(n.taken, n.now)
	n.relay.OnRequest(n.now, cmd)
}

// StartAttempt works a command at a unit.
func (n *node) StartAttempt(d *balancer.Attempt, stopAt balancer.Tick) {
	u := n.model.units[d.Backend.ID]
	n.out[d] = true
	if !n.relay.BeginAttempt(n.now, d) {
		n.result.Broken++ // written at once it always may be
	}
	n.expose(u)
	life, own, build := u.life, n.life, u.build
	p, of := n.builds[build]
	shows := of && n.now >= u.start+ticksOf(p.After)
	end := u.occupy(n.now, n.serviceTime(u, p, shows))
	fails := n.failureShare(u, p, shows, n.Ops[d.Request.Class].Name)
	ending := balancer.Succeeded
	if n.rand.Float64() < fails {
		ending = balancer.Errored
	}
	wrong := ending == balancer.Succeeded && shows && n.rand.Float64() < p.Wrong
	if n.no < n.Condition.Garbage && n.now >= ticksOf(1003+n.Condition.GarbageFrom) {
		if n.garbage++; n.garbage%10 == 0 {
			ending = balancer.Errored
		}
	}
	if shows && p.Silent > 0 && n.rand.Float64() < p.Silent {
		end = stopAt + 1
	}
	if end > stopAt {
		end, ending = stopAt, balancer.TimedOut
	}
	sent := n.now
	n.at(end, func() {
		if n.life != own || !n.out[d] {
			return
		}
		if u.life != life {
			ending = balancer.Reset
		}
		delete(n.out, d)
		n.counted(build, d.Request.Class, ending, n.now-sent)
		if ending == balancer.Succeeded && wrong {
			n.flag(d.Backend, d.Request.Class, build)
		}
		n.relay.OnOutcome(n.now, d, ending, n.now-sent, ending == balancer.Succeeded, nil)
	})
}

// serviceTime draws the seconds that a request takes at a backend once it is worked; shows says whether the faults of
// the version that it runs show by now.
func (n *node) serviceTime(u *unit, p Package, shows bool) float64 {
	took := n.work.Rand()
	if shows && p.Slow > 0 {
		took *= p.Slow
	}
	if n.Condition.SlowZone > 0 && u.zone == 0 {
		took *= n.Condition.SlowZone
	}
	if u.start > 0 && n.now < u.start+ticksOf(cold) {
		took /= 0.5 + 0.5*float64(n.now-u.start)/(cold*second)
	}
	return took
}

// occupy has the slot that is free first work for so many seconds, and returns when it is done.
func (u *unit) occupy(now balancer.Tick, took float64) balancer.Tick {
	slot := 0
	for i := range u.busy {
		if u.busy[i] < u.busy[slot] {
			slot = i
		}
	}
	u.busy[slot] = max(now, u.busy[slot]) + ticksOf(took)
	return u.busy[slot]
}

// failureShare is the chance that a backend fails a request of a class.
func (n *node) failureShare(u *unit, p Package, shows bool, class string) float64 {
	fails := n.Base
	if u.build == earlier { // packages are in order but for what they are said to do
		fails += n.Condition.BaseFails
	}
	if shows {
		more := p.Errors["all"] + p.Errors[class]
		if n.Condition.Clump > 0 { // most of it at one unit of each six
			if u.door%6 == 0 {
				more = min(0.95, more*6*n.Condition.Clump)
			} else {
				more *= (1 - n.Condition.Clump) * 6 / 5
			}
		}
		fails += more
	}
	if u.sick && n.now >= ticksOf(1003+n.Condition.SickFrom) {
		fails = max(fails, n.Condition.SickFails)
	}
	return fails
}

// counted has the platform count an outcome, if it is one of those that it samples.
func (m *model) counted(build uint16, op int, ending balancer.Outcome, took balancer.Tick) {
	if m.CountEvery == 0 || m.rand.Float64() >= m.CountShare {
		return
	}
	if m.counts[build] == nil {
		m.counts[build] = make([]tally, len(m.Ops))
	}
	t := &m.counts[build][op]
	if t.many++; ending == balancer.Succeeded {
		t.took += took
	} else {
		t.failed++
	}
}

// countOut ends a period: a while later each relay is told of it, the earlier build first.
func (m *model) countOut() {
	counts, at := m.counts, m.now
	m.counts = map[uint16][]tally{}
	m.after(m.CountEvery, m.countOut)
	builds := slices.Sorted(maps.Keys(counts))
	for _, n := range m.nodes {
		life, lag := n.life, countLag
		if n.blind {
			lag = 5
		}
		m.after(lag, func() {
			for _, build := range builds {
				for op, t := range counts[build] {
					if n.life == life && t.many > 0 {
						mean := t.took / balancer.Tick(max(1, t.many-t.failed))
						n.relay.OnMetrics(m.now, build, op, t.many, t.failed, mean, m.now-at)
					}
				}
			}
		})
	}
}

// flag has a client find a wrong answer later, and maybe report it to any relay.
func (n *node) flag(to *balancer.Backend, op int, build uint16) {
	if n.rand.Float64() >= n.Found || n.rand.Float64() < n.Condition.Lost {
		return
	}
	at, door := n.now, to.ID
	other := n.nodes[n.rand.IntN(n.Relays)]
	n.after(n.delay.Rand(), func() {
		if u := other.units[door]; u.Version == build { // one of another process is no longer known
			other.relay.OnWrongAnswer(n.now, u, op, n.now-at)
		}
	})
}

// expose counts a send at the package while it is on trial, and holds it against the rule.
func (n *node) expose(u *unit) {
	if u.build != n.build || u.build == n.base || n.phase == balancer.Released {
		return
	}
	n.result.Trial++
	from := n.now - ticksOf(window)
	n.sent = slices.DeleteFunc(n.sent, func(t balancer.Tick) bool { return t < from })
	n.taken = slices.DeleteFunc(n.taken, func(t balancer.Tick) bool { return t < from })
	n.sent = append(n.sent, n.now)
	stageCap := n.stageCap
	if n.of != n.build { // a relay that has not heard of the package holds it for one in its first wave
		stageCap = n.Waves[0].Cap
	}
	if n.now < n.capAt+ticksOf(1+window) {
		stageCap = max(stageCap, n.wasCap)
	}
	// Under a cap of all there is nothing else to send to, and a second delivery alone would exceed it.
	if stageCap < 1 && float64(len(n.sent)) > 4+stageCap*float64(len(n.taken))+1e-9 && n.now > n.capAt+ticksOf(1) {
		n.result.Broken++
	}
}

// Reject, Fail: the client has no answer.
func (n *node) Reject(*balancer.Request, balancer.Tick) { n.result.Failed++ }
func (n *node) Fail(*balancer.Request)                  { n.result.Failed++ }

// CancelAttempt ends a delivery at once.
func (n *node) CancelAttempt(d *balancer.Attempt) {
	own := n.life
	n.after(0, func() {
		if n.life != own || !n.out[d] {
			return
		}
		delete(n.out, d)
		n.relay.OnOutcome(n.now, d, balancer.Cancelled, 0, false, nil)
	})
}

// SetTimer sets an alarm.
func (n *node) SetTimer(at balancer.Tick, tag uint32) {
	own := n.life
	n.at(at, func() {
		if n.life == own {
			n.relay.OnTimer(n.now, tag)
		}
	})
}

// What the model has no use for.
func (n *node) Probe(*balancer.Backend)     {}
func (n *node) CloseIdle(*balancer.Backend) {}
func (n *node) SendGossip(uint32, []byte)   {}
func (n *node) Log(string, ...slog.Attr)    {}
func (n *node) WatchEndpoints(bool)         {}
func (n *node) FetchEndpoints()             {}

// CastVote brings a vote to the platform, where one decides.
func (n *node) CastVote(build uint16, stage int, verdict balancer.Verdict) {
	own := n.life
	n.after(newsLag, func() {
		counts := build == n.build && build != 0 && (n.phase == balancer.Canary && stage == n.stage || n.phase == balancer.Released)
		if counts {
			n.count(verdict)
		}
		if n.life != own {
			return
		}
		ending := balancer.Succeeded
		if !counts {
			ending = balancer.Discarded
		}
		n.news(true, ending)
	})
}

// count acts on a vote.
func (m *model) count(v balancer.Verdict) {
	switch {
	case v == balancer.RollBack && m.phase != balancer.RollingBack:
		last := len(m.offers) == 0
		if last {
			m.result.Back = true
			m.verdict()
		}
		m.phase = balancer.RollingBack
		m.tellAll()
		if last {
			m.done = true
			return
		}
		m.replace(m.base, m.Units)
		m.after(2*replace, func() {
			m.phase = balancer.Withdrawn
			m.tellAll()
		})
		m.next("back", 3*replace)
	case v == balancer.Promote && m.phase == balancer.Canary && !m.pending:
		m.pending = true
		wait := max(0, m.began+ticksOf(m.Bake)-m.now)
		stage := m.stage
		m.at(m.now+wait, func() {
			if m.phase == balancer.Canary && m.stage == stage {
				m.advance()
			}
		})
	}
}

func (m *model) verdict() {
	if m.result.Verdict == 0 {
		m.result.Verdict = float64(m.now-m.offered) / second
	}
}

// advance goes to the next wave, or releases.
func (m *model) advance() {
	last := len(m.offers) == 0
	if last {
		m.result.Waves++
	}
	if m.stage+1 < len(m.Waves) {
		m.enter(m.stage + 1)
		return
	}
	m.phase = balancer.Released
	if last {
		m.result.Released = true
		m.verdict()
	}
	m.tellAll()
	if last {
		m.after(m.Watch, func() { m.done = true })
		return
	}
	build := m.build
	m.after(m.Watch, func() {
		if m.phase == balancer.Released && m.build == build { // else it was sent back meanwhile
			m.base = build
			m.next("released", 0)
		}
	})
}
