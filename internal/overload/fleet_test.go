package overload

import (
	"fmt"
	"math"
	"testing"

	"silvercove/internal/tick"
)

const start = 1000 * tick.Second

// settings are those of a fleet; more overrides single ones.
func settings(relays float64, more map[string]float64) map[string]any {
	set := map[string]any{"fleet.relays": relays, "fleet.repeats": 0.1, "fleet.floor": 0.05, "fleet.probes": 2.0, "fleet.ramp": 3.0}
	for name, v := range more {
		set["fleet."+name] = v
	}
	return set
}

// crowd is some relays whose news reach each other at once.
type crowd struct {
	now    tick.Tick
	relays []*Manager
	run    []uint64
	pass   func(from, to int) bool // whether news do
}

func newCrowd(n int, more map[string]float64) *crowd {
	c := &crowd{now: start, run: make([]uint64, n), pass: func(int, int) bool { return true }}
	for i := range n {
		c.relays = append(c.relays, NewManager(start, uint64(i+1), name(i), settings(float64(n), more)))
	}
	return c
}

func name(i int) string { return fmt.Sprint("relay-", i) }

func (c *crowd) tell() {
	for from, f := range c.relays {
		if f == nil {
			continue
		}
		told := f.LocalReport(c.now)
		for to, other := range c.relays {
			if from != to && other != nil && c.pass(from, to) {
				other.UpdatePeer(c.now, name(from), c.run[from], "", told, 0, "alive")
			}
		}
	}
}

// go on for a while in steps of a tenth of a second; each tells every half.
func (c *crowd) on(seconds float64, each func(i int, f *Manager)) {
	for step := range int(seconds * 10) {
		c.now += tick.Second / 10
		for i, f := range c.relays {
			for range 4 {
				if f != nil {
					f.RecordOutcome(c.now, "another unit", true)
				}
			}
			if f != nil && each != nil {
				each(i, f)
			}
		}
		if step%max(5, len(c.relays)/15) == 0 {
			c.tell()
		}
	}
}

// TestAloneDoesNothing: without peers all is taken, repeated and probed, and nothing waited for, whatever the pressure.
func TestAloneDoesNothing(t *testing.T) {
	for relays := range 2 {
		f, now := NewManager(start, 1, "only", settings(float64(relays), nil)), start
		for i := range 1000 {
			now += tick.Second / 10
			f.UpdatePressure(now, Pressure{SchedulingDelay: tick.Second, CPU: 3, Memory: 3, BackendUtilization: 100})
			f.RecordOutcome(now, "u", false)
			if ok, back := f.Admit(now, i%3, float64(i%3), fmt.Sprint(i)); !ok || back != 0 {
				t.Fatal("shed")
			}
			if !f.AllowRetry(now, i%2 == 0) || !f.AllowProbe(now, "u") {
				t.Fatal("a repeat or a probe was refused")
			}
			for _, w := range []StartupStep{StepAccept, StepList, StepConnect} {
				if f.StartupDelay(now, w) != 0 {
					t.Fatal("a wait")
				}
			}
		}
	}
}

// TestCutOff: a relay that hears nobody for 5 s sheds nothing and waits for nothing; its own budget stands.
func TestCutOff(t *testing.T) {
	c := newCrowd(4, map[string]float64{"ramp": 60})
	f := c.relays[0]
	press := func(i int, f *Manager) {
		f.UpdatePressure(c.now, Pressure{BackendUtilization: 3})
		f.Admit(c.now, 0, 1, "x")
	}
	c.on(5, press)
	if f.AdmittedFraction() > 0.1 || f.StartupDelay(c.now, StepConnect) == 0 {
		t.Fatalf("admits %v", f.AdmittedFraction())
	}
	c.pass = func(from, to int) bool { return to != 0 }
	c.on(4, press)
	if f.AdmittedFraction() > 0.1 {
		t.Errorf("old news are no reason to take more: %v", f.AdmittedFraction())
	}
	c.on(2, press)
	for i := range 100 {
		if ok, _ := f.Admit(c.now, 0, 1, fmt.Sprint(i)); !ok {
			t.Fatal("cut off, and shed")
		}
	}
	if f.StartupDelay(c.now, StepAccept) != 0 || f.StartupDelay(c.now, StepConnect) != 0 {
		t.Error("cut off, and waits")
	}
	f.credit = 0
	if f.AllowRetry(c.now, false) {
		t.Error("cut off, and without a budget")
	}
	c.pass = func(from, to int) bool { return true }
	c.on(1, press)
	if f.AdmittedFraction() > 0.9 {
		t.Errorf("back, and not drawn to the others: %v", f.AdmittedFraction())
	}
}

