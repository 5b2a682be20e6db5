package membership

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"silvercove/internal/peertransport"
	"silvercove/internal/standin/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// process is one process of a testFleet, with its agent and its network.
type process struct {
	*Agent
	name string
	net  *peertransport.Network
	stop func()
}

type testFleet struct {
	t         *testing.T
	links     *faultproxy.Network
	processes []*process
	linksTo   map[string][]*faultproxy.Link // links to each process, keyed by the name of that process
	peersOf   map[string][]peertransport.Peer
	mu        sync.Mutex
	log       []string
	startedAt time.Time
}

var settings = map[string]any{"fleet.silence": 0.4}

func newTestFleet(t *testing.T, names ...string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, linksTo: map[string][]*faultproxy.Link{}, peersOf: map[string][]peertransport.Peer{}, startedAt: time.Now()}
	note := func(text string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.log = append(f.log, fmt.Sprintf("%5d %s", time.Since(f.startedAt).Milliseconds(), text))
	}
	f.links = faultproxy.New(3, func(e faultproxy.Event) { note(e.From + ">" + e.To + " " + e.Text) })
	t.Cleanup(func() {
		for _, p := range f.processes {
			p.stop()
		}
		f.links.Close()
		if t.Failed() {
			t.Log(strings.Join(f.log, "\n"))
		}
	})
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			l, err := f.links.AddLink(from, to, "")
			if err != nil {
				t.Fatal(err)
			}
			f.linksTo[to] = append(f.linksTo[to], l)
			f.peersOf[from] = append(f.peersOf[from], peertransport.Peer{Name: to, Role: "edge", Zone: "z", Address: l.Address()})
		}
	}
	for _, name := range names {
		f.start(name, 1, true, note)
	}
	return f
}

func (f *testFleet) start(name string, incarnation uint64, startedEmpty bool, note func(string)) *process {
	f.t.Helper()
	n, err := peertransport.Open("vans", peertransport.Peer{Name: name, Role: "edge", Zone: "z", Address: "127.0.0.1:0"}, f.peersOf[name],
		zerolog.Nop())
	if err != nil {
		f.t.Fatal(err)
	}
	for _, l := range f.linksTo[name] {
		l.SetTarget(n.Self().Address)
	}
	agent, err := Open(n, incarnation, startedEmpty, settings, func(m Member) {
		if note != nil {
			note(fmt.Sprintf("%s: %s %s", name, m.Name, m.State))
		}
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	netCtx, netStop := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = agent.Run(ctx) })
	var other sync.WaitGroup
	other.Go(func() { _ = n.Run(netCtx) })
	p := &process{Agent: agent, name: name, net: n}
	p.stop = sync.OnceFunc(func() { stop(); done.Wait(); netStop(); other.Wait() })
	f.processes = append(f.processes, p)
	return p
}

func (f *testFleet) process(name string) *process {
	return f.processes[slices.IndexFunc(f.processes, func(p *process) bool { return p.name == name })]
}

func (f *testFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			for _, p := range f.processes {
				f.t.Logf("%s: %+v", p.name, p.Members())
			}
			f.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

func (p *process) view(name string) Member {
	all := p.Members()
	return all[slices.IndexFunc(all, func(m Member) bool { return m.Name == name })]
}

func (f *testFleet) allAlive() bool {
	for _, p := range f.processes {
		for _, m := range p.Members() {
			if m.State != StateAlive || m.Incarnation == 0 {
				return false
			}
		}
	}
	return true
}

func TestAgent_MembersHearEachOther(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, "a", "b", "c", "d")
	f.waitFor("all alive", f.allAlive)
	a, b, c := f.process("a"), f.process("b"), f.process("c")
	if err := a.Publish("load", []byte("0.7")); err != nil {
		t.Fatal(err)
	}
	_ = a.Publish("load", []byte("0.8"))
	_ = a.Publish("from a later version", []byte("x"))
	f.waitFor("payload of a reaches all", func() bool {
		return !slices.ContainsFunc(f.processes, func(p *process) bool {
			m := p.view("a")
			return string(m.Payloads["load"]) != "0.8" || string(m.Payloads["from a later version"]) != "x"
		})
	})
	select {
	case <-b.Changed():
	default:
		t.Error("Changed of b has no value after a change")
	}

	// The link between a and b is cut in both directions. c and d still receive from a and b and pass on their records, so
	// a and b consider each other unreachable and not dead.
	if err := f.links.Do("cut a b"); err != nil {
		t.Fatal(err)
	}
	f.waitFor("a and b unreachable to each other", func() bool { return a.view("b").State == StateUnreachable && b.view("a").State == StateUnreachable })
	if c.view("a").State != StateAlive || c.view("b").State != StateAlive {
		t.Errorf("%+v", c.Members())
	}
	_ = a.Publish("load", []byte("0.9"))
	f.waitFor("payload of a reaches b through others", func() bool { return string(b.view("a").Payloads["load"]) == "0.9" })
	_ = f.links.Do("heal a b")
	f.waitFor("all alive again", f.allAlive)

	// The link is cut one way: packets from a to b are lost, so neither gets answers from the other.
	_ = f.links.Do("cut a b oneway")
	f.waitFor("a and b unreachable to each other", func() bool { return a.view("b").State == StateUnreachable && b.view("a").State == StateUnreachable })
	_ = f.links.Do("heal a b")
	f.waitFor("all alive again", f.allAlive)

	// c is split off alone: it is dead to all others, and they are dead to it. Then the split heals.
	_ = f.links.Do("split c a,b,d")
	f.waitFor("c dead", func() bool {
		return a.view("c").State == StateDead && b.view("c").State == StateDead && c.view("a").State == StateDead
	})
	_ = f.links.Do("heal * *")
	f.waitFor("all alive after the split", f.allAlive)
}

