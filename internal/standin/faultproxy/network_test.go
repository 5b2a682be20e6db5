package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts a server that echoes all bytes until the test ends, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var done sync.WaitGroup
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			done.Go(func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			})
		}
	})
	t.Cleanup(func() { _ = l.Close(); done.Wait() })
	return l.Addr().String()
}

type testNetwork struct {
	*Network
	link   *Link
	mu     sync.Mutex
	events []string
}

func newTestNetwork(t *testing.T) *testNetwork {
	t.Helper()
	r := &testNetwork{}
	target := startEchoServer(t) // the server is closed after the links, because its cleanup is registered first
	r.Network = New(7, func(e Event) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if e.At.IsZero() {
			t.Error("an event has no time")
		}
		r.events = append(r.events, e.From+">"+e.To+" "+e.Text)
	})
	var err error
	if r.link, err = r.AddLink("a", "b", target); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func (r *testNetwork) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange writes a text and returns the bytes that come back within the time limit, up to the length of the text.
func exchange(c net.Conn, text string, within time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b := make([]byte, len(text))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

func timedOut(err error) bool { var n net.Error; return errors.As(err, &n) && n.Timeout() }

func (r *testNetwork) mustDo(t *testing.T, line string) {
	t.Helper()
	if err := r.Do(line); err != nil {
		t.Fatal(err)
	}
}

// connectionError returns the error with which a new connection over a link ends.
func connectionError(l *Link) error {
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, err = exchange(c, "x", longTimeout)
	return err
}

const shortTimeout, longTimeout = 50 * time.Millisecond, 5 * time.Second

func TestLink_StallKeepsAndCutLosesBytes(t *testing.T) {
	r := newTestNetwork(t)
	c := r.dial(t)
	if got, err := exchange(c, "one", longTimeout); got != "one" {
		t.Fatal(got, err)
	}
	r.mustDo(t, "stall b a oneway") // the bytes that the server echoes are stalled
	if got, err := exchange(c, "two", shortTimeout); !timedOut(err) {
		t.Fatal(got, err)
	}
	r.mustDo(t, "heal a b")
	if got, err := exchange(c, "", longTimeout); err != nil {
		t.Fatal(got, err)
	}
	b := make([]byte, 3)
	_ = c.SetDeadline(time.Now().Add(longTimeout))
	if _, err := io.ReadFull(c, b); string(b) != "two" {
		t.Fatalf("after the stall: read %q, %v", b, err)
	}
	r.mustDo(t, "cut a b oneway")
	if forward, backward := r.link.Fault(Forward), r.link.Fault(Backward); !forward.Silent || backward.Silent {
		t.Errorf("forward %v, backward %v; want only forward cut", forward, backward)
	}
	if got, err := exchange(c, "three", shortTimeout); !timedOut(err) {
		t.Fatal(got, err)
	}
	second := r.dial(t) // the bytes of a new connection are discarded as well
	if got, err := exchange(second, "four", shortTimeout); !timedOut(err) {
		t.Fatal(got, err)
	}
	r.mustDo(t, "heal a b")
	for _, c := range []net.Conn{c, second} { // both connections have lost bytes
		_ = c.SetDeadline(time.Now().Add(longTimeout))
		if _, err := c.Read(b); err == nil || timedOut(err) {
			t.Errorf("a stream that lost bytes was not reset: %v", err)
		}
	}
	if got, err := exchange(r.dial(t), "five", longTimeout); got != "five" {
		t.Fatal(got, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if got := strings.Join(r.events, "; "); got != "a>b stall (answers); a>b up (answers); a>b cut; a>b up" {
		t.Error(got)
	}
}

func TestLink_ResetRefusesUntilHealed(t *testing.T) {
	r := newTestNetwork(t)
	c := r.dial(t)
	if got, err := exchange(c, "one", longTimeout); got != "one" {
		t.Fatal(got, err)
	}
	r.mustDo(t, "reset a b")
	_ = c.SetDeadline(time.Now().Add(longTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want ECONNRESET", err)
	}
	if err := connectionError(r.link); err == nil || timedOut(err) {
		t.Errorf("new connection to a refusing link: %v", err)
	}
	r.mustDo(t, "heal b a")
	if got, err := exchange(r.dial(t), "three", longTimeout); got != "three" {
		t.Error(got, err)
	}
}

func TestLink_DelayAndRateKeepByteOrder(t *testing.T) {
	r := newTestNetwork(t)
	r.mustDo(t, "delay a b 10ms")
	r.mustDo(t, "rate a b 1e6 oneway")
	c := r.dial(t)
	sent := bytes.Repeat([]byte("0123456789"), 10_000)
	start := time.Now()
	go func() {
		_, _ = c.Write(sent)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	_ = c.SetDeadline(time.Now().Add(longTimeout))
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("%d bytes of %d, %v", len(got), len(sent), err)
	}
	if took := time.Since(start); took < 100*time.Millisecond {
		t.Errorf("100,000 bytes at 1,000,000 a second within %v", took)
	}
}

// Two runs with the same seed must break the same connections.
func TestLink_DropBreaksConnectionsBySeed(t *testing.T) {
	var first []bool
	for range 2 {
		r := newTestNetwork(t)
		r.mustDo(t, "drop a b 30% oneway")
		var broken []bool
		for range 20 {
			c := r.dial(t)
			got, err := exchange(c, "one", longTimeout)
			if timedOut(err) {
				t.Fatal("the connection timed out instead of breaking")
			}
			broken = append(broken, got != "one")
			_ = c.Close()
		}
		n := 0
		for _, b := range broken {
			if b {
				n++
			}
		}
		if n < 2 || n > 12 {
			t.Errorf("%d of 20 broken at 30%%", n)
		}
		if first == nil {
			first = broken
			continue
		}
		for i := range first {
			if first[i] != broken[i] {
				t.Errorf("connection %d ended differently with the same seed", i)
			}
		}
	}
}

func TestLink_EndOfStreamAndTargetChange(t *testing.T) {
	r := newTestNetwork(t)
	c := r.dial(t)
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetDeadline(time.Now().Add(longTimeout))
	if b, err := io.ReadAll(c); err != nil || len(b) != 0 {
		t.Errorf("after the end of the stream: read %q, %v", b, err)
	}
	moved, err := r.AddLink("a", "c", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if err := connectionError(moved); err == nil || timedOut(err) {
		t.Errorf("connection to an address without a listener: %v", err)
	}
	moved.SetTarget(startEchoServer(t))
	c, err = net.Dial("tcp", moved.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if got, err := exchange(c, "one", longTimeout); got != "one" {
		t.Error(got, err)
	}
}

func TestDo_RefusesInvalidLines(t *testing.T) {
	r := newTestNetwork(t)
	for _, line := range []string{"", "cut", "cut a", "cut a x", "melt a b", "delay a b", "delay a b soon", "drop a b 5",
		"drop a b 500%", "rate a b -1", "reset a b oneway", "cut a b both"} {
		if err := r.Do(line); err == nil {
			t.Errorf("%q was accepted", line)
		}
	}
	for _, line := range []string{"split a b,c", "heal * *", "cut * b oneway"} {
		if err := r.Do(line); err != nil {
			t.Errorf("%q: %v", line, err)
		}
	}
}
