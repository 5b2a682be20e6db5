// Package choice decides for one relay: where each command goes, how long a delivery may take,
// what is tried again or given up, and how the relay votes on the build on trial.
//
// How to call it: New makes the Relay of one instance. Call the one method that names what has
// happened, with the time, one call at a time; it acts at once through the Host that New was given.
// Types and the Host interface are in host.go. Settings are a plain map, times in seconds.
//
// The design (docs/design.md) decides the ordinary path. Beside it stand:
//  1. room: of a unit and of the relay, by how many answers come early enough
//  2. commands that find no room are held, and given up when the target is lost
//  3. units: an order of the relay's own, a sequential test, a trickle that doubles
//  4. the cold budget, one for all relays
//  5. a test for each op type, one for wrong answers and one for what the platform counts, fed by peers where they
//     may talk, and their duals, which rule a failure share out before a vote to go on
//  6. lateness against the earlier build, scored as the time-out of a delivery
package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	alpha       = 0.01            // false-alarm budget of one stream of outcomes
	margin      = 0.02            // above the earlier build's failure share
	firstGuess  = 4               // times the edge: the failure share that a new test bets on
	capUse      = 0.9             // of the cap, for first deliveries
	mostTests   = 32              // open at once in one stream
	askMost     = 16 * Second / 5 // middle pause between calls for the list; 6 s after discovery had it a change counts as told
	leastSample = 20              // outcomes in a stage before a vote to go on
	moreSample  = 60              // while more of them are slow than the edge
	effect      = 0.2             // failures beyond the earlier build's that a vote to go on is to rule out
	missed      = 0.05            // the chance with which it may fail to, for one op type at one relay
	leastTimed  = 6               // outcomes of the build before a timed vote to go on, if few relays share the sample
	voteAfter   = 3 * Second
	drawnOut    = 3    // times the middle time before the trial is slow
	burden      = 0.22 // of slowness: by the greater load of units on trial
	excuse      = 0.1  // of slowness: by the fleet's own rise in a trial
	burst       = 1.2  // times what was acked before the trial: slowness is the callers' doing
	fewSay      = 4    // relays that log what many see
	kept        = 64   // samples of an op type at one build
	keptFlags   = 512  // flags are rare
	keptUnit    = 16   // and of a unit
	mostForward = 3    // builds whose answered keys are kept: the newest, one that is not announced yet, one to spare
	sweepEvery  = 50 * Second / 1000
	roomPart    = 0.15           // of a service target: what a unit may owe
	quiet       = 0.6            // of a service target: how long a unit may stay silent
	coldPart    = 0.85           // of what the cold rule allows
	coldSpread  = 3              // deviations of chance left free in it
	coldFree    = 1              // that no unit falls under in a window, whatever it can do: the rule has a slack of 2
	nearLeast   = 5              // units that a relay chooses from
	demoted     = 0.25           // failure share of a unit that goes to the end of the order
	tardy       = 0.6            // of what was due: an answer later than this says that units are overloaded
	rescuePart  = 0.04           // of what is acked: deliveries called off at silent units
	limitLess   = 0.1            // part by which such an answer lowers them
	limitMore   = 0.06           // and an earlier one raises them
	tellEvery   = Second / 2     // between messages to peers
	rateSpan    = 2 * Second     // over which the relay's own rate is taken
	failing     = 0.75           // failure share of a unit that is to be set aside
	doubtAside  = 27.0           // sets a unit aside
	gapFirst    = Second / 2     // between the first deliveries of a trickle
	gapMost     = 4 * Second     // after failures
	tryAgain    = 3 * Second / 2 // without an answer, then one is tried all the same: none for 4 s on end would be as good as dead
	gapDone     = Second / 20    // a trickle this dense ends
)

// New makes the module of one instance, started now with its seed and settings.
func New(host Host, now Tick, seed uint64, settings map[string]any) *Relay {
	r := &Relay{host: host, set: settings, now: now, born: now, forward: map[uint16]*filter{}}
	r.prepare(seed)
	r.figure()
	if r.word("discovery") == "subscribe" {
		r.host.Watch(true)
		r.asking, r.askGap = true, askMost
		r.askLater()
	}
	r.marks = make([]float64, keptUnit) // before any outcome the units are held to be good
	r.near, r.limit, r.rescues = nearLeast, nearLeast, nearLeast
	r.host.WakeAt(now+sweepEvery, 0)
	return r
}

func (r *Relay) Command(now Tick, cmd *Command) {
	r.now, cmd.taken = now, now
	l := r.lane(cmd.OpType)
	l.taken = append(l.taken, now)
	if !cmd.Repeated {
		r.asked = append(r.asked, now)
	}
	l.credit = min(l.credit+r.fair, max(1, r.num("rollout.exposure_free")))
	cmd.rank, _ = r.opTypes[cmd.OpType]["importance"].(float64)
	r.hold(cmd)
	r.serve()
}

