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
	From  string
	leave func() // nil: nobody counts
	once  sync.Once
}

// Close closes the connection, and counts it out at the first call.
func (c *Conn) Close() error {
	if c.leave != nil {
		c.once.Do(c.leave)
	}
	return c.Conn.Close()
}

// Admit counts a process's connection in until leave is called, once, or returns why it is refused, which its Dial tells.
type Admit func(from string) (leave func(), refusal string)

// Listener is a net.Listener of one kind of connections; it hands out each as a *Conn. It is safe for concurrent use.
type Listener struct {
	addr      net.Addr
	wanted    atomic.Bool // Network.Listener was called
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	admit     atomic.Pointer[Admit]
}

// Admit has each connection counted from now on.
func (l *Listener) Admit(admit Admit) { l.admit.Store(&admit) }

// admission is what counts connections, nil: nothing does.
func (l *Listener) admission() Admit {
	if admit := l.admit.Load(); admit != nil {
		return *admit
	}
	return nil
}

// hand waits until a connection is accepted, and closes it where that takes longer than a hello may.
func (l *Listener) hand(ctx context.Context, conn net.Conn) {
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
