package overload

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"silvercove/internal/tick"
)

// TestBudgetIsShared: repeats come from first deliveries, wherever in the fleet they are needed.
func TestBudgetIsShared(t *testing.T) {
	c := newCrowd(10, nil)
	repeats, firsts, short := 0, 0, 0
	c.on(60, func(i int, f *Manager) {
		for range 4 {
			f.RecordFirstAttempt(c.now)
			firsts++
		}
		if i < 3 { // they alone need them: more than there are
			for range 9 {
				if f.AllowRetry(c.now, false) {
					repeats++
				} else {
					short++
				}
			}
		}
	})
	own := 0.1 * float64(firsts) * 3 / 10
	if float64(repeats) < 1.3*own || short == 0 || float64(repeats) > 0.1*float64(firsts) {
		t.Errorf("%d repeats, %d short; their own budget is %.0f, the fleet's %.0f", repeats, short, own, 0.1*float64(firsts))
	}
	if c.relays[1].AllowRetry(c.now, true) {
		t.Error("a repeat of its client's repeat")
	}
}

// TestNewlyStarted: a relay that has just started has next to no budget; it grows with its traffic.
func TestNewlyStarted(t *testing.T) {
	f := NewManager(start, 1, "a", settings(3, nil))
	if f.AllowRetry(start, false) {
		t.Error("a repeat before any first delivery")
	}
	for range 100 {
		f.RecordFirstAttempt(start)
	}
	left := func(now tick.Tick) (n int) {
		for range 100 {
			if f.AllowRetry(now, false) {
				n++
			}
		}
		return n
	}
	if n := left(start); n != 9 {
		t.Errorf("%d repeats for 100 first deliveries", n)
	}
	for range 100 {
		f.RecordFirstAttempt(start)
	}
	if n := left(start + 100*tick.Second); n > 1 {
		t.Errorf("%d repeats saved up over a minute without traffic", n)
	}
}

// TestHandedOn: one heir, the same by all views, takes what a dead relay had left; no second time.
func TestHandedOn(t *testing.T) {
	c := newCrowd(6, nil)
	c.on(5, func(i int, f *Manager) {
		for range 10 {
			f.RecordFirstAttempt(c.now)
		}
	})
	dead := c.relays[2].LocalReport(c.now)
	if dead.RetryCredit < 5 {
		t.Fatalf("it has %.1f left", dead.RetryCredit)
	}
	c.relays[2] = nil
	heirs := 0
	for range 2 {
		for _, f := range c.relays {
			if f == nil {
				continue
			}
			f.credit = 0
			f.UpdatePeer(c.now, name(2), 0, "", dead, 0, "dead")
			if f.credit > 0 {
				heirs++
			}
		}
	}
	if heirs != 1 {
		t.Errorf("%d heirs", heirs)
	}
}

