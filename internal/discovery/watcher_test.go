package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

// startWatch runs a watch of the agent at an address, in the mode Pushed. Each endpoint update is sent to lists.
func startWatch(tb testing.TB, agent string) (w *Watcher, address *transport.Address, lists chan []dispatch.Endpoint) {
	tb.Helper()
	lists = make(chan []dispatch.Endpoint, 256)
	address = transport.NewAddress(agent)
	w = New(Config{Address: address, PollWait: 300 * time.Millisecond, AnswerTimeout: 200 * time.Millisecond, OpenTimeout: time.Second,
		Buffers: transport.NewBufferBudget(1 << 20)})
	class := balancer.RequestClass{Name: "a", LatencyObjective: 1}
	dispatcher := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{class},
	}}, dispatch.Callbacks{CloseIdle: func(string) {},
		WatchEndpoints: w.SetWatching, FetchEndpoints: w.Fetch, OnEndpoints: func(_ bool, endpoints []dispatch.Endpoint) { lists <- endpoints }})
	backends.RunUntilCleanup(tb, func(ctx context.Context) error { return w.Run(ctx, dispatcher, Pushed) })
	return w, address, lists
}

// waitList receives endpoint updates until holds returns true for one of them.
func waitList(tb testing.TB, lists chan []dispatch.Endpoint, what string, holds func([]dispatch.Endpoint) bool) {
	tb.Helper()
	for timer := time.After(10 * time.Second); ; {
		select {
		case endpoints := <-lists:
			if holds(endpoints) {
				return
			}
		case <-timer:
			tb.Fatalf("no list: %s", what)
		}
	}
}

// platform starts a release platform that also serves as the discovery agent. Its endpoint list has one backend.
func platform(tb testing.TB, name string) (*backends.Platform, *backends.Backend) {
	tb.Helper()
	u, err := backends.NewBackend(name, 1, func(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) { return false, 0 })
	if err != nil {
		tb.Fatal(err)
	}
	p, err := backends.NewPlatform([]*backends.Backend{u}, 1, []float64{1}, 0)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { p.Close(); u.Close() })
	return p, u
}

func TestWatch_ChangesAndMoves(t *testing.T) {
	first, u := platform(t, "one")
	second, _ := platform(t, "two")
	w, address, lists := startWatch(t, first.Address())
	waitList(t, lists, "the backend is up", func(h []dispatch.Endpoint) bool { return len(h) == 1 && h[0].Name == "one" && h[0].State == "up" })
	u.Set("draining", 0)
	first.NotifyChange()
	waitList(t, lists, "the backend drains", func(h []dispatch.Endpoint) bool { return h[0].State == "draining" })
	address.Update(second.Address())
	waitList(t, lists, "the other agent's list", func(h []dispatch.Endpoint) bool { return h[0].Name == "two" })
	second.Close()
	backends.Eventually(t, "calls to a stopped agent fail", func() bool { return w.Failures.Load() >= 2 })
	address.Update(first.Address())
	waitList(t, lists, "the first agent's list again", func(h []dispatch.Endpoint) bool { return h[0].Name == "one" })
}

// TestWatch_InvalidResponses checks that a failed call or an invalid response changes nothing and is counted, and that the
// watch continues.
func TestWatch_InvalidResponses(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(w http.ResponseWriter)
	}{
		{"an error", func(w http.ResponseWriter) { http.Error(w, "no", 500) }},
		{"no JSON", func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, "{") }},
		{"no list", func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, `{"seq":9}`) }},
		{"an invalid endpoint", func(w http.ResponseWriter) {
			_, _ = fmt.Fprint(w, `{"seq":9,"hosts":[{"host":"x","dial":"y","health":"ill"}]}`)
		}},
		{"a body without an end", func(w http.ResponseWriter) {
			for junk := make([]byte, 1<<16); ; {
				if _, err := w.Write(junk); err != nil {
					return
				}
			}
		}},
		{"an incomplete response", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "1000")
			_, _ = fmt.Fprint(w, `{"seq":9`)
			panic(http.ErrAbortHandler)
		}},
		{"silence", func(w http.ResponseWriter) { time.Sleep(time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var bad atomic.Bool
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if bad.Load() {
					c.bad(w)
					return
				}
				_, _ = fmt.Fprint(w, `{"seq":3,"whole":true,"hosts":[`+entry+`]}`)
			}))
			t.Cleanup(s.Close)
			w, _, lists := startWatch(t, s.Listener.Addr().String())
			waitList(t, lists, "a valid list", func(h []dispatch.Endpoint) bool { return len(h) == 1 })
			bad.Store(true)
			backends.Eventually(t, "the calls fail", func() bool { return w.Failures.Load() >= 2 })
			for len(lists) > 0 {
				if h := <-lists; len(h) != 1 || h[0].Name != "s-1" {
					t.Errorf("a list of %+v was applied", h)
				}
			}
			bad.Store(false)
			waitList(t, lists, "a valid list again", func(h []dispatch.Endpoint) bool { return len(h) == 1 })
		})
	}
}

