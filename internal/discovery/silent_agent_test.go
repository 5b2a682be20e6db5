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

// agent is a discovery agent that passes each call to the test. The test answers the call in full, in part, or not at
// all.
type agent struct {
	net.Listener
	calls chan *call
	done  sync.WaitGroup
}

// call is one call that an agent has received.
type call struct {
	net.Conn
	from, query string        // remote address and URL query
	closed      chan struct{} // closed when the relay has closed the connection
}

func newAgent(tb testing.TB) *agent {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
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
	// Cleanups run in reverse order: when this one runs, the watch has already closed its connections, so Wait returns.
	tb.Cleanup(func() { _ = l.Close(); a.done.Wait() })
	return a
}

func (a *agent) serve(c net.Conn) {
	closed := make(chan struct{})
	defer close(closed)
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
		a.calls <- &call{c, c.RemoteAddr().String(), query, closed}
	}
}

// next returns the next call. It checks that the call polls for versions after since or, if since is empty, asks for the
// complete list.
func (a *agent) next(tb testing.TB, since string) *call {
	tb.Helper()
	select {
	case c := <-a.calls:
		if since == "" && c.query != "" || since != "" && !strings.HasPrefix(c.query, "since="+since+"&") {
			tb.Fatalf("the call has the query %q, want the version %q", c.query, since)
		}
		return c
	case <-time.After(10 * time.Second):
		tb.Fatalf("no call with the version %q arrives", since)
		return nil
	}
}

// answer sends a whole response.
func (c *call) answer(status, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// answerList answers with a page that holds backends with these names. complete selects whether the page is the complete
// list or changes.
func (c *call) answerList(seq int, complete bool, names ...string) {
	var all []string
	for _, name := range names {
		all = append(all, strings.Replace(entry, "s-1", name, 1))
	}
	c.answer("200 OK", fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, complete, strings.Join(all, ",")))
}

// waitClosed waits until the relay has closed the connection.
func (c *call) waitClosed(tb testing.TB) {
	tb.Helper()
	select {
	case <-c.closed:
	case <-time.After(10 * time.Second):
		tb.Fatal("the relay does not close the connection")
	}
}

// follower is a running watch with its dispatcher. The balancer's requests for a watch are discarded; the test calls
// SetWatching itself.
type follower struct {
	*Watcher
	address    *transport.Address
	buffers    *transport.BufferBudget
	dispatcher *dispatch.Dispatcher
	lists      chan []dispatch.Endpoint // receives each endpoint update
}

const (
	shortWait    = 200 * time.Millisecond
	shortTimeout = 250 * time.Millisecond
)

// startFollower runs a watch of an agent until the test ends.
func startFollower(tb testing.TB, a *agent, mode Mode) *follower {
	tb.Helper()
	f := &follower{address: transport.NewAddress(a.Addr().String()), buffers: transport.NewBufferBudget(1 << 20), lists: make(chan []dispatch.Endpoint, 256)}
	f.Watcher = New(Config{Address: f.address, Version: 41, PollWait: shortWait, AnswerTimeout: shortTimeout,
		OpenTimeout: shortTimeout, Buffers: f.buffers})
	class := balancer.RequestClass{Name: "a", LatencyObjective: 1}
	f.dispatcher = dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{class},
	}}, dispatch.Callbacks{
		CloseIdle: func(string) {}, WatchEndpoints: func(bool) {}, FetchEndpoints: func() {},
		OnEndpoints: func(_ bool, endpoints []dispatch.Endpoint) {
			select {
			case f.lists <- endpoints:
			default:
			}
		}})
	backends.RunUntilCleanup(tb, func(ctx context.Context) error { return f.Run(ctx, f.dispatcher, mode) })
	return f
}

// openingQuery returns the version that a call that begins a watch names in its query. The result is empty in the mode
// Pushed, because the call then asks for the complete list. Otherwise the result is the parameter known.
func openingQuery(mode Mode, known string) string {
	if mode == Pushed {
		return ""
	}
	return known
}

// checkLeaks checks, at the end of the test, that no goroutine or descriptor that was started or opened after this call
// is left.
func checkLeaks(tb testing.TB) {
	tb.Helper()
	goroutines, before := goleak.IgnoreCurrent(), descriptors(tb)
	tb.Cleanup(func() {
		if err := goleak.Find(goroutines); err != nil {
			tb.Error(err)
		}
		if after := descriptors(tb); after > before {
			tb.Errorf("%d descriptors are open, %d were open before", after, before)
		}
	})
}

func descriptors(tb testing.TB) int {
	tb.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		tb.Fatal(err)
	}
	return len(entries)
}