// hold keeps a command by importance, then by the time when it loses its use. Guards in overload.
func (r *Relay) hold(cmd *Command) {
	cmd.end = min(cmd.NotAfter-2*sweepEvery, cmd.taken+r.opSpan(cmd, "service_target"))
	if r.hopeless(cmd) {
		r.giveUp(cmd)
		return
	}
	cmd.held = true
	at, _ := slices.BinarySearchFunc(r.held, cmd, func(c, _ *Command) int {
		return cmp.Or(cmp.Compare(cmd.rank, c.rank), cmp.Compare(c.end, cmd.end), -1)
	})
	r.held = slices.Insert(r.held, at, cmd)
}

// hopeless: it could hardly be answered in time any more. What has just come is tried as long as half of the deliveries
// would be in time, and after 1.5 s without an answer all the same; what had to wait as long as nine in ten would.
func (r *Relay) hopeless(cmd *Command) bool {
	if r.now == cmd.taken {
		op := cmd.OpType
		if hard := r.now >= cmd.end-r.middle[op]; !hard || r.now >= cmd.end ||
			!cmd.spared && r.now <= r.learned[op]+tryAgain {
			return hard
		}
		cmd.spared, r.learned[op] = true, r.now
		return false
	}
	return r.now >= cmd.end-r.typical[cmd.OpType]
}

// serve routes what is held, the most urgent first, until a few find no unit.
func (r *Relay) serve() {
	var left []*Command
	stuck, i := 0, 0
	for ; i < len(r.held) && stuck < 4; i++ {
		cmd := r.held[i]
		switch {
		case cmd.answered:
		case r.hopeless(cmd):
			r.giveUp(cmd)
		case r.route(cmd):
			cmd.held = false
		default:
			stuck++
			left = append(left, cmd)
		}
	}
	r.held = slices.Replace(r.held, 0, i, left...)
}

// route is the ordinary path of a command: which build, which unit, how long.
func (r *Relay) route(cmd *Command) bool {
	if r.open() >= r.limit {
		return false
	}
	l := r.lane(cmd.OpType)
	var earlier, trial []*Unit // the nearest that may take it
	for _, u := range r.units {
		switch tried := r.onTrial(u.Build); {
		case tried && len(trial) >= 2+int(r.fair*float64(r.near)) || !tried && len(earlier) >= r.near:
		case !r.mayTake(cmd, u) || len(earlier) >= nearLeast && r.poor(u):
		case !tried:
			earlier = append(earlier, u)
		case r.exposable(cmd, l, u.Build):
			trial = append(trial, u)
		}
	}
	pool := earlier // where nothing earlier can take it, the tenth kept back may be used
	if len(pool) == 0 || len(cmd.deliveries) == 0 && l.credit >= 1 && len(trial) > 0 {
		pool = trial
	}
	if len(pool) == 0 {
		return false
	}
	u := pool[r.chance(len(pool))]
	if other := pool[r.chance(len(pool))]; other.inFlight < u.inFlight ||
		other.inFlight == u.inFlight && mean(other.paces) < mean(u.paces) {
		u = other
	}
	if !r.alone && !r.mayTry(u) {
		return r.route(cmd)
	}

	d := &Delivery{Cmd: cmd, No: len(cmd.deliveries), To: u, sent: r.now, build: u.Build, since: u.Start}
	target := r.opSpan(cmd, "service_target")
	d.late = r.now + Tick(float64(target)/r.warmth(u))
	d.due = r.now + Tick(float64(min(target, drawnOut*r.judged.middle[cmd.OpType]))/r.warmth(u))
	d.first = len(u.acks) == 0 || r.now-u.acks[len(u.acks)-1] > r.span("limits.idle_close")
	if r.onTrial(u.Build) {
		l.credit = max(0, l.credit-1)
	}
	r.written(d)
	if u.inFlight == 0 {
		u.oldest = r.now
	}
	if r.doubted(u) {
		u.nextTry = r.now + max(u.gap, gapDone)
	}
	u.inFlight++
	cmd.deliveries = append(cmd.deliveries, d)
	r.out = append(r.out, d)
	r.host.Deliver(d, cmd.NotAfter)
	return true
}

// Begin asks whether a delivery may be written after the waits and the dial since its choice, and counts it as of now.
// Guards against late dials: past a repeat window, at a unit that drains or is another one, over the budgets.
func (r *Relay) Begin(now Tick, d *Delivery) bool {
	cmd, u, l, before := d.Cmd, d.To, r.lane(d.Cmd.OpType), *d.Cmd
	r.now, before.deliveries = now, cmd.deliveries[:d.No]
	l.sent, u.sends = without(l.sent, d.counted, d.exposed), without(u.sends, d.counted, d.cold)
	late, same := now > d.sent+sweepEvery/10, u.Start == d.since && u.Build == d.build
	if cmd.answered || d.cancelled || now >= cmd.NotAfter || !same || !r.allowed(&before, u) {
		return false
	}
	if late && (r.onTrial(u.Build) && !r.exposable(cmd, l, u.Build) || u.coldFrom != d.counted && !r.coldRoom(u)) {
		return false
	}
	r.written(d)
	return true
}

// written counts a delivery as of now towards exposure and the cold budget.
func (r *Relay) written(d *Delivery) {
	d.counted, d.exposed, d.cold = r.now, r.onTrial(d.build), r.warmth(d.To) < 1
	if l := r.lane(d.Cmd.OpType); d.exposed {
		l.sent = append(l.sent, r.now)
	}
	if u := d.To; d.cold {
		u.sends, u.coldFrom, u.coldDue = append(u.sends, r.now), r.now, 1
	}
}

