package peertransport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is an accepted connection. From is the name of the process at its other end.
type Conn struct {
	net.Conn
	From        string
	release     func() // ends the admission; nil if the connection is not counted
	releaseOnce sync.Once
}

// Close closes the connection. The first call also releases the admission of the connection.
func (c *Conn) Close() error {
	if c.release != nil {
		c.releaseOnce.Do(c.release)
	}
	return c.Conn.Close()
}

// Admission admits a connection from a process and counts it until release is called, which must happen once. If the
// connection is not admitted, refusal is the reason. The error that Dial returns in the other process contains that
// reason.
type Admission func(from string) (release func(), refusal string)

// Listener is a net.Listener for one kind of connections; each connection that it returns is a *Conn. It is safe for
// concurrent use.
type Listener struct {
	addr      net.Addr
	enabled   atomic.Bool // whether Network.Listener was called for this kind
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	admit     atomic.Pointer[Admission]
}

// SetAdmission sets the function that admits and counts the connections that arrive after this call.
func (l *Listener) SetAdmission(admit Admission) { l.admit.Store(&admit) }

// admission returns the function that admits and counts connections, or nil if there is none.
func (l *Listener) admission() Admission {
	if admit := l.admit.Load(); admit != nil {
		return *admit
	}
	return nil
}

// deliver waits until Accept takes the connection. It closes the connection if that takes longer than helloTimeout, or
// if the listener is closed or the context ends first.
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
	_ = conn.Close() // Accept has not taken the connection
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

// Close makes Accept return net.ErrClosed. It never fails.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address at which the process listens.
func (l *Listener) Addr() net.Addr { return l.addr }
