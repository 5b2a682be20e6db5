package overload

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/tick"
)

const (
	probers    = 2       // relays that probe a sick unit
	sides      = 2.5     // views of who lives that may stand at once with the probes still within their rate
	mostSick   = 256     // units that are in question, or were of late
	twice      = 2       // good outcomes in a row: well, for relays of an earlier version
	certain    = 2       // bad ones in a row: sick, also for those
	chance     = 1.0 / 8 // that so many bad ones come in a row at a unit like all
	common     = 0.3     // share of bad outcomes at other units from which on the trouble is no unit's
	lately     = 64      // own outcomes of which that share is taken
	fewest     = 5       // and so many at least: with fewer it is low
	failing    = 0.8     // share of its deliveries that a sick unit fails
	usualLeast = 0.2     // that any unit may fail
	usualMost  = 0.5
	spread     = 4.0              // doublings a second of those that take a unit back, at the most
	sure       = 6.9              // ln 1000: odds at which a unit is held to be sick; one relay brings ln 16 at the most
	recall     = 10 * tick.Second // for so long an outcome counts
	tellAbout  = 20 * tick.Second
	mostLeft   = 600 * tick.Second // a unit that nobody tries is left no longer
)

// sick is a unit that is in question: it answered badly, here or at another relay.
type sick struct {
	hash  uint64
	self  uint64 // this relay's weight for it
	well  bool
	good  int       // outcomes in a row
	bad   int       // the same
	own   bool      // it is this relay's, and told: what was heard is not told on, or one word would look like many
	at    tick.Tick // of the verdict, here or at another relay
	next  tick.Tick // from when on this relay may probe
	tried tick.Tick // its last probe
	above int       // living peers that come before this relay for it
	mine  bool      // this relay was one of its probers when it last looked

	named  tick.Tick          // when an own outcome, or doubt, last put it in question
	counts [mostCount]outcome // the last own ones since it is in question, the newest last
	others [recall/tick.Second + 2]tally
	lasts  int       // of the fleet's last ones those here
	lastly int       // and the bad ones
	held   bool      // to be sick, by what all relays count
	room   float64   // relays that may try it then
	looked tick.Tick // at how many
	since  tick.Tick // something was counted last
}

// outcome is how a delivery ended at a unit.
type outcome struct {
	unit uint64
	at   tick.Tick
	bad  bool
}

// tally is what other relays count, by the second of their newest outcome.
type tally struct {
	second    tick.Tick
	bad, good int
}

// evidence is what one other relay counts of one unit.
type evidence struct {
	of        *sick
	second    tick.Tick
	bad, good int
}

// weight is a relay's for something, by rendezvous hashing: the one with the highest has it.
func weight(of, relay uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], of)
	binary.LittleEndian.PutUint64(b[8:], relay)
	return xxhash.Sum64(b[:])
}

// RecordOutcome takes how a delivery or a probe at a unit ended.
func (f *Manager) RecordOutcome(now tick.Tick, unit string, good bool) {
	f.step(now)
	if f.solo() {
		return
	}
	h := xxhash.Sum64String(unit)
	s := f.units[h]
	f.keep(outcome{h, f.now, !good}, s)
	switch {
	case s == nil && good:
		return
	case s == nil: // what puts a unit in question does not count: one that does is chosen for being bad
		s = f.sicken(h)
		s.well = true // so far
	default:
		copy(s.counts[:], s.counts[1:])
		s.counts[mostCount-1] = outcome{h, f.now, !good}
	}
	if good {
		s.good, s.bad = s.good+1, 0
	} else {
		s.good, s.bad, s.named = 0, s.bad+1, f.now
	}
	if s.good >= twice {
		f.judge(s, true, true, f.now)
	} else if s.bad >= certain && math.Pow(f.elsewhere(s), float64(s.bad)) < chance {
		f.judge(s, false, true, f.now)
	}
}