func (r *Relay) mayTake(cmd *Command, u *Unit) bool {
	if n := len(cmd.deliveries); !r.allowed(cmd, u) || n > 0 && cmd.deliveries[n-1].To == u &&
		(!cmd.Tied || r.now < cmd.deliveries[n-1].sent+sweepEvery<<n) {
		return false // a tied one has no other unit: again after a pause that doubles
	}
	if r.doubted(u) && !r.alone { // a trickle of what can be tried again tells whether it has come back
		return r.now >= u.nextTry && u.inFlight < 2 && r.word2(cmd, "repeats") != "at_most_once" && r.coldRoom(u)
	}
	return float64(u.inFlight) < r.room(u) && r.coldRoom(u)
}

// allowed keeps the rules on what may go to a unit, as it is chosen and once more as the delivery is written.
func (r *Relay) allowed(cmd *Command, u *Unit) bool {
	for by, keys := range r.forward { // a forward-only key; its build may not be announced yet
		if u.Build < by && keys.has(cmd.Key) && (by > r.news.Build ||
			by == r.news.Build && (r.news.Phase == OnTrial || r.news.Phase == Released)) {
			return false
		}
	}
	return u.State == Ready && (!cmd.Tied || cmd.At == u) && r.harmless(cmd, u)
}

// poor: it failed of late, and more of its last deliveries than others of the fleet do.
func (r *Relay) poor(u *Unit) bool {
	return r.now-u.failed < 2*gapMost && mean(u.marks) > demoted+mean(r.marks)
}

// doubted: the unit was set aside, or owes an answer for longer than is usual.
func (r *Relay) doubted(u *Unit) bool { return u.aside || r.silent(u) || r.now < u.shunned }

func (r *Relay) silent(u *Unit) bool {
	return u.inFlight > 0 && float64(r.now-max(u.heard, u.oldest))*r.warmth(u) > quiet*float64(r.target)
}

// room bounds what is in flight at a unit by what it answered of late. Guards against slow units,
// overload and queues that outlast the service target; hurts right after an idle spell.
func (r *Relay) room(u *Unit) float64 {
	least := r.warmth(u) // one in flight, at a warm unit
	if len(u.acks) < 2 {
		return least
	}
	return least + roomPart*float64(r.target)*float64(len(u.acks))/float64(max(1, r.now-u.acks[0]))
}

// coldRoom keeps this relay's part of the cold budget, in terms of what its warm units answer: as
// every relay keeps to its own warm rate, all together keep the rule. A part of less than one delivery
// a window comes due from a drawn moment, and leaves room for what chance piles up among the relays.
func (r *Relay) coldRoom(u *Unit) bool {
	w, tip, relays := r.warmth(u), r.span("rules.tip_after"), max(1, r.num("relays"))
	if w >= 1 {
		return true
	}
	u.sends = recent(u.sends, r.now-tip-1)
	budget := coldPart * r.num("rules.fall_multiple") * w * r.perUnit * float64(tip) / float64(Second)
	spread := coldSpread * math.Sqrt(max(0, 1-budget)) / 2
	budget = math.Pow(math.Sqrt(spread*spread+max(coldFree, budget*relays))-spread, 2) / relays
	if budget >= 1 {
		return float64(len(u.sends))+1 <= budget // rounded up by each, all would send up to twice as much
	}
	return float64(r.now-u.coldFrom)*budget >= float64(tip)*u.coldDue
}

// exposable keeps the exposure rule for one more delivery at a build on trial.
func (r *Relay) exposable(cmd *Command, l *lane, build uint16) bool {
	share, stage := r.capOf(build)
	guarded := stage < int(r.num("rollout.guarded_stages"))
	if share <= 0 || guarded && r.word2(cmd, "repeats") != "redeliverable" {
		return false
	}
	window := r.span("rollout.exposure_window") + 1
	l.sent, l.taken = recent(l.sent, r.now-window-1), recent(l.taken, r.now-window+2)
	if r.recount != 0 && r.now > r.recount { // a lowered cap has bound since
		l.sent, l.taken = recent(l.sent, r.recount-1), recent(l.taken, r.recount+1)
	}
	free := r.num("rollout.exposure_free") * mark(r.now > r.born+window) // a killed one's sends count
	return float64(len(l.sent)+1) <= free+share*float64(len(l.taken))-1e-5
}

// harmless keeps the rule on double effects, for one more delivery or, with no unit, a nack.
func (r *Relay) harmless(cmd *Command, u *Unit) bool {
	for _, d := range cmd.deliveries {
		if !d.mayHaveRun() {
			continue
		}
		group := r.word2(cmd, "repeat_group")
		switch repeats := r.word2(cmd, "repeats"); {
		case u != nil && !d.ended:
			return false
		case repeats == "redeliverable":
		case repeats != "deduplicated", u == nil && group != "all",
			u != nil && (r.now+1 >= d.sent+r.opSpan(cmd, "repeat_window") ||
				group != "all" && (group != "zone" || d.To.Zone != u.Zone) && (group != "cell" || d.To.Cell != u.Cell)):
			return false
		}
	}
	return u == nil || len(cmd.deliveries) < int(r.num("limits.max_deliveries"))
}

