// Package transport owns one connection: a ring buffer a direction, its deadlines, and CloseStatus, the one type of every
// way in which it can end. The buffers of all connections come out of one BufferBudget. Address is where a peer is that may
// move while the program runs.
//
// A client of the package dials with Dial, or takes over an accepted connection with NewConn. It reads with Fill, Buffered
// and Discard, writes with Append and Flush, and binds both to a context with BindContext. The package starts no goroutine
// that outlives the context that it was bound to.
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

// Conn is one connection. One goroutine at a time may read and one may write; deadlines may be set by any, and Close may be
// called by any once both are through.
type Conn struct {
	conn          net.Conn // a TCP connection, for what the kernel tells of it
	input, output ring
	flushed       atomic.Bool // the last byte of the last Flush was written
	established   bool        // the kernel has said so; the reader's

	// The context that the work is bound to, and what unbinds it; nil when it is bound to none.
	bound  context.Context
	unbind func() bool
}

// NewConn takes over a connection. Its buffers come out of budget.
func NewConn(conn net.Conn, budget *BufferBudget) *Conn {
	return &Conn{conn: conn, input: ring{budget: budget}, output: ring{budget: budget}, bound: context.Background()}
}

// Dial opens a TCP connection within a time limit. Of a connection and a status that is closed it returns one.
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

// BindContext binds what is done from now on to a context: past its deadline, or once it is canceled, reading and writing
// end. ReleaseContext undoes that.
func (c *Conn) BindContext(ctx context.Context) {
	c.ReleaseContext()
	c.bound = ctx
	deadline, _ := ctx.Deadline() // without one: the zero time, which is no deadline
	c.SetDeadline(deadline)
	c.unbind = context.AfterFunc(ctx, c.Interrupt)
}

// ReleaseContext unbinds the connection from its context. It returns whether the connection is as good as before: if the
// context ended meanwhile, the deadline that this set may come late, so such a connection is only good for closing.
func (c *Conn) ReleaseContext() (intact bool) {
	intact = c.unbind == nil || c.unbind()
	c.bound, c.unbind = context.Background(), nil
	if intact {
		c.SetDeadline(time.Time{})
	}
	return intact
}

// pastDeadline is a deadline that has gone by.
var pastDeadline = time.Unix(1, 0)

// Interrupt ends a blocked read or write, and those to come.
func (c *Conn) Interrupt() { c.SetDeadline(pastDeadline) }

// InterruptRead ends a blocked read, and those to come.
func (c *Conn) InterruptRead() { c.SetReadDeadline(pastDeadline) }

// SetDeadline sets a time limit for reading and writing; the zero time is none. It stands until the next one, or until the
// connection is bound to a context or released from it. That it fails on a connection that is closed shows at the next
// read or write.
func (c *Conn) SetDeadline(at time.Time) { _ = c.conn.SetDeadline(at) }

// SetReadDeadline sets a time limit for reading alone.
func (c *Conn) SetReadDeadline(at time.Time) { _ = c.conn.SetReadDeadline(at) }

// SetWriteDeadline sets a time limit for writing alone.
func (c *Conn) SetWriteDeadline(at time.Time) { _ = c.conn.SetWriteDeadline(at) }

// Fill waits for more bytes. The input buffer has space for at least want bytes then.
func (c *Conn) Fill(want int) CloseStatus {
	c.input.grow(max(want, c.input.length+1))
	n, err := c.conn.Read(c.input.free())
	c.input.length += n
	if n > 0 {
		return CloseStatus{}
	}
	return c.closeStatus(err)
}

// Buffered are the bytes that have come, in one stretch, valid until the next Fill.
func (c *Conn) Buffered() []byte { return c.input.content() }

// Discard takes bytes off the front of those that have come.
func (c *Conn) Discard(n int) { c.input.discard(n) }

// Append adds bytes to what is to be written.
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

// Flush writes all that was appended.
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

// closeStatus tells what an error of a read or a write says of the connection.
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

// ReleaseBuffers gives back the input buffer of a connection that nothing is expected on. One that holds bytes stays.
func (c *Conn) ReleaseBuffers() {
	if c.input.length == 0 {
		c.input.release()
	}
}

// Close ends the connection and gives its buffers back.
func (c *Conn) Close() {
	if c.unbind != nil {
		c.unbind()
	}
	_ = c.conn.Close()
	c.input.release()
	c.output.release()
}