// keep takes an outcome into the last ones; s is its unit if that is in question.
func (f *Manager) keep(o outcome, s *sick) {
	if f.lasts == lately {
		f.drop()
	}
	f.last[f.next], f.next = o, (f.next+1)%lately
	f.lasts++
	if o.bad {
		f.bad++
	}
	s.touch(o, 1)
}

func (f *Manager) oldest() *outcome { return &f.last[(f.next-f.lasts+lately)%lately] }

// drop forgets the oldest of the last outcomes.
func (f *Manager) drop() {
	o := *f.oldest()
	f.lasts--
	if o.bad {
		f.bad--
	}
	f.units[o.unit].touch(o, -1)
}

func (s *sick) touch(o outcome, by int) {
	if s == nil {
		return
	}
	s.lasts += by
	if o.bad {
		s.lastly += by
	}
}

// elsewhere is the share of bad ones among the last own outcomes at other units.
func (f *Manager) elsewhere(s *sick) float64 {
	return float64(f.bad-s.lastly) / float64(max(fewest, f.lasts-s.lasts))
}

// sicken makes a unit known; of too many one is forgotten that is not held to be sick, the one judged the longest ago.
func (f *Manager) sicken(h uint64) *sick {
	if len(f.units) >= mostSick {
		i := max(0, slices.IndexFunc(f.told, func(s *sick) bool { return !s.held }))
		delete(f.units, f.told[i].hash)
		f.told = slices.Delete(f.told, i, i+1)
	}
	s := &sick{hash: h, self: weight(h, f.self), at: f.now, named: math.MinInt64 / 2, since: f.now}
	for _, p := range f.peers {
		if p.alive && weight(h, p.hash) > s.self {
			s.above++
		}
	}
	for i := range f.lasts {
		if o := f.last[(f.next-1-i+lately)%lately]; o.unit == h {
			s.touch(o, 1)
		}
	}
	f.units[h] = s
	f.told = append(f.told, s)
	return s
}

// judge keeps a verdict that is newer than the last, and puts the unit at the end of those told.
func (f *Manager) judge(s *sick, well, own bool, at tick.Tick) {
	if at < s.at {
		return
	}
	s.well, s.own, s.at = well, own, at
	if i := slices.Index(f.told, s); i < len(f.told)-1 {
		copy(f.told[i:], f.told[i+1:])
		f.told[len(f.told)-1] = s
	}
}

// AllowProbe tells whether a unit that this relay holds to be sick may get a delivery, or a probe, that tries it. Few relays
// do, chosen by rendezvous hashing over the living: when one falls silent the next takes over, and each side of a split
// has its own. The others learn from them. Guards against hundreds of relays that each try a unit that is no good to any;
// hurts where the unit is sick for those few alone. Where a good part of the outcomes at other units is bad, as in an
// overload or under a bad build, the trouble is no unit's, and each relay tries for itself; what was held to be sick before
// stays so until it answers.
func (f *Manager) AllowProbe(now tick.Tick, unit string) bool {
	f.step(now)
	if f.solo() {
		return true
	}
	h := xxhash.Sum64String(unit)
	s := f.units[h]
	if s == nil {
		s = f.sicken(h)
	}
	if f.elsewhere(s) > common && !s.held {
		return true
	}
	s.named = max(s.named, f.now)
	score, up, answers := f.weigh(s)
	wait := f.gap()
	switch {
	case s.held:
		if !answers { // more relays, as each has few commands: not more probes
			wait = tick.Tick(float64(wait) * max(1, s.room/probers))
		}
		if !f.chosen(s, s.room, wait) {
			return false
		} else if o := s.counts[mostCount-1]; score <= -up || o.unit != 0 && !o.bad && f.now-o.at <= recall {
			return true // it answers
		}
	case s.well, score <= -mostCount*up:
		return true // others get answers from it
	case f.chosen(s, probers, wait):
	case f.now-s.at < tellAbout:
		return false
	default: // the probers tell nothing of it: it may be sick for this relay alone
		wait = tick.Tick(float64(wait) * max(1, f.size()/probers))
		if f.now < s.at+tellAbout+tick.Tick(part(weight(h, ^f.self))*float64(wait)) {
			return false
		}
	}
	if f.now < s.next || s.tried > 0 && f.now-s.tried < wait {
		return false
	}
	s.tried = f.now
	return true
}