// TestBudgetNeverOver: under any order of traffic, news lost, late, repeated or overtaken, deaths (also such as are none),
// restarts and joins, the repeats of all relays never exceed the share of their first deliveries by more than what the
// relays that were held for dead had told to have left, once for each relay that heard of the death.
func TestBudgetNeverOver(t *testing.T) {
	type note struct {
		from int
		run  uint64
		told Report
		at   tick.Tick
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "relays")
		falls := rapid.Bool().Draw(t, "falls")
		c := newCrowd(n, nil)
		var sent []note
		firsts, repeats, slack := 0, 0, 1e-3
		t.Repeat(map[string]func(*rapid.T){
			"traffic": func(t *rapid.T) {
				f := c.relays[rapid.IntRange(0, n-1).Draw(t, "at")]
				for range rapid.IntRange(1, 200).Draw(t, "firsts") {
					f.RecordFirstAttempt(c.now)
					firsts++
				}
			},
			"repeats": func(t *rapid.T) {
				f := c.relays[rapid.IntRange(0, n-1).Draw(t, "at")]
				for range rapid.IntRange(1, 40).Draw(t, "asked") {
					if f.AllowRetry(c.now, rapid.IntRange(0, 9).Draw(t, "of a repeat") == 0) {
						repeats++
					}
				}
			},
			"time": func(t *rapid.T) { c.now += tick.Tick(rapid.IntRange(1, 150000).Draw(t, "ticks")) },
			"tell": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "from")
				told, err := DecodeReport(c.relays[i].LocalReport(c.now).Encode())
				if err != nil {
					t.Fatal(err)
				}
				sent = append(sent, note{i, c.run[i], told, c.now})
			},
			"news": func(t *rapid.T) { // any of those sent, to anyone, once more or later than newer ones
				if len(sent) == 0 {
					return
				}
				s := sent[rapid.IntRange(max(0, len(sent)-20), len(sent)-1).Draw(t, "which")]
				to := rapid.IntRange(0, n-1).Draw(t, "to")
				state := "alive"
				if falls && rapid.IntRange(0, 3).Draw(t, "dead") == 0 {
					state = "dead"
					if p := c.relays[to].peers[name(s.from)]; p != nil {
						slack += p.told.RetryCredit
					}
				}
				if to != s.from {
					c.relays[to].UpdatePeer(c.now, name(s.from), s.run, "", s.told, c.now-s.at, state)
				}
			},
			"round": func(t *rapid.T) { // all tell all, and ask for what they can get
				c.tell()
				for _, f := range c.relays {
					for range 60 {
						if f.AllowRetry(c.now, false) {
							repeats++
						}
					}
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "which")
				c.run[i]++
				c.relays[i] = NewManager(c.now, uint64(len(sent)), name(i), settings(float64(n), nil))
			},
			"": func(t *rapid.T) {
				if over := float64(repeats) - 0.1*float64(firsts); over > slack {
					t.Fatalf("%d repeats on %d first deliveries: %.2f over, slack %.2f", repeats, firsts, over, slack)
				}
			},
		})
	})
}

// sickUnit asks every relay for probes of one unit over some seconds, and counts what goes out of each side of a split.
func sickUnit(c *crowd, side func(i int) int, seconds float64, live func(i int) bool) (probes int, by map[int]int) {
	by = map[int]int{}
	c.pass = func(from, to int) bool { return side(from) == side(to) && live(from) && live(to) }
	c.on(seconds, func(i int, f *Manager) {
		if live(i) && f.AllowProbe(c.now, "unit-7") {
			probes++
			by[i]++
			f.RecordOutcome(c.now, "unit-7", false)
		}
	})
	return probes, by
}

func one(int) int   { return 0 }
func all(int) bool  { return true }
func two(i int) int { return i % 2 }

// TestProbes: few relays probe a sick unit, at most fleet.probes a second together, also in a split; when one goes silent
// the next takes over; the others learn that it is well.
func TestProbes(t *testing.T) {
	for _, n := range []int{2, 30, 300} {
		t.Run(fmt.Sprint(n, " relays"), func(t *testing.T) {
			c := newCrowd(n, nil)
			c.tell()
			sickUnit(c, one, 5, all)
			span := map[bool]int{true: 10, false: 60}[n > 100]
			many, by := sickUnit(c, one, float64(span), all)
			if many < span/2 || many > span || len(by) != probers {
				t.Errorf("%d probes in %d s by %d relays", many, span, len(by))
			}
			sickUnit(c, two, 5, all)
			if many, by = sickUnit(c, two, float64(span), all); many > 2*span || len(by) > 2*probers {
				t.Errorf("split: %d probes in %d s by %d relays", many, span, len(by))
			}
			if n != 30 {
				return
			}
			sickUnit(c, one, 5, all)
			_, by = sickUnit(c, one, 20, all)
			gone := func(i int) bool { return by[i] == 0 }
			sickUnit(c, one, 10, gone)
			many, next := sickUnit(c, one, 30, gone)
			if many < 15 || len(next) != probers {
				t.Errorf("silent probers: %d probes in 30 s by %d others", many, len(next))
			}
			for i := range next {
				c.relays[i].RecordOutcome(c.now, "unit-7", true)
				c.relays[i].RecordOutcome(c.now, "unit-7", true)
			}
			c.on(1, nil)
			for i, f := range c.relays {
				if gone(i) && !f.AllowProbe(c.now, "unit-7") {
					t.Fatalf("relay %d has not learnt that the unit is well", i)
				}
			}
		})
	}
}

