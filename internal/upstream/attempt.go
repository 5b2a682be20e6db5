package upstream

import (
	"errors"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// rowMessages is the number of messages in the reply with a row: RowDescription, DataRow and CommandComplete.
const rowMessages = 3

// Reply is the result of an attempt. It is used by one goroutine, which must call Release once.
type Reply struct {
	SQLState    string                // SQLSTATE of the answer; empty if none arrived
	Status      transport.CloseStatus // how the connection ended; the zero value if the connection is open
	Load        []float64             // the backend's load report, in the order of the load columns; nil if there was none
	RowMessages [][]byte              // messages to forward byte for byte, valid until Release

	pool     *Pool
	conn     *conn // connection of the attempt; nil if none was used
	reusable bool  // whether the reply ended with ReadyForQuery and no bytes followed it
}

// unsentReply returns the reply of an attempt of which nothing was written.
func unsentReply(reason transport.CloseReason) Reply {
	return Reply{Status: transport.CloseStatus{Reason: reason}}
}

// Attempt runs one attempt of a query, if the attempt may still begin once there is a connection. The attempt ends with
// its context.
func (p *Pool) Attempt(attempt *dispatch.Attempt, query *pgwire.Query) Reply {
	for {
		reply, stale := p.attemptOnce(attempt, query)
		if !stale {
			return reply
		}
	}
}

// attemptOnce runs an attempt on one connection. stale reports that the backend had closed the connection while it was
// idle, so that nothing was written.
func (p *Pool) attemptOnce(attempt *dispatch.Attempt, query *pgwire.Query) (reply Reply, stale bool) {
	c, reply := p.acquire(attempt.Context, attempt.Backend)
	if c == nil {
		return reply, false
	}
	c.BindContext(attempt.Context)
	mayBegin := p.dispatcher.Begin(attempt) // the attempt may have waited for a slot or a dial
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

// releaseUnused gives back a connection on which nothing was written. Such a connection can be used again. The
// connection is closed if its context has ended or its backend is no longer current.
func (p *Pool) releaseUnused(c *conn) {
	if c.ReleaseContext() && p.dispatcher.IsCurrent(c.backend) {
		p.addIdle(c)
		return
	}
	p.close(c)
}

// isComplete reports whether the reply answers a query. A backend may report that it is ready again without an answer,
// or complete a statement without its row.
func (r *Reply) isComplete() bool {
	switch r.SQLState {
	case "":
		return r.Status.Closed()
	case pgwire.StateSuccess:
		return len(r.RowMessages) == rowMessages
	}
	return true
}

// readReply reads one reply to its end. A row or an error counts from when it is complete. After that, the backend has
// settleTime to report that it is ready for more, or connectTimeout if that is shorter, because the client gets its
// reply only after readReply returns.
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

// readErrorStatus returns the status of a connection after reading a reply: closed if there is an error, because
// nothing more can be read then, and open otherwise.
func readErrorStatus(err error) transport.CloseStatus {
	switch {
	case err == nil:
		return transport.CloseStatus{}
	case errors.Is(err, pgwire.ErrTooLong):
		return transport.CloseStatus{Reason: transport.TooLarge, Flushed: true}
	}
	return transport.CloseStatus{Reason: transport.Malformed, Flushed: true}
}

// newReply builds a reply from the buffered bytes of a connection. If more bytes follow the reply, the connection is
// not reusable.
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

// attach makes Release give the connection back. It unbinds the connection from its context now, before the context is
// cancelled: a connection whose context has ended is not reusable.
func (p *Pool) attach(reply *Reply, c *conn) {
	released := c.ReleaseContext()
	reply.pool, reply.conn = p, c
	reply.reusable = released && reply.reusable
}

// Release gives the connection back. The connection is used again only if the reply is reusable; otherwise it is
// closed.
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
