// Package link owns one connection: a ring buffer a direction, its deadlines, and End, the one
// type of every way in which it can end.
package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseReason tells why a connection ended.
type CloseReason uint8

// The ways in which a connection can end.
const (
	StillOpen        CloseReason = iota // it has not
	Refused                             // it was refused, or there was nothing to open it with
	ConnectTimeout                      // it was not up in its time
	ClosedByPeer                        // the other side closed it
	ConnectionReset                     // it was reset or failed otherwise
	DeadlineExceeded                    // its time limit has passed
	Canceled                            // this side gave it up
	Malformed                           // what came makes no sense
	TooLarge                            // what came is longer than is allowed
	ClosedLocally                       // this side was through with it
	PeerBusy                            // the other side is there and takes no more now
	CloseReasonCount                    // how many there are
)

var hows = [CloseReasonCount]string{"open", "refused", "not up in time", "closed by the other side", "broken",
	"past its time limit", "called off", "malformed", "overlong", "finished", "turned away"}

func (h CloseReason) String() string { return hows[min(h, CloseReasonCount-1)] }

// CloseStatus is one way in which a connection ended. Sent tells whether the last byte of what was last
// to be written had been written by then: if not, the other side has not got it whole.
type CloseStatus struct {
	Reason  CloseReason
	Flushed bool
}

// Closed tells whether it has ended at all.
func (e CloseStatus) Closed() bool { return e.Reason != StillOpen }

// Conn is one connection. One goroutine at a time may read and one may write; deadlines may be set by any.
type Conn struct {
	conn    net.Conn // a TCP connection, for what the kernel tells of it
	in, out ring
	up      bool // the kernel has said so; the reader's
	sent    atomic.Bool
	gone    context.Context // whose end calls the work on this connection off
	stop    func() bool
}

// NewConn takes over a connection. Its buffers come out of room.
func NewConn(conn net.Conn, room *BufferBudget) *Conn {
	return &Conn{conn: conn, in: ring{room: room}, out: ring{room: room}, gone: context.Background()}
}

// Dial opens a connection within a time limit.
func Dial(ctx context.Context, address string, limit time.Duration, room *BufferBudget) (*Conn, CloseStatus) {
	ctx2, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx2, "tcp", address)
	switch {
	case err == nil:
		return NewConn(conn, room), CloseStatus{}
	case ctx.Err() != nil:
		return nil, CloseStatus{Reason: whyOver(ctx)}
	case ctx2.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded):
		return nil, CloseStatus{Reason: ConnectTimeout}
	}
	return nil, CloseStatus{Reason: Refused}
}

func whyOver(ctx context.Context) CloseReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	return Canceled
}

// BindContext binds what is done from now on to a context: past its deadline, or once it is cancelled,
// reading and writing end. Release undoes that.
func (l *Conn) BindContext(ctx context.Context) {
	l.ReleaseContext()
	l.gone = ctx
	at, _ := ctx.Deadline()
	_ = l.conn.SetDeadline(at)
	l.stop = context.AfterFunc(ctx, l.Interrupt)
}

// ReleaseContext unbinds the connection from its context. If the context ended meanwhile, the deadline
// that this set may come late, so such a connection is only good for closing.
func (l *Conn) ReleaseContext() (whole bool) {
	whole = l.stop == nil || l.stop()
	l.gone, l.stop = context.Background(), nil
	if whole {
		_ = l.conn.SetDeadline(time.Time{})
	}
	return whole
}

// Interrupt ends a blocked read or write.
func (l *Conn) Interrupt() { _ = l.conn.SetDeadline(past) }

var past = time.Unix(1, 0)

// SetReadDeadline sets a time limit for reading, WriteBy one for writing.
func (l *Conn) SetReadDeadline(at time.Time)  { _ = l.conn.SetReadDeadline(at) }
func (l *Conn) SetWriteDeadline(at time.Time) { _ = l.conn.SetWriteDeadline(at) }

// InterruptRead ends a blocked read.
func (l *Conn) InterruptRead() { _ = l.conn.SetReadDeadline(past) }

// SetDeadline sets a time limit of its own.
func (l *Conn) SetDeadline(at time.Time) { _ = l.conn.SetDeadline(at) }

// Fill waits for more bytes. The ring has space for at least want bytes then.
func (l *Conn) Fill(want int) CloseStatus {
	l.in.grow(max(want, l.in.n+1))
	n, err := l.conn.Read(l.in.space())
	l.in.n += n
	if n > 0 {
		return CloseStatus{}
	}
	return l.ended(err)
}