// passing counts the customers, of 1,000, whose commands of each op type pass.
func passing(f *Manager, now tick.Tick, ops int) (n [8]int, who map[string]bool) {
	who = map[string]bool{}
	for op := range ops {
		for i := range 1000 {
			customer := fmt.Sprint("customer ", i)
			if customer := customer; f.ops[op].pass > 0 {
				was := f.ops[op].offered
				ok, _ := f.Admit(now, op, f.ops[op].importance, customer)
				f.ops[op].offered = was
				if ok {
					n[op]++
					who[fmt.Sprint(op, customer)] = true
				}
			}
		}
	}
	return n, who
}

// TestWhoIsShed: importance first, then the dear ones, then whole customers; a floor passes of each.
func TestWhoIsShed(t *testing.T) {
	type kind struct {
		importance, took float64
		many             int
	}
	for _, c := range []struct {
		name  string
		admit float64
		kinds []kind
		want  []float64 // passing
	}{
		{"all", 1, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{1, 1}},
		{"the important one whole", 0.6, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.2, 1}},
		{"the floor of the other", 0.4, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.05, 0.75}},
		{"the cheap one of equals", 0.4, []kind{{5, 0.08, 1}, {5, 0.01, 1}}, []float64{0.325, 1}},
		{"nearly the same work is the same", 0.5, []kind{{5, 0.017, 1}, {5, 0.018, 1}}, []float64{0.98, 0.05}},
		{"by the work offered", 0.5, []kind{{1, 0.01, 1}, {9, 0.01, 3}}, []float64{0.05, 0.65}},
		{"floors alone", 0.05, []kind{{1, 0.01, 1}, {9, 0.01, 1}}, []float64{0.05, 0.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			crowd := newCrowd(2, nil)
			offer := func(i int, f *Manager) {
				for op, k := range c.kinds {
					for range k.many {
						f.Admit(crowd.now, op, k.importance, "")
					}
					f.RecordServiceTime(crowd.now, op, tick.Tick(k.took*float64(tick.Second)))
				}
			}
			crowd.on(20, offer)
			var first map[string]bool
			for i, f := range crowd.relays {
				f.shared = c.admit
				f.thresholds()
				n, who := passing(f, crowd.now, len(c.kinds))
				for op, want := range c.want {
					if got := float64(n[op]) / 1000; math.Abs(got-want) > 0.04 {
						t.Errorf("relay %d op type %d: %v passes, want %v", i, op, got, want)
					}
				}
				if first == nil {
					first = who
				}
				for w := range who {
					if !first[w] {
						t.Fatalf("%s passes at one relay only", w)
					}
				}
			}
		})
	}
}

// TestShedTogether: relays under different pressure come to admit the same, and a relay that is let go first is held.
func TestShedTogether(t *testing.T) {
	c := newCrowd(10, nil)
	offer := func(i int, f *Manager) {
		f.Admit(c.now, 0, 1, "x")
		f.UpdatePressure(c.now, Pressure{BackendUtilization: map[bool]float64{true: 1.15, false: 0.99}[i < 6]})
	}
	c.on(10, offer)
	least, most := 1.0, 0.0
	for _, f := range c.relays {
		least, most = min(least, f.AdmittedFraction()), max(most, f.AdmittedFraction())
	}
	if most > 0.4 || most-least > 0.3 {
		t.Errorf("admit %.2f to %.2f", least, most)
	}
	c.relays[0].UpdatePressure(c.now, Pressure{SchedulingDelay: tick.Second, BackendUtilization: 0.5})
	for range 20 {
		c.now += tick.Second / 10
		c.relays[0].UpdatePressure(c.now, Pressure{SchedulingDelay: tick.Second, BackendUtilization: 0.5})
	}
	if c.relays[0].AdmittedFraction() > 0.1 {
		t.Error("a relay that cannot keep up itself sheds more than the others")
	}
}

// TestOldNewsAreCareful: with news of few it admits more again only slowly, and what is old has no say.
func TestOldNewsAreCareful(t *testing.T) {
	after := func(hears int) float64 {
		c := newCrowd(10, nil)
		c.pass = func(from, to int) bool { return from < hears || to != 0 }
		offer := func(p float64) func(i int, f *Manager) {
			return func(i int, f *Manager) {
				f.Admit(c.now, 0, 1, "x")
				f.UpdatePressure(c.now, Pressure{BackendUtilization: p})
			}
		}
		c.on(4, offer(1.5))
		low := c.relays[0].AdmittedFraction()
		c.on(1.5, offer(0.5))
		return c.relays[0].AdmittedFraction() / low
	}
	if all, one := after(10), after(2); all < 1.5*one || one <= 1 {
		t.Errorf("times the admitted part after 1.5 s: %.2f with all news, %.2f with those of one", all, one)
	}
	f := NewManager(start, 1, "a", settings(2, nil))
	f.Admit(start, 0, 1, "x")
	f.UpdatePeer(start, "b", 1, "", Report{LocalFraction: 1, SharedFraction: 0.05, OfferedWork: []float64{1}}, 2*fresh, "alive")
	if f.says != 0 || f.known != 0 {
		t.Error("old news count")
	}
}

