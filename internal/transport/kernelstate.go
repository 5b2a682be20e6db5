package transport

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The methods of this file ask the kernel about a connection. They neither block nor take bytes, and may be called while a
// reader waits.

// LastReceived tells how long ago the last bytes came, read by now or not, which shows how long they waited for this
// process; and whether the other side has closed, be it behind bytes that are still to be read. It is the reader's to call.
func (c *Conn) LastReceived() (ago time.Duration, closed bool) {
	info := c.tcpInfo()
	if info == nil {
		return 0, false
	}
	ago = time.Duration(info.Last_data_recv) * time.Millisecond
	established := info.State == unix.BPF_TCP_ESTABLISHED
	// A kernel that tells no states tells the same one all the time.
	closed = info.State == unix.BPF_TCP_CLOSE_WAIT || c.established && !established
	c.established = c.established || established
	return ago, closed
}

// Acknowledged tells whether all that was written has come to the other side's machine.
func (c *Conn) Acknowledged() bool {
	info := c.tcpInfo()
	return info == nil || info.Unacked == 0 && info.Notsent_bytes == 0
}

// tcpInfo is what the kernel tells of the connection, nil for nothing.
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

// Reusable tells whether an idle connection is still up and nothing has come on it unasked.
func (c *Conn) Reusable() bool { return c.input.length == 0 && !c.Readable() }

// Readable tells whether a read would not have to wait.
func (c *Conn) Readable() bool {
	_, wouldBlock := c.peek()
	return !wouldBlock
}

// PeerClosed tells whether the other side has closed or reset, as far as nothing that it sent before is unread.
func (c *Conn) PeerClosed() bool {
	n, wouldBlock := c.peek()
	return n <= 0 && !wouldBlock
}

// HasUnsolicited tells whether bytes have come on an idle connection.
func (c *Conn) HasUnsolicited() bool {
	n, _ := c.peek()
	return c.input.length > 0 || n > 0
}

// peek looks at what a read would get, without taking it.
func (c *Conn) peek() (n int, wouldBlock bool) {
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, false
	}
	var first [1]byte
	err = raw.Control(func(fd uintptr) { // unlike raw.Read, also past the deadline
		var recvErr error
		n, _, recvErr = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(recvErr, syscall.EAGAIN)
	})
	return n, err == nil && wouldBlock
}
