package balancer

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// chance draws from 0 to n-1 by multiply-with-carry.
func (r *Relay) chance(n int) int {
	t := 4294957665*uint64(r.x) + uint64(r.carry)
	r.x, r.carry = uint32(t), uint32(t>>32)
	return int(uint64(r.x) * uint64(max(n, 1)) >> 32)
}

// What follows picks one value of the settings; an absent one is zero.

func (r *Relay) num(name string) float64 { v, _ := r.set[name].(float64); return v }
func (r *Relay) first(name string) float64 {
	if l, _ := r.set[name].([]any); len(l) > 0 {
		f, _ := l[0].(float64)
		return f
	}
	return 0
}
func (r *Relay) word(name string) string { v, _ := r.set[name].(string); return v }
func (r *Relay) flag(name string) bool   { v, _ := r.set[name].(bool); return v }
func (r *Relay) span(name string) Tick   { return ticks(r.set[name]) }
func (r *Relay) word2(c *Command, name string) string {
	v, _ := r.opTypes[c.OpType][name].(string)
	return v
}
func (r *Relay) opSpan(c *Command, name string) Tick { return ticks(r.opTypes[c.OpType][name]) }

// ticks turns seconds into ticks.
func ticks(v any) Tick { f, _ := v.(float64); return Tick(f * float64(Second)) }

