package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// pair is a link and the other side of its connection.
func pair(t *testing.T, room *BufferBudget) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	link, end := Dial(context.Background(), l.Addr().String(), time.Second, room)
	if end.Closed() {
		t.Fatal(end.Reason)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { link.Close(); _ = c.Close() })
	return link, c.(*net.TCPConn)
}

// TestEndings: every way in which a connection ends, before and after something was written whole.
func TestEndings(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(l *Conn, other *net.TCPConn) CloseStatus
		want CloseStatus
	}{
		{"closed by the other side", func(l *Conn, o *net.TCPConn) CloseStatus { _ = o.Close(); return l.Fill(1) }, CloseStatus{ClosedByPeer, false}},
		{"half-closed by the other side", func(l *Conn, o *net.TCPConn) CloseStatus { _ = o.CloseWrite(); return l.Fill(1) }, CloseStatus{ClosedByPeer, false}},
		{"closed after all was sent", func(l *Conn, o *net.TCPConn) CloseStatus {
			l.Append([]byte("ask"))
			l.Flush()
			_ = o.CloseWrite()
			return l.Fill(1)
		}, CloseStatus{ClosedByPeer, true}},
		{"reset", func(l *Conn, o *net.TCPConn) CloseStatus { _ = o.SetLinger(0); o.Close(); return l.Fill(1) }, CloseStatus{ConnectionReset, false}},
		{"past its time limit", func(l *Conn, o *net.TCPConn) CloseStatus {
			l.SetDeadline(time.Now().Add(time.Millisecond))
			return l.Fill(1)
		},
			CloseStatus{DeadlineExceeded, false}},
		{"past its context's deadline", func(l *Conn, o *net.TCPConn) CloseStatus {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			l.BindContext(ctx)
			return l.Fill(1)
		}, CloseStatus{DeadlineExceeded, false}},
		{"called off", func(l *Conn, o *net.TCPConn) CloseStatus {
			ctx, cancel := context.WithCancel(context.Background())
			l.BindContext(ctx)
			cancel()
			return l.Fill(1)
		}, CloseStatus{Canceled, false}},
		{"called off after all was sent", func(l *Conn, o *net.TCPConn) CloseStatus {
			ctx, cancel := context.WithCancel(context.Background())
			l.BindContext(ctx)
			l.Append([]byte("ask"))
			l.Flush()
			cancel()
			return l.Fill(1)
		}, CloseStatus{Canceled, true}},
		{"closed amid writing", func(l *Conn, o *net.TCPConn) CloseStatus {
			_ = o.SetLinger(0)
			_ = o.Close()
			for range 100 {
				l.Append(make([]byte, 1<<16))
				if end := l.Flush(); end.Closed() {
					return end
				}
			}
			return CloseStatus{}
		}, CloseStatus{ConnectionReset, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, other := pair(t, NewBufferBudget(1<<20))
			if got := c.do(l, other); got != c.want {
				t.Errorf("%v sent %v, wanted %v sent %v", got.Reason, got.Flushed, c.want.Reason, c.want.Flushed)
			}
		})
	}
	for how := range CloseReasonCount {
		if how.String() == "" {
			t.Errorf("ending %d has no words", how)
		}
	}
}

func TestDialEndings(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := l.Addr().String()
	_ = l.Close()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	late, stop := context.WithTimeout(context.Background(), -time.Second)
	defer stop()
	for _, c := range []struct {
		name  string
		ctx   context.Context
		limit time.Duration
		want  CloseReason
	}{{"nothing listens", context.Background(), time.Second, Refused}, {"called off", gone, time.Second, Canceled},
		{"late", late, time.Second, DeadlineExceeded}, {"no time", context.Background(), 0, ConnectTimeout}} {
		t.Run(c.name, func(t *testing.T) {
			if _, end := Dial(c.ctx, dead, c.limit, NewBufferBudget(1)); end.Reason != c.want || end.Flushed {
				t.Errorf("%v, wanted %v", end.Reason, c.want)
			}
		})
	}
}

