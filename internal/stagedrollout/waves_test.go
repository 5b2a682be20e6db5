package stagedrollout

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// fleet is a Host that keeps what servers were told.
type fleet struct {
	*Waves
	servers []*Server
	told    map[string]uint16
	tells   int
	wake    Tick
	lines   []string
}

func (f *fleet) Tell(s *Server, build uint16) { f.told[s.Name] = build; f.tells++ }
func (f *fleet) WakeAt(at Tick)               { f.wake = at }
func (f *fleet) Log(text string)              { f.lines = append(f.lines, text) }

const lasts = 60 * Second

// newFleet makes a fleet on build 1, over three zones and two kinds.
func newFleet(n int) *fleet {
	f := &fleet{told: map[string]uint16{}}
	f.Waves = New(f, lasts, 1)
	for i := range n {
		s := &Server{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), Kind: []string{"large", "small"}[i%2]}
		f.servers = append(f.servers, s)
		f.Listed(0, s, true)
	}
	f.Settled(0)
	return f
}

// on has every server that is told a build install it, until nothing changes.
func (f *fleet) on(now Tick) Tick {
	for range 200 {
		before := f.tells
		for _, s := range f.servers {
			f.Fetched(now, s, s.Told())
			if s.Told() != 0 && s.running != s.Told() {
				f.Reported(now, s, s.Told(), s.Told(), Installed)
			}
		}
		now++
		if f.tells == before {
			break
		}
	}
	return now
}

func (f *fleet) on2() (n int) {
	for _, s := range f.servers {
		if s.Told() == 2 {
			n++
		}
	}
	return n
}

func TestSharesAreRoundedDown(t *testing.T) {
	for _, c := range []struct {
		n    int
		cap  float64
		want int
	}{{1, 0.99, 0}, {3, 0.34, 1}, {3, 0.33, 0}, {10, 0.1, 1}, {10, 0.3, 3}, {29, 0.1, 2}, {1000, 0.35, 350}, {7, 1, 7}, {7, 0, 0}} {
		t.Run(fmt.Sprintf("%g of %d", c.cap, c.n), func(t *testing.T) {
			f := newFleet(c.n)
			f.Stage(1, 2, 1, OnTrial, c.cap, nil)
			f.on(2)
			if got := f.on2(); got != c.want {
				t.Errorf("%d are told, wanted %d", got, c.want)
			}
		})
	}
}

func TestChosenStayChosenAndAreSpread(t *testing.T) {
	f := newFleet(300)
	f.Stage(1, 2, 1, OnTrial, 0.1, nil)
	now := f.on(2)
	first, zones := map[string]bool{}, map[string]int{}
	for _, s := range f.servers {
		if s.Told() == 2 {
			first[s.Name] = true
			zones[s.Zone+s.Kind]++
		}
	}
	for group, n := range zones {
		if n < 4 || n > 6 {
			t.Errorf("%d of 30 in %s, 5 is a tenth of 50", n, group)
		}
	}
	f.Stage(now, 2, 1, OnTrial, 0.35, nil)
	now = f.on(now)
	for _, s := range f.servers {
		if first[s.Name] && s.Told() != 2 {
			t.Errorf("%s was chosen at 10%% and is not at 35%%", s.Name)
		}
	}
	f.Stage(now, 2, 1, OnTrial, 0.1, nil)
	now = f.on(now)
	for _, s := range f.servers {
		if first[s.Name] != (s.Told() == 2) {
			t.Errorf("%s at 10%% again: %d", s.Name, s.Told())
		}
	}
	f.Stage(now, 2, 1, GoingBack, 0.1, nil)
	if f.on2() != 0 {
		t.Error("some are still told")
	}
	g := newFleet(300) // another package goes to others first
	g.Stage(1, 3, 1, OnTrial, 0.1, nil)
	g.on(2)
	same := 0
	for _, s := range g.servers {
		if s.Told() == 3 && first[s.Name] {
			same++
		}
	}
	if same > 15 {
		t.Errorf("%d of 30 are the first again", same)
	}
}