// recent drops the times before a moment.
func recent(times []Tick, from Tick) []Tick {
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

// mark is 1 for what is so.
func mark(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

// without takes one time out of a list in order, if it was counted there and still is.
func without(times []Tick, at Tick, counted bool) []Tick {
	if i, has := slices.BinarySearch(times, at); has && counted {
		return slices.Delete(times, i, i+1)
	}
	return times
}

// keep appends a sample and holds on to the last n.
func keep[T any](all []T, one T, n int) []T {
	all = append(all, one)
	return all[max(0, len(all)-n):]
}

// sample is the last outcomes at one build, 1 for a bad one: for each op type, then
// flags among answers, then slow ones among deliveries, then resets among them, then what the platform counted.
type sample struct {
	bad [][]float64
}

// filter is a set of keys in a fixed space. It may take a key for one that was added, one in a hundred with 100,000
// of them and two in five with a million; never the other way.
type filter [1 << 15]uint64

func (f *filter) has(key uint64) bool {
	return key != 0 && f[key>>6%uint64(len(f))]>>(key%64)&1 == 1 && f[key>>38%uint64(len(f))]>>(key>>32%64)&1 == 1
}

func (f *filter) add(key uint64) {
	f[key>>6%uint64(len(f))] |= 1 << (key % 64)
	f[key>>38%uint64(len(f))] |= 1 << (key >> 32 % 64)
}

// forwarded keeps that a build has answered a key. Of more builds at once than can be on their way at any
// time, the earliest is let go: its keys are those of a build that two others have followed.
func (r *Relay) forwarded(key uint64, build uint16) {
	if r.forward[build] == nil {
		r.forward[build] = &filter{}
		if len(r.forward) > mostForward {
			delete(r.forward, slices.Min(slices.Collect(maps.Keys(r.forward))))
		}
	}
	r.forward[build].add(key)
}

func newSample(opTypes int) *sample {
	return &sample{bad: make([][]float64, opTypes+4)}
}

func (s *sample) add(which int, bad float64, most int) {
	s.bad[which] = keep(s.bad[which], bad, most)
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

// share is the part of bad ones among the earlier build's outcomes of one kind, or of all (-1).
func (r *Relay) share(which int) float64 {
	bad, n := r.base.count(which)
	return (bad + 0.5) / (n + 1)
}

// usual is the same for ruling an effect out: while next to nothing is known of the earlier build it is held to be
// good, so that nothing is ruled out too soon.
func (r *Relay) usual(which int) float64 {
	if _, n := r.base.count(which); n < keptUnit {
		return margin
	}
	return r.share(which)
}

// stages tells how many a build has, and part the units of one as a share of the fleet's places.
func (r *Relay) stages() int {
	l, _ := r.set["rollout.stage_shares"].([]any)
	return max(1, len(l))
}

func (r *Relay) part(stage int) float64 {
	l, _ := r.set["rollout.stage_shares"].([]any)
	part, _ := l[stage].(float64)
	return part
}

// running counts the listed units of a build or a later one.
func (r *Relay) running(build uint16) int {
	n := 0
	for _, u := range r.units {
		if u.Build >= build {
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
func (r *Relay) Load() float64 {
	n := r.open()
	for _, cmd := range r.held {
		if !cmd.answered && (!cmd.Tied || cmd.At != nil) {
			n++
		}
	}
	return n / max(1, r.limit)
}

// open counts the deliveries that are out at units that still answer.
func (r *Relay) open() float64 {
	n := 0.0
	for _, d := range r.out {
		if !d.cancelled && !r.silent(d.To) {
			n++
		}
	}
	return n
}

// warmth is the part of its capacity that a unit has at the least.
func (r *Relay) warmth(u *Unit) float64 {
	cold := r.span("rules.cold")
	if u.Start == 0 || r.now-u.Start >= cold {
		return 1
	}
	from := r.num("rules.cold_from")
	return from + (1-from)*float64(max(0, r.now-u.Start))/float64(cold)
}

// onTrial: the exposure rule counts this build.
func (r *Relay) onTrial(build uint16) bool {
	return r.told && (build > r.news.Build || build == r.news.Build && r.news.Phase != Released)
}

// capOf is the cap of a build on trial; one that the news has not named counts as
// in the first stage.
func (r *Relay) capOf(build uint16) (share float64, stage int) {
	if build == r.news.Build {
		return r.news.Cap, r.news.Stage
	}
	return r.first("rollout.caps"), 0
}

// mayHaveRun: only these endings prove that a delivery never ran.
func (d *Delivery) mayHaveRun() bool {
	return !d.ended || d.ending != Full && d.ending != ConnectFailed && d.ending != Moot
}

// note counts an outcome at the judged build for the other relays.
func (r *Relay) note(which int, x float64) {
	r.tell[2*which] = min(r.tell[2*which]+1, 254)
	r.tell[2*which+1] = min(r.tell[2*which+1]+byte(x), r.tell[2*which])
}

// Told takes the counts of another relay: outcomes like its own, the bad ones spread
// evenly. A relay sees a part of the traffic only; together they see a bad build sooner.
func (r *Relay) Told(now Tick, from uint32, data []byte) {
	r.now = now
	ops := len(r.opTypes)
	if r.judged == nil || len(data) != 4+2*ops || uint16(data[0])|uint16(data[1])<<8 != r.judged.build {
		return
	}
	for which := range ops + 1 {
		if which < ops {
			r.judged.inStage += int(data[2+2*which])
		}
		n, bad := int(data[2+2*which]), int(data[3+2*which])
		for i := range n {
			x := float64((i+1)*bad/n - i*bad/n)
			if which < ops {
				r.judged.rule(which, x, r.usual(which), effect)
				r.see(0, x, r.edge(-1, which))
			}
			r.see(1+which, x, r.edge(which, which))
		}
	}
	r.consider()
}

// fleet is what a host may offer beside: one that does not leaves repeats and probes to this module's own rules.
type fleet interface {
	MayRepeat(cmd *Command) bool
	Avoids(u *Unit) bool
	MayProbe(u *Unit) bool
}

// again asks for one more delivery of a command. Where there is to be none its last error speaks for the build at once:
// no answer of another unit will come.
func (r *Relay) again(cmd *Command, ended bool) bool {
	f, ok := r.host.(fleet)
	switch {
	case !ok:
		return true
	case cmd.Tied && cmd.deliveries[len(cmd.deliveries)-1].ending == Full: // its instance is elsewhere: nothing ran
		return true
	case cmd.granted && ended: // when it was called off
		cmd.granted = false
		return true
	case f.MayRepeat(cmd):
		cmd.granted = !ended
		return true
	}
	if before := cmd.suspect; ended && before != nil {
		cmd.suspect = nil
		r.count(before, false)
	}
	return false
}

// mayTry asks whether this relay may try a unit that it doubts, or other relays do; else it leaves it alone for a moment.
// Where more than a few were set aside it is no unit's doing, and what others say counts for nothing.
func (r *Relay) mayTry(u *Unit) bool {
	f, ok := r.host.(fleet)
	if !ok || !r.doubted(u) && (!f.Avoids(u) || 4*r.setAside() >= len(r.units)) || f.MayProbe(u) {
		return true
	}
	u.nextTry, u.shunned = r.now+gapFirst, r.now+gapFirst
	return false
}

func (r *Relay) setAside() (n int) {
	for _, u := range r.units {
		if u.aside || r.now < u.shunned {
			n++
		}
	}
	return n
}

func (r *Relay) lane(op int) *lane { return &r.lanes[min(op, len(r.lanes)-1)] }

// Probed changes nothing: the design judges by outcomes.
func (r *Relay) Probed(now Tick, u *Unit, ending Ending, took Tick, load []float64) { r.now = now }

// Reason says why a vote of this kind is cast now.
func (r *Relay) Reason(v Verdict) string {
	switch open := r.short(); {
	case v == GoBack:
		return r.judged.alarm
	case v == Hold:
		return "outcomes that look worse than the earlier build's"
	case open >= 0:
		return "the clock, as the effect is not ruled out for " + streamName(1+open, len(r.opTypes))
	}
	return "evidence that rules the effect out for each op type with traffic"
}

// toEnd puts one at the end of a list that has it.
func toEnd[T comparable](list []T, one T) {
	if at := slices.Index(list, one); at >= 0 {
		copy(list[at:], list[at+1:])
		list[len(list)-1] = one
	}
}

// listed puts a ready unit at a place of the list that lacks it, and takes out another.
func listed(units []*Unit, u *Unit, place int) []*Unit {
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

// Streaming takes the start of a streamed answer: the delivery is the client's now.
func (r *Relay) Streaming(now Tick, d *Delivery) {
	r.now = now
	d.To.heard, d.Cmd.streaming = now, true
	d.due = Tick(math.MaxInt64) // its time-out has stopped running
}

// Left takes that a client has gone: nothing is owed, and nothing more is sent.
func (r *Relay) Left(now Tick, cmd *Command) {
	r.now = now
	cmd.answered = true
	for _, d := range cmd.deliveries {
		if !d.ended && !cmd.streaming && r.flag("limits.may_cancel") {
			r.host.Cancel(d)
		}
	}
}

// prepare starts the generator and makes room for what is kept by op type.
func (r *Relay) prepare(seed uint64) {
	r.x, r.carry = uint32(seed), uint32(seed>>32)%4294957664+1
	r.opTypes, _ = r.set["op_types"].([]map[string]any)
	ops := len(r.opTypes)
	r.lanes = make([]lane, 1)
	if r.word("rollout.exposure_by") == "op_type" {
		r.lanes = make([]lane, ops)
	}
	r.base = newSample(ops)
	r.took, r.learned, r.typical, r.middle = make([][]Tick, ops), make([]Tick, ops), make([]Tick, ops), make([]Tick, ops)
	r.target = Tick(math.MaxInt64)
	for _, t := range r.opTypes {
		r.target = min(r.target, ticks(t["service_target"]))
	}
}
