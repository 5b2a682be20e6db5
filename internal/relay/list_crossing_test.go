package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/internal/standin/backends"
)

// agentScript is discovery and the platform in one. A watch waits until the test tells something newer.
type agentScript struct {
	*httptest.Server
	mu      sync.Mutex
	seq     int
	all     []string // entries
	news    string   // the answer to a watch from before seq
	changed chan struct{}
	asked   int // the version that was last asked after
	silent  bool
}

func newAgentScript(t *testing.T, entries ...string) *agentScript {
	t.Helper()
	s := &agentScript{seq: 3, all: entries, changed: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/changes" {
			_, _ = fmt.Fprintf(w, `{"type":"stage","object":%s}`+"\n", stage)
			_ = http.NewResponseController(w).Flush()
			<-req.Context().Done()
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		since, err := strconv.Atoi(req.URL.Query().Get("since"))
		if err != nil {
			_, _ = fmt.Fprint(w, page(s.seq, true, s.all...))
			return
		}
		for s.asked = since; s.silent || since == s.seq; {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-req.Context().Done():
			}
			if s.mu.Lock(); req.Context().Err() != nil { // the relay has given it up
				return
			}
		}
		_, _ = fmt.Fprint(w, s.news)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// desk is the agentScript's address as started wants it.
func (s *agentScript) desk() *desk { return &desk{Listener: s.Listener} }

// tell tells a watch the next version, and waits until the relay has taken it: it asks what comes after.
func (s *agentScript) tell(t *testing.T, whole bool, entries ...string) {
	t.Helper()
	s.mu.Lock()
	s.seq++
	if whole {
		s.all = entries
	} else {
		s.all = append(slices.Clone(s.all), entries...)
	}
	s.news = page(s.seq, whole, entries...)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.taken(t)
}

func (s *agentScript) taken(t *testing.T) {
	t.Helper()
	backends.Until(t, "the list is taken", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.asked == s.seq
	})
}

