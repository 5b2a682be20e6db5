package peertransport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection that was taken in; From is the name of the process at its other end.
type Conn struct {
	net.Conn
	From    string
	release func() // nil: nobody counts
	once    sync.Once
}

// Close closes the connection, and counts it out at the first call.
func (c *Conn) Close() error {
	if c.release != nil {
		c.once.Do(c.release)
	}
	return c.Conn.Close()
}

// Admission counts a process's connection in until release is called, once, or returns why it is refused, which its Dial tells.
type Admission func(from string) (release func(), refusal string)

// Listener is a net.Listener of one kind of connections; it hands out each as a *Conn. It is safe for concurrent use.
type Listener struct {
	addr      net.Addr
	enabled   atomic.Bool // Network.Listener was called
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	admit     atomic.Pointer[Admission]
}

// SetAdmission has each connection counted from now on.
func (l *Listener) SetAdmission(admit Admission) { l.admit.Store(&admit) }

// admission is what counts connections, nil: nothing does.
func (l *Listener) admission() Admission {
	if admit := l.admit.Load(); admit != nil {
		return *admit
	}
	return nil
}

// deliver waits until a connection is accepted, and closes it where that takes longer than a hello may.
func (l *Listener) deliver(ctx context.Context, conn net.Conn) {
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	select {
	case l.conns <- conn:
		return
	case <-l.closed:
	case <-ctx.Done():
	case <-timer.C:
	}
	_ = conn.Close() // nobody has accepted it
}

// Accept waits for a connection. It fails with net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. It never fails.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr is where the process listens.
func (l *Listener) Addr() net.Addr { return l.addr }