// giveUp answers at once, with the time to come back where clients are told one.
func (r *Relay) giveUp(cmd *Command) {
	cmd.answered = true
	if !r.harmless(cmd, nil) {
		r.host.Fail(cmd)
		return
	}
	back, half := Tick(0), r.opSpan(cmd, "service_target")/2
	if r.flag("limits.come_back") {
		back = min(r.span("limits.max_come_back"), half+Tick(r.chance(int(half)+1)))
	}
	r.host.Nack(cmd, back)
}

func (r *Relay) Outcome(now Tick, d *Delivery, ending Ending, took Tick, settled bool, load []float64) {
	r.now = now
	cmd, u := d.Cmd, d.To
	d.ended, d.ending = true, ending
	u.inFlight--
	r.out = slices.DeleteFunc(r.out, func(o *Delivery) bool { return o == d })
	if ending != TimedOut && ending != ConnectFailed && ending != Cancelled && ending != Moot {
		u.heard = now
	}
	if ending == Acked {
		u.acks = keep(u.acks, now, keptUnit)
		r.acks = append(r.acks, now)
		r.rescues = min(r.rescues+rescuePart, float64(r.near))
		r.took[cmd.OpType], r.learned[cmd.OpType] = keep(r.took[cmd.OpType], took, kept), now
		if cmd.Key != 0 && d.build >= r.news.Build && r.flag("rollout.forward_only") {
			r.forwarded(cmd.Key, d.build)
		}
	}
	r.score(d)
	cmd.answered = cmd.answered || settled
	if !cmd.answered && !cmd.held {
		may := func(u *Unit) bool { return !cmd.hopeless && r.harmless(cmd, u) }
		if slices.ContainsFunc(r.units, may) && r.again(cmd, true) {
			r.hold(cmd)
		} else {
			r.giveUp(cmd)
		}
	}
	r.serve()
	r.consider()
}

// score sets the limit on open deliveries, a guard against overload where hundreds of relays load the
// same units (no answer is no sign of that), and finds out what an error speaks for.
func (r *Relay) score(d *Delivery) {
	if d.ending == Full && d.Cmd.Tied {
		return // its instance is elsewhere: that speaks for the news of it, not for the unit
	}
	slow, late := r.now > d.due || d.ending == TimedOut, r.now > d.late
	switch {
	case d.To.heard < d.sent:
	case d.ending == Full || d.ending <= TimedOut && float64(r.now-d.sent) > tardy*float64(d.late-d.sent):
		r.limit = max(1, 2*r.whole/max(1, r.num("relays")), r.limit*(1-limitLess))
	case d.ending == Acked && r.open()+1 >= r.limit/2:
		r.limit *= 1 + limitMore
	}
	if u := d.To; u.Start == d.since && d.ending < Cancelled {
		if !d.marked {
			r.weigh(u, late || d.ending != Acked)
		}
		u.paces = keep(u.paces, float64(r.now-d.sent)/float64(d.late-d.sent), keptUnit/4)
	}
	// An error of a command that is tried again waits for the next answer: an ack says that
	// its build failed, an error at a second unit that the command itself did.
	// This guards against commands that fail anywhere; hurts where a build fails every unit's.
	cmd := d.Cmd
	switch before := cmd.suspect; {
	case d.ending == Errored && before != nil:
		r.own, cmd.suspect, cmd.hopeless = keep(r.own, 1, kept), nil, true
		return
	case d.ending == Errored && r.word2(cmd, "repeats") != "at_most_once" && len(r.units) > 1 &&
		!cmd.answered && len(cmd.deliveries) < int(r.num("limits.max_deliveries")):
		cmd.suspect = d
		return
	case d.ending == Acked:
		r.own, cmd.suspect = keep(r.own, 0, kept), nil
		if before != nil {
			r.count(before, false)
		}
	}
	r.count(d, slow)
}

// count gives the end of a delivery to its build's streams: an error or a reset scores 1, an
// answer 0. Whether it took longer than its due counts in a stream of its own.
func (r *Relay) count(d *Delivery, slow bool) {
	failed := d.ending == Errored || d.ending == Reset
	if !failed && d.ending != Acked && d.ending != TimedOut || r.spares(d, failed || slow) {
		return // it was never looked at, or called off, or speaks for its unit alone
	}
	if !d.slow && !(slow && d.first) {
		r.pace(d, slow)
	}
	j, op, broke, x, y := r.judged, d.Cmd.OpType, len(r.opTypes)+2, mark(d.ending == Errored), mark(d.ending == Reset)
	if d.ending == Acked {
		r.answer(d.build, 0)
	}
	switch {
	case d.build < j.build:
		r.base.add(op, x, kept)
		r.base.add(broke, y, keptFlags)
	case d.build == j.build:
		if j.sample.add(broke, y, keptFlags); r.now-r.compared <= Second { // see docs/design.md
			r.see(1+broke, y, r.share(broke)+demoted)
		}
		j.sample.add(op, x, kept)
		j.rule(op, x, r.usual(op), effect)
		j.inStage++
		r.note(op, x)
		r.see(0, x, r.edge(-1, op))
		r.see(1+op, x, r.edge(op, op))
	}
}

