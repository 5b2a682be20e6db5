package balancer

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// random draws from 0 to n-1 by multiply-with-carry.
func (r *Balancer) random(n int) int {
	t := 4294957665*uint64(r.x) + uint64(r.carry)
	r.x, r.carry = uint32(t), uint32(t>>32)
	return int(uint64(r.x) * uint64(max(n, 1)) >> 32)
}

// What follows picks one value of the settings; an absent one is zero.

func (r *Balancer) num(name string) float64 { v, _ := r.set[name].(float64); return v }
func (r *Balancer) first(name string) float64 {
	if l, _ := r.set[name].([]any); len(l) > 0 {
		f, _ := l[0].(float64)
		return f
	}
	return 0
}
func (r *Balancer) word(name string) string { v, _ := r.set[name].(string); return v }
func (r *Balancer) flag(name string) bool   { v, _ := r.set[name].(bool); return v }
func (r *Balancer) span(name string) Tick   { return ticks(r.set[name]) }
func (r *Balancer) word2(c *Request, name string) string {
	v, _ := r.classes[c.Class][name].(string)
	return v
}
func (r *Balancer) opSpan(c *Request, name string) Tick { return ticks(r.classes[c.Class][name]) }

// ticks turns seconds into ticks.
func ticks(v any) Tick { f, _ := v.(float64); return Tick(f * float64(Second)) }

// dropBefore drops the times before a moment.
func dropBefore(times []Tick, from Tick) []Tick {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// mean is the mean of samples, 0 for none.
func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(1, len(x)))
}