// TestProbesOfOne: a unit that is sick for one relay alone is tried by it, seldom, though others would be its probers.
func TestProbesOfOne(t *testing.T) {
	c := newCrowd(30, nil)
	c.on(1, nil)
	n := 0
	c.on(600, func(i int, f *Manager) {
		if i == 4 && f.AllowProbe(c.now, "unit-7") {
			n++
			f.RecordOutcome(c.now, "unit-7", false)
		}
	})
	if n < 3 || n > 20 {
		t.Errorf("%d probes in 600 s", n)
	}
}

// TestProbesAnyOrder: under any order of splits, silences and news the relays' probes at a unit stay within the rate of
// as many pairs of probers as there were views of who lives.
func TestProbesAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "relays")
		c := newCrowd(n, nil)
		c.tell()
		sides := rapid.IntRange(1, 3).Draw(t, "sides")
		probes, seconds := 0, 0.0
		for range rapid.IntRange(1, 5).Draw(t, "spells") {
			live := make([]bool, n)
			for i := range live {
				live[i] = rapid.IntRange(0, 4).Draw(t, "live") > 0
			}
			span := float64(rapid.IntRange(2, 30).Draw(t, "seconds"))
			many, _ := sickUnit(c, func(i int) int { return i % sides }, span, func(i int) bool { return live[i] })
			probes, seconds = probes+many, seconds+span
			// each change of view may have one pair's successors come in beside it until its news are old, and one
			// that probes for itself alone after long silence
			if most := float64(sides)*(seconds+fresh.Span().Seconds())*0.8 + float64(2*probers*sides*n); float64(probes) > most {
				t.Fatalf("%d probes in %.0f s, %d sides", probes, seconds, sides)
			}
		}
	})
}

func TestUnitsAreBounded(t *testing.T) {
	f := NewManager(start, 1, "a", settings(3, nil))
	for i := range 10 * mostSick {
		for range 10 {
			f.RecordOutcome(start+tick.Tick(i), "another unit", true)
		}
		for range certain {
			f.RecordOutcome(start+tick.Tick(i), fmt.Sprint(i), false)
		}
	}
	if len(f.units) != mostSick || len(f.told) != mostSick {
		t.Errorf("%d units, %d told", len(f.units), len(f.told))
	}
	if u := f.LocalReport(start + 10*tick.Tick(mostSick)).Verdicts; len(u) != mostUnits || u[0].Age > 1 {
		t.Errorf("%+v", u)
	}
}

// at is what a relay sees of a unit.
func (c *crowd) at(i, times int, unit string, good bool) {
	for range times {
		c.relays[i].RecordOutcome(c.now, unit, good)
	}
}

