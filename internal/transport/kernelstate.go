package transport

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The methods in this file query the kernel about a connection. They neither block nor consume bytes, and may be called
// while a reader waits.

// LastReceived returns how long ago the last bytes arrived, whether or not they have been read. Directly after a read,
// this is how long the bytes have waited for this process. LastReceived also reports whether the peer has closed the
// connection, even if bytes that precede the close are still unread. Without information from the kernel, it returns 0
// and false. Only the reader may call it.
func (c *Conn) LastReceived() (ago time.Duration, closed bool) {
	info := c.tcpInfo()
	if info == nil {
		return 0, false
	}
	ago = time.Duration(info.Last_data_recv) * time.Millisecond
	established := info.State == unix.BPF_TCP_ESTABLISHED
	// Some kernels do not report states and always return the same one. A state other than ESTABLISHED therefore shows a
	// close only if ESTABLISHED was reported before.
	closed = info.State == unix.BPF_TCP_CLOSE_WAIT || c.established && !established
	c.established = c.established || established
	return ago, closed
}

// Acknowledged reports whether the peer's machine has received all bytes that were written. It returns true if the
// kernel gives no information.
func (c *Conn) Acknowledged() bool {
	info := c.tcpInfo()
	return info == nil || info.Unacked == 0 && info.Notsent_bytes == 0
}

// tcpInfo returns the kernel's information about the connection, or nil if there is none.
func (c *Conn) tcpInfo() (info *unix.TCPInfo) {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = i
		}
	})
	return info
}

// Reusable reports whether an idle connection is still open and holds no unsolicited bytes.
func (c *Conn) Reusable() bool { return c.input.length == 0 && !c.Readable() }

// Readable reports whether a read would return without waiting.
func (c *Conn) Readable() bool {
	_, wouldBlock := c.peek()
	return !wouldBlock
}

// PeerClosed reports whether the peer has closed or reset the connection. While earlier bytes from the peer are unread,
// it returns false.
func (c *Conn) PeerClosed() bool {
	n, wouldBlock := c.peek()
	return n <= 0 && !wouldBlock
}

// HasUnsolicited reports whether bytes have arrived on an idle connection.
func (c *Conn) HasUnsolicited() bool {
	n, _ := c.peek()
	return c.input.length > 0 || n > 0
}

// peek looks at the next byte without consuming it. n is 1 if there is a byte, 0 at the end of the stream, and negative
// after an error. wouldBlock reports whether a read would wait.
func (c *Conn) peek() (n int, wouldBlock bool) {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, false
	}
	var first [1]byte
	err = raw.Control(func(fd uintptr) { // unlike raw.Read, raw.Control also works after the read deadline has passed
		var recvErr error
		n, _, recvErr = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(recvErr, syscall.EAGAIN)
	})
	return n, err == nil && wouldBlock
}
