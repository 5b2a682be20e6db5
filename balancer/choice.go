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
	alpha                = 0.01            // false-alarm budget of one stream of outcomes
	margin               = 0.02            // above the earlier build's failure share
	firstBetMultiple     = 4               // times the edge: the failure share that a new test bets on
	exposureUse          = 0.9             // of the cap, for first deliveries
	maxOpenTests         = 32              // open at once in one stream
	longestPoll          = 16 * Second / 5 // middle pause between calls for the list; 6 s after discovery had it a change counts as told
	minOutcomes          = 20              // outcomes in a stage before a vote to go on
	minOutcomesIfSlow    = 60              // while more of them are slow than the edge
	ruledOutEffect       = 0.2             // failures beyond the earlier build's that a vote to go on is to rule out
	missProbability      = 0.05            // the chance with which it may fail to, for one op type at one relay
	minOutcomesTimed     = 6               // outcomes of the build before a timed vote to go on, if few relays share the sample
	timedVoteAfter       = 3 * Second
	slowMultiple         = 3    // times the middle time before the trial is slow
	canaryLoadMargin     = 0.22 // of slowness: by the greater load of units on trial
	fleetSlowdownMargin  = 0.1  // of slowness: by the fleet's own rise in a trial
	burstMultiple        = 1.2  // times what was acked before the trial: slowness is the callers' doing
	loggingRelays        = 4    // relays that log what many see
	sampleSize           = 64   // samples of an op type at one build
	rareSampleSize       = 512  // flags are rare
	backendSampleSize    = 16   // and of a unit
	rememberedVersions   = 3    // builds whose answered keys are kept: the newest, one that is not announced yet, one to spare
	timerInterval        = 50 * Second / 1000
	capacityShare        = 0.15           // of a service target: what a unit may owe
	silenceShare         = 0.6            // of a service target: how long a unit may stay silent
	slowStartShare       = 0.85           // of what the cold rule allows
	slowStartDeviations  = 3              // deviations of chance left free in it
	slowStartFree        = 1              // that no unit falls under in a window, whatever it can do: the rule has a slack of 2
	minChoiceSize        = 5              // units that a relay chooses from
	degradedMargin       = 0.25           // failure share of a unit that goes to the end of the order
	lateAnswerShare      = 0.6            // of what was due: an answer later than this says that units are overloaded
	cancelShare          = 0.04           // of what is acked: deliveries called off at silent units
	limitDecrease        = 0.1            // part by which such an answer lowers them
	limitIncrease        = 0.06           // and an earlier one raises them
	gossipInterval       = Second / 2     // between messages to peers
	rateWindow           = 2 * Second     // over which the relay's own rate is taken
	ejectionFailureShare = 0.75           // failure share of a unit that is to be set aside
	ejectionWealth       = 27.0           // sets a unit aside
	probationFirst       = Second / 2     // between the first deliveries of a trickle
	probationLongest     = 4 * Second     // after failures
	unansweredLimit      = 3 * Second / 2 // without an answer, then one is tried all the same: none for 4 s on end would be as good as dead
	probationDone        = Second / 20    // a trickle this dense ends
)

// New makes the module of one instance, started now with its seed and settings.
func New(host Host, now Tick, seed uint64, settings map[string]any) *Balancer {
	r := &Balancer{host: host, set: settings, now: now, startedAt: now, answeredKeys: map[uint16]*keySet{}}
	r.prepare(seed)
	r.updateLatencies()
	if r.word("discovery") == "subscribe" {
		r.host.WatchEndpoints(true)
		r.polling, r.pollInterval = true, longestPoll
		r.schedulePoll()
	}
	r.recentFailures = make([]float64, backendSampleSize) // before any outcome the units are held to be good
	r.choiceSize, r.concurrencyLimit, r.cancelBudget = minChoiceSize, minChoiceSize, minChoiceSize
	r.host.SetTimer(now+timerInterval, 0)
	return r
}

func (r *Balancer) OnRequest(now Tick, cmd *Request) {
	r.now, cmd.receivedAt = now, now
	l := r.exposureOf(cmd.Class)
	l.arrivals = append(l.arrivals, now)
	if !cmd.ClientRetry {
		r.arrivals = append(r.arrivals, now)
	}
	l.credit = min(l.credit+r.canaryFraction, max(1, r.num("rollout.exposure_free")))
	cmd.priority, _ = r.classes[cmd.Class]["importance"].(float64)
	r.enqueue(cmd)
	r.serveQueue()
}

// enqueue keeps a command by importance, then by the time when it loses its use. Guards in overload.
func (r *Balancer) enqueue(cmd *Request) {
	cmd.usefulUntil = min(cmd.Deadline-2*timerInterval, cmd.receivedAt+r.opSpan(cmd, "service_target"))
	if r.pastSaving(cmd) {
		r.shed(cmd)
		return
	}
	cmd.queued = true
	at, _ := slices.BinarySearchFunc(r.queue, cmd, func(c, _ *Request) int {
		return cmp.Or(cmp.Compare(cmd.priority, c.priority), cmp.Compare(c.usefulUntil, cmd.usefulUntil), -1)
	})
	r.queue = slices.Insert(r.queue, at, cmd)
}

// pastSaving: it could hardly be answered in time any more. What has just come is tried as long as half of the deliveries
// would be in time, and after 1.5 s without an answer all the same; what had to wait as long as nine in ten would.
func (r *Balancer) pastSaving(cmd *Request) bool {
	if r.now == cmd.receivedAt {
		op := cmd.Class
		if hard := r.now >= cmd.usefulUntil-r.medianLatency[op]; !hard || r.now >= cmd.usefulUntil ||
			!cmd.triedDespiteDelay && r.now <= r.latencyKnownAt[op]+unansweredLimit {
			return hard
		}
		cmd.triedDespiteDelay, r.latencyKnownAt[op] = true, r.now
		return false
	}
	return r.now >= cmd.usefulUntil-r.p90Latency[cmd.Class]
}