// TestFetch_WithoutWatch checks that, without a watch, the agent gets only the calls that Fetch requests.
func TestFetch_WithoutWatch(t *testing.T) {
	var asked atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		asked.Add(1)
		if req.URL.Query().Has("since") {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = fmt.Fprint(w, `{"seq":3,"whole":true,"hosts":[`+entry+`]}`)
	}))
	t.Cleanup(s.Close)
	w, _, lists := startWatch(t, s.Listener.Addr().String())
	waitList(t, lists, "the first list", func([]dispatch.Endpoint) bool { return true })
	w.SetWatching(false)
	w.SetWatching(true)
	w.SetWatching(false) // only the last of these calls of SetWatching takes effect
	for {                // discards the responses of calls that are still in flight
		select {
		case <-lists:
			continue
		case <-time.After(500 * time.Millisecond):
		}
		break
	}
	before := asked.Load()
	w.Fetch()
	waitList(t, lists, "the fetched list", func([]dispatch.Endpoint) bool { return true })
	if n := asked.Load() - before; n != 1 {
		t.Errorf("%d calls for one Fetch", n)
	}
	w.SetWatching(true)
	waitList(t, lists, "a list of the new watch", func([]dispatch.Endpoint) bool { return true })
}

// overloadedDiscovery is a discovery service that accepts 100 new watches a second, queues each for at most 200 ms and
// rejects those that would wait longer. A rejected call uses as much capacity as an accepted one. Polls of an established
// watch use no capacity.
type overloadedDiscovery struct {
	mu          sync.Mutex
	nextFree    time.Time // time at which all calls received so far will be handled, rejected ones included
	established map[string]bool
	calls       int
}

