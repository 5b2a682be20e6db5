// Package strength decides for one edge unit on battery how much work it takes (Unit), and for the
// leading keeper which units' claims count (Believer) and who serves what on when all units of a zone are
// tired (Floor).
//
// A unit hands in its readings (Read), its load (Load), the instances it has (Holds) and how its commands
// ended (Outcome), and asks for its report (Alarm), about once a second. The report's state is the least
// of what each reading allows: by the time until the battery is empty or the machine too hot, foreseen by
// the lower confidence bound, against the time that handing all instances over takes. It falls at once
// and rises after a dwell time.
//
// Kind: decision
package devicehealth

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"silvercove/internal/tick"
)

// The tuned values of a unit's decision.
const (
	// A handover holds its instance's commands for 0.3 s at most over a good link; three times that over
	// a radio. Copies share an uplink of 2 Mbit/s, a weak mobile one. Twice the sum, as a second try of
	// each fits in then.
	handEach = tick.Second
	handRate = 250e3 // bytes a second
	handSafe = 2.0

	// What is needed for handing over, times the time that is left: a unit hands on at twice, as the
	// copies of the others of its zone may be under way; it keeps at five times, as an instance taken in
	// would be handed on at once; a trickle at ten. Below half nothing can be finished.
	leavesAt, handsOnAt, keepsAt, trickleAt = 0.5, 2.0, 5.0, 10.0

	riseBy    = 1.5               // what a better state must clear, times what a worse one falls at
	dwellLow  = 60 * tick.Second  // a better state has to be good for so long before it is told
	dwellHigh = 960 * tick.Second // doubled by each fall that soon follows a rise: at most 8 rises an hour

	thin      = 0.05 // of a charge above empty: mains or sun may go, and nothing would be left to hand on with
	warm      = 5.0  // degrees below the limit: a passing cloud is worth as much
	slowed    = 0.3  // throttled so far, the answers of new work would be late
	cellHot   = 60.0 // degrees up to which makers of lithium cells allow them to be drawn from
	heatStore = 500  // joules for a degree: half a kilogram of board and metal without a fan
	idleDraw  = 0.5  // of the draw at full load: measured ones of small computers are 0.4 to 0.6

	badShare = 0.2 // of a unit's own outcomes: beyond it, it is not well whatever it reads
	goodRun  = 20  // outcomes without an alarm after which it is believed again
)

// Monitor decides for one edge unit.
type Monitor struct {
	set              map[string]any
	all              []*series
	more             bool // than mostSeries
	present, offered float64
	n, bytes         int
	ends             bool

	level   int  // of states
	settled bool // it has been told on readings that are known
	changed tick.Tick
	rose    tick.Tick // the last rise that no fall has followed; 0 for none
	better  tick.Tick // a better state has been good since; 0 for none
	least   int       // the worst of the better states since
	dwell   tick.Tick
	asked   tick.Tick // the last Alarm
	now     tick.Tick

	outcomes stream
	failed   tick.Tick // its outcomes told against it; 0 for none
	good     int       // outcomes since it was tried again
	wait     tick.Tick // until it is tried again
}

// NewMonitor makes the module of one unit. Settings are fleet.reserve and fleet.hot, fleet.empty, fleet.places,
// fleet.moves.unit. The decision draws nothing by chance; the seed is there for those to come.
func NewMonitor(now tick.Tick, seed uint64, set map[string]any) *Monitor {
	_ = seed
	return &Monitor{set: set, dwell: dwellLow, wait: dwellLow, asked: now, now: now}
}

// defaults are those of the operator's file, for what it does not say.
var defaults = map[string]float64{"reserve": 60, "hot": 85, "empty": 0.05, "places": 8, "moves.unit": 8}

func (u *Monitor) num(name string) float64 {
	if v, ok := u.set["fleet."+name].(float64); ok {
		return v
	}
	return defaults[name]
}

