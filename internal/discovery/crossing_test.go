package discovery

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

// agent is a stand-in for discovery: each call is handed to the test, which answers it, in part, or not at all.
type agent struct {
	net.Listener
	calls chan *call
	done  sync.WaitGroup
}

type call struct {
	net.Conn
	from, query string
	over        chan struct{} // closed when the relay has ended the connection
}

func newAgent(t *testing.T) *agent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{Listener: l, calls: make(chan *call, 1024)}
	a.done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.done.Go(func() { a.serve(c) })
		}
	})
	t.Cleanup(func() { _ = l.Close(); a.done.Wait() }) // the relay's side has ended by then
	return a
}

func (a *agent) serve(c net.Conn) {
	over := make(chan struct{})
	defer close(over)
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		first, err := in.ReadString('\n')
		for line := ""; err == nil && line != "\r\n"; {
			line, err = in.ReadString('\n')
		}
		if err != nil {
			return
		}
		_, query, _ := strings.Cut(strings.Fields(first)[1], "?")
		a.calls <- &call{c, c.RemoteAddr().String(), query, over}
	}
}

// next is the next call; asked after a version (since), or for the whole list.
func (a *agent) next(t *testing.T, since string) *call {
	t.Helper()
	select {
	case c := <-a.calls:
		if since == "" && c.query != "" || since != "" && !strings.HasPrefix(c.query, "since="+since+"&") {
			t.Fatalf("the call is for %q, not %q", c.query, since)
		}
		return c
	case <-time.After(10 * time.Second):
		t.Fatalf("no call (%q)", since)
		return nil
	}
}

func (c *call) answer(status, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// list answers with units of these names, all of them or changes.
func (c *call) list(seq int, whole bool, names ...string) {
	var all []string
	for _, name := range names {
		all = append(all, strings.Replace(host, "s-1", name, 1))
	}
	c.answer("200 OK", fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(all, ",")))
}

// gone waits until the relay has given the connection up.
func (c *call) gone(t *testing.T) {
	t.Helper()
	select {
	case <-c.over:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is not given up")
	}
}

// follower is a watch with its gate; the module's own words do not come to it, the test says them.
type follower struct {
	*Watcher
	place *transport.Address
	room  *transport.BufferBudget
	gate  *dispatch.Dispatcher
	lists chan []dispatch.Endpoint
}

const (
	shortWait  = 200 * time.Millisecond
	shortLimit = 250 * time.Millisecond
)

// follow runs a watch at an agent. Once the test is over, no goroutine, descriptor or buffer of it is left.
func follow(t *testing.T, a *agent, pushed bool) *follower {
	t.Helper()
	f := &follower{place: transport.NewAddress(a.Addr().String()), room: transport.NewBufferBudget(1 << 20), lists: make(chan []dispatch.Endpoint, 256)}
	f.Watcher = New(f.place, 41, shortWait, shortLimit, shortLimit, f.room, func(string) {})
	op := balancer.RequestClass{Name: "a", LatencyObjective: 1}
	f.gate = dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{op},
	}}, dispatch.Callbacks{
		CloseIdle: func(string) {}, WatchEndpoints: func(bool) {}, FetchEndpoints: func() {},
		OnEndpoints: func(_ bool, hosts []dispatch.Endpoint) {
			select {
			case f.lists <- hosts:
			default:
			}
		}})
	backends.Running(t, func(ctx context.Context) error { return f.Run(ctx, f.gate, pushed) })
	return f
}

// clean checks at the end of the test, after all that was started later has been ended, that nothing is left.
func clean(t *testing.T) {
	t.Helper()
	goroutines, before := goleak.IgnoreCurrent(), descriptors(t)
	t.Cleanup(func() {
		if err := goleak.Find(goroutines); err != nil {
			t.Error(err)
		}
		if after := descriptors(t); after > before {
			t.Errorf("%d descriptors, %d before", after, before)
		}
	})
}

func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// ready are the units that may get deliveries.
func (f *follower) ready() (names string) {
	for _, u := range f.gate.ReadyBackends() {
		names += u.Name + " "
	}
	return strings.TrimSpace(names)
}

func (f *follower) has(t *testing.T, names string) {
	t.Helper()
	backends.Until(t, "the units are "+names, func() bool { return f.ready() == names })
}

// TestSilentListIsFoundInTime: whatever the settings say, a watch that stands is found silent within 3 s and one that
// begins within 4 s; 6 s after it fell silent what it misses counts as told. No call is given up at once.
func TestSilentListIsFoundInTime(t *testing.T) {
	sizes := []time.Duration{math.MinInt64, -time.Second, 0, 1, time.Millisecond, 100 * time.Millisecond, time.Second,
		2500 * time.Millisecond, 5 * time.Second, time.Minute, time.Hour * 1e5, math.MaxInt64}
	for _, wait := range sizes {
		for _, limit := range sizes {
			for _, queue := range sizes {
				w := New(nil, 0, wait, limit, queue, nil, nil)
				stands, begins := w.wait+w.limit, w.wait+w.queue
				if stands > 3*time.Second || stands+between > 4*time.Second || begins > 4*time.Second || between > 150*time.Millisecond {
					t.Errorf("%v, %v, %v: found after %v and %v", wait, limit, queue, stands, begins)
				}
				if w.wait < 100*time.Millisecond || w.limit < 250*time.Millisecond || w.queue < w.limit {
					t.Errorf("%v, %v, %v: %v, %v, %v", wait, limit, queue, w.wait, w.limit, w.queue)
				}
			}
		}
	}
}