// TestAgent_HalvesHealAfterLongSplit: two halves that consider each other dead find each other again once the links are
// back. It guards against a gossip library that never contacts dead members again.
func TestAgent_HalvesHealAfterLongSplit(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, "a", "b", "c", "d")
	f.waitFor("all alive", f.allAlive)
	_ = f.links.Do("split a,b c,d")
	gone := func() bool {
		a, d := f.process("a"), f.process("d")
		return a.view("c").State == StateDead && a.view("d").State == StateDead && d.view("a").State == StateDead && d.view("b").State == StateDead
	}
	f.waitFor("the halves are dead to each other", gone)
	from := time.Now()
	f.waitFor("the gossip library has removed the dead members", func() bool { return time.Since(from) > 6*400*time.Millisecond })
	if !gone() {
		t.Error("a dead member came back through a cut link")
	}
	_ = f.links.Do("heal * *")
	f.waitFor("all alive after the split", f.allAlive)
	f.waitFor("gossip passes between the halves again", func() bool {
		return !slices.ContainsFunc(f.processes, func(p *process) bool { return p.library.(*gossipLibrary).list.NumMembers() != 4 })
	})
}

func TestAgent_LeavingRestartsAndOldCopy(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, "a", "b", "c")
	f.waitFor("all alive", f.allAlive)
	a, c := f.process("a"), f.process("c")
	incarnation := uint64(1)
	// A busy machine may delay the leave message past the silence timeout. c is then seen as dead, and the loop tries
	// again.
	for left := false; !left; {
		c.stop()
		f.waitFor("c has left or is dead", func() bool {
			s := a.view("c").State
			left = s == StateLeft
			return left || s == StateDead
		})
		if incarnation++; incarnation > 6 {
			t.Fatal("c left five times, but was seen as dead each time")
		}
		f.processes = f.processes[:2]
		c = f.start("c", incarnation, false, nil)
		f.waitFor("c alive after its restart", func() bool {
			m := a.view("c")
			return m.State == StateAlive && m.Incarnation == incarnation && !m.StartedEmpty
		})
	}
	c.stop()
	f.processes = f.processes[:2]
	old := f.start("c", 1, true, nil) // a process with the name c and an older incarnation, as after its disk was restored from an older image
	select {
	case <-old.Superseded():
	case <-time.After(20 * time.Second):
		t.Fatal("the old copy does not learn that it is superseded")
	}
	if m := a.view("c"); m.Incarnation != incarnation {
		t.Errorf("the records of the old copy are accepted: %+v", m)
	}
	select {
	case <-a.Superseded():
		t.Error("a is superseded although there is no later start of a")
	default:
	}
	old.stop()
	f.processes = f.processes[:2]
	f.start("c", incarnation+1, true, nil)
	f.waitFor("c alive after a restart without its data", func() bool {
		m := a.view("c")
		return m.State == StateAlive && m.Incarnation == incarnation+1 && m.StartedEmpty
	})
}

func TestAgent_SlowMember(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, "a", "b", "c")
	f.waitFor("all alive", f.allAlive)
	_ = f.links.Do("delay a b 30ms")
	f.waitFor("b slow at a", func() bool { return f.process("a").view("b").State == StateSlow })
	if s := f.process("c").view("b").State; s != StateAlive {
		t.Errorf("c sees b as %s", s)
	}
}

func TestNextIncarnation_CountsOn(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	now := time.UnixMilli(1000)
	incarnation, startedEmpty, err := NextIncarnation(dir, now)
	if incarnation != 1000 || !startedEmpty || err != nil {
		t.Fatal(incarnation, startedEmpty, err)
	}
	// After the clock was set back, the incarnation must still increase.
	if incarnation, startedEmpty, err = NextIncarnation(dir, now.Add(-time.Second)); incarnation != 1001 || startedEmpty || err != nil {
		t.Fatal(incarnation, startedEmpty, err)
	}
	if incarnation, startedEmpty, err = NextIncarnation("", now); incarnation != 1000 || !startedEmpty || err != nil {
		t.Fatal(incarnation, startedEmpty, err)
	}
	if err := os.WriteFile(filepath.Join(dir, "run"), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err = NextIncarnation(dir, now); !errors.Is(err, ErrDamagedIncarnation) || !strings.Contains(err.Error(), dir) {
		t.Errorf("damaged incarnation file: %v", err)
	}
}