// TestRings: what is put comes out whole, whatever the sizes, and the rings give their memory back.
func TestRings(t *testing.T) {
	room := NewBufferBudget(1 << 20)
	l, other := pair(t, room)
	sent := bytes.Repeat([]byte("0123456789"), 5000)
	go func() {
		_, _ = io.Copy(other, other) // an echo
	}()
	var got []byte
	for at, size := 0, 1; at < len(sent); size = size*3 + 1 {
		n := min(size, len(sent)-at)
		l.Append(sent[at:at+n/2], sent[at+n/2:at+n])
		if end := l.Flush(); end.Closed() {
			t.Fatal(end.Reason)
		}
		for have := 0; have < n; {
			if end := l.Fill(n - have); end.Closed() {
				t.Fatal(end.Reason)
			}
			k := min(7, len(l.Buffered())) // by pieces, so that the ring wraps
			got = append(got, l.Buffered()[:k]...)
			l.Discard(k)
			rest := l.Buffered()
			got = append(got, rest...)
			l.Discard(len(rest))
			have += k + len(rest)
		}
		at += n
	}
	if !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d came back whole", len(got), len(sent))
	}
	l.ReleaseBuffers()
	if _, held := room.InUse(); held != 0 {
		t.Errorf("an idle link holds %d bytes", held)
	}
	if !l.Reusable() {
		t.Error("it is not quiet")
	}
	for end := time.Now().Add(5 * time.Second); !l.Acknowledged(); {
		if time.Now().After(end) {
			t.Fatal("what came is not said to be delivered")
		}
	}
	_, _ = other.Write([]byte("x"))
	for end := time.Now().Add(5 * time.Second); !l.Readable(); {
		if time.Now().After(end) {
			t.Fatal("a byte that came is not pending")
		}
	}
	if l.Reusable() {
		t.Error("it is quiet with a byte unasked")
	}
	l.Fill(1)
	if ago, closed := l.LastReceived(); ago > time.Second || closed {
		t.Errorf("the byte is said to wait for %v, closed %v", ago, closed)
	}
	_, _ = other.Write([]byte("y"))
	_ = other.Close()
	for end := time.Now().Add(5 * time.Second); ; { // behind a byte that is not read
		if _, closed := l.LastReceived(); closed {
			break
		}
		if time.Now().After(end) {
			t.Fatal("it is not said to be closed")
		}
	}
}

func TestRelease(t *testing.T) {
	l, other := pair(t, NewBufferBudget(1<<20))
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	l.BindContext(ctx)
	if !l.ReleaseContext() {
		t.Error("a context that lives spoilt the connection")
	}
	cancel()
	_, _ = other.Write([]byte("x"))
	if end := l.Fill(1); end.Closed() {
		t.Errorf("%v: a context that was released ended it", end.Reason)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	l.BindContext(ended)
	for end := time.Now().Add(5 * time.Second); l.ReleaseContext(); l.BindContext(ended) {
		if time.Now().After(end) {
			t.Fatal("a context that ended leaves the connection whole")
		}
	}
}

func TestRoom(t *testing.T) {
	r := NewBufferBudget(10)
	if !r.Reserve(6) || r.Reserve(5) || !r.Reserve(4) {
		t.Error("ten bytes are six and four")
	}
	r.Release(6)
	if taken, _ := r.InUse(); taken != 4 || !r.Reserve(6) {
		t.Errorf("%d bytes are taken", taken)
	}
}

func TestPlace(t *testing.T) {
	p := NewAddress("a")
	address, here, release := p.Current(context.Background())
	defer release()
	if address != "a" || p.Update("a") || here.Err() != nil {
		t.Error("it moved to where it is")
	}
	if !p.Update("b") {
		t.Error("it did not move")
	}
	<-here.Done()
	address, here, again := p.Current(context.Background())
	if address != "b" || here.Err() != nil {
		t.Errorf("at %s: %v", address, here.Err())
	}
	again()
	if here.Err() == nil {
		t.Error("what was released goes on")
	}
}
