package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// hookedListener is a listener that calls hooks when the server uses its connections.
type hookedListener struct {
	*net.TCPListener
	onWrite   func(p []byte)          // called with the bytes of each write to the client, before the write
	onExpired func(conn *net.TCPConn) // called when a read has exceeded its deadline, before the read returns to the server
	onEOF     func()                  // called when a read has found that the client closed the connection, before the read returns to the server
	onAccept  func(conn *net.TCPConn) // called with each accepted connection, before Accept returns it to the server
	hold      <-chan struct{}         // if not nil, Accept blocks until this channel is closed
}

func (l *hookedListener) Accept() (net.Conn, error) {
	if l.hold != nil {
		<-l.hold
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	if l.onAccept != nil {
		l.onAccept(conn)
	}
	if l.onWrite == nil && l.onExpired == nil && l.onEOF == nil {
		return conn, nil // without these hooks, the server gets a *net.TCPConn, as in production
	}
	return &hookedConn{conn, l}, nil
}

type hookedConn struct {
	*net.TCPConn
	hooks *hookedListener
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	switch {
	case c.hooks.onExpired != nil && errors.Is(err, os.ErrDeadlineExceeded):
		c.hooks.onExpired(c.TCPConn)
	case c.hooks.onEOF != nil && errors.Is(err, io.EOF):
		c.hooks.onEOF()
	}
	return n, err
}

func (c *hookedConn) Write(p []byte) (int, error) {
	if c.hooks.onWrite != nil {
		c.hooks.onWrite(p)
	}
	return c.TCPConn.Write(p)
}

// failingListener is a listener whose Accept fails with the error errno until the time in the field until.
type failingListener struct {
	net.Listener
	errno   syscall.Errno
	until   time.Time
	accepts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}