// pace scores a delivery that has come to its due time (1) or ended before it (0): slow counts as
// timed out. The edge is raised for the load and the warming of units on trial, and by little more
// than the earlier build showed before. Guards against builds that are slow, turn slow, or slow all
// units with the traffic they get; a burst of commands or a new connection speaks for itself.
func (r *Relay) pace(d *Delivery, slow bool) {
	j, last, x := r.judged, len(r.opTypes)+1, mark(slow)
	d.slow = d.slow || slow
	switch {
	case d.build < j.build:
		r.base.add(last, x, kept+len(r.acks))
		r.compared = r.now
	case d.build == j.build:
		j.sample.add(last, x, kept+len(r.acks))
		if float64(len(r.acks)) <= max(1, r.whole)*(burst*j.acked+3*math.Sqrt(j.acked))/j.whole {
			r.see(1+last, x, r.drawl())
		}
	}
}

// Tally takes what the platform counted of all relays' outcomes in a period, bad ones spread evenly: a stream of its
// own, one and the same for the fleet, against its counts of the earlier build in the same periods, raised for the
// load of units on trial. Guards against builds whose units stop answering where each relay sees next to nothing of
// a unit, so that silence speaks for units everywhere; hurts where the trial's units alone are cut off.
func (r *Relay) Tally(now Tick, build uint16, opType, many, failed int, took, age Tick) {
	r.now = now
	j, last, failed := r.judged, len(r.opTypes)+3, min(failed, many)
	for i := range min(many, keptFlags) {
		x := float64((i+1)*failed/many - i*failed/many)
		switch {
		case build < j.build:
			r.base.add(last, x, keptFlags)
			r.counted = now
		case build == j.build && r.counted > 0 && now-r.counted <= 2*r.span("rollout.metrics_period"):
			r.see(1+last, x, r.share(last)+burden+margin)
		}
	}
	r.consider()
}

// drawl is the edge of slowness.
func (r *Relay) drawl() float64 {
	return min(r.share(len(r.opTypes)+1), r.judged.before+excuse) + burden + margin
}

// spares: a silent unit, or one that failed its own test while others of its build answer, speaks for
// itself or its link. Guards the build against both; hurts when a bad build shows at some units only.
func (r *Relay) spares(d *Delivery, bad bool) bool {
	return bad && d.To.heard < d.sent || d.To.aside && slices.ContainsFunc(r.units, func(o *Unit) bool {
		return o != d.To && o.Build == d.build && !o.aside && len(o.acks) > 0
	})
}

// edge is what an outcome of an op type, or a flag, is held against in a stream. At-most-once
// errors cannot be tried elsewhere: the share of other commands that failed twice excuses them.
func (r *Relay) edge(stream, op int) float64 {
	if op == len(r.opTypes) {
		return r.share(op) + margin*r.num("rollout.found_share")
	}
	if r.opTypes[op]["repeats"] == "at_most_once" {
		return r.share(stream) + mean(r.own) + margin
	}
	return r.share(stream) + margin
}

// answer gives an answer (0) or a flag (1) to the stream of flags.
func (r *Relay) answer(build uint16, x float64) {
	j, last := r.judged, len(r.opTypes)
	switch {
	case r.num("rollout.found_share") == 0:
	case build == j.build:
		if j.sample.add(last, x, keptFlags); x > 0 {
			j.rule(last, x, r.usual(last), effect*r.num("rollout.found_share"))
		} else if r.span("rollout.report_within") > 0 { // its flag may be on its way
			j.answers = keep(j.answers, r.now, keptFlags)
		}
		r.note(last, x)
		r.see(1+last, x, r.edge(last, last))
	case build < j.build:
		r.base.add(last, x, keptFlags)
	}
}

// weigh is the sequential test on a unit's outcomes, and its trickle. It bets on a unit that fails
// most of its deliveries against one that fails as this relay's last ones did, so that a trouble of
// all sets none aside. A poor unit goes to the end of this relay's own order and the next comes near.
// Guards against units that are bad, silent or out of connections, maybe for this relay alone.
func (r *Relay) weigh(u *Unit, bad bool) {
	usual, mark := min(max(0.2, 1.5*mean(r.marks)), 0.7), 0.0
	if bad {
		mark, u.failed = 1, r.now
		u.doubt = max(1, u.doubt) * failing / usual
		u.gap = min(max(u.gap*2, gapFirst), gapMost)
	} else {
		u.doubt = max(1, u.doubt*(1-failing)/(1-usual))
		u.gap /= 2
	}
	u.marks, r.marks = keep(u.marks, mark, keptUnit), keep(r.marks, mark, kept)
	if r.poor(u) {
		toEnd(r.units, u)
	}
	switch {
	case !u.aside && u.doubt >= doubtAside:
		u.aside = true
		u.nextTry = r.now + u.gap
		r.say(fmt.Sprintf("unit %d set aside after failures", u.Door))
	case u.aside && !bad && u.gap < gapDone:
		u.aside, u.doubt = false, 1
		r.say(fmt.Sprintf("unit %d back in use", u.Door))
	}
}

// say logs at a few of the relays what many of them see alike.
func (r *Relay) say(text string) {
	if r.chance(int(max(1, r.num("relays")))) < fewSay {
		r.host.Log(text)
	}
}