func (o *overloadedDiscovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	o.mu.Lock()
	if o.established[req.RemoteAddr] {
		o.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		_, _ = fmt.Fprint(w, `{"seq":3,"hosts":[]}`)
		return
	}
	now := time.Now()
	if o.calls++; o.nextFree.Before(now) {
		o.nextFree = now
	}
	wait := o.nextFree.Sub(now)
	o.nextFree = o.nextFree.Add(10 * time.Millisecond)
	full := wait > 200*time.Millisecond
	o.established[req.RemoteAddr] = !full
	o.mu.Unlock()
	if full {
		http.Error(w, "", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	_, _ = fmt.Fprint(w, `{"seq":3,"whole":true,"hosts":[`+entry+`]}`)
}

// TestSubscribe_OverloadedDiscovery checks many relays that start at once and must request their lists. All of them must
// get the list. A rejected watch must wait for the balancer's next request, and a call that waits in discovery's queue
// must not be abandoned.
func TestSubscribe_OverloadedDiscovery(t *testing.T) {
	const relays = 60
	o := &overloadedDiscovery{established: map[string]bool{}}
	s := httptest.NewServer(o)
	t.Cleanup(s.Close)
	var have atomic.Int64
	for seed := range uint64(relays) {
		address := transport.NewAddress(s.Listener.Addr().String())
		w := New(Config{Address: address, PollWait: 150 * time.Millisecond, AnswerTimeout: 40 * time.Millisecond, OpenTimeout: time.Second,
			Buffers: transport.NewBufferBudget(1 << 20)})
		var once sync.Once
		class := balancer.RequestClass{Name: "a", LatencyObjective: 1}
		dispatcher := dispatch.New(seed, settings.Site{Balancer: balancer.Settings{
			Classes:   []balancer.RequestClass{class},
			Discovery: balancer.DiscoverySubscribe,
			Relays:    float64(relays),
			Endpoints: balancer.EndpointRules{PollInterval: 4},
		}}, dispatch.Callbacks{CloseIdle: func(string) {}, WatchEndpoints: w.SetWatching, FetchEndpoints: w.Fetch,
			OnEndpoints: func(bool, []dispatch.Endpoint) { once.Do(func() { have.Add(1) }) }})
		backends.RunUntilCleanup(t, dispatcher.RunTimers)
		backends.RunUntilCleanup(t, func(ctx context.Context) error { return w.Run(ctx, dispatcher, Subscribe) })
	}
	backends.Eventually(t, "all relays have the list", func() bool { return have.Load() == relays })
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls > 5*relays {
		t.Errorf("%d calls for %d relays", o.calls, relays)
	}
}

// TestMove_FetchesCompleteList checks that the first call after a change of the agent's address names no version, as the new
// agent may number its versions differently.
func TestMove_FetchesCompleteList(t *testing.T) {
	agent := func(name string) (address string, queries chan string) {
		queries = make(chan string, 256)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			select {
			case queries <- req.URL.RawQuery:
			default:
			}
			if req.URL.Query().Has("since") {
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = fmt.Fprint(w, `{"seq":900,"whole":true,"hosts":[`+strings.Replace(entry, "s-1", name, 1)+`]}`)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String(), queries
	}
	first, start := agent("one")
	second, queries := agent("two")
	_, address, lists := startWatch(t, first)
	waitList(t, lists, "the first agent's", func(h []dispatch.Endpoint) bool { return h[0].Name == "one" })
	if q := <-start; q != "" {
		t.Errorf("the first call to the first agent has the query %q", q)
	}
	address.Update(second)
	waitList(t, lists, "the second agent's", func(h []dispatch.Endpoint) bool { return h[0].Name == "two" })
	if q := <-queries; q != "" {
		t.Errorf("the first call to the second agent has the query %q", q)
	}
	if q := <-queries; !strings.HasPrefix(q, "since=900") {
		t.Errorf("the second call to the second agent has the query %q", q)
	}
}

// TestWatch_IndentedLists checks that an indented list is read, even if each of its lines arrives separately.
func TestWatch_IndentedLists(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Has("since") {
			time.Sleep(50 * time.Millisecond)
		}
		var page bytes.Buffer
		_ = json.Indent(&page, []byte(`{"seq":3,"whole":true,"hosts":[`+entry+`,`+strings.Replace(entry, "s-1", "s-2", 1)+`]}`), "", "\t")
		for line := range strings.Lines(page.String()) {
			_, _ = io.WriteString(w, line)
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(s.Close)
	w, _, lists := startWatch(t, s.Listener.Addr().String())
	for range 3 {
		waitList(t, lists, "both backends", func(h []dispatch.Endpoint) bool { return len(h) == 2 && h[1].Name == "s-2" })
	}
	if n := w.Failures.Load(); n > 0 {
		t.Errorf("%d calls failed", n)
	}
}

// TestSilentWatch_Reopened checks a watch whose agent stops responding, before or within a response. However long the
// drain grace period is, the watch must begin again on another connection well within 6 s after the agent stopped.
// After 6 s, the relay is responsible for acting on the updates that the watch missed.
func TestSilentWatch_Reopened(t *testing.T) {
	for _, c := range []struct{ name, part string }{{"at once", ""}, {"within a response", `{"seq":4,"whole":`}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			type call struct {
				from string
				at   time.Time
			}
			calls := make(chan call, 64)
			var broken atomic.Value // address of the connection that gets no more responses
			broken.Store("")
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if req.URL.Query().Has("since") {
					calls <- call{req.RemoteAddr, time.Now()}
					if wait, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms")); wait > 4000 {
						t.Errorf("a call has a timeout_ms of %d", wait)
					}
					broken.CompareAndSwap("", req.RemoteAddr)
				}
				if broken.Load() == req.RemoteAddr {
					if c.part != "" {
						w.Header().Set("Content-Length", "1000")
						_, _ = io.WriteString(w, c.part)
						w.(http.Flusher).Flush()
					}
					<-req.Context().Done()
					return
				}
				_, _ = fmt.Fprint(w, `{"seq":3,"whole":true,"hosts":[`+entry+`]}`)
			}))
			t.Cleanup(s.Close)
			address := transport.NewAddress(s.Listener.Addr().String())
			w := New(Config{Address: address, PollWait: 20 * time.Second, AnswerTimeout: 10 * time.Second, OpenTimeout: time.Second,
				Buffers: transport.NewBufferBudget(1 << 20)})
			lists := make(chan []dispatch.Endpoint, 1<<16)
			class := balancer.RequestClass{Name: "a", LatencyObjective: 1}
			dispatcher := dispatch.New(1, settings.Site{Balancer: balancer.Settings{
				Classes: []balancer.RequestClass{class},
			}}, dispatch.Callbacks{CloseIdle: func(string) {},
				WatchEndpoints: w.SetWatching, FetchEndpoints: w.Fetch, OnEndpoints: func(_ bool, endpoints []dispatch.Endpoint) {
					select {
					case lists <- endpoints:
					default:
					}
				}})
			backends.RunUntilCleanup(t, func(ctx context.Context) error { return w.Run(ctx, dispatcher, Pushed) })
			first := <-calls
			select {
			case next := <-calls:
				if took := next.at.Sub(first.at); next.from == first.from || took > 5500*time.Millisecond {
					t.Errorf("reopened after %v, from %s after %s", took, next.from, first.from)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the watch is not reopened")
			}
		})
	}
}

// TestWaitFirst_AnswerOrSilence checks that WaitFirst waits for the first response, or, if the agent does not respond, until
// the first call has failed.
func TestWaitFirst_AnswerOrSilence(t *testing.T) {
	for _, answers := range []bool{true, false} {
		answer := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if answers && !req.URL.Query().Has("since") {
				<-answer
				_, _ = fmt.Fprint(w, `{"seq":3,"whole":true,"hosts":[`+entry+`]}`)
				return
			}
			<-req.Context().Done()
		}))
		t.Cleanup(s.Close)
		w, _, lists := startWatch(t, s.Listener.Addr().String())
		over := make(chan struct{})
		go func() {
			w.WaitFirst(t.Context())
			close(over)
		}()
		if answers {
			select {
			case <-over:
				t.Error("WaitFirst did not wait")
			case answer <- struct{}{}:
			}
			close(answer)
		}
		<-over
		if answers && len(lists) == 0 || !answers && w.Failures.Load()+w.Answers.Load() > 1 {
			t.Errorf("answers %v: %d lists, %d failures", answers, len(lists), w.Failures.Load())
		}
	}
}
