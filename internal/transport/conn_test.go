package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// connPair returns a connection and its peer.
func connPair(t *testing.T, budget *BufferBudget) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, status := Dial(context.Background(), l.Addr().String(), time.Second, budget)
	if status.Closed() {
		t.Fatal(status.Reason)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		_ = peer.Close()
	})
	return conn, peer.(*net.TCPConn)
}

// TestConn_CloseStatus checks the status for each way in which a connection can end, before anything was written and
// after all bytes were written.
func TestConn_CloseStatus(t *testing.T) {
	ask := func(c *Conn) {
		c.Append([]byte("ask"))
		c.Flush()
	}
	canceled := func(c *Conn) CloseStatus {
		ctx, cancel := context.WithCancel(t.Context())
		c.BindContext(ctx)
		cancel()
		return c.Fill(1)
	}
	for _, test := range []struct {
		name string
		do   func(c *Conn, peer *net.TCPConn) CloseStatus
		want CloseStatus
	}{
		{"closed by the peer", func(c *Conn, peer *net.TCPConn) CloseStatus {
			_ = peer.Close()
			return c.Fill(1)
		}, CloseStatus{ClosedByPeer, false}},
		{"half-closed by the peer", func(c *Conn, peer *net.TCPConn) CloseStatus {
			_ = peer.CloseWrite()
			return c.Fill(1)
		}, CloseStatus{ClosedByPeer, false}},
		{"closed after all was sent", func(c *Conn, peer *net.TCPConn) CloseStatus {
			ask(c)
			_ = peer.CloseWrite()
			return c.Fill(1)
		}, CloseStatus{ClosedByPeer, true}},
		{"reset", func(c *Conn, peer *net.TCPConn) CloseStatus {
			_ = peer.SetLinger(0)
			_ = peer.Close()
			return c.Fill(1)
		}, CloseStatus{ConnectionReset, false}},
		{"past its deadline", func(c *Conn, _ *net.TCPConn) CloseStatus {
			c.SetDeadline(time.Now().Add(time.Millisecond))
			return c.Fill(1)
		}, CloseStatus{DeadlineExceeded, false}},
		{"past its context's deadline", func(c *Conn, _ *net.TCPConn) CloseStatus {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			c.BindContext(ctx)
			return c.Fill(1)
		}, CloseStatus{DeadlineExceeded, false}},
		{"canceled", func(c *Conn, _ *net.TCPConn) CloseStatus {
			return canceled(c)
		}, CloseStatus{Canceled, false}},
		{"canceled after all was sent", func(c *Conn, _ *net.TCPConn) CloseStatus {
			ask(c)
			return canceled(c)
		}, CloseStatus{Canceled, true}},
		{"reset during writing", func(c *Conn, peer *net.TCPConn) CloseStatus {
			_ = peer.SetLinger(0)
			_ = peer.Close()
			for range 100 {
				c.Append(make([]byte, 1<<16))
				if status := c.Flush(); status.Closed() {
					return status
				}
			}
			return CloseStatus{}
		}, CloseStatus{ConnectionReset, false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, peer := connPair(t, NewBufferBudget(1<<20))
			if got := test.do(c, peer); got != test.want {
				t.Errorf("%v flushed %v, wanted %v flushed %v", got.Reason, got.Flushed, test.want.Reason, test.want.Flushed)
			}
		})
	}
}

func TestCloseReason_EveryReasonHasAName(t *testing.T) {
	for reason := range CloseReasonCount {
		if reason.String() == "" {
			t.Errorf("reason %d has no name", reason)
		}
	}
}

