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

// hookedListener is a listener whose connections tell of what the server does with them.
type hookedListener struct {
	*net.TCPListener
	onWrite   func(p []byte)          // before the client has what is written
	onExpired func(conn *net.TCPConn) // after a read that its deadline ended, before the server learns of it
	onEOF     func()                  // after a read that the client's close ended, before the server learns of it
	onAccept  func(conn *net.TCPConn) // before the server has the connection
	hold      <-chan struct{}         // nothing is accepted before it is closed
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
		return conn, nil // as the server has it otherwise
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

// failingListener is a listener that has an error for a while.
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