// TestAvoids: a unit is left by a relay that has no doubt of it where what all count of it makes it sick, and only then.
func TestAvoids(t *testing.T) {
	const unit = "unit-7"
	lie := func(c *crowd, count Evidence, units ...string) { // of relay 9, to all
		told := c.relays[9].LocalReport(c.now)
		told.Evidence, told.Verdicts = []Evidence{}, nil
		for _, u := range units {
			count.Backend = xxhash.Sum64String(u)
			told.Evidence = append(told.Evidence, count)
			told.Verdicts = append(told.Verdicts, Verdict{Backend: count.Backend, Healthy: count.Successes > 0})
		}
		for to := range 9 {
			c.relays[to].UpdatePeer(c.now, name(9), 0, "", told, 0, "alive")
		}
	}
	ill := func(c *crowd, many, times int) {
		for i := range many {
			c.at(i, 1+times, unit, false) // the one that puts it in question does not count
		}
	}
	for _, k := range []struct {
		name string
		do   func(c *crowd)
		want bool
	}{
		{"three relays", func(c *crowd) { ill(c, 3, 2) }, true},
		{"two", func(c *crowd) { ill(c, 2, 5) }, false},
		{"five with one outcome each", func(c *crowd) { ill(c, 5, 1) }, true},
		{"four with one", func(c *crowd) { ill(c, 4, 1) }, false},
		{"what put it in question", func(c *crowd) { ill(c, 9, 0) }, false},
		{"others get answers", func(c *crowd) {
			ill(c, 4, 2)
			c.on(1, nil)
			for i := 4; i < 8; i++ {
				c.at(i, 2, unit, true)
			}
		}, false},
		{"a liar", func(c *crowd) {
			lie(c, Evidence{Failures: 2}, unit, unit, unit, "unit-8")
			ill(c, 1, 2)
		}, false},
		{"a liar that says it is well", func(c *crowd) {
			lie(c, Evidence{Successes: 2}, unit)
			ill(c, 5, 2)
		}, true},
		{"an own link that is cut", func(c *crowd) { // and so the relay's word counts for nothing
			for i := range 3 {
				for u := range 9 {
					c.at(i, 8, fmt.Sprint("unit-", u), false)
				}
			}
			ill(c, 3, 2)
		}, false},
		{"old outcomes", func(c *crowd) {
			ill(c, 2, 2)
			c.on(11, nil)
			c.at(4, 3, unit, false)
		}, false},
		{"of an earlier version", func(c *crowd) {
			for i := range 3 {
				told := Report{LocalFraction: 1, SharedFraction: 1, Verdicts: []Verdict{{Backend: xxhash.Sum64String(unit)}}}
				c.relays[5].UpdatePeer(c.now, name(i), 1, "", told, 0, "alive")
			}
			c.pass = func(from, _ int) bool { return from > 3 }
		}, true},
		{"started again and again", func(c *crowd) {
			for run := range 9 {
				told := Report{LocalFraction: 1, SharedFraction: 1, Evidence: []Evidence{{Backend: xxhash.Sum64String(unit), Failures: 2}}}
				c.relays[5].UpdatePeer(c.now, name(1), uint64(run+1), "", told, 0, "alive")
			}
			c.pass = func(from, _ int) bool { return from != 1 }
		}, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := newCrowd(10, nil)
			c.on(1, nil)
			k.do(c)
			c.on(0.5, nil)
			c.tell()
			if got := c.relays[5].IsEjected(c.now, unit); got != k.want || c.relays[5].IsEjected(c.now, "unit-8") {
				t.Errorf("left: %v", got)
			}
		})
	}
}

// TestTwoMakeNoUnitSick: whatever one relay tells, and started again how often, and whatever a second one finds whose
// link is cut, the others leave no unit that answers them, or that they do not use.
func TestTwoMakeNoUnitSick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd(rapid.IntRange(3, 8).Draw(t, "relays"), nil)
		n := len(c.relays)
		unit := func() string { return fmt.Sprint("unit-", rapid.IntRange(0, 3).Draw(t, "unit")) }
		run := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"lies": func(t *rapid.T) {
				told := Report{LocalFraction: 1, SharedFraction: 1, Evidence: []Evidence{}}
				for range rapid.IntRange(0, mostSigns).Draw(t, "signs") {
					bad := rapid.IntRange(0, mostCount).Draw(t, "bad")
					told.Evidence = append(told.Evidence, Evidence{xxhash.Sum64String(unit()), bad, 0,
						tick.Tick(rapid.IntRange(0, 20).Draw(t, "age")) * tick.Second})
				}
				run += uint64(rapid.IntRange(0, 1).Draw(t, "starts again"))
				for to := 1; to < n; to++ {
					c.relays[to].UpdatePeer(c.now, name(0), run, "", told, tick.Tick(rapid.IntRange(0, 9).Draw(t, "late")), "alive")
				}
			},
			"cut": func(t *rapid.T) { c.at(1, rapid.IntRange(1, 5).Draw(t, "times"), unit(), false) },
			"answers": func(t *rapid.T) {
				c.at(rapid.IntRange(2, n-1).Draw(t, "at"), rapid.IntRange(1, 5).Draw(t, "times"), unit(), true)
			},
			"news": func(t *rapid.T) {
				from := rapid.IntRange(1, n-1).Draw(t, "from")
				for to := 1; to < n; to++ {
					if to != from && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
						c.relays[to].UpdatePeer(c.now, name(from), 0, "", c.relays[from].LocalReport(c.now), 0, "alive")
					}
				}
			},
			"time": func(t *rapid.T) { c.now += tick.Tick(rapid.IntRange(1, 50000).Draw(t, "ticks")) },
			"": func(t *rapid.T) {
				for i := 2; i < n; i++ {
					for u := range 4 {
						if c.relays[i].IsEjected(c.now, fmt.Sprint("unit-", u)) {
							t.Fatalf("relay %d leaves unit %d", i, u)
						}
					}
				}
			},
		})
	})
}