func TestDial_CloseReason(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := l.Addr().String()
	_ = l.Close()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	expired, stop := context.WithTimeout(context.Background(), -time.Second)
	defer stop()
	for _, c := range []struct {
		name  string
		ctx   context.Context
		limit time.Duration
		want  CloseReason
	}{{"nothing listens", context.Background(), time.Second, Refused}, {"canceled", canceled, time.Second, Canceled},
		{"late", expired, time.Second, DeadlineExceeded}, {"no time", context.Background(), 0, ConnectTimeout}} {
		t.Run(c.name, func(t *testing.T) {
			if _, status := Dial(c.ctx, closedAddress, c.limit, NewBufferBudget(1)); status.Reason != c.want || status.Flushed {
				t.Errorf("%v, wanted %v", status.Reason, c.want)
			}
		})
	}
}

// TestRing_RoundTrip checks that all bytes that are sent to an echoing peer come back, whatever the sizes of writes and
// reads, and that the rings release their memory. It also checks what the kernel reports about the connection.
func TestRing_RoundTrip(t *testing.T) {
	budget := NewBufferBudget(1 << 20)
	conn, peer := connPair(t, budget)
	sent := bytes.Repeat([]byte("0123456789"), 5000)
	go func() {
		_, _ = io.Copy(peer, peer) // sends all bytes back, until the connection ends
	}()
	var got []byte
	for at, size := 0, 1; at < len(sent); size = size*3 + 1 {
		n := min(size, len(sent)-at)
		conn.Append(sent[at:at+n/2], sent[at+n/2:at+n])
		if status := conn.Flush(); status.Closed() {
			t.Fatal(status.Reason)
		}
		for received := 0; received < n; {
			if status := conn.Fill(n - received); status.Closed() {
				t.Fatal(status.Reason)
			}
			firstSize := min(7, len(conn.Buffered())) // the first bytes are discarded separately, so that the content wraps around the end of the ring
			got = append(got, conn.Buffered()[:firstSize]...)
			conn.Discard(firstSize)
			rest := conn.Buffered()
			got = append(got, rest...)
			conn.Discard(len(rest))
			received += firstSize + len(rest)
		}
		at += n
	}
	if !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d came back, or some are wrong", len(got), len(sent))
	}
	conn.ReleaseBuffers()
	if _, held := budget.InUse(); held != 0 {
		t.Errorf("an idle connection holds %d bytes", held)
	}
	if !conn.Reusable() {
		t.Error("an idle connection is not reusable")
	}
	for end := time.Now().Add(5 * time.Second); !conn.Acknowledged(); {
		if time.Now().After(end) {
			t.Fatal("the written bytes are not reported as acknowledged")
		}
	}
	_, _ = peer.Write([]byte("x"))
	for end := time.Now().Add(5 * time.Second); !conn.Readable(); {
		if time.Now().After(end) {
			t.Fatal("an arrived byte is not reported as readable")
		}
	}
	if conn.Reusable() {
		t.Error("a connection with an unsolicited byte is reusable")
	}
	conn.Fill(1)
	if ago, closed := conn.LastReceived(); ago > time.Second || closed {
		t.Errorf("the last byte arrived %v ago, closed %v", ago, closed)
	}
	_, _ = peer.Write([]byte("y"))
	_ = peer.Close()
	for end := time.Now().Add(5 * time.Second); ; { // the close must be reported although the byte that precedes it has not been read
		if _, closed := conn.LastReceived(); closed {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the close is not reported")
		}
	}
}

func TestConn_ReleaseContext(t *testing.T) {
	conn, peer := connPair(t, NewBufferBudget(1<<20))
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	conn.BindContext(ctx)
	if !conn.ReleaseContext() {
		t.Error("the connection is not usable although its context has not ended")
	}
	cancel()
	_, _ = peer.Write([]byte("x"))
	if status := conn.Fill(1); status.Closed() {
		t.Errorf("%v: a released context ended the read", status.Reason)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	conn.BindContext(ended)
	for end := time.Now().Add(5 * time.Second); conn.ReleaseContext(); conn.BindContext(ended) {
		if time.Now().After(end) {
			t.Fatal("the connection is reported usable although its context has ended")
		}
	}
}