// ready returns the names of the backends that may get attempts, separated by spaces.
func (f *follower) ready() (names string) {
	for _, u := range f.dispatcher.ReadyBackends() {
		names += u.Name + " "
	}
	return strings.TrimSpace(names)
}

func (f *follower) waitReady(tb testing.TB, names string) {
	tb.Helper()
	backends.Eventually(tb, "the backends are "+names, func() bool { return f.ready() == names })
}

// TestNew_TimeoutsDetectSilentWatch checks that New limits the timeouts, whatever durations are configured. An
// established watch whose agent stops responding must be found broken within 3 s. A watch that is just beginning must
// be found broken within 4 s. Either way, the next watch is requested within 4 s after the agent stopped. The relay is
// responsible for acting on the missed updates 6 s after the agent stopped, so 2 s are left for the response. No
// timeout may be so short that calls are abandoned at once.
func TestNew_TimeoutsDetectSilentWatch(t *testing.T) {
	sizes := []time.Duration{math.MinInt64, -time.Second, 0, 1, time.Millisecond, 100 * time.Millisecond, time.Second,
		2500 * time.Millisecond, 5 * time.Second, time.Minute, time.Hour * 1e5, math.MaxInt64}
	for _, wait := range sizes {
		for _, answer := range sizes {
			for _, open := range sizes {
				w := New(Config{PollWait: wait, AnswerTimeout: answer, OpenTimeout: open})
				stands, begins := w.pollWait+w.answerTimeout, w.pollWait+w.openTimeout
				if stands > 3*time.Second || stands+retryPause > 4*time.Second || begins > 4*time.Second || retryPause > 150*time.Millisecond {
					t.Errorf("PollWait %v, AnswerTimeout %v, OpenTimeout %v: a silent watch is found broken after %v, a beginning one after %v", wait, answer, open, stands, begins)
				}
				if w.pollWait < 100*time.Millisecond || w.answerTimeout < 250*time.Millisecond || w.openTimeout < w.answerTimeout {
					t.Errorf("PollWait %v, AnswerTimeout %v, OpenTimeout %v: New sets %v, %v, %v", wait, answer, open, w.pollWait, w.answerTimeout, w.openTimeout)
				}
			}
		}
	}
}

// TestSilentAgent_FirstCall checks an agent that accepts the first connection and never responds. WaitFirst waits for no
// longer than one call. The call is abandoned, and the next one gets the complete list on another connection.
func TestSilentAgent_FirstCall(t *testing.T) {
	for _, mode := range []Mode{Pushed, Subscribe} {
		t.Run(fmt.Sprint("pushed ", mode == Pushed), func(t *testing.T) {
			checkLeaks(t)
			a := newAgent(t)
			f := startFollower(t, a, mode)
			f.SetWatching(true)
			since := openingQuery(mode, "41")
			silent := a.next(t, since)
			silent.waitClosed(t)
			f.WaitFirst(t.Context())
			backends.Eventually(t, "the call counts as failed", func() bool { return f.Failures.Load() == 1 })
			if mode == Subscribe {
				f.SetWatching(true) // stands in for the balancer, which would request the watch again
			}
			again := a.next(t, since)
			if again.from == silent.from {
				t.Error("the next call uses the same connection")
			}
			again.answerList(50, true, "one", "two")
			f.waitReady(t, "one two")
			a.next(t, "50")
		})
	}
}

// TestSilentAgent_DuringPoll checks an agent that stops responding to an established watch. A new watch must begin on another
// connection and get the missed update.
func TestSilentAgent_DuringPoll(t *testing.T) {
	for _, mode := range []Mode{Pushed, Subscribe} {
		t.Run(fmt.Sprint("pushed ", mode == Pushed), func(t *testing.T) {
			checkLeaks(t)
			a := newAgent(t)
			f := startFollower(t, a, mode)
			f.SetWatching(true)
			a.next(t, openingQuery(mode, "41")).answerList(50, true, "one")
			silent := a.next(t, "50")
			silent.waitClosed(t)
			if mode == Subscribe {
				f.SetWatching(true)
			}
			again := a.next(t, openingQuery(mode, "50"))
			if again.from == silent.from {
				t.Error("the next call uses the same connection")
			}
			again.answerList(51, true, "two")
			f.waitReady(t, "two")
		})
	}
}