// IsEjected tells whether a unit is to be left that this relay has no doubt of: by what all relays count of late it fails
// most of its deliveries. Each relay would else find out for itself, by some deliveries that end badly, and the more
// relays there are the longer that takes. A unit that is sick for a part of the relays only is not left by the others.
func (f *Manager) IsEjected(now tick.Tick, unit string) bool {
	f.step(now)
	if f.alone() || len(f.units) == 0 {
		return false
	}
	s := f.units[xxhash.Sum64String(unit)]
	if s == nil {
		return false
	}
	f.weigh(s)
	return s.held
}

// weigh bets on a unit that fails most of its deliveries against one that fails a little more than others do, with the
// last two outcomes of each relay, and returns the logarithm of the odds, what one bad outcome adds to it, and whether
// some were good. What one
// relay tells, true or not, brings less than half of what it takes; three make it, if none gets answers. Outcomes count
// only from when a unit is in question at a relay, and good ones too, so that no relay's choice of what to tell makes a
// unit look worse. At sure odds it is held to be sick, until good outcomes outweigh bad ones by what one relay can bring;
// meanwhile so many relays come to use it, some more at each round of news, that they do not come all at once.
func (f *Manager) weigh(s *sick) (score, up float64, answers bool) {
	usual := min(max(usualLeast, 1.5*f.elsewhere(s)), usualMost)
	up = math.Log(failing / usual)
	bad, good := s.sum(f.now)
	b, g := s.ours(f.now)
	score = up*float64(bad+b) + math.Log((1-failing)/(1-usual))*float64(good+g)
	if bad+good+b+g > 0 {
		s.since = f.now
	}
	// Each good outcome doubles the relays that may try it, and so does each bad one that grows old without another.
	room := min(f.size(), probers*math.Exp2(max(0, mostCount-score/up)))
	s.room = min(room, max(probers, s.room)*math.Exp2(spread*float64(f.now-s.looked)/float64(tick.Second)))
	s.looked = f.now
	switch {
	case score >= sure && f.elsewhere(s) <= common:
		s.held = true
	case s.held && (score <= -mostCount*up && s.room >= f.size() || f.now-s.since > mostLeft):
		s.held = false
	}
	return score, up, good+g > 0
}

// sum is what other relays count of a unit.
func (s *sick) sum(now tick.Tick) (bad, good int) {
	from := (now - recall) / tick.Second
	for i := range s.others {
		if t := &s.others[i]; t.second > from {
			bad, good = bad+t.bad, good+t.good
		}
	}
	return bad, good
}

// ours is what this relay counts of it.
func (s *sick) ours(now tick.Tick) (bad, good int) {
	for _, o := range s.counts {
		switch {
		case o.unit == 0 || now-o.at > recall:
		case o.bad:
			bad++
		default:
			good++
		}
	}
	return bad, good
}

// add takes what a relay counts into a second's tally, or by -1 out of it.
func (e evidence) add(by int) {
	if e.of == nil {
		return
	}
	t := &e.of.others[int(e.second)%len(e.of.others)]
	if t.second < e.second && by > 0 {
		*t = tally{second: e.second}
	}
	if t.second == e.second {
		t.bad, t.good = t.bad+by*e.bad, t.good+by*e.good
	}
}

// sign has what a relay counts take the place of what it counted before.
func (p *peer) sign(all []evidence) {
	for i := range p.signs {
		p.signs[i].add(-1)
		p.signs[i] = evidence{}
	}
	for i := range all {
		p.signs[i] = all[i]
		all[i].add(1)
	}
}