func (r *Relay) see(which int, x, b float64) {
	j := r.judged
	s := &j.streams[which]
	if n, wealth, ok := s.see(x, min(b, 0.9)); ok && j.alarm == "" {
		j.alarm = fmt.Sprintf("%s: test %d of %d, wealth %.3g against a share of %.3f",
			streamName(which, len(r.opTypes)), n, s.n, wealth, b)
		r.say(fmt.Sprintf("build %d alarm on %s", j.build, j.alarm))
	}
}

// see opens a test with this outcome, if need be in place of the poorest of the later ones, and bets in all.
func (s *stream) see(x, b float64) (start int, wealth float64, alarm bool) {
	s.n++
	opened := test{start: s.n, wealth: 1}
	if len(s.tests) < mostTests {
		s.tests = append(s.tests, opened)
	} else if weak := weakest(s.tests[mostTests/2:]); weak.wealth < 1 {
		*weak = opened
	}
	for i := range s.tests {
		t := &s.tests[i]
		mean := (t.bad + min(0.5, firstGuess*b)) / (t.seen + 1)
		bet := min(max(0, (mean-b)/(b*(1-b))), 1/b)
		t.wealth *= 1 + bet*(x-b)
		t.seen++
		t.bad += x
		if t.wealth >= s.threshold(t) && !alarm {
			start, wealth, alarm = t.start, t.wealth, true
		}
	}
	return start, wealth, alarm
}

func (s *stream) threshold(t *test) float64 {
	return math.Pi * math.Pi * float64(t.start) * float64(t.start) / (6 * s.level)
}

func (j *trial) wary() bool {
	return slices.ContainsFunc(j.streams, func(s stream) bool {
		return slices.ContainsFunc(s.tests, func(t test) bool { return t.wealth > math.Sqrt(s.threshold(&t)) })
	})
}

// Alarm takes the one timer: it scores what is overdue and works out the figures.
func (r *Relay) Alarm(now Tick, tag uint32) {
	r.now = now
	r.host.WakeAt(now+sweepEvery, tag)
	for _, d := range r.out {
		if now > d.due && !d.slow && !d.first && !r.spares(d, true) {
			r.pace(d, true)
		}
		if !d.marked && now-d.sent >= Tick(quiet*float64(r.target)) && r.silent(d.To) {
			d.marked = true
			r.weigh(d.To, true)
		}
		r.rescue(d)
	}
	if r.flag("limits.peers") && now >= r.tellAt && r.judged != nil {
		r.tellAt = now + tellEvery
		r.host.Tell(AllPeers, append([]byte{byte(r.judged.build), byte(r.judged.build >> 8)}, r.tell...))
		clear(r.tell)
	}
	r.figure()
	r.acks, r.asked = recent(r.acks, now-rateSpan), recent(r.asked, now-rateSpan)
	trial, doubted, warm, all := 0.0, 0.0, 0.0, float64(len(r.units))
	r.whole = 0
	for _, u := range r.units {
		w := r.warmth(u)
		r.whole, warm, doubted, trial = r.whole+w, warm+math.Floor(w), doubted+mark(r.doubted(u)), trial+w*mark(r.onTrial(u.Build))
	}
	r.alone = 8*doubted >= 7*all // a trouble of nearly all is this relay's own, such as a stall
	rate := float64(len(r.acks)) * float64(Second) / float64(rateSpan)
	if r.perUnit = max(r.perUnit, rate/max(all, 1)); 2*warm > all { // else what warm units did holds, or what all do
		r.perUnit = rate / max(r.whole, 1)
	}
	r.near = nearLeast + len(r.asked)*int(r.target)/int(rateSpan)
	// A cap is told before its machines have come and warmed. Until then trial sends keep to the
	// machines' part of the fleet, with the slack of the first stage's cap over its share. While
	// they answer more slowly than the others, the slack is given back too: the build is judged
	// at the load that the others carry. Guards against drowning the few and blaming the build.
	slack := max(1, r.first("rollout.caps")/max(r.first("rollout.stage_shares"), 0.01))
	r.fair = trial / max(r.whole, 1) * slack
	if j := r.judged; j != nil {
		share, _ := r.capOf(j.build)
		over := max(0, mean(j.sample.bad[len(r.opTypes)+1])-r.share(len(r.opTypes)+1))
		r.fair = capUse * min(r.fair, share) * (1 - (1-1/slack)*min(1, over/excuse))
	}
	if r.asking && now >= r.askAgain { // asks for the list's changes, less often each time
		r.host.Watch(true)
		r.askLater()
	}
	for _, cmd := range r.held {
		if !cmd.answered && r.hopeless(cmd) {
			r.giveUp(cmd)
		}
	}
	r.serve()
	r.consider()
}

// rescue calls off a delivery at a silent unit, to serve the command elsewhere in time, for a small
// part of what is acked: on a loaded day many are late. Guards against dead and hung units, cut links.
func (r *Relay) rescue(d *Delivery) {
	cmd := d.Cmd
	if r.rescues < 1 || d.cancelled || cmd.answered || cmd.streaming || !r.flag("limits.may_cancel") ||
		!d.marked || !r.silent(d.To) || r.now >= cmd.end-r.typical[cmd.OpType] ||
		r.word2(cmd, "repeats") == "at_most_once" || d.No+1 >= int(r.num("limits.max_deliveries")) || !r.again(cmd, false) {
		return
	}
	r.rescues--
	d.cancelled = true
	r.host.Cancel(d)
}