// TestSilentAgent_MidResponse checks responses that stop in the header or in the body, and responses of which the rest
// arrives byte by byte. These bytes must not extend the time limit of the call, and no part of the response may be
// applied.
func TestSilentAgent_MidResponse(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", `{"seq":60,"whole":true,"hosts":[` + entry + `]}`
	for _, c := range []struct {
		name, text string
		trickle    byte // byte that is sent again and again; 0 if the response stops
	}{{"stops in the head", head[:30], 0}, {"stops in the body", head + body, 0}, {"trickles a head", head[:30], '1'},
		{"trickles a body", head + body, ' '}} {
		t.Run(c.name, func(t *testing.T) {
			checkLeaks(t)
			a := newAgent(t)
			f := startFollower(t, a, Pushed)
			a.next(t, "").answerList(50, true, "one")
			silent := a.next(t, "50")
			began := time.Now()
			_, _ = silent.Write([]byte(c.text))
			for open := c.trickle > 0; open; {
				select {
				case <-silent.closed:
					open = false
				case <-time.After(5 * time.Millisecond):
					_, _ = silent.Write([]byte{c.trickle})
				}
				if time.Since(began) > 5*time.Second {
					t.Fatal("the response is read without a time limit")
				}
			}
			silent.waitClosed(t)
			a.next(t, "").answerList(51, true, "two")
			f.waitReady(t, "two")
			for len(f.lists) > 0 {
				if l := <-f.lists; l[0].Name == "s-1" {
					t.Errorf("%+v was applied", l)
				}
			}
		})
	}
}

// TestSilentAgent_AfterMove changes the agent's address, as a reload on SIGHUP does, while the agent does not respond to
// a call. That call must be canceled at once, not at its time limit, and WaitFirst must not return because of it. The
// first call to the new agent, which does not respond either, must fail at its time limit.
func TestSilentAgent_AfterMove(t *testing.T) {
	checkLeaks(t)
	first, second := newAgent(t), newAgent(t)
	f := startFollower(t, first, Pushed)
	old := first.next(t, "")
	f.address.Update(second.Addr().String())
	silent := second.next(t, "")
	old.waitClosed(t)
	select {
	case <-f.firstDone:
		t.Error("a canceled call counts as the first")
	default:
	}
	silent.waitClosed(t)
	f.WaitFirst(t.Context())
	second.next(t, "").answerList(7, true, "one")
	f.waitReady(t, "one")
	second.next(t, "7")
	if n := f.Failures.Load(); n != 1 {
		t.Errorf("%d calls failed", n)
	}
}

// TestMove_WhileSuspended changes the agent's address while a requested watch is suspended after a rejected call. The
// watch must begin at the new address without waiting for the balancer's request. 4 s after the change of the address,
// the relay is responsible for acting on discovery's current list.
func TestMove_WhileSuspended(t *testing.T) {
	checkLeaks(t)
	first, second := newAgent(t), newAgent(t)
	f := startFollower(t, first, Subscribe)
	f.SetWatching(true)
	first.next(t, "41").answer("503 Service Unavailable", "")
	backends.Eventually(t, "the call is rejected", func() bool { return f.Failures.Load() == 1 })
	f.address.Update(second.Addr().String())
	second.next(t, "").answerList(7, true, "one")
	f.waitReady(t, "one")
	second.next(t, "7")
}

// TestListVersion_GoesBack checks that the watch continues after the agent or discovery has restarted with older data.
// A response with changes that lead to an older version than the relay's may lack some of these changes. The response
// is applied, but the next call asks for the complete list. The watch continues from the version of that list.
func TestListVersion_GoesBack(t *testing.T) {
	for _, mode := range []Mode{Pushed, Subscribe} {
		t.Run(fmt.Sprint("changes, pushed ", mode == Pushed), func(t *testing.T) {
			checkLeaks(t)
			a := newAgent(t)
			f := startFollower(t, a, mode)
			f.SetWatching(true)
			a.next(t, openingQuery(mode, "41")).answerList(50, true, "one", "two")
			a.next(t, "50").answerList(7, false, "three")
			f.waitReady(t, "one two three")
			a.next(t, "").answerList(7, true, "two")
			f.waitReady(t, "two")
			a.next(t, "7").answerList(8, false, "one")
			f.waitReady(t, "one two")
			a.next(t, "8")
		})
	}
	t.Run("a complete list", func(t *testing.T) {
		checkLeaks(t)
		a := newAgent(t)
		f := startFollower(t, a, Pushed)
		a.next(t, "").answerList(50, true, "one", "two")
		a.next(t, "50").answerList(7, true, "two")
		f.waitReady(t, "two")
		a.next(t, "7")
	})
	t.Run("a restarted agent whose version is ahead", func(t *testing.T) {
		checkLeaks(t)
		a := newAgent(t)
		f := startFollower(t, a, Pushed)
		a.next(t, "").answerList(50, true, "one")
		_ = a.next(t, "50").Close()               // the agent restarts and numbers its versions from the beginning
		a.next(t, "").answerList(70, true, "two") // the new version 70 is greater than the relay's version 50, so it does not show the restart
		f.waitReady(t, "two")
		a.next(t, "70")
	})
}