// serveQueue routes what is held, the most urgent first, until a few find no unit.
func (r *Balancer) serveQueue() {
	var left []*Request
	stuck, i := 0, 0
	for ; i < len(r.queue) && stuck < 4; i++ {
		cmd := r.queue[i]
		switch {
		case cmd.answered:
		case r.pastSaving(cmd):
			r.shed(cmd)
		case r.route(cmd):
			cmd.queued = false
		default:
			stuck++
			left = append(left, cmd)
		}
	}
	r.queue = slices.Replace(r.queue, 0, i, left...)
}

// route is the ordinary path of a command: which build, which unit, how long.
func (r *Balancer) route(cmd *Request) bool {
	if r.openAttempts() >= r.concurrencyLimit {
		return false
	}
	l := r.exposureOf(cmd.Class)
	var earlier, trial []*Backend // the nearest that may take it
	for _, u := range r.backends {
		switch tried := r.isCanary(u.Version); {
		case tried && len(trial) >= 2+int(r.canaryFraction*float64(r.choiceSize)) || !tried && len(earlier) >= r.choiceSize:
		case !r.eligible(cmd, u) || len(earlier) >= minChoiceSize && r.degraded(u):
		case !tried:
			earlier = append(earlier, u)
		case r.exposureAllows(cmd, l, u.Version):
			trial = append(trial, u)
		}
	}
	pool := earlier // where nothing earlier can take it, the tenth kept back may be used
	if len(pool) == 0 || len(cmd.attempts) == 0 && l.credit >= 1 && len(trial) > 0 {
		pool = trial
	}
	if len(pool) == 0 {
		return false
	}
	u := pool[r.random(len(pool))]
	if other := pool[r.random(len(pool))]; other.inFlight < u.inFlight ||
		other.inFlight == u.inFlight && mean(other.relativeLatencies) < mean(u.relativeLatencies) {
		u = other
	}
	if !r.mostSuspect && !r.mayProbe(u) {
		return r.route(cmd)
	}

	d := &Attempt{Request: cmd, Number: len(cmd.attempts), Backend: u, sentAt: r.now, version: u.Version, backendStart: u.StartedAt}
	target := r.opSpan(cmd, "service_target")
	d.lateAfter = r.now + Tick(float64(target)/r.warmUpFraction(u))
	d.slowAfter = r.now + Tick(float64(min(target, slowMultiple*r.evaluation.medianLatency[cmd.Class]))/r.warmUpFraction(u))
	d.newConnection = len(u.successTimes) == 0 || r.now-u.successTimes[len(u.successTimes)-1] > r.span("limits.idle_close")
	if r.isCanary(u.Version) {
		l.credit = max(0, l.credit-1)
	}
	r.countAttempt(d)
	if u.inFlight == 0 {
		u.waitingSince = r.now
	}
	if r.suspect(u) {
		u.nextProbation = r.now + max(u.probationInterval, probationDone)
	}
	u.inFlight++
	cmd.attempts = append(cmd.attempts, d)
	r.attemptsInFlight = append(r.attemptsInFlight, d)
	r.host.StartAttempt(d, cmd.Deadline)
	return true
}

// BeginAttempt asks whether a delivery may be written after the waits and the dial since its choice, and counts it as of now.
// Guards against late dials: past a repeat window, at a unit that drains or is another one, over the budgets.
func (r *Balancer) BeginAttempt(now Tick, d *Attempt) bool {
	cmd, u, l, before := d.Request, d.Backend, r.exposureOf(d.Request.Class), *d.Request
	r.now, before.attempts = now, cmd.attempts[:d.Number]
	l.attempts, u.warmUpSends = removeTime(l.attempts, d.countedAt, d.countedAsExposure), removeTime(u.warmUpSends, d.countedAt, d.countedAsWarmUp)
	late, same := now > d.sentAt+timerInterval/10, u.StartedAt == d.backendStart && u.Version == d.version
	if cmd.answered || d.cancelled || now >= cmd.Deadline || !same || !r.permitted(&before, u) {
		return false
	}
	if late && (r.isCanary(u.Version) && !r.exposureAllows(cmd, l, u.Version) || u.lastWarmUpSend != d.countedAt && !r.slowStartAllows(u)) {
		return false
	}
	r.countAttempt(d)
	return true
}

// countAttempt counts a delivery as of now towards exposure and the cold budget.
func (r *Balancer) countAttempt(d *Attempt) {
	d.countedAt, d.countedAsExposure, d.countedAsWarmUp = r.now, r.isCanary(d.version), r.warmUpFraction(d.Backend) < 1
	if l := r.exposureOf(d.Request.Class); d.countedAsExposure {
		l.attempts = append(l.attempts, r.now)
	}
	if u := d.Backend; d.countedAsWarmUp {
		u.warmUpSends, u.lastWarmUpSend, u.warmUpShareDue = append(u.warmUpSends, r.now), r.now, 1
	}
}

func (r *Balancer) eligible(cmd *Request, u *Backend) bool {
	if n := len(cmd.attempts); !r.permitted(cmd, u) || n > 0 && cmd.attempts[n-1].Backend == u &&
		(!cmd.Pinned || r.now < cmd.attempts[n-1].sentAt+timerInterval<<n) {
		return false // a tied one has no other unit: again after a pause that doubles
	}
	if r.suspect(u) && !r.mostSuspect { // a trickle of what can be tried again tells whether it has come back
		return r.now >= u.nextProbation && u.inFlight < 2 && r.word2(cmd, "repeats") != "at_most_once" && r.slowStartAllows(u)
	}
	return float64(u.inFlight) < r.capacity(u) && r.slowStartAllows(u)
}