// TestPeers: what is told of other relays is taken as it is meant.
func TestPeers(t *testing.T) {
	good := Report{LocalFraction: 1, SharedFraction: 0.5, OfferedWork: []float64{1}}
	bad := good
	bad.SharedFraction = math.NaN()
	f := NewManager(start, 1, "a", settings(5, nil))
	steps := []struct {
		name        string
		run         uint64
		told        Report
		age         tick.Tick
		state       string
		known, says int
	}{
		{"b", 5, good, 0, "alive", 1, 1},
		{"b", 4, Report{LocalFraction: 1, SharedFraction: 0.1}, 0, "dead", 1, 1}, // an old copy
		{"b", 5, bad, -1, "alive", 1, 1},
		{"a", 9, good, 0, "alive", 1, 1}, // itself
		{"c", 1, Report{}, 0, "alive", 1, 1},
		{"c", 1, Report{LocalFraction: 1, SharedFraction: 1}, 0, "alive", 2, 1}, // one without commands has no say
		{"b", 6, good, 4 * tick.Second, "alive", 1, 0},                          // started anew, and nothing fresh of it
		{"b", 6, good, 0, "slow", 2, 1},
		{"b", 6, good, 0, "dead", 1, 0},
		{"b", 6, good, 0, "alive", 1, 0}, // nothing newer
		{"d", 1, good, 0, "left", 1, 0},
	}
	for i, s := range steps {
		f.UpdatePeer(start, s.name, s.run, "", s.told, s.age, s.state)
		if f.known != s.known || f.says != s.says {
			t.Errorf("step %d: %d known, %d have a say", i, f.known, f.says)
		}
	}
	f.step(start + lost)
	if f.known != 0 || len(f.silent) != 0 || f.work != [mostOps]float64{} {
		t.Errorf("%d known", f.known)
	}
	many := NewManager(start, 1, "a", settings(5, nil))
	for i := range mostPeers + 10 {
		many.UpdatePeer(start, name(i), 1, "", good, 0, "alive")
	}
	if len(many.peers) != mostPeers {
		t.Errorf("%d peers", len(many.peers))
	}
}

// TestRamp: after a common restart starts and list calls are spread over the ramp; one that starts alone hardly waits.
func TestRamp(t *testing.T) {
	const n = 30
	c := newCrowd(n, nil)
	for _, knows := range []bool{false, true} {
		for _, what := range []StartupStep{StepAccept, StepList, StepConnect} {
			var in [3]int // a second of the ramp each
			for _, f := range c.relays {
				in[min(2, int(f.StartupDelay(c.now, what)/tick.Second))]++
			}
			for second, many := range in {
				if most := map[bool]int{true: n / 2, false: 2 * n / 3}[knows && what != StepConnect]; many > most || many < 2 {
					t.Errorf("knows %v: %d of %d in second %d of thing %d", knows, many, n, second, what)
				}
			}
		}
		c.tell()
	}
	c.on(4, nil)
	for _, f := range c.relays {
		if f.StartupDelay(c.now, StepAccept) != 0 || f.StartupDelay(c.now, StepConnect) != 0 {
			t.Fatal("the ramp is over")
		}
	}
	c.relays[3], c.run[3] = NewManager(c.now, 99, name(3), settings(n, nil)), 1
	c.tell()
	for _, what := range []StartupStep{StepAccept, StepList, StepConnect} {
		if w := c.relays[3].StartupDelay(c.now, what); w > tick.Second/5 {
			t.Errorf("one that restarts alone waits %v with thing %d", w.Span(), what)
		}
	}
}

// TestBack: times to come back fill the span evenly, at one relay and over all.
func TestBack(t *testing.T) {
	const least, most, n = tick.Second, 3 * tick.Second, 20
	var all [10]int
	for i := range 10 {
		f, own := NewManager(start, uint64(i), name(i), settings(10, nil)), [4]int{}
		for range n {
			b := f.RetryAfter(start, least, most)
			if b < least || b >= most {
				t.Fatal(b)
			}
			all[(b-least)*10/(most-least)]++
			own[(b-least)*4/(most-least)]++
		}
		for _, many := range own {
			if many < n/4-3 || many > n/4+3 {
				t.Errorf("relay %d: %v", i, own)
			}
		}
	}
	for _, many := range all {
		if many < 12 || many > 28 {
			t.Errorf("%v", all)
		}
	}
}
