// Package transport provides connections with deadlines and with one ring buffer for each direction. CloseStatus
// describes every way in which a connection can end. The buffers of all connections are counted in one BufferBudget.
// Address holds the address of a peer that may move while the program runs.
//
// A caller opens a connection with Dial, or wraps an accepted connection with NewConn. It reads with Fill, Buffered and
// Discard, writes with Append and Flush, and limits reading and writing by a context with BindContext. The package
// starts no goroutine that outlives the context to which a connection is bound.
package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// Conn is one connection. One goroutine at a time may read and one may write. Any goroutine may set deadlines, and any
// may call Close once reading and writing are finished.
type Conn struct {
	conn          net.Conn // a TCP connection; kernelstate.go queries its state
	input, output ring
	flushed       atomic.Bool // whether the latest Flush has written its last byte
	established   bool        // whether the kernel has reported the state ESTABLISHED; only the reader uses the field

	// bound is the context that limits reading and writing, and unbind ends that limit. Without such a context, bound
	// is the background context and unbind is nil.
	bound  context.Context
	unbind func() bool
}

// NewConn wraps a TCP connection. The memory of its buffers is counted in budget.
func NewConn(conn net.Conn, budget *BufferBudget) *Conn {
	return &Conn{conn: conn, input: ring{budget: budget}, output: ring{budget: budget}, bound: context.Background()}
}

// Dial opens a TCP connection within a time limit. If that fails, it returns nil and a status with the reason.
func Dial(ctx context.Context, address string, limit time.Duration, budget *BufferBudget) (*Conn, CloseStatus) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(limited, "tcp", address)
	switch {
	case err == nil:
		return NewConn(conn, budget), CloseStatus{}
	case ctx.Err() != nil:
		return nil, CloseStatus{Reason: contextReason(ctx)}
	case limited.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded):
		return nil, CloseStatus{Reason: ConnectTimeout}
	}
	return nil, CloseStatus{Reason: Refused}
}

// BindContext binds later reads and writes to a context: they fail once the context's deadline has passed or the
// context is canceled. ReleaseContext ends the binding.
func (c *Conn) BindContext(ctx context.Context) {
	c.ReleaseContext()
	c.bound = ctx
	deadline, _ := ctx.Deadline() // without a deadline in ctx, this is the zero time, and SetDeadline then removes the deadline
	c.SetDeadline(deadline)
	c.unbind = context.AfterFunc(ctx, c.Interrupt)
}

// ReleaseContext unbinds the connection from its context and reports whether the connection can still be used. If the
// context has ended, the connection can only be closed, because Interrupt, which runs when the context ends, may still
// take effect later.
func (c *Conn) ReleaseContext() (intact bool) {
	intact = c.unbind == nil || c.unbind()
	c.bound, c.unbind = context.Background(), nil
	if intact {
		c.SetDeadline(time.Time{})
	}
	return intact
}

// pastDeadline is a deadline in the past.
var pastDeadline = time.Unix(1, 0)

// Interrupt ends a blocked read or write, and makes later ones fail.
func (c *Conn) Interrupt() { c.SetDeadline(pastDeadline) }

// InterruptRead ends a blocked read, and makes later ones fail.
func (c *Conn) InterruptRead() { c.SetReadDeadline(pastDeadline) }

// SetDeadline sets the deadline for reading and writing; the zero time means none. The deadline holds until the next
// call, or until the connection is bound to a context or released from it. The error for a closed connection is
// ignored, because the next read or write fails as well.
func (c *Conn) SetDeadline(at time.Time) { _ = c.conn.SetDeadline(at) }

// SetReadDeadline sets the deadline for reading alone.
func (c *Conn) SetReadDeadline(at time.Time) { _ = c.conn.SetReadDeadline(at) }

// SetWriteDeadline sets the deadline for writing alone.
func (c *Conn) SetWriteDeadline(at time.Time) { _ = c.conn.SetWriteDeadline(at) }

// Fill waits for more bytes. Before that, it grows the input buffer to hold at least want bytes, including the bytes
// that have already arrived.
func (c *Conn) Fill(want int) CloseStatus {
	c.input.grow(max(want, c.input.length+1))
	n, err := c.conn.Read(c.input.free())
	c.input.length += n
	if n > 0 {
		return CloseStatus{}
	}
	return c.closeStatus(err)
}

// Buffered returns the bytes that have arrived, as one slice, which is valid until the next Fill.
func (c *Conn) Buffered() []byte { return c.input.content() }

// Discard removes the first n bytes of the input buffer.
func (c *Conn) Discard(n int) { c.input.discard(n) }

// Append adds bytes to the output buffer, which the next Flush writes.
func (c *Conn) Append(parts ...[]byte) {
	total := c.output.length
	for _, part := range parts {
		total += len(part)
	}
	c.output.grow(total)
	for _, part := range parts {
		c.output.write(part)
	}
}

// Flush writes all bytes that Append has added.
func (c *Conn) Flush() CloseStatus {
	c.flushed.Store(false)
	for c.output.length > 0 {
		n, err := c.conn.Write(c.output.firstSegment())
		c.output.discard(n)
		if err != nil {
			c.flushed.Store(c.output.length == 0)
			return c.closeStatus(err)
		}
	}
	c.output.release()
	c.flushed.Store(true)
	return CloseStatus{}
}

// closeStatus returns the status of the connection after a read or a write returned err.
func (c *Conn) closeStatus(err error) CloseStatus {
	flushed := c.flushed.Load()
	switch {
	case err == nil:
		return CloseStatus{}
	case errors.Is(err, os.ErrDeadlineExceeded) && c.bound.Err() != nil:
		return CloseStatus{Reason: contextReason(c.bound), Flushed: flushed}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return CloseStatus{Reason: DeadlineExceeded, Flushed: flushed}
	case errors.Is(err, io.EOF):
		return CloseStatus{Reason: ClosedByPeer, Flushed: flushed}
	}
	return CloseStatus{Reason: ConnectionReset, Flushed: flushed}
}

// ReleaseBuffers releases the input buffer of a connection on which no bytes are expected soon. A buffer that holds
// bytes is kept.
func (c *Conn) ReleaseBuffers() {
	if c.input.length == 0 {
		c.input.release()
	}
}

// Close closes the connection and releases its buffers.
func (c *Conn) Close() {
	if c.unbind != nil {
		c.unbind()
	}
	_ = c.conn.Close()
	c.input.release()
	c.output.release()
}
