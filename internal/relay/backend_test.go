package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silvercove/internal/pgwire"
	"silvercove/internal/standin/backends"
)

// scriptedBackend is a backend whose response to each query is set by the test. It counts every query that it receives,
// including queries that it does not answer.
type scriptedBackend struct {
	net.Listener
	answer     func(n int) string // response to the n-th query, counted from 1; empty for no response
	queries    atomic.Int64
	goroutines sync.WaitGroup
}

func newScriptedBackend(tb testing.TB, answer func(n int) string) *scriptedBackend {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	u := &scriptedBackend{Listener: l, answer: answer}
	u.goroutines.Go(func() {
		for {
			c, err := u.Accept()
			if err != nil {
				return
			}
			u.goroutines.Go(func() { u.serve(c) })
		}
	})
	tb.Cleanup(func() {
		_ = u.Close()
		u.goroutines.Wait()
	})
	return u
}

func (u *scriptedBackend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := make([]byte, 4<<10)
	_, _ = c.Read(b)
	_, _ = io.WriteString(c, "R\x00\x00\x00\x08\x00\x00\x00\x00"+string(pgwire.ReadyForQuery()))
	for {
		if _, err := c.Read(b); err != nil || b[0] != 'Q' {
			return
		}
		_, _ = io.WriteString(c, u.answer(int(u.queries.Add(1))))
	}
}

var goodAnswer = string(pgwire.DataRow([]byte("hi"), "SELECT 1"))

func answerGood(int) string { return goodAnswer }

func answerNothing(int) string { return "" }

// blockingBackend is a backend that counts its queries and answers them only after release is called.
type blockingBackend struct {
	*backends.Backend
	queries atomic.Int64
	release func()
}

func newBlockingBackend(tb testing.TB, name string) *blockingBackend {
	tb.Helper()
	hold := make(chan struct{})
	w := &blockingBackend{release: sync.OnceFunc(func() { close(hold) })}
	u, err := backends.NewBackend(name, 1, func(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) {
		w.queries.Add(1)
		<-hold
		return false, 0
	})
	if err != nil {
		tb.Fatal(err)
	}
	w.Backend = u
	tb.Cleanup(func() { w.release(); u.Close() })
	return w
}

func (w *blockingBackend) entry(state string) string { return entry(w.Name, w.Address(), state) }

func answerImmediately(*backends.Backend, string, uint16, time.Time) (bool, time.Duration) {
	return false, 0
}

func newBackend(tb testing.TB) *backends.Backend {
	tb.Helper()
	u, err := backends.NewBackend("s-1", 1, answerImmediately)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(u.Close)
	return u
}

// newSilentBackend starts a backend that accepts and counts connections but never responds.
func newSilentBackend(tb testing.TB) (address string, accepted *atomic.Int64) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	accepted = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			defer func() { _ = c.Close() }()
		}
	}()
	return l.Addr().String(), accepted
}