// permitted keeps the rules on what may go to a unit, as it is chosen and once more as the delivery is written.
func (r *Balancer) permitted(cmd *Request, u *Backend) bool {
	for by, keys := range r.answeredKeys { // a forward-only key; its build may not be announced yet
		if u.Version < by && keys.has(cmd.Key) && (by > r.release.Version ||
			by == r.release.Version && (r.release.Phase == Canary || r.release.Phase == Released)) {
			return false
		}
	}
	return u.State == Ready && (!cmd.Pinned || cmd.PinnedTo == u) && r.safeToRepeat(cmd, u)
}

// degraded: it failed of late, and more of its last deliveries than others of the fleet do.
func (r *Balancer) degraded(u *Backend) bool {
	return r.now-u.lastFailure < 2*probationLongest && mean(u.recentFailures) > degradedMargin+mean(r.recentFailures)
}

// suspect: the unit was set aside, or owes an answer for longer than is usual.
func (r *Balancer) suspect(u *Backend) bool {
	return u.ejected || r.silent(u) || r.now < u.avoidedUntil
}

func (r *Balancer) silent(u *Backend) bool {
	return u.inFlight > 0 && float64(r.now-max(u.lastAnswer, u.waitingSince))*r.warmUpFraction(u) > silenceShare*float64(r.shortestObjective)
}

// capacity bounds what is in flight at a unit by what it answered of late. Guards against slow units,
// overload and queues that outlast the service target; hurts right after an idle spell.
func (r *Balancer) capacity(u *Backend) float64 {
	least := r.warmUpFraction(u) // one in flight, at a warm unit
	if len(u.successTimes) < 2 {
		return least
	}
	return least + capacityShare*float64(r.shortestObjective)*float64(len(u.successTimes))/float64(max(1, r.now-u.successTimes[0]))
}

// slowStartAllows keeps this relay's part of the cold budget, in terms of what its warm units answer: as
// every relay keeps to its own warm rate, all together keep the rule. A part of less than one delivery
// a window comes due from a drawn moment, and leaves room for what chance piles up among the relays.
func (r *Balancer) slowStartAllows(u *Backend) bool {
	w, tip, relays := r.warmUpFraction(u), r.span("rules.tip_after"), max(1, r.num("relays"))
	if w >= 1 {
		return true
	}
	u.warmUpSends = dropBefore(u.warmUpSends, r.now-tip-1)
	budget := slowStartShare * r.num("rules.fall_multiple") * w * r.ratePerBackend * float64(tip) / float64(Second)
	spread := slowStartDeviations * math.Sqrt(max(0, 1-budget)) / 2
	budget = math.Pow(math.Sqrt(spread*spread+max(slowStartFree, budget*relays))-spread, 2) / relays
	if budget >= 1 {
		return float64(len(u.warmUpSends))+1 <= budget // rounded up by each, all would send up to twice as much
	}
	return float64(r.now-u.lastWarmUpSend)*budget >= float64(tip)*u.warmUpShareDue
}

// exposureAllows keeps the exposure rule for one more delivery at a build on trial.
func (r *Balancer) exposureAllows(cmd *Request, l *exposureCounter, build uint16) bool {
	share, stage := r.exposureCapOf(build)
	guarded := stage < int(r.num("rollout.guarded_stages"))
	if share <= 0 || guarded && r.word2(cmd, "repeats") != "redeliverable" {
		return false
	}
	window := r.span("rollout.exposure_window") + 1
	l.attempts, l.arrivals = dropBefore(l.attempts, r.now-window-1), dropBefore(l.arrivals, r.now-window+2)
	if r.exposureResetAt != 0 && r.now > r.exposureResetAt { // a lowered cap has bound since
		l.attempts, l.arrivals = dropBefore(l.attempts, r.exposureResetAt-1), dropBefore(l.arrivals, r.exposureResetAt+1)
	}
	free := r.num("rollout.exposure_free") * indicator(r.now > r.startedAt+window) // a killed one's sends count
	return float64(len(l.attempts)+1) <= free+share*float64(len(l.arrivals))-1e-5
}

// safeToRepeat keeps the rule on double effects, for one more delivery or, with no unit, a nack.
func (r *Balancer) safeToRepeat(cmd *Request, u *Backend) bool {
	for _, d := range cmd.attempts {
		if !d.mayHaveRun() {
			continue
		}
		group := r.word2(cmd, "repeat_group")
		switch repeats := r.word2(cmd, "repeats"); {
		case u != nil && !d.ended:
			return false
		case repeats == "redeliverable":
		case repeats != "deduplicated", u == nil && group != "all",
			u != nil && (r.now+1 >= d.sentAt+r.opSpan(cmd, "repeat_window") ||
				group != "all" && (group != "zone" || d.Backend.Zone != u.Zone) && (group != "cell" || d.Backend.Cell != u.Cell)):
			return false
		}
	}
	return u == nil || len(cmd.attempts) < int(r.num("limits.max_deliveries"))
}

// shed answers at once, with the time to come back where clients are told one.
func (r *Balancer) shed(cmd *Request) {
	cmd.answered = true
	if !r.safeToRepeat(cmd, nil) {
		r.host.Fail(cmd)
		return
	}
	back, half := Tick(0), r.opSpan(cmd, "service_target")/2
	if r.flag("limits.come_back") {
		back = min(r.span("limits.max_come_back"), half+Tick(r.random(int(half)+1)))
	}
	r.host.Reject(cmd, back)
}

