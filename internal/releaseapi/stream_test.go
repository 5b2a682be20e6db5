package releaseapi

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/standin/backends"
	"silvercove/internal/transport"
)

// TestStream_KeepAliveOnly checks that a stream with nothing but a keep-alive line every second stays open, although the
// time limit of calls is shorter than a second.
func TestStream_KeepAliveOnly(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		for {
			_, _ = fmt.Fprint(w, "{}\n")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(time.Second):
			case <-req.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	client, _, _, _ := startClient(t, s.Listener.Addr().String())
	backends.Eventually(t, "three lines are read", func() bool { return client.LinesRead.Load() >= 3 })
	if n := client.StreamsOpened.Load(); n != 1 {
		t.Errorf("%d streams were opened", n)
	}
}

// TestStream_ReopenedAfterFault checks that a stream that breaks, goes silent or sends an invalid line is opened again, and
// that the last valid stage stays in effect.
func TestStream_ReopenedAfterFault(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(w http.ResponseWriter, req *http.Request)
	}{
		{"a cut stream", func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }},
		{"an invalid line", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "{\n") }},
		{"an invalid stage", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, strings.Replace(liveStage, "live", "asleep", 1))
		}},
		{"a line without an end", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxLineBytes+1)) }},
		{"silence", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }},
		{"a regular end", func(http.ResponseWriter, *http.Request) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var bad atomic.Bool
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				_, _ = fmt.Fprint(w, `{"type":"unknown","object":{}}`+"\n"+liveStage)
				if _ = http.NewResponseController(w).Flush(); bad.Load() {
					c.bad(w, req)
					return
				}
				<-req.Context().Done()
			}))
			t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
			bad.Store(true)
			client, _, _, stages := startClient(t, s.Listener.Addr().String())
			backends.Eventually(t, "the stream is opened again", func() bool { return client.StreamsOpened.Load() >= 3 })
			for len(stages) > 0 {
				if is := <-stages; is.Version != 1 || is.Phase != "live" {
					t.Errorf("%+v was applied", is)
				}
			}
			bad.Store(false)
			waitStage(t, stages, "a valid stage again", func(s dispatch.RolloutStage) bool { return s.Version == 1 })
		})
	}
}

// TestMove_WhileChangeIsApplied changes the platform's address, as a reload on SIGHUP does, while the client applies a
// change instead of waiting to read. The client must still move to the new platform. Later keep-alive lines of the old
// platform must not keep the old stream open. In the same way, keep-alive lines of the new platform must not keep its
// stream open when the client stops.
func TestMove_WhileChangeIsApplied(t *testing.T) {
	var left sync.WaitGroup
	left.Add(1)
	old := newPlatform(t, func(w io.Writer, req *http.Request) {
		defer left.Done()
		for _, _ = io.WriteString(w, liveStage); req.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
			_, _ = io.WriteString(w, "{}\n")
		}
	}, nil)
	came := make(chan struct{}, 16)
	next := newPlatform(t, func(w io.Writer, req *http.Request) {
		came <- struct{}{}
		for _, _ = io.WriteString(w, liveStage); req.Context().Err() == nil; time.Sleep(10 * time.Millisecond) {
			_, _ = io.WriteString(w, "{}\n")
		}
	}, nil)
	var address *transport.Address
	ready := make(chan struct{})
	var once sync.Once
	_, _, address = startChecked(t, old, 400*time.Millisecond, func() {
		once.Do(func() {
			<-ready
			address.Update(next)
			time.Sleep(50 * time.Millisecond) // gives the cancellation of the stream time to run before the client goes on
		})
	})
	close(ready)
	select {
	case <-came:
	case <-time.After(10 * time.Second):
		t.Fatal("the stream stays at the old platform")
	}
	left.Wait()
}

// TestStream_TrickleOrSilence checks that bytes without a line end do not keep a stream open. It also checks that the
// idle timeout is bounded however long the time limit of calls is, and that a stream that goes silent or ends is soon
// opened again.
func TestStream_TrickleOrSilence(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit time.Duration
		write func(w io.Writer, req *http.Request)
	}{
		{"a line", 400 * time.Millisecond, func(w io.Writer, req *http.Request) {
			for _, _ = io.WriteString(w, liveStage); req.Context().Err() == nil; time.Sleep(20 * time.Millisecond) {
				_, _ = io.WriteString(w, " ")
			}
		}},
		{"silence, and calls that may take an hour", time.Hour, func(w io.Writer, req *http.Request) {
			_, _ = io.WriteString(w, liveStage)
			<-req.Context().Done()
		}},
		{"cut, and calls that may take an hour", time.Hour, func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, liveStage) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, _, _ := startChecked(t, newPlatform(t, c.write, nil), c.limit, func() {})
			backends.Eventually(t, "the stream is opened again", func() bool { return client.StreamsOpened.Load() >= 2 })
		})
	}
}