// TestToldBackCount: one that was told back counts until it has fetched, or until what it holds has expired.
func TestToldBackCount(t *testing.T) {
	f := newFleet(10)
	f.Stage(1, 2, 1, OnTrial, 0.4, nil)
	f.on(2)
	if f.on2() != 4 {
		t.Fatal(f.on2())
	}
	f.Stage(10, 2, 1, OnTrial, 0.1, nil)
	f.Stage(11, 2, 1, OnTrial, 0.3, nil) // up again before any of them has fetched
	if _, told, counted := f.Count(12); told > 3 || counted > 4 {
		t.Errorf("%d told, %d may act on it", told, counted)
	}
	out := 0
	for _, s := range f.servers {
		if s.Told() == 1 && s.holds > 12 {
			out++
			f.Fetched(12, s, 1)
		}
	}
	if _, _, counted := f.Count(13); counted > 3 {
		t.Errorf("%d count after %d have fetched", counted, out)
	}
	g := newFleet(10)
	g.Stage(1, 2, 1, OnTrial, 0.4, nil)
	g.on(2)
	g.Stage(10, 2, 1, OnTrial, 0, nil)
	if _, _, counted := g.Count(10 + lasts - 1); counted != 4 {
		t.Errorf("%d count before the end of what they hold", counted)
	}
	if _, _, counted := g.Count(10 + lasts); counted != 0 {
		t.Errorf("%d count after it", counted)
	}
}

func TestFailedInstallations(t *testing.T) {
	f := newFleet(10)
	f.Stage(1, 2, 1, OnTrial, 0.1, nil)
	var bad *Server
	for _, s := range f.servers {
		if s.Told() == 2 {
			bad = s
		}
	}
	now := Tick(2)
	for try := range mostTries {
		f.Reported(now, bad, 1, 2, Failed)
		if bad.Told() == 2 {
			t.Fatal("it is told again at once")
		}
		f.Fetched(now, bad, 1)
		if n := f.on2(); n != 1 {
			t.Errorf("try %d: %d are told: its place goes to another", try, n)
		}
		for _, s := range f.servers { // the others draw back, so that it comes again
			if s.Told() == 2 && s != bad {
				f.Reported(now, s, 1, 2, Declined)
				f.Fetched(now, s, 1)
			}
		}
		for i := 0; i < 20 && bad.Told() != 2 && f.wake > 0; i++ {
			now = f.wake
			f.wake = 0
			f.Alarm(now)
			for _, s := range f.servers {
				if s.Told() == 2 && s != bad {
					f.Reported(now, s, 1, 2, Declined)
					f.Fetched(now, s, 1)
				}
			}
		}
		if told := bad.Told() == 2; told != (try < mostTries-1) {
			t.Fatalf("after %d failures told: %v", try+1, told)
		}
	}
	if !bad.out {
		t.Error("it is not left out")
	}
	f.Stage(now, 3, 1, OnTrial, 1, nil) // of the next package it is not
	f.on(now)
	if bad.Told() != 3 {
		t.Errorf("it is told %d", bad.Told())
	}
}

func TestSilentInstallation(t *testing.T) {
	f := newFleet(10)
	f.Stage(1, 2, 1, OnTrial, 0.1, nil)
	first := ""
	for _, s := range f.servers {
		if s.Told() == 2 {
			first = s.Name
		}
	}
	f.Alarm(1 + installing)
	for _, s := range f.servers {
		if s.Name == first && (s.Told() == 2 || s.tries != 1) {
			t.Errorf("told %d, %d tries", s.Told(), s.tries)
		}
	}
}

func TestPace(t *testing.T) {
	f := newFleet(100)
	f.Stage(1, 2, 1, Released, 1, nil)
	if n := f.on2(); n != 10 {
		t.Errorf("%d are told at once, a tenth is wanted", n)
	}
	bad := 0
	for range 3 { // all fail: then one at a time
		for _, s := range f.servers {
			if s.Told() == 2 {
				f.Reported(2, s, 1, 2, Failed)
				bad++
			}
		}
	}
	if n := f.on2(); n != 1 {
		t.Errorf("%d are told while most fail", n)
	}
	f.Stop(3)
	f.on(3)
	if f.on2() != 100-bad {
		t.Errorf("%d run it: a release goes on with all but the %d that wait", f.on2(), bad)
	}
}

func TestVoteStopsNewTellings(t *testing.T) {
	f := newFleet(100)
	f.Stage(1, 2, 1, OnTrial, 0.1, nil)
	f.on(2)
	f.Stop(3)
	f.Stage(4, 2, 1, OnTrial, 0.1, nil)
	f.servers = append(f.servers, &Server{Name: "late"})
	f.Listed(4, f.servers[100], true)
	for _, s := range f.servers[:20] {
		f.Listed(4, s, false)
	}
	f.Settled(4)
	n := f.on2()
	f.on(5)
	if f.on2() > n {
		t.Error("new ones are told after a vote back")
	}
	f.Stage(6, 2, 1, OnTrial, 0.3, nil) // a later stage says otherwise
	f.on(6)
	if f.on2() <= n {
		t.Error("nobody is told at a later stage")
	}
}