func (r *Balancer) OnOutcome(now Tick, d *Attempt, ending Outcome, took Tick, settled bool, load []float64) {
	r.now = now
	cmd, u := d.Request, d.Backend
	d.ended, d.outcome = true, ending
	u.inFlight--
	r.attemptsInFlight = slices.DeleteFunc(r.attemptsInFlight, func(o *Attempt) bool { return o == d })
	if ending != TimedOut && ending != ConnectFailed && ending != Cancelled && ending != Discarded {
		u.lastAnswer = now
	}
	if ending == Succeeded {
		u.successTimes = appendBounded(u.successTimes, now, backendSampleSize)
		r.successTimes = append(r.successTimes, now)
		r.cancelBudget = min(r.cancelBudget+cancelShare, float64(r.choiceSize))
		r.latencies[cmd.Class], r.latencyKnownAt[cmd.Class] = appendBounded(r.latencies[cmd.Class], took, sampleSize), now
		if cmd.Key != 0 && d.version >= r.release.Version && r.flag("rollout.forward_only") {
			r.rememberKey(cmd.Key, d.version)
		}
	}
	r.recordOutcome(d)
	cmd.answered = cmd.answered || settled
	if !cmd.answered && !cmd.queued {
		may := func(u *Backend) bool { return !cmd.failedTwice && r.safeToRepeat(cmd, u) }
		if slices.ContainsFunc(r.backends, may) && r.allowRetry(cmd, true) {
			r.enqueue(cmd)
		} else {
			r.shed(cmd)
		}
	}
	r.serveQueue()
	r.considerVote()
}

// recordOutcome sets the limit on open deliveries, a guard against overload where hundreds of relays load the
// same units (no answer is no sign of that), and finds out what an error speaks for.
func (r *Balancer) recordOutcome(d *Attempt) {
	if d.outcome == AtCapacity && d.Request.Pinned {
		return // its instance is elsewhere: that speaks for the news of it, not for the unit
	}
	slow, late := r.now > d.slowAfter || d.outcome == TimedOut, r.now > d.lateAfter
	switch {
	case d.Backend.lastAnswer < d.sentAt:
	case d.outcome == AtCapacity || d.outcome <= TimedOut && float64(r.now-d.sentAt) > lateAnswerShare*float64(d.lateAfter-d.sentAt):
		r.concurrencyLimit = max(1, 2*r.warmCapacity/max(1, r.num("relays")), r.concurrencyLimit*(1-limitDecrease))
	case d.outcome == Succeeded && r.openAttempts()+1 >= r.concurrencyLimit/2:
		r.concurrencyLimit *= 1 + limitIncrease
	}
	if u := d.Backend; u.StartedAt == d.backendStart && d.outcome < Cancelled {
		if !d.silenceCounted {
			r.recordForBackend(u, late || d.outcome != Succeeded)
		}
		u.relativeLatencies = appendBounded(u.relativeLatencies, float64(r.now-d.sentAt)/float64(d.lateAfter-d.sentAt), backendSampleSize/4)
	}
	// An error of a command that is tried again waits for the next answer: an ack says that
	// its build failed, an error at a second unit that the command itself did.
	// This guards against commands that fail anywhere; hurts where a build fails every unit's.
	cmd := d.Request
	switch before := cmd.deferredFailure; {
	case d.outcome == Errored && before != nil:
		r.requestFaults, cmd.deferredFailure, cmd.failedTwice = appendBounded(r.requestFaults, 1, sampleSize), nil, true
		return
	case d.outcome == Errored && r.word2(cmd, "repeats") != "at_most_once" && len(r.backends) > 1 &&
		!cmd.answered && len(cmd.attempts) < int(r.num("limits.max_deliveries")):
		cmd.deferredFailure = d
		return
	case d.outcome == Succeeded:
		r.requestFaults, cmd.deferredFailure = appendBounded(r.requestFaults, 0, sampleSize), nil
		if before != nil {
			r.recordForVersion(before, false)
		}
	}
	r.recordForVersion(d, slow)
}

// recordForVersion gives the end of a delivery to its build's streams: an error or a reset scores 1, an
// answer 0. Whether it took longer than its due counts in a stream of its own.
func (r *Balancer) recordForVersion(d *Attempt, slow bool) {
	failed := d.outcome == Errored || d.outcome == Reset
	if !failed && d.outcome != Succeeded && d.outcome != TimedOut || r.speaksForBackendAlone(d, failed || slow) {
		return // it was never looked at, or called off, or speaks for its unit alone
	}
	if !d.countedAsSlow && !(slow && d.newConnection) {
		r.recordTimeliness(d, slow)
	}
	j, op, broke, x, y := r.evaluation, d.Request.Class, len(r.classes)+2, indicator(d.outcome == Errored), indicator(d.outcome == Reset)
	if d.outcome == Succeeded {
		r.recordAnswer(d.version, 0)
	}
	switch {
	case d.version < j.version:
		r.baseline.add(op, x, sampleSize)
		r.baseline.add(broke, y, rareSampleSize)
	case d.version == j.version:
		if j.sample.add(broke, y, rareSampleSize); r.now-r.baselineTimedAt <= Second { // see docs/design.md
			r.observe(1+broke, y, r.failureShare(broke)+degradedMargin)
		}
		j.sample.add(op, x, sampleSize)
		j.ruleOutEffect(op, x, r.baselineShare(op), ruledOutEffect)
		j.outcomesInStage++
		r.addToGossip(op, x)
		r.observe(0, x, r.failureBound(-1, op))
		r.observe(1+op, x, r.failureBound(op, op))
	}
}