// AddReading takes one reading, good or not.
func (u *Monitor) AddReading(now tick.Tick, r Reading) {
	u.now = now
	if _, ok := physics[r.Kind]; !ok {
		return // of a later version
	}
	for _, s := range u.all {
		if s.name == r.Name && s.kind == r.Kind {
			s.take(now, r)
			return
		}
	}
	if len(u.all) == mostSeries {
		u.more = true
		return
	}
	s := &series{name: r.Name, kind: r.Kind}
	s.take(now, r)
	u.all = append(u.all, s)
}

// SetLoad is the unit's work in parts of what it can do: that which it does, and that which it would if it
// took all that is asked of it.
func (u *Monitor) SetLoad(now tick.Tick, present, offered float64) {
	if !(present >= 0) || !(offered >= 0) {
		return
	}
	u.now, u.present = now, min(present, 1)
	u.offered = max(u.present, min(offered, 1))
}

// SetInstances is how many instances it has, and the bytes of their state.
func (u *Monitor) SetInstances(now tick.Tick, n int, bytes int) {
	u.now, u.n, u.bytes = now, max(0, n), max(0, bytes)
}

// SetTerminating says that the process was told to end.
func (u *Monitor) SetTerminating(now tick.Tick) { u.now, u.ends = now, true }

// RecordOutcome is how one of its commands ended: whether it did what it was asked for in time. Refusals are no
// outcomes. Guards against a unit that reads well and fails. The same sight: a bad build, which the
// relays' votes judge; it hurts then by taking no new work from units that would fail it.
func (u *Monitor) RecordOutcome(now tick.Tick, good bool) {
	u.now = now
	x := 0.0
	if !good {
		x = 1
	}
	alarm := u.outcomes.see(x, badShare)
	switch u.good++; {
	case alarm && u.failed == 0:
		u.failed, u.good, u.outcomes = now, 0, stream{}
	case alarm:
		u.failed, u.good, u.outcomes, u.wait = now, 0, stream{}, min(2*u.wait, dwellHigh)
	case u.failed > 0 && now-u.failed >= u.wait && u.good >= goodRun && !u.outcomes.wary():
		u.failed, u.wait = 0, dwellLow
	}
}

// view is what the readings say at one moment.
type view struct {
	empty, hot, offered tick.Tick
	need                tick.Tick
	unknown             []string
	shown               KeyReadings
	limits              []limit
	quiet               bool // only the level is wanted
}

// limit is what one thing allows.
type limit struct {
	level int
	why   string
}

func (v *view) bound(level int, format string, args ...any) {
	if level == len(states)-1 {
		return
	}
	l := limit{level: level}
	if !v.quiet {
		l.why = fmt.Sprintf(format, args...)
	}
	v.limits = append(v.limits, l)
}

func (v *view) level() int {
	least := len(states) - 1
	for _, l := range v.limits {
		least = min(least, l.level)
	}
	return least
}