func entry(name, address, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"health":%q,"share":1.0,"born_ms":0,"image_id":1}`, name, address, state)
}

func page(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// worker is a unit that counts its queries and answers none before it is let go.
type worker struct {
	*backends.Backend
	queries atomic.Int64
	letGo   func()
}

func newWorker(t *testing.T, name string) *worker {
	t.Helper()
	hold := make(chan struct{})
	w := &worker{letGo: sync.OnceFunc(func() { close(hold) })}
	u, err := backends.NewBackend(name, 1, func(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) {
		w.queries.Add(1)
		<-hold
		return false, 0
	})
	if err != nil {
		t.Fatal(err)
	}
	w.Backend = u
	t.Cleanup(func() { w.letGo(); u.Close() })
	return w
}

func (w *worker) entry(state string) string { return entry(w.Name, w.Address(), state) }

type answers struct {
	acked, refused int
	err            error
}

// send makes one command; its answers come to the channel.
func send(listen, name string) chan answers {
	out := make(chan answers, 1)
	go func() {
		var a answers
		a.acked, a.refused, a.err = asks(listen, name, 1)
		out <- a
	}()
	return out
}

func one(t *testing.T, what string, got chan answers, acked, refused int) {
	t.Helper()
	select {
	case a := <-got:
		if a.acked != acked || a.refused != refused || a.err != nil {
			t.Errorf("%s: acked %d, refused %d, %v", what, a.acked, a.refused, a.err)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("%s has no answer", what)
	}
}

// ends ends the relay, and looks at what it leaves.
func ends(t *testing.T, ended chan error, before goleak.Option, descriptors int) {
	t.Helper()
	kill(t, os.Getpid(), syscall.SIGTERM)
	over(t, ended)
	if err := goleak.Find(before, goleak.IgnoreAnyFunction("net/http.(*conn).serve"), goleak.IgnoreAnyFunction("os/signal.loop"),
		goleak.IgnoreAnyFunction("silvercove/internal/standin/backends.(*Unit).serve")); err != nil {
		t.Error(err)
	}
	backends.Until(t, "no more descriptors than before", func() bool { return open(t) <= descriptors })
}

func open(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// listed starts a relay that knows what the agentScript has.
func listed(t *testing.T, s *agentScript) (replace func(string), listen string, done func()) {
	t.Helper()
	before, descriptors := goleak.IgnoreCurrent(), open(t)
	replace, listen, ended := startedWith(t, s.desk(), s.desk(), page(3, true, s.all...))
	return replace, listen, func() { ends(t, ended, before, descriptors) }
}

// TestWholeListLeavesOutAUnitAtWork: a whole list comes in place of changes and leaves out a unit that has work in hand:
// that goes on to its one answer on its connection; what comes goes elsewhere.
func TestWholeListLeavesOutAUnitAtWork(t *testing.T) {
	first, second := newWorker(t, "s-1"), newWorker(t, "s-2")
	second.letGo()
	s := newAgentScript(t, first.entry("up"))
	_, listen, done := listed(t, s)
	atWork := send(listen, "first")
	backends.Until(t, "it is at work", func() bool { return first.queries.Load() == 1 })
	s.tell(t, true, second.entry("up"))
	one(t, "the next command", send(listen, "next"), 1, 0)
	first.letGo()
	one(t, "the command at work", atWork, 1, 0)
	for i := range 8 { // the first one could answer now
		one(t, "a command", send(listen, fmt.Sprint("c", i, "-")), 1, 0)
	}
	if a, b := first.queries.Load(), second.queries.Load(); a != 1 || b != 9 {
		t.Errorf("%d and %d queries", a, b)
	}
	done()
}

// TestWholeListIsEmpty: a whole list that names nobody is obeyed: what is in work ends as it would, what comes is refused
// in its time and never sent; with the next list all goes on.
func TestWholeListIsEmpty(t *testing.T) {
	u := newWorker(t, "s-1")
	s := newAgentScript(t, u.entry("up"))
	_, listen, done := listed(t, s)
	atWork := send(listen, "first")
	backends.Until(t, "it is at work", func() bool { return u.queries.Load() == 1 })
	s.tell(t, true)
	u.letGo()
	one(t, "the command at work", atWork, 1, 0)
	one(t, "a command with no unit", send(listen, "nobody"), 0, 1)
	if n := u.queries.Load(); n != 1 {
		t.Errorf("%d queries", n)
	}
	s.tell(t, true, u.entry("up"))
	one(t, "a command after it", send(listen, "again"), 1, 0)
	if n := u.queries.Load(); n != 2 {
		t.Errorf("%d queries", n)
	}
	done()
}

// TestMoveWhileUnitsDrain: SIGHUP moves a watch that is silent while a unit drains with work in hand, and the new agent,
// which counts its versions otherwise, drains another. The work ends with its one answer, and neither gets any more.
func TestMoveWhileUnitsDrain(t *testing.T) {
	first, second, third := newWorker(t, "s-1"), newWorker(t, "s-2"), newWorker(t, "s-3")
	second.letGo()
	third.letGo()
	s := newAgentScript(t, first.entry("up"))
	next := newAgentScript(t, first.entry("draining"), second.entry("draining"), third.entry("up"))
	next.seq = 2
	replace, listen, done := listed(t, s)
	atWork := send(listen, "first")
	backends.Until(t, "it is at work", func() bool { return first.queries.Load() == 1 })
	s.tell(t, false, first.entry("draining"), second.entry("up"), third.entry("up"))
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	replace(config(next.Listener.Addr().String(), next.Listener.Addr().String(), page(3, true, first.entry("up"))))
	kill(t, os.Getpid(), syscall.SIGHUP)
	next.taken(t)
	before := second.queries.Load()
	for i := range 5 {
		one(t, "a command", send(listen, fmt.Sprint("c", i, "-")), 1, 0)
	}
	first.letGo()
	one(t, "the command at work", atWork, 1, 0)
	if a, b, c := first.queries.Load(), second.queries.Load()-before, third.queries.Load(); a != 1 || b != 0 || c != 5 {
		t.Errorf("%d, %d and %d queries", a, b, c)
	}
	done()
}