// TestCompleteList_Empty checks that a complete list without backends is applied, because the relay is responsible for
// acting on an empty list too. A page that has no list of backends, or null in its place, is rejected and changes
// nothing.
func TestCompleteList_Empty(t *testing.T) {
	checkLeaks(t)
	a := newAgent(t)
	f := startFollower(t, a, Pushed)
	a.next(t, "").answerList(50, true, "one")
	f.waitReady(t, "one")
	for _, bad := range []string{`{"seq":51,"whole":true}`, `{"seq":51,"whole":true,"hosts":null}`} {
		a.next(t, "50").answer("200 OK", bad)
		c := a.next(t, "") // the page was rejected, so the complete list is requested
		if f.ready() != "one" {
			t.Errorf("after the page %s, the ready backends are %q", bad, f.ready())
		}
		c.answerList(50, true, "one")
	}
	a.next(t, "50").answerList(52, true)
	f.waitReady(t, "")
	a.next(t, "52").answerList(53, true, "one")
	f.waitReady(t, "one")
}

// TestEarlyAnswers_RateLimited checks an agent that answers polls at once, although it has no version later than
// 50. The answers contain no changes, or the complete list, or changes whose versions alternate between 50 and 49.
// The relay must poll such an agent several times a second, so that the watch continues, but not in a tight loop.
func TestEarlyAnswers_RateLimited(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(n int, c *call)
	}{
		{"nothing new", func(_ int, c *call) { c.answerList(50, false) }},
		{"the complete list", func(_ int, c *call) { c.answerList(50, true, "one") }},
		{"two states", func(n int, c *call) { c.answerList(50-n%2, false, "one") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkLeaks(t)
			a := newAgent(t)
			startFollower(t, a, Pushed)
			a.next(t, "").answerList(50, true, "one")
			n, began := 0, time.Now()
			for time.Since(began) < time.Second {
				select {
				case q := <-a.calls:
					n++
					c.answer(n, q)
				case <-time.After(5 * time.Second):
					t.Fatal("the agent gets no more calls")
				}
			}
			if n < 5 || n > 40 {
				t.Errorf("%d calls in a second", n)
			}
		})
	}
}

// TestSilentAgent_RecoversWithinSixSeconds checks an update that a broken watch misses. The update must arrive within
// 6 s after the agent stopped responding, even with the longest timeouts and pauses that settings allow. A balancer
// requests the watches, as in a relay. The test covers an established watch, and a watch that begins after four
// rejected calls.
func TestSilentAgent_RecoversWithinSixSeconds(t *testing.T) {
	for _, established := range []bool{true, false} {
		t.Run(fmt.Sprint("stood ", established), func(t *testing.T) {
			checkLeaks(t)
			a := newAgent(t)
			w := New(Config{Address: transport.NewAddress(a.Addr().String()), Version: 41, PollWait: time.Hour, AnswerTimeout: time.Hour,
				OpenTimeout: time.Hour, Buffers: transport.NewBufferBudget(1 << 20)})
			class := balancer.RequestClass{Name: "a", LatencyObjective: 1}
			dispatcher := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
				Classes:   []balancer.RequestClass{class},
				Discovery: balancer.DiscoverySubscribe,
				Endpoints: balancer.EndpointRules{PollInterval: 1e6},
			}},
				dispatch.Callbacks{CloseIdle: func(string) {}, WatchEndpoints: w.SetWatching, FetchEndpoints: w.Fetch})
			backends.RunUntilCleanup(t, dispatcher.RunTimers)
			backends.RunUntilCleanup(t, func(ctx context.Context) error { return w.Run(ctx, dispatcher, Subscribe) })
			if established {
				a.next(t, "41").answerList(41, true, "one")
			} else {
				for range 4 { // after four rejected calls, the balancer's pause between requests is at its maximum
					a.next(t, "41").answer("503 Service Unavailable", "")
				}
			}
			silent := a.next(t, "41")
			began := time.Now()
			silent.waitClosed(t)
			a.next(t, "41").answerList(42, true, "one", "two")
			backends.Eventually(t, "the missed update has arrived", func() bool { return len(dispatcher.ReadyBackends()) == 2 })
			if took := time.Since(began); took > 5500*time.Millisecond {
				t.Errorf("recovered after %v", took)
			}
		})
	}
}
