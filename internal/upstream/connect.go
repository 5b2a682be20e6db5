package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// acquire returns a connection to a backend: an idle one if takeIdle yields one that is usable, and a new one
// otherwise. If it returns nil, the reply holds the reason.
func (p *Pool) acquire(ctx context.Context, backend dispatch.Backend) (*conn, Reply) {
	for c := p.takeIdle(backend.Name); c != nil; c = p.takeIdle(backend.Name) {
		if c.backend == backend && time.Since(c.idleSince) < p.maxIdleTime && c.Reusable() {
			p.Reused.Add(1)
			return c, Reply{}
		}
		p.discard(c)
	}
	if reason := p.reserveSlot(ctx); reason != transport.StillOpen {
		return nil, unsentReply(reason)
	}
	c, reply := p.dial(ctx, backend)
	if c == nil {
		p.Failed.Add(1)
		<-p.slots
	}
	return c, reply
}

// reserveSlot takes a slot for a new connection. If no slot is free, it first closes the connection that has been idle
// the longest.
func (p *Pool) reserveSlot(ctx context.Context) transport.CloseReason {
	select {
	case p.slots <- struct{}{}:
		return transport.StillOpen
	default:
	}
	if !p.closeOldest() {
		p.Failed.Add(1)
		return transport.Refused
	}
	select {
	case p.slots <- struct{}{}:
		return transport.StillOpen
	case <-ctx.Done():
		return transport.Canceled // the attempt's context has ended, which is not counted against the backend
	}
}

// dial opens a connection and waits until the backend reports that it is ready, within the connect timeout. The caller
// has reserved the slot.
func (p *Pool) dial(ctx context.Context, backend dispatch.Backend) (*conn, Reply) {
	p.Opened.Add(1)
	limited, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	raw, status := transport.Dial(limited, backend.Address, p.connectTimeout, p.buffers)
	if status.Closed() {
		return nil, Reply{Status: status}
	}
	c := &conn{Conn: raw, backend: backend}
	reply, ready := p.startSession(limited, c)
	if ready {
		return c, Reply{}
	}
	c.Close()
	switch {
	case reply.SQLState == pgwire.StateTooManyConnections:
		return nil, Reply{SQLState: reply.SQLState}
	case reply.Status.Closed():
		return nil, unsentReply(reply.Status.Reason) // no query was written, only the startup message
	case errors.Is(ctx.Err(), context.Canceled): // the attempt was canceled, which is not counted against the backend
		return nil, unsentReply(transport.Canceled)
	}
	return nil, unsentReply(transport.ConnectTimeout)
}

// startSession sends the startup message and reads the backend's answer (PostgreSQL manual, "Start-up"). ready reports
// whether queries may be sent on the connection.
func (p *Pool) startSession(ctx context.Context, c *conn) (reply Reply, ready bool) {
	c.BindContext(ctx)
	c.Append(pgwire.StartupMessage())
	if status := c.Flush(); status.Closed() {
		return Reply{Status: status}, false
	}
	reply = p.readReply(c)
	if reply.SQLState != "" || reply.Status.Closed() || !reply.reusable || !c.ReleaseContext() {
		return reply, false
	}
	c.Discard(len(c.Buffered()))
	return reply, true
}

// Prewarm opens connections to backends that have just been listed, the same number to each backend, so that the first
// requests after a start need not wait for a dial. relays is the configured number of relays. A relay opens at most
// cap(slots)/2/relays connections to one backend. All relays together therefore open at most cap(slots)/2 connections
// to it, as a single relay would. Without this limit, many relays that start at the same time would make the backends
// spend work on connections that few requests use. Prewarm returns at the latest after the connect timeout, or when the
// context ends. It abandons the connections that are not ready by then.
func (p *Pool) Prewarm(ctx context.Context, targets []dispatch.Backend, relays int) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	slots := cap(p.slots) / prewarmSlotsDivisor
	perBackend := min(slots/max(1, len(targets)), slots/max(1, relays))
	var dials sync.WaitGroup
	for i := range perBackend * len(targets) {
		dials.Go(func() { p.prewarmOne(ctx, targets[i%len(targets)]) })
	}
	dials.Wait()
}

func (p *Pool) prewarmOne(ctx context.Context, backend dispatch.Backend) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	c, _ := p.dial(ctx, backend)
	if c == nil {
		<-p.slots
		return
	}
	p.addIdle(c)
}

// Probe sends a query of its own to a backend and reports the result to the dispatcher. It does not block.
func (p *Pool) Probe(backend dispatch.Backend) {
	p.probes.Go(func() {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), p.connectTimeout)
		defer cancel()
		c, reply := p.acquire(ctx, backend)
		if c != nil {
			c.BindContext(ctx)
			c.Append(pgwire.SimpleQuery(probeQuery))
			reply.Status = c.Flush()
			if !reply.Status.Closed() {
				reply = p.readReply(c)
			}
			p.attach(&reply, c)
			reply.Release()
		}
		p.dispatcher.ProbeEnded(backend.Name, reply.SQLState, reply.Status, time.Since(began), reply.Load)
	})
}

// probeQuery is a query that costs a backend almost nothing.
const probeQuery = "SELECT 1"