// TestListIsSilentAtOpen: an agent that takes the first connection and never says a word. First waits no longer than
// one call; the call is given up, and the next gets the whole list on another connection.
func TestListIsSilentAtOpen(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			clean(t)
			a := newAgent(t)
			f := follow(t, a, pushed)
			f.SetWatching(true)
			since := map[bool]string{true: "", false: "41"}[pushed]
			silent := a.next(t, since)
			silent.gone(t)
			f.WaitFirst(t.Context())
			backends.Until(t, "it counts as failed", func() bool { return f.Failures.Load() == 1 })
			if !pushed {
				f.SetWatching(true) // the module's next word
			}
			again := a.next(t, since)
			if again.from == silent.from {
				t.Error("it comes on the same connection")
			}
			again.list(50, true, "one", "two")
			f.has(t, "one two")
			a.next(t, "50")
		})
	}
}

// TestListIsSilentInTheWait: a watch that stands falls silent. Another is opened, which gets what it missed.
func TestListIsSilentInTheWait(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			clean(t)
			a := newAgent(t)
			f := follow(t, a, pushed)
			f.SetWatching(true)
			a.next(t, map[bool]string{true: "", false: "41"}[pushed]).list(50, true, "one")
			silent := a.next(t, "50")
			silent.gone(t)
			if !pushed {
				f.SetWatching(true)
			}
			again := a.next(t, map[bool]string{true: "", false: "50"}[pushed])
			if again.from == silent.from {
				t.Error("it comes on the same connection")
			}
			again.list(51, true, "two")
			f.has(t, "two")
		})
	}
}

// TestListIsSilentAmidAnAnswer: an answer stops, or goes on by single bytes, in its head and in its body. Its bytes do
// not put its time limit off, and nothing of it is taken.
func TestListIsSilentAmidAnAnswer(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", `{"seq":60,"whole":true,"hosts":[` + host + `]}`
	for _, c := range []struct {
		name, text string
		trickle    byte // 0: it stops
	}{{"stops in the head", head[:30], 0}, {"stops in the body", head + body, 0}, {"trickles a head", head[:30], '1'},
		{"trickles a body", head + body, ' '}} {
		t.Run(c.name, func(t *testing.T) {
			clean(t)
			a := newAgent(t)
			f := follow(t, a, true)
			a.next(t, "").list(50, true, "one")
			silent := a.next(t, "50")
			began := time.Now()
			_, _ = silent.Write([]byte(c.text))
			for open := c.trickle > 0; open; {
				select {
				case <-silent.over:
					open = false
				case <-time.After(5 * time.Millisecond):
					_, _ = silent.Write([]byte{c.trickle})
				}
				if time.Since(began) > 5*time.Second {
					t.Fatal("it is read without end")
				}
			}
			silent.gone(t)
			a.next(t, "").list(51, true, "two")
			f.has(t, "two")
			for len(f.lists) > 0 {
				if l := <-f.lists; l[0].Name == "s-1" {
					t.Errorf("%+v was taken", l)
				}
			}
		})
	}
}

// TestListIsSilentAfterTheMove: discovery moves (SIGHUP) under a watch that is silent. The call there is called off at
// once, not at its time limit; the new agent's silent first call is found out too, and First does not take the one that
// was called off for an answer.
func TestListIsSilentAfterTheMove(t *testing.T) {
	clean(t)
	first, second := newAgent(t), newAgent(t)
	f := follow(t, first, true)
	old := first.next(t, "")
	f.place.Update(second.Addr().String())
	silent := second.next(t, "")
	old.gone(t)
	select {
	case <-f.first:
		t.Error("a call that was called off counts as the first")
	default:
	}
	silent.gone(t)
	f.WaitFirst(t.Context())
	second.next(t, "").list(7, true, "one")
	f.has(t, "one")
	second.next(t, "7")
	if n := f.Failures.Load(); n != 1 {
		t.Errorf("%d failures", n)
	}
}

// TestMoveDoesNotWaitForTheModule: where lists are asked for, a move amid the pause after a call that was turned away
// is followed at once: what discovery has counts as told 4 s after it.
func TestMoveDoesNotWaitForTheModule(t *testing.T) {
	clean(t)
	first, second := newAgent(t), newAgent(t)
	f := follow(t, first, false)
	f.SetWatching(true)
	first.next(t, "41").answer("503 Service Unavailable", "")
	backends.Until(t, "it is turned away", func() bool { return f.Failures.Load() == 1 })
	f.place.Update(second.Addr().String())
	second.next(t, "").list(7, true, "one")
	f.has(t, "one")
	second.next(t, "7")
}