// Buffered are the bytes that have come, in one stretch, until the next Fill.
func (l *Conn) Buffered() []byte { return l.in.front() }

// Discard takes bytes off the front.
func (l *Conn) Discard(n int) { l.in.drop(n) }

// Append adds bytes to what is to be written.
func (l *Conn) Append(parts ...[]byte) {
	n := l.out.n
	for _, p := range parts {
		n += len(p)
	}
	l.out.grow(n)
	for _, p := range parts {
		for len(p) > 0 {
			k := copy(l.out.space(), p)
			l.out.n += k
			p = p[k:]
		}
	}
}

// Flush writes all that was put.
func (l *Conn) Flush() CloseStatus {
	l.sent.Store(false)
	for l.out.n > 0 {
		p := l.out.buf[l.out.at:min(l.out.at+l.out.n, len(l.out.buf))]
		n, err := l.conn.Write(p)
		l.out.drop(n)
		if err != nil {
			l.sent.Store(l.out.n == 0)
			return l.ended(err)
		}
	}
	l.out.free()
	l.sent.Store(true)
	return CloseStatus{}
}

func (l *Conn) ended(err error) CloseStatus {
	switch {
	case err == nil:
		return CloseStatus{}
	case errors.Is(err, os.ErrDeadlineExceeded):
		if l.gone.Err() != nil {
			return CloseStatus{whyOver(l.gone), l.sent.Load()}
		}
		return CloseStatus{DeadlineExceeded, l.sent.Load()}
	case errors.Is(err, io.EOF):
		return CloseStatus{ClosedByPeer, l.sent.Load()}
	}
	return CloseStatus{ConnectionReset, l.sent.Load()}
}

// LastReceived tells how long ago the last bytes came, read by now or not, which shows what this process slept through; and
// whether the other side has closed, be it behind bytes that are still to be read.
func (l *Conn) LastReceived() (ago time.Duration, closed bool) {
	if info := l.info(); info != nil {
		ago = time.Duration(info.Last_data_recv) * time.Millisecond
		up := info.State == unix.BPF_TCP_ESTABLISHED
		// A kernel that tells no states tells the same one all the time.
		closed = info.State == unix.BPF_TCP_CLOSE_WAIT || l.up && !up
		l.up = l.up || up
	}
	return ago, closed
}

// Acknowledged tells whether all that was written has come to the other side's machine.
func (l *Conn) Acknowledged() bool {
	info := l.info()
	return info == nil || info.Unacked == 0 && info.Notsent_bytes == 0
}

// info is what the kernel tells of the connection, nil for nothing.
func (l *Conn) info() (info *unix.TCPInfo) {
	if raw, err := l.conn.(syscall.Conn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				info = i
			}
		})
	}
	return info
}

// Reusable tells whether an idle connection is still up and nothing has come on it unasked.
func (l *Conn) Reusable() bool { return l.in.n == 0 && !l.Readable() }

// Readable tells whether a read would not have to wait.
func (l *Conn) Readable() bool {
	_, quiet := l.peek()
	return !quiet
}

// PeerClosed tells whether the other side has closed or reset, as far as nothing that it sent before is unread; a reader may be
// waiting meanwhile.
func (l *Conn) PeerClosed() bool {
	n, quiet := l.peek()
	return n <= 0 && !quiet
}

// HasUnsolicited tells whether bytes have come on an idle connection.
func (l *Conn) HasUnsolicited() bool {
	n, _ := l.peek()
	return l.in.n > 0 || n > 0
}

// peek looks at what a read would get; quiet: it would have to wait.
func (l *Conn) peek() (n int, quiet bool) {
	raw, err := l.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, false
	}
	var one [1]byte
	err = raw.Control(func(fd uintptr) { // unlike raw.Read, also past the deadline
		var e error
		n, _, e = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
	})
	return n, err == nil && quiet
}

// ReleaseBuffers gives back the buffers of a connection that nothing is expected on.
func (l *Conn) ReleaseBuffers() {
	if l.in.n == 0 {
		l.in.free()
	}
}

// Close ends the connection.
func (l *Conn) Close() {
	if l.stop != nil {
		l.stop()
	}
	_ = l.conn.Close()
	l.in.free()
	l.out.free()
}