// askLater asks for the list again after a pause that doubles, is drawn, and with 4 s at the most leaves a call 2 s.
func (r *Relay) askLater() {
	r.askGap = min(2*r.askGap, max(Second, r.span("rules.ask_every")/2), askMost)
	r.askAgain = r.now + r.askGap*3/4 + Tick(r.chance(int(r.askGap/2)))
}

// Listed takes the end of one piece of news of the list, or that a call failed.
func (r *Relay) Listed(now Tick, ok bool) {
	r.now = now
	if j := r.judged; ok && !r.listed && j != nil { // at a start units come one by one, some of them on trial already
		j.places = float64(len(r.units))
	}
	r.listed = r.listed || ok
	if ok {
		r.asking = r.asking && now == r.born
	} else if !r.asking {
		r.asking, r.askGap, r.askAgain = true, Second/2, now+Tick(r.chance(int(Second)))
	}
	r.serve()
}

// Moved takes that instances of commands that wait are at other units now.
func (r *Relay) Moved(now Tick) { r.now = now; r.serve() }

func (r *Relay) UnitListed(now Tick, u *Unit, is Listing) {
	r.now = now
	if u.known && (is.Start != u.Start || is.Build != u.Build) { // another process: nothing known holds
		u.acks, u.sends, u.marks, u.paces, u.doubt, u.aside, u.gap, u.heard, u.oldest = nil, nil, nil, nil, 1, false, 0, now, now
	}
	if !u.known || is.Start != u.Start {
		u.coldFrom, u.coldDue = now, float64(1+r.chance(1000))/1000
	}
	u.known, u.Listing = true, is
	if r.units = listed(r.units, u, r.chance(len(r.units)+1)); is.State == Ready {
		r.judge(is.Build)
	}
}

// judge starts to judge a build that is newer than all before it.
func (r *Relay) judge(build uint16) {
	j := r.judged
	if j != nil && build <= j.build {
		return
	}
	if j != nil && (!r.told || r.news.Build != j.build || r.news.Phase == Released) {
		r.base = j.sample // it was kept: now it is the earlier build
	}
	ops, n := len(r.opTypes), float64(len(r.opTypes))
	r.tell = make([]byte, 2*ops+2)
	r.judged = &trial{build: build, sample: newSample(ops), streams: make([]stream, ops+5), out: slices.Repeat([]float64{1}, ops+1),
		before: r.share(ops + 1), middle: slices.Clone(r.middle), acked: float64(len(r.acks)),
		whole: max(1, r.whole), places: float64(len(r.units) - r.running(build))}
	// Load can mislead a relay as to slowness, and one misled relay decides for all.
	parts := append(append([]float64{1}, slices.Repeat([]float64{n}, ops)...), 1, max(1, r.num("relays")), n, 1)
	for i, part := range parts {
		r.judged.streams[i].level = alpha / part
	}
}

func (r *Relay) Stage(now Tick, news StageNews) {
	r.now = now
	r.answered(news)
	if news.Ending == Acked {
		r.judge(news.Build)
		old := r.news
		if !r.told || old.Build != news.Build || old.Stage != news.Stage || old.Phase != news.Phase {
			r.since = now - news.Age
			r.judged.inStage, r.judged.stage = 0, news.Stage
			maps.DeleteFunc(r.forward, func(by uint16, _ *filter) bool { return by < news.Build })
		}
		if bound, _ := r.capOf(news.Build); r.told && old.Phase != Released && news.Cap < bound {
			// The lower cap holds at once over the old count; the rule counts anew later.
			r.recount = now + r.span("rules.drain_grace") + 1
		}
		r.news, r.told = news, true
	}
	r.serve()
	r.consider()
}

func (r *Relay) verdict() Verdict {
	j := r.judged
	if !r.told || j == nil || j.build != r.news.Build || r.news.Phase != OnTrial && r.news.Phase != Released {
		return NoVote
	}
	least := max(1, min(leastTimed, leastSample/max(1, r.num("relays"))))
	timed := r.now-r.since >= voteAfter && float64(j.streams[0].n) >= least
	clocked := r.word("rollout.control") == "clocked"
	// A fleet much slower than before the trial, or a trial past the edge so far, waits for more outcomes.
	wary, need, last := j.wary(), leastSample, len(r.opTypes)+1
	if r.share(last) > j.before+excuse || mean(j.sample.bad[last]) > r.drawl() {
		wary, need, timed = wary || clocked, moreSample, false
	}
	switch {
	case j.alarm != "":
		return GoBack
	case r.news.Phase == Released || !wary && clocked:
		return NoVote
	case clocked:
		return Hold
	case !wary && (r.short() < 0 && (j.inStage >= need || timed) ||
		timed && r.now-r.since >= r.span("rollout.evidence_wait")): // by the clock, with its smaller promise
		return GoOn
	}
	return NoVote
}