// indicator is 1 for what is so.
func indicator(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

// removeTime takes one time out of a list in order, if it was counted there and still is.
func removeTime(times []Tick, at Tick, counted bool) []Tick {
	if i, has := slices.BinarySearch(times, at); has && counted {
		return slices.Delete(times, i, i+1)
	}
	return times
}

// appendBounded appends a sample and holds on to the last n.
func appendBounded[T any](all []T, one T, n int) []T {
	all = append(all, one)
	return all[max(0, len(all)-n):]
}

// sample is the last outcomes at one build, 1 for a bad one: for each op type, then
// flags among answers, then slow ones among deliveries, then resets among them, then what the platform counted.
type sample struct {
	bad [][]float64
}

// keySet is a set of keys in a fixed space. It may take a key for one that was added, one in a hundred with 100,000
// of them and two in five with a million; never the other way.
type keySet [1 << 15]uint64

func (f *keySet) has(key uint64) bool {
	return key != 0 && f[key>>6%uint64(len(f))]>>(key%64)&1 == 1 && f[key>>38%uint64(len(f))]>>(key>>32%64)&1 == 1
}

func (f *keySet) add(key uint64) {
	f[key>>6%uint64(len(f))] |= 1 << (key % 64)
	f[key>>38%uint64(len(f))] |= 1 << (key >> 32 % 64)
}

// rememberKey keeps that a build has answered a key. Of more builds at once than can be on their way at any
// time, the earliest is let go: its keys are those of a build that two others have followed.
func (r *Balancer) rememberKey(key uint64, build uint16) {
	if r.answeredKeys[build] == nil {
		r.answeredKeys[build] = &keySet{}
		if len(r.answeredKeys) > rememberedVersions {
			delete(r.answeredKeys, slices.Min(slices.Collect(maps.Keys(r.answeredKeys))))
		}
	}
	r.answeredKeys[build].add(key)
}

func newSample(opTypes int) *sample {
	return &sample{bad: make([][]float64, opTypes+4)}
}

func (s *sample) add(which int, bad float64, most int) {
	s.bad[which] = appendBounded(s.bad[which], bad, most)
}

// count counts the bad ones and all of them, for all op types together with -1.
func (s *sample) count(which int) (bad, n float64) {
	for i, outcomes := range s.bad {
		if which == i || which < 0 && i < len(s.bad)-4 {
			bad += mean(outcomes) * float64(len(outcomes))
			n += float64(len(outcomes))
		}
	}
	return bad, n
}

// failureShare is the part of bad ones among the earlier build's outcomes of one kind, or of all (-1).
func (r *Balancer) failureShare(which int) float64 {
	bad, n := r.baseline.count(which)
	return (bad + 0.5) / (n + 1)
}

// baselineShare is the same for ruling an effect out: while next to nothing is known of the earlier build it is held to be
// good, so that nothing is ruled out too soon.
func (r *Balancer) baselineShare(which int) float64 {
	if _, n := r.baseline.count(which); n < backendSampleSize {
		return margin
	}
	return r.failureShare(which)
}

// stageCount tells how many a build has, and part the units of one as a share of the fleet's places.
func (r *Balancer) stageCount() int {
	l, _ := r.set["rollout.stage_shares"].([]any)
	return max(1, len(l))
}

func (r *Balancer) stageShare(stage int) float64 {
	l, _ := r.set["rollout.stage_shares"].([]any)
	part, _ := l[stage].(float64)
	return part
}

// backendsRunning counts the listed units of a build or a later one.
func (r *Balancer) backendsRunning(build uint16) int {
	n := 0
	for _, u := range r.backends {
		if u.Version >= build {
			n++
		}
	}
	return n
}

// weakest is the test that has lost the most.
func weakest(tests []test) *test {
	least := &tests[0]
	for i := range tests {
		if tests[i].wealth < least.wealth {
			least = &tests[i]
		}
	}
	return least
}

// Load is what is open or waits for a unit, in parts of what the relay allows itself; commands whose instance runs
// nowhere wait for that alone.
func (r *Balancer) Load() float64 {
	n := r.openAttempts()
	for _, cmd := range r.queue {
		if !cmd.answered && (!cmd.Pinned || cmd.PinnedTo != nil) {
			n++
		}
	}
	return n / max(1, r.concurrencyLimit)
}

// openAttempts counts the deliveries that are out at units that still answer.
func (r *Balancer) openAttempts() float64 {
	n := 0.0
	for _, d := range r.attemptsInFlight {
		if !d.cancelled && !r.silent(d.Backend) {
			n++
		}
	}
	return n
}

// warmUpFraction is the part of its capacity that a unit has at the least.
func (r *Balancer) warmUpFraction(u *Backend) float64 {
	cold := r.span("rules.cold")
	if u.StartedAt == 0 || r.now-u.StartedAt >= cold {
		return 1
	}
	from := r.num("rules.cold_from")
	return from + (1-from)*float64(max(0, r.now-u.StartedAt))/float64(cold)
}

// isCanary: the exposure rule counts this build.
func (r *Balancer) isCanary(build uint16) bool {
	return r.releaseKnown && (build > r.release.Version || build == r.release.Version && r.release.Phase != Released)
}

// exposureCapOf is the cap of a build on trial; one that the news has not named counts as
// in the first stage.
func (r *Balancer) exposureCapOf(build uint16) (share float64, stage int) {
	if build == r.release.Version {
		return r.release.ExposureCap, r.release.Stage
	}
	return r.first("rollout.caps"), 0
}

// mayHaveRun: only these endings prove that a delivery never ran.
func (d *Attempt) mayHaveRun() bool {
	return !d.ended || d.outcome != AtCapacity && d.outcome != ConnectFailed && d.outcome != Discarded
}

// addToGossip counts an outcome at the judged build for the other relays.
func (r *Balancer) addToGossip(which int, x float64) {
	r.gossipCounts[2*which] = min(r.gossipCounts[2*which]+1, 254)
	r.gossipCounts[2*which+1] = min(r.gossipCounts[2*which+1]+byte(x), r.gossipCounts[2*which])
}

// OnGossip takes the counts of another relay: outcomes like its own, the bad ones spread
// evenly. A relay sees a part of the traffic only; together they see a bad build sooner.
func (r *Balancer) OnGossip(now Tick, from uint32, data []byte) {
	r.now = now
	ops := len(r.classes)
	if r.evaluation == nil || len(data) != 4+2*ops || uint16(data[0])|uint16(data[1])<<8 != r.evaluation.version {
		return
	}
	for which := range ops + 1 {
		if which < ops {
			r.evaluation.outcomesInStage += int(data[2+2*which])
		}
		n, bad := int(data[2+2*which]), int(data[3+2*which])
		for i := range n {
			x := float64((i+1)*bad/n - i*bad/n)
			if which < ops {
				r.evaluation.ruleOutEffect(which, x, r.baselineShare(which), ruledOutEffect)
				r.observe(0, x, r.failureBound(-1, which))
			}
			r.observe(1+which, x, r.failureBound(which, which))
		}
	}
	r.considerVote()
}

// fleet is what a host may offer beside: one that does not leaves repeats and probes to this module's own rules.
type fleet interface {
	MayRetry(cmd *Request) bool
	AvoidsBackend(u *Backend) bool
	MayProbe(u *Backend) bool
}

// allowRetry asks for one more delivery of a command. Where there is to be none its last error speaks for the build at once:
// no answer of another unit will come.
func (r *Balancer) allowRetry(cmd *Request, ended bool) bool {
	f, ok := r.host.(fleet)
	switch {
	case !ok:
		return true
	case cmd.Pinned && cmd.attempts[len(cmd.attempts)-1].outcome == AtCapacity: // its instance is elsewhere: nothing ran
		return true
	case cmd.retryGranted && ended: // when it was called off
		cmd.retryGranted = false
		return true
	case f.MayRetry(cmd):
		cmd.retryGranted = !ended
		return true
	}
	if before := cmd.deferredFailure; ended && before != nil {
		cmd.deferredFailure = nil
		r.recordForVersion(before, false)
	}
	return false
}

// mayProbe asks whether this relay may try a unit that it doubts, or other relays do; else it leaves it alone for a moment.
// Where more than a few were set aside it is no unit's doing, and what others say counts for nothing.
func (r *Balancer) mayProbe(u *Backend) bool {
	f, ok := r.host.(fleet)
	if !ok || !r.suspect(u) && (!f.AvoidsBackend(u) || 4*r.ejectedCount() >= len(r.backends)) || f.MayProbe(u) {
		return true
	}
	u.nextProbation, u.avoidedUntil = r.now+probationFirst, r.now+probationFirst
	return false
}

func (r *Balancer) ejectedCount() (n int) {
	for _, u := range r.backends {
		if u.ejected || r.now < u.avoidedUntil {
			n++
		}
	}
	return n
}

func (r *Balancer) exposureOf(op int) *exposureCounter {
	return &r.exposure[min(op, len(r.exposure)-1)]
}

// OnProbe changes nothing: the design judges by outcomes.
func (r *Balancer) OnProbe(now Tick, u *Backend, ending Outcome, took Tick, load []float64) {
	r.now = now
}

// VoteReason says why a vote of this kind is cast now.
func (r *Balancer) VoteReason(v Verdict) string {
	switch open := r.missingEvidence(); {
	case v == RollBack:
		return r.evaluation.alarm
	case v == Pause:
		return "outcomes that look worse than the earlier build's"
	case open >= 0:
		return "the clock, as the effect is not ruled out for " + streamName(1+open, len(r.classes))
	}
	return "evidence that rules the effect out for each op type with traffic"
}

// moveToEnd puts one at the end of a list that has it.
func moveToEnd[T comparable](list []T, one T) {
	if at := slices.Index(list, one); at >= 0 {
		copy(list[at:], list[at+1:])
		list[len(list)-1] = one
	}
}

// applyListing puts a ready unit at a place of the list that lacks it, and takes out another.
func applyListing(units []*Backend, u *Backend, place int) []*Backend {
	at := slices.Index(units, u)
	switch {
	case u.State == Ready && at < 0:
		return slices.Insert(units, place, u)
	case u.State != Ready && at >= 0:
		return slices.Delete(units, at, at+1)
	}
	return units
}

// streamName says in the log what a stream counts.
func streamName(which, ops int) string {
	name := map[int]string{0: "all commands", ops + 1: "wrong answers", ops + 2: "slowness",
		ops + 3: "resets", ops + 4: "the platform's counts"}[which]
	if name == "" {
		name = fmt.Sprint("op type ", which-1)
	}
	return name
}

// OnStreamStart takes the start of a streamed answer: the delivery is the client's now.
func (r *Balancer) OnStreamStart(now Tick, d *Attempt) {
	r.now = now
	d.Backend.lastAnswer, d.Request.streaming = now, true
	d.slowAfter = Tick(math.MaxInt64) // its time-out has stopped running
}

// OnClientGone takes that a client has gone: nothing is owed, and nothing more is sent.
func (r *Balancer) OnClientGone(now Tick, cmd *Request) {
	r.now = now
	cmd.answered = true
	for _, d := range cmd.attempts {
		if !d.ended && !cmd.streaming && r.flag("limits.may_cancel") {
			r.host.CancelAttempt(d)
		}
	}
}

// prepare starts the generator and makes room for what is kept by op type.
func (r *Balancer) prepare(seed uint64) {
	r.x, r.carry = uint32(seed), uint32(seed>>32)%4294957664+1
	r.classes, _ = r.set["op_types"].([]map[string]any)
	ops := len(r.classes)
	r.exposure = make([]exposureCounter, 1)
	if r.word("rollout.exposure_by") == "op_type" {
		r.exposure = make([]exposureCounter, ops)
	}
	r.baseline = newSample(ops)
	r.latencies, r.latencyKnownAt, r.p90Latency, r.medianLatency = make([][]Tick, ops), make([]Tick, ops), make([]Tick, ops), make([]Tick, ops)
	r.shortestObjective = Tick(math.MaxInt64)
	for _, t := range r.classes {
		r.shortestObjective = min(r.shortestObjective, ticks(t["service_target"]))
	}
}