// TestListVersionGoesBack: an agent, or discovery, that has come back with an older state. Changes of a version before
// the relay's own cannot be followed: what they say is taken, and the whole list is asked for. Then it goes on from there.
func TestListVersionGoesBack(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		t.Run(fmt.Sprint("changes, pushed ", pushed), func(t *testing.T) {
			clean(t)
			a := newAgent(t)
			f := follow(t, a, pushed)
			f.SetWatching(true)
			a.next(t, map[bool]string{true: "", false: "41"}[pushed]).list(50, true, "one", "two")
			a.next(t, "50").list(7, false, "three")
			f.has(t, "one two three")
			a.next(t, "").list(7, true, "two")
			f.has(t, "two")
			a.next(t, "7").list(8, false, "one")
			f.has(t, "one two")
			a.next(t, "8")
		})
	}
	t.Run("a whole list", func(t *testing.T) {
		clean(t)
		a := newAgent(t)
		f := follow(t, a, true)
		a.next(t, "").list(50, true, "one", "two")
		a.next(t, "50").list(7, true, "two")
		f.has(t, "two")
		a.next(t, "7")
	})
	t.Run("another agent's that has passed ours", func(t *testing.T) {
		clean(t)
		a := newAgent(t)
		f := follow(t, a, true)
		a.next(t, "").list(50, true, "one")
		_ = a.next(t, "50").Close()         // it restarts, and counts from the start again
		a.next(t, "").list(70, true, "two") // which the version does not show
		f.has(t, "two")
		a.next(t, "70")
	})
}

// TestListNamesNobody: a whole list with no units is obeyed, as what discovery tells is told; one that has no list of
// units is refused and changes nothing.
func TestListNamesNobody(t *testing.T) {
	clean(t)
	a := newAgent(t)
	f := follow(t, a, true)
	a.next(t, "").list(50, true, "one")
	f.has(t, "one")
	for _, bad := range []string{`{"seq":51,"whole":true}`, `{"seq":51,"whole":true,"hosts":null}`} {
		a.next(t, "50").answer("200 OK", bad)
		c := a.next(t, "") // refused: the whole is asked for
		if f.ready() != "one" {
			t.Errorf("%s leaves %s", bad, f.ready())
		}
		c.list(50, true, "one")
	}
	a.next(t, "50").list(52, true)
	f.has(t, "")
	a.next(t, "52").list(53, true, "one")
	f.has(t, "one")
}

// TestEarlyAnswers: an agent that answers a watch at once with nothing new, all that it has, or by turns the versions of
// two states, is asked some times a second, not without end; and soon enough that its watch goes on.
func TestEarlyAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(n int, c *call)
	}{
		{"nothing new", func(_ int, c *call) { c.list(50, false) }},
		{"the whole", func(_ int, c *call) { c.list(50, true, "one") }},
		{"two states", func(n int, c *call) { c.list(50-n%2, false, "one") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			clean(t)
			a := newAgent(t)
			follow(t, a, true)
			a.next(t, "").list(50, true, "one")
			n, began := 0, time.Now()
			for time.Since(began) < time.Second {
				select {
				case q := <-a.calls:
					n++
					c.answer(n, q)
				case <-time.After(5 * time.Second):
					t.Fatal("it is asked no more")
				}
			}
			if n < 5 || n > 40 {
				t.Errorf("%d calls in a second", n)
			}
		})
	}
}

// TestSilentListIsBackInTime: with the longest limits and pauses that settings may name, and the module's own words, what
// a watch that has fallen silent misses is there within 6 s: where it stood, and where it was to begin after calls that
// were turned away.
func TestSilentListIsBackInTime(t *testing.T) {
	for _, stood := range []bool{true, false} {
		t.Run(fmt.Sprint("stood ", stood), func(t *testing.T) {
			clean(t)
			a := newAgent(t)
			w := New(transport.NewAddress(a.Addr().String()), 41, time.Hour, time.Hour, time.Hour, transport.NewBufferBudget(1<<20), func(string) {})
			op := balancer.RequestClass{Name: "a", LatencyObjective: 1}
			g := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
				Classes:   []balancer.RequestClass{op},
				Discovery: balancer.DiscoverySubscribe,
				Endpoints: balancer.EndpointRules{PollInterval: 1e6},
			}},
				dispatch.Callbacks{CloseIdle: func(string) {}, WatchEndpoints: w.SetWatching, FetchEndpoints: w.Fetch})
			backends.Running(t, g.RunTimers)
			backends.Running(t, func(ctx context.Context) error { return w.Run(ctx, g, false) })
			if stood {
				a.next(t, "41").list(41, true, "one")
			} else {
				for range 4 { // by then the pause is at its longest
					a.next(t, "41").answer("503 Service Unavailable", "")
				}
			}
			silent := a.next(t, "41")
			began := time.Now()
			silent.gone(t)
			a.next(t, "41").list(42, true, "one", "two")
			backends.Until(t, "it has what it missed", func() bool { return len(g.ReadyBackends()) == 2 })
			if took := time.Since(began); took > 5500*time.Millisecond {
				t.Errorf("after %v", took)
			}
		})
	}
}
