package releaseapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"silvercove/balancer"
	"silvercove/internal/dispatch"
	"silvercove/internal/settings"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

const news = `{"type":"stage","object":{"Revision":1,"Wave":0,"State":"live","MaxShare":1.0,"AgeMs":0}}` + "\n"

// place is a platform at an address: votes that come, and streams.
func place(t *testing.T, changes func(w io.Writer, req *http.Request), votes http.HandlerFunc) (address string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			_, _ = io.Copy(io.Discard, req.Body) // else the end of the connection is not noticed
			votes(w, req)
			return
		}
		changes(flushed{w}, req)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

type flushed struct{ http.ResponseWriter }

func (f flushed) Write(b []byte) (int, error) {
	n, err := f.ResponseWriter.Write(b)
	_ = http.NewResponseController(f.ResponseWriter).Flush()
	return n, err
}

// counter runs a desk whose calls may take so long; heard is called for each stage that it takes, before the next is read.
func counter(t *testing.T, address string, limit time.Duration, heard func()) (d *Client, g *dispatch.Dispatcher, at *transport.Address) {
	t.Helper()
	at = transport.NewAddress(address)
	d = New(at, limit, transport.NewBufferBudget(1<<20), func(string) {})
	op := balancer.RequestClass{Name: "a", LatencyObjective: 1}
	g = dispatch.New(1, settings.Site{Balancer: balancer.Settings{
		Classes: []balancer.RequestClass{op},
	}}, dispatch.Callbacks{
		CloseIdle: func(string) {}, WatchEndpoints: func(bool) {}, FetchEndpoints: func() {}, Vote: func(dispatch.Vote) {},
		OnStage: func(dispatch.RolloutStage) { heard() }})
	before := goleak.IgnoreCurrent()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, g) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("it does not end")
		}
		if err := goleak.Find(before, goleak.IgnoreAnyFunction("net/http.(*conn).serve"),
			goleak.IgnoreAnyFunction("net/http.(*connReader).backgroundRead")); err != nil {
			t.Error(err)
		}
	})
	return d, g, at
}

// TestMoveBetweenTwoChanges: SIGHUP that comes while a change is being taken, not while the stream is read, moves the
// stream too, although the old platform goes on giving signs of life; and so does the end of the relay.
func TestMoveBetweenTwoChanges(t *testing.T) {
	var left sync.WaitGroup
	left.Add(1)
	old := place(t, func(w io.Writer, req *http.Request) {
		defer left.Done()
		for _, _ = io.WriteString(w, news); req.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
			_, _ = io.WriteString(w, "{}\n")
		}
	}, nil)
	came := make(chan struct{}, 16)
	next := place(t, func(w io.Writer, req *http.Request) {
		came <- struct{}{}
		for _, _ = io.WriteString(w, news); req.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
			_, _ = io.WriteString(w, "{}\n")
		}
	}, nil)
	var at *transport.Address
	ready := make(chan struct{})
	var once sync.Once
	_, _, at = counter(t, old, 400*time.Millisecond, func() {
		once.Do(func() {
			<-ready
			at.Update(next)
			time.Sleep(50 * time.Millisecond) // for what calls the stream off to have run before the change is taken
		})
	})
	close(ready)
	select {
	case <-came:
	case <-time.After(10 * time.Second):
		t.Fatal("the stream stays where it was")
	}
	left.Wait()
}

// TestStreamTrickles: bytes that end no line are no sign of life, nor is one silence longer than another, however
// long a call may take; and the stream is opened again soon after it was found silent or cut.
func TestStreamTrickles(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit time.Duration
		write func(w io.Writer, req *http.Request)
	}{
		{"a line", 400 * time.Millisecond, func(w io.Writer, req *http.Request) {
			for _, _ = io.WriteString(w, news); req.Context().Err() == nil; time.Sleep(20 * time.Millisecond) {
				_, _ = io.WriteString(w, " ")
			}
		}},
		{"silence, and calls that may take an hour", time.Hour, func(w io.Writer, req *http.Request) {
			_, _ = io.WriteString(w, news)
			<-req.Context().Done()
		}},
		{"cut, and calls that may take an hour", time.Hour, func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, news) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, _, _ := counter(t, place(t, c.write, nil), c.limit, func() {})
			backends.Until(t, "it is opened again", func() bool { return d.Streams.Load() >= 2 })
		})
	}
}

// TestVoteAmidAMove: a vote under way as the platform moves ends where it was cast, once; those behind it are cast at the
// new place, each once, and each has one answer.
func TestVoteAmidAMove(t *testing.T) {
	open := func(w io.Writer, req *http.Request) {
		_, _ = io.WriteString(w, news)
		<-req.Context().Done()
	}
	cast, answer := make(chan struct{}), make(chan struct{})
	var first, second atomic.Int64
	const state = `{"Revision":1,"Wave":0,"State":"live","MaxShare":1.0,"AgeMs":0}`
	old := place(t, open, func(w http.ResponseWriter, _ *http.Request) {
		first.Add(1)
		close(cast)
		<-answer
		_, _ = fmt.Fprint(w, state)
	})
	moved := make(chan struct{}, 4)
	next := place(t, func(w io.Writer, req *http.Request) {
		moved <- struct{}{}
		open(w, req)
	}, func(w http.ResponseWriter, req *http.Request) {
		second.Add(1)
		_, _ = fmt.Fprint(w, strings.Replace(state, "live", "testing", 1))
	})
	d, g, at := counter(t, old, 5*time.Second, func() {})
	d.Vote(dispatch.Vote{Version: 1, Verdict: "PROCEED"})
	<-cast
	d.Vote(dispatch.Vote{Version: 1, Verdict: "HOLD"})
	at.Update(next)
	<-moved // the stream has moved under the vote
	close(answer)
	backends.Until(t, "both are answered", func() bool { return g.Snapshot().VoteOutcomes[balancer.Succeeded] == 2 })
	if first.Load() != 1 || second.Load() != 1 {
		t.Errorf("%d votes at the old place, %d at the new one", first.Load(), second.Load())
	}
}