// TestTakenBack: a unit that all leave is tried fleet.probes times a second at the most; once it answers they take it back
// within seconds, but not at once, and one relay that says so before counts for little.
func TestTakenBack(t *testing.T) {
	const unit, n = "unit-7", 100
	c := newCrowd(n, nil)
	c.on(1, nil)
	for i := range 6 {
		c.at(i, 2, unit, false)
	}
	well, tried := false, 0
	taken := func(i int, f *Manager) {
		if !f.IsEjected(c.now, unit) || f.AllowProbe(c.now, unit) {
			f.RecordOutcome(c.now, unit, well)
			tried++
		}
	}
	c.on(1, nil)
	c.on(60, taken)
	if tried < 10 || tried > 120 {
		t.Errorf("tried %d times in 60 s", tried)
	}
	liar := 0
	for i := range n {
		if s := c.relays[i].units[xxhash.Sum64String(unit)]; s.above == 0 { // a prober, so that all hear it
			liar = i
		}
	}
	tried = 0
	c.on(60, func(i int, f *Manager) {
		if i == liar {
			f.RecordOutcome(c.now, unit, true)
		} else {
			taken(i, f)
		}
	})
	if tried > 120 {
		t.Errorf("tried %d times in 60 s on a liar's word", tried)
	}
	well = true
	var in []int // that use it, by tenths of a second
	c.on(15, func(i int, f *Manager) {
		if i == 0 {
			in = append(in, 0)
		}
		was := tried
		taken(i, f)
		in[len(in)-1] += tried - was
	})
	for i := range in[1:] {
		if in[i+1]-in[i] > n/3 {
			t.Errorf("%d relays of %d take it back in one tenth of a second", in[i+1]-in[i], n)
		}
	}
	if in[60] < n {
		t.Errorf("relays that use it once it is well, by tenths of a second: %v", in)
	}
}

// TestTroubleOfAll: where a good part of all outcomes is bad no unit is left to few probers, nor avoided, for it; one that
// was before still is.
func TestTroubleOfAll(t *testing.T) {
	c := newCrowd(10, nil)
	for i := range c.relays {
		c.at(i, 3, "unit-99", false)
	}
	c.on(1, func(i int, f *Manager) { f.IsEjected(c.now, "unit-99") })
	c.on(3, func(i int, f *Manager) {
		for unit := range 10 {
			f.RecordOutcome(c.now, fmt.Sprint("unit-", unit), false)
		}
	})
	for i, f := range c.relays {
		if !f.AllowProbe(c.now, "unit-7") || f.IsEjected(c.now, "unit-7") {
			t.Errorf("relay %d holds one unit to blame", i)
		}
		if !f.IsEjected(c.now, "unit-99") {
			t.Errorf("relay %d no longer leaves the one that was sick before", i)
		}
	}
}