// Assess is to be called about once a second. It tells the unit's strength now.
func (u *Monitor) Assess(now tick.Tick) Report {
	u.now = now
	u.all = slices.DeleteFunc(u.all, func(s *series) bool { return !s.known() && now-s.heard > staleAfter })
	for _, s := range u.all { // for what stands still
		s.busy = s.busy || u.present > 0.05
		for _, d := range u.each(KindDraw) {
			if s.kind == KindCharge && d.name == s.name && d.known() {
				s.drained += max(0, d.upper()) * seconds(now-u.asked)
			}
		}
	}
	u.asked = now
	v := u.look(1)
	strict := u.look(riseBy)
	u.move(v.level(), min(v.level(), strict.level()), len(v.unknown) > 0)

	r := Report{Version: ReportVersion, State: states[u.level], AcceptFraction: shares[u.level],
		TimeToEmpty: v.empty, TimeToOverheat: v.hot, TimeToLimitOffered: v.offered, HandoverTime: v.need, UnknownReadings: v.unknown, Terminating: u.ends, Readings: v.shown}
	left := min(v.empty, v.hot)
	if left < Never {
		r.Risk = max(0, 1-float64(left)/(trickleAt*float64(v.need)))
	}
	if len(v.unknown) > 0 || u.failed > 0 {
		r.Risk = max(r.Risk, 0.5) // as likely as not
	}
	if u.ends {
		r.Risk = 1
	}
	r.LastResortCapacity = max(1, int(math.Ceil(float64(max(1, u.n))*(1-r.Risk))))
	if u.ends {
		r.LastResortCapacity = 0
	}
	r.SpareCapacity = u.room(v, u.level)
	slices.SortStableFunc(v.limits, func(a, b limit) int { return a.level - b.level })
	for _, l := range v.limits {
		r.Reasons = append(r.Reasons, l.why)
	}
	if u.level < v.level() {
		if u.better > 0 {
			r.Reasons = append(r.Reasons, fmt.Sprintf("better for %s, is believed after %s",
				say(now-u.better), say(u.dwell)))
		} else {
			r.Reasons = append(r.Reasons, "not yet clear of what it fell at")
		}
	}
	return r
}

// move falls at once and rises after the dwell time to the worst that was good for all of it. While a
// reading is unknown it does not rise. Guards against chattering around a limit; hurts a unit that was
// put on mains: it waits a minute.
func (u *Monitor) move(target, strict int, unknown bool) {
	switch {
	case !u.settled: // a process that has just started need not wait
		u.level, u.changed, u.settled = target, u.now, !unknown
	case target < u.level:
		switch {
		case u.rose > 0 && u.now-u.rose < dwellHigh:
			u.dwell = min(2*u.dwell, dwellHigh)
		case u.now-u.changed >= dwellHigh:
			u.dwell = max(u.dwell/2, dwellLow)
		}
		u.level, u.changed, u.rose, u.better = target, u.now, 0, 0
	case strict > u.level && !unknown:
		if u.better == 0 {
			u.better, u.least = u.now, strict
		}
		u.least = min(u.least, strict)
		if u.now-max(u.better, u.changed) >= u.dwell {
			u.level, u.changed, u.rose, u.better = u.least, u.now, u.now, 0
		}
	default:
		u.better = 0
	}
}

// look works out what the readings allow; strict above 1 asks for more of everything.
func (u *Monitor) look(strict float64) view {
	v := view{empty: Never, hot: Never, offered: Never, quiet: strict > 1}
	v.need = u.need(u.n, u.bytes)
	if u.ends {
		v.bound(0, "told to end")
	}
	doubts := map[*series]bool{}
	full := u.each(KindFullCharge)
	capacity := func(name string) float64 {
		for _, s := range full {
			if s.name == name && s.known() {
				f, _ := s.last()
				return f
			}
		}
		return 0
	}
	feels := slices.ContainsFunc(u.all, func(s *series) bool { return s.kind == KindTemperature && s.known() })
	for _, s := range u.all {
		if s.kind == KindTemperature && !s.known() && feels {
			doubts[s] = true // a sensor that never worked beside one that does, as that of a radio that is off
			continue
		}
		if why := s.doubt(u.now, capacity(s.name)); why != "" {
			doubts[s] = true
			v.unknown = append(v.unknown, s.label())
			v.bound(level(StateHolding), "%s unknown: %s", s.label(), why)
		}
	}
	if u.more {
		v.unknown = append(v.unknown, "more")
		v.bound(level(StateHolding), "more than %d readings: the rest is not looked at", mostSeries)
	}
	u.power(&v, doubts, capacity, strict)
	u.heat(&v, doubts, strict)
	u.body(&v, doubts)
	if u.failed > 0 {
		if u.now-u.failed < u.wait {
			v.bound(level(StateHolding), "its readings are well, but it fails its work")
		} else {
			v.bound(level(StateProbation), "it failed its work, and is tried again")
		}
	}
	return v
}