// signed takes what another relay counts of units. One of an earlier version tells verdicts only.
func (f *Manager) signed(p *peer, made tick.Tick, told Report) {
	signs := told.Evidence
	if signs == nil {
		for _, v := range told.Verdicts[:min(len(told.Verdicts), mostSigns)] {
			bad := map[bool]int{false: mostCount}[v.Healthy]
			signs = append(signs, Evidence{v.Backend, bad, mostCount - bad, v.Age})
		}
	}
	var all []evidence
	for i, v := range signs {
		at := made - v.Age
		if f.now-at > recall || at < 0 || slices.ContainsFunc(signs[:i], func(o Evidence) bool { return o.Backend == v.Backend }) {
			continue
		}
		s := f.units[v.Backend]
		if s == nil && v.Failures == 0 && v.Successes > 0 {
			continue // nobody's question here
		}
		if s == nil {
			s = f.sicken(v.Backend)
			s.well, s.at = true, math.MinInt64/2
		}
		all = append(all, evidence{s, at / tick.Second, v.Failures, v.Successes})
	}
	p.sign(all)
}

// worst is what this relay counts of the units that look worst by what the others count. Which ones are told must not
// rest on the own outcomes that are told with them: units look worse then than they are.
func (f *Manager) worst() []Evidence {
	type one struct {
		Evidence
		rank float64
	}
	var all []one
	for _, s := range slices.Backward(f.told) {
		bad, good := s.ours(f.now)
		if bad+good == 0 && f.now-s.named > recall || f.elsewhere(s) > common {
			continue
		}
		b, g := s.sum(f.now)
		newest := max(s.named, s.counts[mostCount-1].at)
		all = append(all, one{Evidence{s.hash, bad, good, f.now - newest}, float64(b - g)})
	}
	slices.SortStableFunc(all, func(a, b one) int { return cmp.Compare(b.rank, a.rank) })
	signs := make([]Evidence, 0, mostSigns)
	for _, o := range all[:min(len(all), mostSigns)] {
		signs = append(signs, o.Evidence)
	}
	return signs
}

// gap is between two probes of one relay at one unit.
func (f *Manager) gap() tick.Tick {
	return tick.Tick(float64(tick.Second) * probers * sides / max(0.01, f.probes))
}

// chosen: this relay is one of those that may try a unit. One that has just become it waits for its turn: the one before
// may have probed just now.
func (f *Manager) chosen(s *sick, many float64, wait tick.Tick) bool {
	was := s.mine
	if s.mine = float64(s.above) < many; s.mine && !was {
		s.next = f.now + tick.Tick(f.rand.Float64()*float64(wait))
	}
	return s.mine
}

// ranked takes that a peer lives or does not any more.
func (f *Manager) ranked(p *peer) {
	for _, s := range f.told {
		if weight(s.hash, p.hash) <= s.self {
			continue
		}
		if p.alive {
			s.above++
		} else {
			s.above--
		}
	}
}

// learn takes another relay's verdicts on units, made at a time.
func (f *Manager) learn(made tick.Tick, units []Verdict) {
	for _, v := range units {
		s := f.units[v.Backend]
		if s == nil && v.Healthy {
			continue
		}
		if s == nil {
			s = f.sicken(v.Backend)
			s.at = math.MinInt64 / 2
		}
		if at := made - v.Age; at > s.at {
			s.good, s.bad = 0, 0
			f.judge(s, v.Healthy, false, at)
		}
	}
}

// verdicts are the newest that are worth telling.
func (f *Manager) verdicts() (all []Verdict) {
	for _, s := range slices.Backward(f.told) {
		if len(all) == mostUnits || f.now-s.at > tellAbout {
			break
		}
		if s.own {
			all = append(all, Verdict{s.hash, s.well, f.now - s.at})
		}
	}
	return all
}