func TestKindsAndLeavers(t *testing.T) {
	f := newFleet(20)
	f.Stage(1, 2, 1, Released, 1, []string{"small"})
	now := f.on(2)
	for _, s := range f.servers {
		if (s.Kind == "small") != (s.Told() == 2) {
			t.Errorf("%s of kind %s is told %d", s.Name, s.Kind, s.Told())
		}
	}
	g := newFleet(10)
	g.Stage(1, 2, 1, OnTrial, 0.5, nil)
	g.on(2)
	var gone *Server
	for _, s := range g.servers {
		if s.Told() == 2 {
			gone = s
		}
	}
	g.Listed(10, gone, false)
	g.Settled(10)
	if gone.Told() != 1 {
		t.Error("one that left is still told the package")
	}
	if fleet, _, counted := g.Count(11); fleet != 9 || counted > 5 {
		t.Errorf("fleet %d, %d may act", fleet, counted)
	}
	g.Alarm(10 + lasts)
	if at := g.Explain(now, gone); at.Of != 9 {
		t.Errorf("%d servers are kept", at.Of)
	}
	// A package that is left behind by a newer one was never released: its servers go back.
	h := newFleet(10)
	h.Stage(1, 2, 1, OnTrial, 0.5, nil)
	h.on(2)
	h.Stage(3, 3, 1, OnTrial, 0.1, nil)
	if n := h.on2(); n != 0 {
		t.Errorf("%d are still told the package before", n)
	}
	// One that was left out of a released package stays where it is when the next comes.
	k := newFleet(10)
	k.Stage(1, 2, 1, Released, 1, nil)
	k.Reported(2, k.servers[0], 1, 2, Declined)
	for _, s := range k.servers {
		if s.Told() == 2 {
			k.Reported(2, s, 2, 2, Installed)
		}
	}
	k.on(3)
	out := ""
	for _, s := range k.servers {
		if s.Told() == 1 {
			out = s.Name
		}
	}
	k.Stage(4, 3, 2, OnTrial, 0, nil)
	for _, s := range k.servers {
		if s.Name == out && s.Told() != 1 || s.Name != out && s.Told() != 2 {
			t.Errorf("%s is told %d", s.Name, s.Told())
		}
	}
}

// TestCapUnderAnyOrder: whatever comes in whatever order, no more are told than the cap's share of those that are
// there, rounded down, and nobody new while as many may act on it.
func TestCapUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rapid.IntRange(1, 40).Draw(rt, "servers"))
		now, share, phase := Tick(1), 0.0, OnTrial
		f.Stage(now, 2, 1, phase, share, nil)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Tick(rapid.IntRange(0, int(lasts)).Draw(rt, "later"))
			s := f.servers[rapid.IntRange(0, len(f.servers)-1).Draw(rt, "server")]
			before, _, held := f.Count(now)
			toldBefore := f.on2()
			_ = before
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0:
				share = float64(rapid.IntRange(0, 20).Draw(rt, "cap")) / 20
				phase = rapid.SampledFrom([]Phase{OnTrial, OnTrial, OnTrial, GoingBack}).Draw(rt, "phase")
				f.Stage(now, 2, 1, phase, share, nil)
			case 1, 2:
				f.Fetched(now, s, s.Told())
			case 3:
				f.Listed(now, s, !s.listed)
				f.Settled(now)
			case 4:
				f.Reported(now, s, s.running, 2, rapid.SampledFrom([]Ended{Failed, Declined}).Draw(rt, "how"))
			case 5:
				f.Reported(now, s, s.Told(), s.Told(), Installed)
			default:
				f.Alarm(now)
			}
			fleet, told, counted := f.Count(now)
			most := int(math.Floor(share*float64(fleet) + 1e-9))
			if phase == GoingBack {
				most = 0
			}
			if told > most {
				rt.Fatalf("%d told, %d may be", told, most)
			}
			if told > toldBefore && counted > max(most, held) {
				rt.Fatalf("%d may act on it, %d may, and new ones were told", counted, most)
			}
		}
	})
}
