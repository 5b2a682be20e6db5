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
func pair(t *testing.T, room *Room) (*Link, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	link, end := Dial(context.Background(), l.Addr().String(), time.Second, room)
	if end.Over() {
		t.Fatal(end.How)
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
		do   func(l *Link, other *net.TCPConn) End
		want End
	}{
		{"closed by the other side", func(l *Link, o *net.TCPConn) End { _ = o.Close(); return l.Fill(1) }, End{Closed, false}},
		{"half-closed by the other side", func(l *Link, o *net.TCPConn) End { _ = o.CloseWrite(); return l.Fill(1) }, End{Closed, false}},
		{"closed after all was sent", func(l *Link, o *net.TCPConn) End {
			l.Put([]byte("ask"))
			l.Flush()
			_ = o.CloseWrite()
			return l.Fill(1)
		}, End{Closed, true}},
		{"reset", func(l *Link, o *net.TCPConn) End { _ = o.SetLinger(0); o.Close(); return l.Fill(1) }, End{Broke, false}},
		{"past its time limit", func(l *Link, o *net.TCPConn) End { l.Until(time.Now().Add(time.Millisecond)); return l.Fill(1) },
			End{Late, false}},
		{"past its context's deadline", func(l *Link, o *net.TCPConn) End {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			l.Within(ctx)
			return l.Fill(1)
		}, End{Late, false}},
		{"called off", func(l *Link, o *net.TCPConn) End {
			ctx, cancel := context.WithCancel(context.Background())
			l.Within(ctx)
			cancel()
			return l.Fill(1)
		}, End{CalledOff, false}},
		{"called off after all was sent", func(l *Link, o *net.TCPConn) End {
			ctx, cancel := context.WithCancel(context.Background())
			l.Within(ctx)
			l.Put([]byte("ask"))
			l.Flush()
			cancel()
			return l.Fill(1)
		}, End{CalledOff, true}},
		{"closed amid writing", func(l *Link, o *net.TCPConn) End {
			_ = o.SetLinger(0)
			_ = o.Close()
			for range 100 {
				l.Put(make([]byte, 1<<16))
				if end := l.Flush(); end.Over() {
					return end
				}
			}
			return End{}
		}, End{Broke, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, other := pair(t, NewRoom(1<<20))
			if got := c.do(l, other); got != c.want {
				t.Errorf("%v sent %v, wanted %v sent %v", got.How, got.Sent, c.want.How, c.want.Sent)
			}
		})
	}
	for how := range Hows {
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
		want  How
	}{{"nothing listens", context.Background(), time.Second, Refused}, {"called off", gone, time.Second, CalledOff},
		{"late", late, time.Second, Late}, {"no time", context.Background(), 0, NotUp}} {
		t.Run(c.name, func(t *testing.T) {
			if _, end := Dial(c.ctx, dead, c.limit, NewRoom(1)); end.How != c.want || end.Sent {
				t.Errorf("%v, wanted %v", end.How, c.want)
			}
		})
	}
}

// TestRings: what is put comes out whole, whatever the sizes, and the rings give their memory back.
func TestRings(t *testing.T) {
	room := NewRoom(1 << 20)
	l, other := pair(t, room)
	sent := bytes.Repeat([]byte("0123456789"), 5000)
	go func() {
		_, _ = io.Copy(other, other) // an echo
	}()
	var got []byte
	for at, size := 0, 1; at < len(sent); size = size*3 + 1 {
		n := min(size, len(sent)-at)
		l.Put(sent[at:at+n/2], sent[at+n/2:at+n])
		if end := l.Flush(); end.Over() {
			t.Fatal(end.How)
		}
		for have := 0; have < n; {
			if end := l.Fill(n - have); end.Over() {
				t.Fatal(end.How)
			}
			k := min(7, len(l.Bytes())) // by pieces, so that the ring wraps
			got = append(got, l.Bytes()[:k]...)
			l.Drop(k)
			rest := l.Bytes()
			got = append(got, rest...)
			l.Drop(len(rest))
			have += k + len(rest)
		}
		at += n
	}
	if !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d came back whole", len(got), len(sent))
	}
	l.Rest()
	if _, held := room.InUse(); held != 0 {
		t.Errorf("an idle link holds %d bytes", held)
	}
	if !l.Quiet() {
		t.Error("it is not quiet")
	}
	for end := time.Now().Add(5 * time.Second); !l.Delivered(); {
		if time.Now().After(end) {
			t.Fatal("what came is not said to be delivered")
		}
	}
	_, _ = other.Write([]byte("x"))
	for end := time.Now().Add(5 * time.Second); !l.Pending(); {
		if time.Now().After(end) {
			t.Fatal("a byte that came is not pending")
		}
	}
	if l.Quiet() {
		t.Error("it is quiet with a byte unasked")
	}
	l.Fill(1)
	if ago, closed := l.Heard(); ago > time.Second || closed {
		t.Errorf("the byte is said to wait for %v, closed %v", ago, closed)
	}
	_, _ = other.Write([]byte("y"))
	_ = other.Close()
	for end := time.Now().Add(5 * time.Second); ; { // behind a byte that is not read
		if _, closed := l.Heard(); closed {
			break
		}
		if time.Now().After(end) {
			t.Fatal("it is not said to be closed")
		}
	}
}

func TestRelease(t *testing.T) {
	l, other := pair(t, NewRoom(1<<20))
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	l.Within(ctx)
	if !l.Release() {
		t.Error("a context that lives spoilt the connection")
	}
	cancel()
	_, _ = other.Write([]byte("x"))
	if end := l.Fill(1); end.Over() {
		t.Errorf("%v: a context that was released ended it", end.How)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	l.Within(ended)
	for end := time.Now().Add(5 * time.Second); l.Release(); l.Within(ended) {
		if time.Now().After(end) {
			t.Fatal("a context that ended leaves the connection whole")
		}
	}
}

func TestRoom(t *testing.T) {
	r := NewRoom(10)
	if !r.Take(6) || r.Take(5) || !r.Take(4) {
		t.Error("ten bytes are six and four")
	}
	r.Give(6)
	if taken, _ := r.InUse(); taken != 4 || !r.Take(6) {
		t.Errorf("%d bytes are taken", taken)
	}
}

func TestPlace(t *testing.T) {
	p := NewPlace("a")
	address, here, release := p.Now(context.Background())
	defer release()
	if address != "a" || p.Move("a") || here.Err() != nil {
		t.Error("it moved to where it is")
	}
	if !p.Move("b") {
		t.Error("it did not move")
	}
	<-here.Done()
	address, here, again := p.Now(context.Background())
	if address != "b" || here.Err() != nil {
		t.Errorf("at %s: %v", address, here.Err())
	}
	again()
	if here.Err() == nil {
		t.Error("what was released goes on")
	}
}