// recordTimeliness scores a delivery that has come to its due time (1) or ended before it (0): slow counts as
// timed out. The edge is raised for the load and the warming of units on trial, and by little more
// than the earlier build showed before. Guards against builds that are slow, turn slow, or slow all
// units with the traffic they get; a burst of commands or a new connection speaks for itself.
func (r *Balancer) recordTimeliness(d *Attempt, slow bool) {
	j, last, x := r.evaluation, len(r.classes)+1, indicator(slow)
	d.countedAsSlow = d.countedAsSlow || slow
	switch {
	case d.version < j.version:
		r.baseline.add(last, x, sampleSize+len(r.successTimes))
		r.baselineTimedAt = r.now
	case d.version == j.version:
		j.sample.add(last, x, sampleSize+len(r.successTimes))
		if float64(len(r.successTimes)) <= max(1, r.warmCapacity)*(burstMultiple*j.successRate+3*math.Sqrt(j.successRate))/j.warmCapacity {
			r.observe(1+last, x, r.slownessBound())
		}
	}
}

// OnMetrics takes what the platform counted of all relays' outcomes in a period, bad ones spread evenly: a stream of its
// own, one and the same for the fleet, against its counts of the earlier build in the same periods, raised for the
// load of units on trial. Guards against builds whose units stop answering where each relay sees next to nothing of
// a unit, so that silence speaks for units everywhere; hurts where the trial's units alone are cut off.
func (r *Balancer) OnMetrics(now Tick, build uint16, opType, many, failed int, took, age Tick) {
	r.now = now
	j, last, failed := r.evaluation, len(r.classes)+3, min(failed, many)
	for i := range min(many, rareSampleSize) {
		x := float64((i+1)*failed/many - i*failed/many)
		switch {
		case build < j.version:
			r.baseline.add(last, x, rareSampleSize)
			r.baselineMetricsAt = now
		case build == j.version && r.baselineMetricsAt > 0 && now-r.baselineMetricsAt <= 2*r.span("rollout.metrics_period"):
			r.observe(1+last, x, r.failureShare(last)+canaryLoadMargin+margin)
		}
	}
	r.considerVote()
}

// slownessBound is the edge of slowness.
func (r *Balancer) slownessBound() float64 {
	return min(r.failureShare(len(r.classes)+1), r.evaluation.slowShareBefore+fleetSlowdownMargin) + canaryLoadMargin + margin
}

// speaksForBackendAlone: a silent unit, or one that failed its own test while others of its build answer, speaks for
// itself or its link. Guards the build against both; hurts when a bad build shows at some units only.
func (r *Balancer) speaksForBackendAlone(d *Attempt, bad bool) bool {
	return bad && d.Backend.lastAnswer < d.sentAt || d.Backend.ejected && slices.ContainsFunc(r.backends, func(o *Backend) bool {
		return o != d.Backend && o.Version == d.version && !o.ejected && len(o.successTimes) > 0
	})
}

// failureBound is what an outcome of an op type, or a flag, is held against in a stream. At-most-once
// errors cannot be tried elsewhere: the share of other commands that failed twice excuses them.
func (r *Balancer) failureBound(stream, op int) float64 {
	if op == len(r.classes) {
		return r.failureShare(op) + margin*r.num("rollout.found_share")
	}
	if r.classes[op]["repeats"] == "at_most_once" {
		return r.failureShare(stream) + mean(r.requestFaults) + margin
	}
	return r.failureShare(stream) + margin
}

// recordAnswer gives an answer (0) or a flag (1) to the stream of flags.
func (r *Balancer) recordAnswer(build uint16, x float64) {
	j, last := r.evaluation, len(r.classes)
	switch {
	case r.num("rollout.found_share") == 0:
	case build == j.version:
		if j.sample.add(last, x, rareSampleSize); x > 0 {
			j.ruleOutEffect(last, x, r.baselineShare(last), ruledOutEffect*r.num("rollout.found_share"))
		} else if r.span("rollout.report_within") > 0 { // its flag may be on its way
			j.awaitingReports = appendBounded(j.awaitingReports, r.now, rareSampleSize)
		}
		r.addToGossip(last, x)
		r.observe(1+last, x, r.failureBound(last, last))
	case build < j.version:
		r.baseline.add(last, x, rareSampleSize)
	}
}

// recordForBackend is the sequential test on a unit's outcomes, and its trickle. It bets on a unit that fails
// most of its deliveries against one that fails as this relay's last ones did, so that a trouble of
// all sets none aside. A poor unit goes to the end of this relay's own order and the next comes near.
// Guards against units that are bad, silent or out of connections, maybe for this relay alone.
func (r *Balancer) recordForBackend(u *Backend, bad bool) {
	usual, mark := min(max(0.2, 1.5*mean(r.recentFailures)), 0.7), 0.0
	if bad {
		mark, u.lastFailure = 1, r.now
		u.failureWealth = max(1, u.failureWealth) * ejectionFailureShare / usual
		u.probationInterval = min(max(u.probationInterval*2, probationFirst), probationLongest)
	} else {
		u.failureWealth = max(1, u.failureWealth*(1-ejectionFailureShare)/(1-usual))
		u.probationInterval /= 2
	}
	u.recentFailures, r.recentFailures = appendBounded(u.recentFailures, mark, backendSampleSize), appendBounded(r.recentFailures, mark, sampleSize)
	if r.degraded(u) {
		moveToEnd(r.backends, u)
	}
	switch {
	case !u.ejected && u.failureWealth >= ejectionWealth:
		u.ejected = true
		u.nextProbation = r.now + u.probationInterval
		r.logSampled(fmt.Sprintf("unit %d set aside after failures", u.ID))
	case u.ejected && !bad && u.probationInterval < probationDone:
		u.ejected, u.failureWealth = false, 1
		r.logSampled(fmt.Sprintf("unit %d back in use", u.ID))
	}
}