// rule bets against a failure share of the effect above the earlier build's: a likelihood ratio, which
// at any such share or a higher one is a supermartingale. Once it reaches 1/missed that is ruled out for good.
func (j *trial) rule(which int, x, b, effect float64) {
	b = min(b, 0.95-effect)
	if j.out[which] < 1/missed {
		j.out[which] *= x*b/(b+effect) + (1-x)*(1-b)/(1-b-effect)
	}
}

// short is the first op type that has traffic and is not ruled out to be bad, or the flags; -1 for none.
// Answers count for these once a flag would have come.
func (r *Relay) short() int {
	j, last := r.judged, len(r.opTypes)
	for n := 0; len(j.answers) > 0 && n < keptFlags && j.answers[0]+r.span("rollout.report_within") <= r.now; n++ {
		j.answers = j.answers[1:]
		j.rule(last, 0, r.usual(last), effect*r.num("rollout.found_share"))
	}
	for which, wealth := range j.out {
		matters := which < last && len(r.took[which]) > 0 ||
			which == last && r.span("rollout.report_within") > 0 && r.num("rollout.found_share") > 0
		if matters && wealth < 1/missed {
			return which
		}
	}
	return -1
}

// stage is where the newest build stands: as told, or as far as the list shows more units of it than the
// told stage has, or a vote back found stages passed. Guards against late news: a vote on a stage that has
// passed does not count. Where units of the build start anew under other names, votes may come too early.
func (r *Relay) stage() int {
	j, at := r.judged, r.news.Stage
	if j == nil || j.build != r.news.Build || r.news.Phase != OnTrial {
		return at
	}
	at = max(at, j.past)
	for at+1 < r.stages() && float64(r.running(j.build)) > math.Ceil(r.part(at)*j.places) {
		at++
	}
	if at > j.stage {
		j.stage, j.inStage, r.since = at, 0, r.now
	}
	return at
}

func (r *Relay) consider() {
	at, want, v := r.stage(), r.verdict(), &r.ballot
	if want == NoVote {
		if v.state == drawn {
			v.state = noBallot
		}
		return
	}
	if v.state == noBallot || v.verdict != want || v.build != r.news.Build || v.stage != at {
		*v = ballot{build: r.news.Build, stage: at, verdict: want, state: drawn}
		// The moment is random over the time the platform needs for a vote of every
		// relay, at most a vote's life: spread further, votes would only come later.
		relays, rate := max(1, r.num("relays")), max(0.1, r.num("rollout.votes_per_s"))
		life := r.span("rollout.vote_life")
		v.at = r.now + Tick(r.chance(int(min(life, Tick(relays/rate*float64(Second)))+1)))
		if allowed := rate * float64(life) / float64(Second) / relays; float64(r.chance(1000)) >= 1000*allowed {
			v.state, v.at = stands, r.now+life // not this time
		}
	}
	if r.now < v.at {
		return
	}
	switch v.state {
	case drawn:
		v.state, v.at = cast, r.now+r.span("rollout.vote_wait")+Second
		if want == GoOn {
			by := "" // what it leaves open
			if open := r.short(); open >= 0 {
				by = ", by the clock: not ruled out for " + streamName(1+open, len(r.opTypes))
			}
			r.say(fmt.Sprintf("vote 1 on build %d stage %d: %d outcomes%s", v.build, v.stage, r.judged.inStage, by))
		} else {
			r.host.Log(fmt.Sprintf("vote %d on build %d stage %d: %s", want, v.build, v.stage, r.judged.alarm))
		}
		r.host.Vote(v.build, v.stage, want)
	default: // no answer came, or it no longer stands: say it again
		v.state = noBallot
	}
}

func (r *Relay) answered(news StageNews) {
	v, ending := &r.ballot, news.Ending
	if !news.Answer || v.state != cast {
		return
	}
	v.state, v.at = stands, r.now+r.span("rollout.vote_life")
	if ending == Moot && v.verdict == GoBack { // that stage has passed
		r.judged.past = (v.stage + 1) % r.stages()
	}
	if ending != Acked { // it may not count: again, after a moment
		v.at = r.now + Second/4 + Tick(r.chance(int(Second/2)))
	}
}

// WrongAnswer takes a late flag: one more outcome, scored 1.
func (r *Relay) WrongAnswer(now Tick, u *Unit, opType int, age Tick) {
	r.now = now
	r.answer(u.Build, 1)
	if u.Build == r.judged.build {
		r.see(0, 1, r.edge(-1, opType))
	}
	r.consider()
}

// figure works out, a few times a second, how long deliveries took of late. Neither time is held to be so long that
// what has just come is never tried, and what no answer has borne out for a while is forgotten: else slow answers
// would keep away the commands that alone can show better ones.
func (r *Relay) figure() {
	for op, took := range r.took {
		part := ticks(r.opTypes[op]["service_target"]) / 4
		r.typical[op], r.middle[op] = part, part
		switch n := len(took); {
		case n < keptUnit:
		case r.now > r.learned[op]+gapMost:
			r.took[op] = took[n-1:]
		default:
			sorted := slices.Sorted(slices.Values(took))
			r.typical[op], r.middle[op] = min(sorted[n*9/10], 3*part), min(sorted[n/2], 3*part)
		}
	}
}