func (u *Monitor) each(kind Kind) (some []*series) {
	for _, s := range u.all {
		if s.kind == kind {
			some = append(some, s)
		}
	}
	return some
}

// power: all batteries together, by what is drawn and by how their charge falls, the worse of the two.
func (u *Monitor) power(v *view, doubts map[*series]bool, capacity func(string) float64, strict float64) {
	charges, draws, mains := u.each(KindCharge), u.each(KindDraw), u.each(KindMains)
	on := false
	for _, s := range mains {
		if !doubts[s] {
			value, _ := s.last()
			on = on || value >= 0.5
		}
	}
	v.shown.Mains = &on
	if len(charges) == 0 {
		v.shown.Mains = nil
		if !on {
			v.unknown = append(v.unknown, "power")
			v.bound(level(StateHolding), "power unknown: neither a battery's charge nor mains")
		} else {
			v.shown.Mains = &on
		}
		return
	}
	var charge, joules, all, falls, draw float64
	trusted := true
	for _, s := range charges {
		f := capacity(s.name)
		if f == 0 {
			trusted, f = false, 1 // by slope alone
		}
		if doubts[s] {
			return // it is unknown: no new work, and no end
		}
		value, _ := s.last()
		charge, joules, all = charge+value*f, joules+max(0, value-u.num("empty"))*f, all+f
		if slope, err, ok := s.slope(); ok {
			falls += max(0, -(slope-sure*err)) * f
		}
	}
	part := joules / all
	v.shown.Charge = &part
	for _, s := range draws {
		if !s.known() || doubts[s] {
			trusted = false
			continue
		}
		draw += s.upper()
	}
	if trusted && len(draws) > 0 {
		v.shown.FullCharge, v.shown.Draw = &all, &draw
		if draw > 0 {
			falls = max(falls, draw)
		}
	}
	if falls > 0 {
		v.empty = ticks(joules / falls)
		v.offered = ticks(joules / falls / u.factor(u.offered))
	}
	// Copies go at full load, which draws more than the present one: what is needed is told in time at
	// the present load.
	need := tick.Tick(float64(v.need) * u.factor(1))
	at := ladder(v.empty, v.offered, need, strict)
	v.bound(at, "battery empty in %s, in %s at the offered load; %s to hand %d instances over",
		say(v.empty), say(v.offered), say(need), u.n)
	if part < thin*strict {
		v.bound(level(StateHolding), "battery at %.1f%% above empty, too little to stand a loss of mains", 100*part)
	}
}

// factor is how much more is drawn at another load.
func (u *Monitor) factor(load float64) float64 {
	return (idleDraw + (1-idleDraw)*load) / (idleDraw + (1-idleDraw)*u.present)
}

// heat: the sensor that reaches its limit first.
func (u *Monitor) heat(v *view, doubts map[*series]bool, strict float64) {
	extra := 0.0 // degrees a second that the offered load would add at first
	if v.shown.Draw != nil && *v.shown.Draw > 0 {
		extra = *v.shown.Draw * (u.factor(u.offered) - 1) / heatStore
	}
	closest := math.Inf(1)
	for _, s := range append(u.each(KindTemperature), u.each(KindCellTemperature)...) {
		if !s.known() || doubts[s] {
			continue
		}
		top := u.num("hot")
		if s.kind == KindCellTemperature {
			top = min(top, cellHot)
		}
		if s.limit > 0 {
			top = min(top, s.limit)
		}
		value, _ := s.last()
		room := max(0, top-value)
		rate := 0.0
		if slope, err, ok := s.slope(); ok {
			rate = slope + sure*err
		}
		hot, offered := Never, Never
		if room == 0 {
			hot, offered = 0, 0
		} else {
			if rate > 0 {
				hot = ticks(room / rate)
			}
			if rate+extra > 0 {
				offered = ticks(room / (rate + extra))
			}
		}
		if room < closest {
			closest = room
			limit := top
			v.shown.Temperature, v.shown.TemperatureLimit = &value, &limit
		}
		v.hot, v.offered = min(v.hot, hot), min(v.offered, offered)
		at := max(ladder(hot, offered, v.need, strict), level(StateDraining)) // without its instances it cools
		if s.limit > 0 && value >= s.limit {
			at = level(StateLeaving) // the machine is about to stop itself
		}
		v.bound(at, "%s %.1f C, at its limit of %.1f C in %s, in %s at the offered load",
			s.name, value, top, say(hot), say(offered))
		if room < warm*strict {
			v.bound(level(StateHolding), "%s %.1f C, within %.1f C of its limit", s.name, value, warm*strict)
		}
	}
}

