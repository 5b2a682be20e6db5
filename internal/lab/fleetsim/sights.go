package fleetsim

import (
	"fmt"
	"io"
	"slices"

	"silvercove/internal/membership"
	"silvercove/internal/tick"
)

// circleSize is a fleet of so many members that runs no instances: a fifth are relays, whose news change at each beat.
func circleSize(n int) Size {
	return Size{Relays: n / 5, Units: n - n/5 - 5, Zones: max(2, n/50), Keepers: 5, Lease: 5, Dwell: 30, Restart: 30, Copies: 1,
		News: tick.Second / 10, Radio: 1e9, Silence: 1}
}

// Load is what members send, by one of them a second.
type Load struct {
	Messages, Bytes float64 // on average, in a calm span, or in the worst second
	One             int     // bytes of one member in one second, sent and received, at the most
}

// Sights are how one fleet's members see what happens to some of them, and what it costs. Silence is a second.
type Sights struct {
	Members     int
	Calm, Storm Load
	Whole       tick.Tick // from a zone's return until all see all as they are
	// From the beginning until half, and until all of those that run see it.
	Dead, Slow, Again, Fresh [2]tick.Tick
	Cut                      tick.Tick // each of the two sees the other one cut off, and neither ever holds it dead
	Outrun                   tick.Tick // an old copy that is back knows that it is one
	Fault                    string
}

// See plays one fleet's members: one falls for good, two are cut off from each other, one is slow, one is started again
// with its memory and one without, an old copy comes back, and a zone is cut off for 20 s.
func See(seed uint64, n int) Sights { return see(seed, n, flaws{}) }

