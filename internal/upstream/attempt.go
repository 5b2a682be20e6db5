package upstream

import (
	"errors"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// rowMessages are the messages of a row: its description, the row itself and its end.
const rowMessages = 3

// Reply is how an attempt ended. It is used by one goroutine, which calls Release once.
type Reply struct {
	SQLState    string                // of the answer; empty where none came
	Status      transport.CloseStatus // how the connection ended, if it did
	Load        []float64             // the backend's load report, in the order of the load columns; nil without one
	RowMessages [][]byte              // messages to pass on byte for byte, valid until Release

	pool     *Pool
	conn     *conn // nil where none was used
	reusable bool  // the reply ended in order, with nothing behind it
}

// unsentReply is a reply of an attempt of which nothing was written.
func unsentReply(reason transport.CloseReason) Reply {
	return Reply{Status: transport.CloseStatus{Reason: reason}}
}

// Attempt makes one attempt of a query, if that still may begin once there is a connection. The attempt's context ends it.
func (p *Pool) Attempt(attempt *dispatch.Attempt, query *pgwire.Query) Reply {
	for {
		reply, stale := p.attemptOnce(attempt, query)
		if !stale {
			return reply
		}
	}
}

// attemptOnce makes an attempt on one connection; stale: the backend had closed it while it was idle, and nothing was
// written.
func (p *Pool) attemptOnce(attempt *dispatch.Attempt, query *pgwire.Query) (reply Reply, stale bool) {
	c, reply := p.acquire(attempt.Context, attempt.Backend)
	if c == nil {
		return reply, false
	}
	c.BindContext(attempt.Context)
	mayBegin := p.dispatcher.Begin(attempt) // it may have waited for a slot or a dial
	timeLeft := time.Until(attempt.Deadline)
	if !mayBegin || timeLeft < time.Millisecond {
		p.releaseUnused(c)
		return unsentReply(transport.Canceled), false
	}
	if !c.Reusable() {
		isNew := c.idleSince.IsZero()
		p.discard(c)
		return unsentReply(transport.ClosedByPeer), !isNew
	}
	c.Append(query.Forward(timeLeft)...)
	if status := c.Flush(); status.Closed() {
		p.close(c)
		return Reply{Status: status}, false
	}
	reply = p.readReply(c)
	if !reply.isComplete() {
		reply = Reply{Status: transport.CloseStatus{Reason: transport.Malformed, Flushed: true}}
	}
	p.attach(&reply, c)
	return reply, false
}

// releaseUnused gives back a connection on which nothing was written: it is as good as before.
func (p *Pool) releaseUnused(c *conn) {
	if c.ReleaseContext() && p.dispatcher.IsCurrent(c.backend) {
		p.addIdle(c)
		return
	}
	p.close(c)
}

// isComplete reports whether a reply answers a query: a backend may say that it is ready again without an answer, or end a
// statement without its row.
func (r *Reply) isComplete() bool {
	switch r.SQLState {
	case "":
		return r.Status.Closed()
	case pgwire.StateSuccess:
		return len(r.RowMessages) == rowMessages
	}
	return true
}

// readReply reads one reply to its end. A row or an error counts from when it is complete; the backend then has the time in
// which a connection settles to say that it is ready for more, as the client waits meanwhile.
func (p *Pool) readReply(c *conn) Reply {
	var response pgwire.Response
	for {
		status := readErrorStatus(response.Read(c.Buffered()))
		if !status.Closed() {
			if response.Ready || response.Fatal {
				return p.newReply(c, &response, response.Ready)
			}
			if response.SQLState != "" {
				c.SetDeadline(time.Now().Add(min(p.connectTimeout, settleTime)))
			}
			status = c.Fill(response.Need(c.Buffered()))
		}
		switch {
		case !status.Closed():
		case response.SQLState != "":
			return p.newReply(c, &response, false)
		default:
			return Reply{Status: status}
		}
	}
}

// readErrorStatus is the end of a connection on which a reply can't be read any further; open without an error.
func readErrorStatus(err error) transport.CloseStatus {
	switch {
	case err == nil:
		return transport.CloseStatus{}
	case errors.Is(err, pgwire.ErrTooLong):
		return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
	}
	return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
}

// newReply takes a reply out of what a connection has buffered. A connection with more behind it is not reusable.
func (p *Pool) newReply(c *conn, response *pgwire.Response, ready bool) Reply {
	reply := Reply{
		SQLState: response.SQLState,
		Load:     pgwire.ParseLoad(response.Load, p.loadColumns),
		reusable: ready && response.Consumed == len(c.Buffered()),
	}
	if response.SQLState == pgwire.StateSuccess {
		for _, span := range response.RowMessages {
			reply.RowMessages = append(reply.RowMessages, span.Of(c.Buffered()))
		}
	}
	return reply
}

// attach has Release give the connection back. The connection's context is let go now, before it is cancelled: one that it has
// ended is not reusable.
func (p *Pool) attach(reply *Reply, c *conn) {
	released := c.ReleaseContext()
	reply.pool, reply.conn = p, c
	reply.reusable = released && reply.reusable
}

// Release gives the connection back. It is used again only after a reply that ended in order.
func (r *Reply) Release() {
	c := r.conn
	if c == nil {
		return
	}
	if !r.reusable {
		r.pool.close(c)
		return
	}
	c.Discard(len(c.Buffered()))
	r.pool.addIdle(c)
}