// body: throttling, lid and radio.
func (u *Monitor) body(v *view, doubts map[*series]bool) {
	radios, off := 0, 0
	for _, s := range u.all {
		if !s.known() || doubts[s] {
			continue
		}
		value, _ := s.last()
		switch {
		case s.kind == KindThrottle && value >= slowed:
			v.bound(level(StateHolding), "%s slows the machine by %.0f%% for heat", s.name, 100*value)
		case s.kind == KindThrottle && value > 0:
			v.bound(level(StateProbation), "%s slows the machine by %.0f%% for heat", s.name, 100*value)
		case s.kind == KindLid && value < 0.5:
			v.bound(level(StateDraining), "%s is shut: the machine may sleep at any moment", s.name)
		case s.kind == KindRadio:
			radios++
			if value < 0.5 {
				off++
			}
		}
	}
	if radios > 0 && off == radios {
		v.bound(level(StateHolding), "no radio is up")
	}
}

// ladder is the state that the time left allows.
func ladder(present, offered, need tick.Tick, strict float64) int {
	of := func(left tick.Tick, times float64) bool { return float64(left) >= times*strict*float64(need) }
	switch {
	case !of(present, leavesAt):
		return level(StateLeaving)
	case !of(present, handsOnAt):
		return level(StateDraining)
	case !of(offered, keepsAt):
		return level(StateHolding)
	case !of(offered, trickleAt):
		return level(StateProbation)
	}
	return level(StateAccepting)
}

// need is the time that handing n instances over takes, kept in reserve.
func (u *Monitor) need(n, bytes int) tick.Tick {
	at := max(1, u.num("moves.unit"))
	each := math.Ceil(float64(n)/at) * seconds(handEach)
	return ticks(max(1, u.num("reserve"), handSafe*(each+float64(bytes)/handRate)))
}

// room is how many more instances could still be handed over in time.
func (u *Monitor) room(v view, at int) int {
	if at < level(StateProbation) {
		return 0
	}
	most := max(0, int(u.num("places"))-u.n)
	if at == level(StateProbation) {
		most = min(most, 1)
	}
	size := 0
	if u.n > 0 {
		size = u.bytes / u.n
	}
	return sort.Search(most, func(k int) bool { // what more instances need only grows
		need := tick.Tick(float64(u.need(u.n+k+1, u.bytes+(k+1)*size)) * u.factor(1))
		return ladder(Never, v.offered, need, 1) < at
	})
}

func ticks(s float64) tick.Tick {
	if t := s * float64(tick.Second); t < float64(Never/2) {
		return tick.Tick(t)
	}
	return Never
}

// say is a span that is told in words.
type say tick.Tick

func (t say) String() string {
	s := int64(tick.Tick(t) / tick.Second)
	switch {
	case tick.Tick(t) == Never:
		return "no foreseeable time"
	case s < 120:
		return fmt.Sprintf("%d s", s)
	case s < 7200:
		return fmt.Sprintf("%d min", s/60)
	}
	return fmt.Sprintf("%d h", s/3600)
}