// logSampled logs at a few of the relays what many of them see alike.
func (r *Balancer) logSampled(text string) {
	if r.random(int(max(1, r.num("relays")))) < loggingRelays {
		r.host.Log(text)
	}
}

func (r *Balancer) observe(which int, x, b float64) {
	j := r.evaluation
	s := &j.streams[which]
	if n, wealth, ok := s.see(x, min(b, 0.9)); ok && j.alarm == "" {
		j.alarm = fmt.Sprintf("%s: test %d of %d, wealth %.3g against a share of %.3f",
			streamName(which, len(r.classes)), n, s.n, wealth, b)
		r.logSampled(fmt.Sprintf("build %d alarm on %s", j.version, j.alarm))
	}
}

// see opens a test with this outcome, if need be in place of the poorest of the later ones, and bets in all.
func (s *stream) see(x, b float64) (start int, wealth float64, alarm bool) {
	s.n++
	opened := test{start: s.n, wealth: 1}
	if len(s.tests) < maxOpenTests {
		s.tests = append(s.tests, opened)
	} else if weak := weakest(s.tests[maxOpenTests/2:]); weak.wealth < 1 {
		*weak = opened
	}
	for i := range s.tests {
		t := &s.tests[i]
		mean := (t.bad + min(0.5, firstBetMultiple*b)) / (t.seen + 1)
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

func (j *evaluation) suspicious() bool {
	return slices.ContainsFunc(j.streams, func(s stream) bool {
		return slices.ContainsFunc(s.tests, func(t test) bool { return t.wealth > math.Sqrt(s.threshold(&t)) })
	})
}

// OnTimer takes the one timer: it scores what is overdue and works out the figures.
func (r *Balancer) OnTimer(now Tick, tag uint32) {
	r.now = now
	r.host.SetTimer(now+timerInterval, tag)
	for _, d := range r.attemptsInFlight {
		if now > d.slowAfter && !d.countedAsSlow && !d.newConnection && !r.speaksForBackendAlone(d, true) {
			r.recordTimeliness(d, true)
		}
		if !d.silenceCounted && now-d.sentAt >= Tick(silenceShare*float64(r.shortestObjective)) && r.silent(d.Backend) {
			d.silenceCounted = true
			r.recordForBackend(d.Backend, true)
		}
		r.cancelAndRetry(d)
	}
	if r.flag("limits.peers") && now >= r.nextGossip && r.evaluation != nil {
		r.nextGossip = now + gossipInterval
		r.host.SendGossip(AllPeers, append([]byte{byte(r.evaluation.version), byte(r.evaluation.version >> 8)}, r.gossipCounts...))
		clear(r.gossipCounts)
	}
	r.updateLatencies()
	r.successTimes, r.arrivals = dropBefore(r.successTimes, now-rateWindow), dropBefore(r.arrivals, now-rateWindow)
	trial, doubted, warm, all := 0.0, 0.0, 0.0, float64(len(r.backends))
	r.warmCapacity = 0
	for _, u := range r.backends {
		w := r.warmUpFraction(u)
		r.warmCapacity, warm, doubted, trial = r.warmCapacity+w, warm+math.Floor(w), doubted+indicator(r.suspect(u)), trial+w*indicator(r.isCanary(u.Version))
	}
	r.mostSuspect = 8*doubted >= 7*all // a trouble of nearly all is this relay's own, such as a stall
	rate := float64(len(r.successTimes)) * float64(Second) / float64(rateWindow)
	if r.ratePerBackend = max(r.ratePerBackend, rate/max(all, 1)); 2*warm > all { // else what warm units did holds, or what all do
		r.ratePerBackend = rate / max(r.warmCapacity, 1)
	}
	r.choiceSize = minChoiceSize + len(r.arrivals)*int(r.shortestObjective)/int(rateWindow)
	// A cap is told before its machines have come and warmed. Until then trial sends keep to the
	// machines' part of the fleet, with the slack of the first stage's cap over its share. While
	// they answer more slowly than the others, the slack is given back too: the build is judged
	// at the load that the others carry. Guards against drowning the few and blaming the build.
	slack := max(1, r.first("rollout.caps")/max(r.first("rollout.stage_shares"), 0.01))
	r.canaryFraction = trial / max(r.warmCapacity, 1) * slack
	if j := r.evaluation; j != nil {
		share, _ := r.exposureCapOf(j.version)
		over := max(0, mean(j.sample.bad[len(r.classes)+1])-r.failureShare(len(r.classes)+1))
		r.canaryFraction = exposureUse * min(r.canaryFraction, share) * (1 - (1-1/slack)*min(1, over/fleetSlowdownMargin))
	}
	if r.polling && now >= r.nextPoll { // asks for the list's changes, less often each time
		r.host.WatchEndpoints(true)
		r.schedulePoll()
	}
	for _, cmd := range r.queue {
		if !cmd.answered && r.pastSaving(cmd) {
			r.shed(cmd)
		}
	}
	r.serveQueue()
	r.considerVote()
}

// cancelAndRetry calls off a delivery at a silent unit, to serve the command elsewhere in time, for a small
// part of what is acked: on a loaded day many are late. Guards against dead and hung units, cut links.
func (r *Balancer) cancelAndRetry(d *Attempt) {
	cmd := d.Request
	if r.cancelBudget < 1 || d.cancelled || cmd.answered || cmd.streaming || !r.flag("limits.may_cancel") ||
		!d.silenceCounted || !r.silent(d.Backend) || r.now >= cmd.usefulUntil-r.p90Latency[cmd.Class] ||
		r.word2(cmd, "repeats") == "at_most_once" || d.Number+1 >= int(r.num("limits.max_deliveries")) || !r.allowRetry(cmd, false) {
		return
	}
	r.cancelBudget--
	d.cancelled = true
	r.host.CancelAttempt(d)
}

// schedulePoll asks for the list again after a pause that doubles, is drawn, and with 4 s at the most leaves a call 2 s.
func (r *Balancer) schedulePoll() {
	r.pollInterval = min(2*r.pollInterval, max(Second, r.span("rules.ask_every")/2), longestPoll)
	r.nextPoll = r.now + r.pollInterval*3/4 + Tick(r.random(int(r.pollInterval/2)))
}

// OnListSynced takes the end of one piece of news of the list, or that a call failed.
func (r *Balancer) OnListSynced(now Tick, ok bool) {
	r.now = now
	if j := r.evaluation; ok && !r.listSynced && j != nil { // at a start units come one by one, some of them on trial already
		j.baselineBackends = float64(len(r.backends))
	}
	r.listSynced = r.listSynced || ok
	if ok {
		r.polling = r.polling && now == r.startedAt
	} else if !r.polling {
		r.polling, r.pollInterval, r.nextPoll = true, Second/2, now+Tick(r.random(int(Second)))
	}
	r.serveQueue()
}

// OnInstancesMoved takes that instances of commands that wait are at other units now.
func (r *Balancer) OnInstancesMoved(now Tick) { r.now = now; r.serveQueue() }

func (r *Balancer) OnEndpoint(now Tick, u *Backend, is Endpoint) {
	r.now = now
	if u.listed && (is.StartedAt != u.StartedAt || is.Version != u.Version) { // another process: nothing known holds
		u.successTimes, u.warmUpSends, u.recentFailures, u.relativeLatencies, u.failureWealth, u.ejected, u.probationInterval, u.lastAnswer, u.waitingSince = nil, nil, nil, nil, 1, false, 0, now, now
	}
	if !u.listed || is.StartedAt != u.StartedAt {
		u.lastWarmUpSend, u.warmUpShareDue = now, float64(1+r.random(1000))/1000
	}
	u.listed, u.Endpoint = true, is
	if r.backends = applyListing(r.backends, u, r.random(len(r.backends)+1)); is.State == Ready {
		r.startEvaluation(is.Version)
	}
}

// startEvaluation starts to judge a build that is newer than all before it.
func (r *Balancer) startEvaluation(build uint16) {
	j := r.evaluation
	if j != nil && build <= j.version {
		return
	}
	if j != nil && (!r.releaseKnown || r.release.Version != j.version || r.release.Phase == Released) {
		r.baseline = j.sample // it was kept: now it is the earlier build
	}
	ops, n := len(r.classes), float64(len(r.classes))
	r.gossipCounts = make([]byte, 2*ops+2)
	r.evaluation = &evaluation{version: build, sample: newSample(ops), streams: make([]stream, ops+5), effectWealth: slices.Repeat([]float64{1}, ops+1),
		slowShareBefore: r.failureShare(ops + 1), medianLatency: slices.Clone(r.medianLatency), successRate: float64(len(r.successTimes)),
		warmCapacity: max(1, r.warmCapacity), baselineBackends: float64(len(r.backends) - r.backendsRunning(build))}
	// Load can mislead a relay as to slowness, and one misled relay decides for all.
	parts := append(append([]float64{1}, slices.Repeat([]float64{n}, ops)...), 1, max(1, r.num("relays")), n, 1)
	for i, part := range parts {
		r.evaluation.streams[i].level = alpha / part
	}
}

func (r *Balancer) OnReleaseStatus(now Tick, news ReleaseStatus) {
	r.now = now
	r.onVoteReply(news)
	if news.Outcome == Succeeded {
		r.startEvaluation(news.Version)
		old := r.release
		if !r.releaseKnown || old.Version != news.Version || old.Stage != news.Stage || old.Phase != news.Phase {
			r.stageStart = now - news.Age
			r.evaluation.outcomesInStage, r.evaluation.countedStage = 0, news.Stage
			maps.DeleteFunc(r.answeredKeys, func(by uint16, _ *keySet) bool { return by < news.Version })
		}
		if bound, _ := r.exposureCapOf(news.Version); r.releaseKnown && old.Phase != Released && news.ExposureCap < bound {
			// The lower cap holds at once over the old count; the rule counts anew later.
			r.exposureResetAt = now + r.span("rules.drain_grace") + 1
		}
		r.release, r.releaseKnown = news, true
	}
	r.serveQueue()
	r.considerVote()
}

func (r *Balancer) verdict() Verdict {
	j := r.evaluation
	if !r.releaseKnown || j == nil || j.version != r.release.Version || r.release.Phase != Canary && r.release.Phase != Released {
		return NoVote
	}
	least := max(1, min(minOutcomesTimed, minOutcomes/max(1, r.num("relays"))))
	timed := r.now-r.stageStart >= timedVoteAfter && float64(j.streams[0].n) >= least
	clocked := r.word("rollout.control") == "clocked"
	// A fleet much slower than before the trial, or a trial past the edge so far, waits for more outcomes.
	wary, need, last := j.suspicious(), minOutcomes, len(r.classes)+1
	if r.failureShare(last) > j.slowShareBefore+fleetSlowdownMargin || mean(j.sample.bad[last]) > r.slownessBound() {
		wary, need, timed = wary || clocked, minOutcomesIfSlow, false
	}
	switch {
	case j.alarm != "":
		return RollBack
	case r.release.Phase == Released || !wary && clocked:
		return NoVote
	case clocked:
		return Pause
	case !wary && (r.missingEvidence() < 0 && (j.outcomesInStage >= need || timed) ||
		timed && r.now-r.stageStart >= r.span("rollout.evidence_wait")): // by the clock, with its smaller promise
		return Promote
	}
	return NoVote
}

// ruleOutEffect bets against a failure share of the effect above the earlier build's: a likelihood ratio, which
// at any such share or a higher one is a supermartingale. Once it reaches 1/missed that is ruled out for good.
func (j *evaluation) ruleOutEffect(which int, x, b, effect float64) {
	b = min(b, 0.95-effect)
	if j.effectWealth[which] < 1/missProbability {
		j.effectWealth[which] *= x*b/(b+effect) + (1-x)*(1-b)/(1-b-effect)
	}
}

// missingEvidence is the first op type that has traffic and is not ruled out to be bad, or the flags; -1 for none.
// Answers count for these once a flag would have come.
func (r *Balancer) missingEvidence() int {
	j, last := r.evaluation, len(r.classes)
	for n := 0; len(j.awaitingReports) > 0 && n < rareSampleSize && j.awaitingReports[0]+r.span("rollout.report_within") <= r.now; n++ {
		j.awaitingReports = j.awaitingReports[1:]
		j.ruleOutEffect(last, 0, r.baselineShare(last), ruledOutEffect*r.num("rollout.found_share"))
	}
	for which, wealth := range j.effectWealth {
		matters := which < last && len(r.latencies[which]) > 0 ||
			which == last && r.span("rollout.report_within") > 0 && r.num("rollout.found_share") > 0
		if matters && wealth < 1/missProbability {
			return which
		}
	}
	return -1
}

// currentStage is where the newest build stands: as told, or as far as the list shows more units of it than the
// told stage has, or a vote back found stages passed. Guards against late news: a vote on a stage that has
// passed does not count. Where units of the build start anew under other names, votes may come too early.
func (r *Balancer) currentStage() int {
	j, at := r.evaluation, r.release.Stage
	if j == nil || j.version != r.release.Version || r.release.Phase != Canary {
		return at
	}
	at = max(at, j.stagePassed)
	for at+1 < r.stageCount() && float64(r.backendsRunning(j.version)) > math.Ceil(r.stageShare(at)*j.baselineBackends) {
		at++
	}
	if at > j.countedStage {
		j.countedStage, j.outcomesInStage, r.stageStart = at, 0, r.now
	}
	return at
}

func (r *Balancer) considerVote() {
	at, want, v := r.currentStage(), r.verdict(), &r.vote
	if want == NoVote {
		if v.state == voteDrawn {
			v.state = voteNone
		}
		return
	}
	if v.state == voteNone || v.verdict != want || v.version != r.release.Version || v.stage != at {
		*v = vote{version: r.release.Version, stage: at, verdict: want, state: voteDrawn}
		// The moment is random over the time the platform needs for a vote of every
		// relay, at most a vote's life: spread further, votes would only come later.
		relays, rate := max(1, r.num("relays")), max(0.1, r.num("rollout.votes_per_s"))
		life := r.span("rollout.vote_life")
		v.at = r.now + Tick(r.random(int(min(life, Tick(relays/rate*float64(Second)))+1)))
		if allowed := rate * float64(life) / float64(Second) / relays; float64(r.random(1000)) >= 1000*allowed {
			v.state, v.at = voteStands, r.now+life // not this time
		}
	}
	if r.now < v.at {
		return
	}
	switch v.state {
	case voteDrawn:
		v.state, v.at = voteCast, r.now+r.span("rollout.vote_wait")+Second
		if want == Promote {
			by := "" // what it leaves open
			if open := r.missingEvidence(); open >= 0 {
				by = ", by the clock: not ruled out for " + streamName(1+open, len(r.classes))
			}
			r.logSampled(fmt.Sprintf("vote 1 on build %d stage %d: %d outcomes%s", v.version, v.stage, r.evaluation.outcomesInStage, by))
		} else {
			r.host.Log(fmt.Sprintf("vote %d on build %d stage %d: %s", want, v.version, v.stage, r.evaluation.alarm))
		}
		r.host.CastVote(v.version, v.stage, want)
	default: // no answer came, or it no longer stands: say it again
		v.state = voteNone
	}
}

func (r *Balancer) onVoteReply(news ReleaseStatus) {
	v, ending := &r.vote, news.Outcome
	if !news.VoteReply || v.state != voteCast {
		return
	}
	v.state, v.at = voteStands, r.now+r.span("rollout.vote_life")
	if ending == Discarded && v.verdict == RollBack { // that stage has passed
		r.evaluation.stagePassed = (v.stage + 1) % r.stageCount()
	}
	if ending != Succeeded { // it may not count: again, after a moment
		v.at = r.now + Second/4 + Tick(r.random(int(Second/2)))
	}
}

// OnWrongAnswer takes a late flag: one more outcome, scored 1.
func (r *Balancer) OnWrongAnswer(now Tick, u *Backend, opType int, age Tick) {
	r.now = now
	r.recordAnswer(u.Version, 1)
	if u.Version == r.evaluation.version {
		r.observe(0, 1, r.failureBound(-1, opType))
	}
	r.considerVote()
}

// updateLatencies works out, a few times a second, how long deliveries took of late. Neither time is held to be so long that
// what has just come is never tried, and what no answer has borne out for a while is forgotten: else slow answers
// would keep away the commands that alone can show better ones.
func (r *Balancer) updateLatencies() {
	for op, took := range r.latencies {
		part := ticks(r.classes[op]["service_target"]) / 4
		r.p90Latency[op], r.medianLatency[op] = part, part
		switch n := len(took); {
		case n < backendSampleSize:
		case r.now > r.latencyKnownAt[op]+probationLongest:
			r.latencies[op] = took[n-1:]
		default:
			sorted := slices.Sorted(slices.Values(took))
			r.p90Latency[op], r.medianLatency[op] = min(sorted[n*9/10], 3*part), min(sorted[n/2], 3*part)
		}
	}
}