func see(seed uint64, n int, flaw flaws) (s Sights) {
	f := New(seed, circleSize(n))
	f.flaw = flaw
	c := f.circle
	s.Members = len(c.all)
	at := func(name string) *member { return c.byName[name] }
	const dead, cutA, cutB, slow, again, fresh = "edge-1", "edge-2", "edge-3", "edge-4", "edge-5", "edge-6"
	seen := map[string][]tick.Tick{} // when each member saw it
	c.look = func(m *member, is membership.Member) {
		note := func(what string) { seen[what] = append(seen[what], f.now) }
		switch pair := is.Name == cutA && m.node.name == cutB || is.Name == cutB && m.node.name == cutA; {
		case is.Name == dead && is.State == membership.StateDead:
			note(dead)
		case pair && is.State == membership.StateUnreachable:
			note(cutA)
		case pair && is.State == membership.StateDead && f.zones[1].apart == 0:
			s.Fault = "one that is cut off from another one is held dead"
		case is.Name == slow && is.State == membership.StateSlow:
			note(slow)
		}
	}
	load := func(span tick.Tick) Load {
		k := float64(len(c.all)) * seconds(span)
		return Load{Messages: float64(c.Messages) / k, Bytes: float64(c.Bytes) / k, One: c.WorstOne}
	}
	f.Run(20 * tick.Second)
	c.forget()
	f.Run(10 * tick.Second)
	s.Calm = load(10 * tick.Second)

	begin := f.now
	f.Play(mustScript("30100 crash edge-1 for 9000000\n30100 part edge-2 edge-3 for 9000000\n30100 crash edge-5 for 2000\n30100 wipe edge-6 for 2000"))
	at(slow).lag = 300 * milli
	runs := map[string][]tick.Tick{}
	for range 40 * 4 {
		f.Run(tick.Second / 4)
		for _, name := range []string{again, fresh} {
			n := 0
			for _, m := range c.all {
				if is, _ := m.table.Member(name); is.Incarnation == 2 && is.StartedEmpty == (name == fresh) {
					n++
				}
			}
			for len(runs[name]) < n {
				runs[name] = append(runs[name], f.now)
			}
		}
	}
	old := c.beside(at(again), 1)
	from := f.now
	for f.now < from+30*tick.Second && !old.table.Superseded() {
		f.Run(tick.Second / 10)
	}
	s.Outrun = f.now - from
	old.ended = true
	if !old.table.Superseded() {
		s.Fault = "an old copy does not learn that it is one"
	}

	f.Play(mustScript(fmt.Sprintf("%d split zone-2 for 20000", f.now/milli+1)))
	f.Run(20*tick.Second + 2*milli)
	heal := f.now
	c.forget()
	calm := func() bool {
		for _, m := range c.all {
			for _, o := range c.all {
				is := c.sees(m, o.node.name)
				odd := o == at(dead) || m == at(dead) || o == at(slow) || o == at(cutA) && m == at(cutB) || o == at(cutB) && m == at(cutA)
				if !odd && is != membership.StateAlive && is != membership.StateSlow {
					return false
				}
			}
		}
		return true
	}
	for f.now < heal+120*tick.Second && !calm() {
		f.Run(tick.Second / 2)
	}
	s.Whole = f.now - heal
	if !calm() {
		s.Fault = "a zone that is back is not seen by all"
	}
	f.Run(max(0, heal+10*tick.Second-f.now))
	s.Storm = Load{Messages: float64(c.WorstMessages) / float64(len(c.all)), Bytes: float64(c.WorstBytes) / float64(len(c.all)), One: c.WorstOne}

	for f.now < begin+300*tick.Second && (len(seen[slow]) < len(c.all)-2 || len(seen[dead]) < len(c.all)-1) {
		f.Run(2 * tick.Second)
	}
	both := func(some []tick.Tick, from tick.Tick, all int) (two [2]tick.Tick) {
		slices.Sort(some)
		if len(some) < all {
			s.Fault = fmt.Sprintf("%d of %d saw it", len(some), all)
			return two
		}
		return [2]tick.Tick{some[all/2] - from, some[all-1] - from}
	}
	others := len(c.all) - 1
	s.Dead = both(seen[dead], begin, others)
	s.Slow = both(seen[slow], begin, others-1) // the dead one does not
	s.Again = both(runs[again], begin+2*tick.Second, others)
	s.Fresh = both(runs[fresh], begin+2*tick.Second, others)
	s.Cut = both(seen[cutA], begin, 2)[1]
	for _, m := range c.all {
		if is, _ := m.table.Member(again); is.Incarnation < 2 && m != at(dead) {
			s.Fault = "an old copy is believed"
		}
	}
	if f.Broken() != "" {
		s.Fault = f.Broken()
	}
	return s
}

func mustScript(text string) Script {
	s, err := ParseScript(text)
	if err != nil {
		panic(err)
	}
	return s
}

// SightTable writes what members of fleets of several sizes see and send.
func SightTable(w io.Writer, seed uint64, sizes []int) {
	_, _ = fmt.Fprintln(w, "| members | calm: messages, bytes a member and second | worst second after a zone is back | most bytes of one member in a second | dead: half, all, s | slow | started again | without memory | cut off | old copy | zone seen by all again |")
	_, _ = fmt.Fprintln(w, "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	two := func(t [2]tick.Tick) string { return fmt.Sprintf("%.1f, %.1f", seconds(t[0]), seconds(t[1])) }
	for _, n := range sizes {
		s := See(seed, n)
		_, _ = fmt.Fprintf(w, "| %d | %.0f, %.0f | %.0f, %.0f | %d | %s | %s | %s | %s | %.1f | %.1f | %.1f |", s.Members, s.Calm.Messages, s.Calm.Bytes,
			s.Storm.Messages, s.Storm.Bytes, s.Storm.One, two(s.Dead), two(s.Slow), two(s.Again), two(s.Fresh), seconds(s.Cut), seconds(s.Outrun),
			seconds(s.Whole))
		if s.Fault != "" {
			_, _ = fmt.Fprintf(w, " %s", s.Fault)
		}
		_, _ = fmt.Fprintln(w)
	}
}
