package upstream

import (
	"errors"
	"time"

	"silvercove/internal/dispatch"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// rowMessages is the number of messages that make up a row in a reply: RowDescription, DataRow and CommandComplete.
const rowMessages = 3

// Reply is the result of an attempt. It is used by one goroutine, which must call Release once.
type Reply struct {
	SQLState    string                // SQLSTATE of the answer; empty if no answer arrived
	Status      transport.CloseStatus // how the connection ended; the zero value if the connection is still open
	Load        []float64             // values of the backend's load report, in the order of dispatch.Dispatcher.LoadColumns; nil if there was no report
	RowMessages [][]byte              // messages to forward byte for byte, valid until Release

	pool     *Pool
	conn     *conn // connection of the attempt; nil if none was used
	reusable bool  // whether the reply ended with ReadyForQuery and no bytes followed it
}

// unsentReply returns the reply of an attempt of which nothing was written.
func unsentReply(reason transport.CloseReason) Reply {
	return Reply{Status: transport.CloseStatus{Reason: reason}}
}

// Attempt runs one attempt of a query. It first gets a connection, and then sends the query only if the dispatcher lets
// the attempt begin. If the connection turns out to be stale before anything was written on it, Attempt gets another
// one. The attempt ends, at the latest, when its context ends.
func (p *Pool) Attempt(attempt *dispatch.Attempt, query *pgwire.Query) Reply {
	for {
		reply, stale := p.attemptOnce(attempt, query)
		if !stale {
			return reply
		}
	}
}

// attemptOnce runs an attempt on one connection. stale reports whether that connection was reused and, before anything
// was written on it, turned out to be closed or to hold unsolicited bytes.
func (p *Pool) attemptOnce(attempt *dispatch.Attempt, query *pgwire.Query) (reply Reply, stale bool) {
	c, reply := p.acquire(attempt.Context, attempt.Backend)
	if c == nil {
		return reply, false
	}
	c.BindContext(attempt.Context)
	mayBegin := p.dispatcher.Begin(attempt) // false if acquiring the connection took so long that the attempt must not begin any more
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

// releaseUnused gives back a connection on which nothing was written. If the connection's context has ended, or
// IsCurrent returns false for the backend, releaseUnused closes the connection. Otherwise the connection becomes idle
// again.
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

// readReply reads one reply to its end. A complete row or error is the result even if ReadyForQuery does not follow.
// The wait for ReadyForQuery is limited to settleTime, or to connectTimeout if that is shorter, because the client gets
// its reply only after readReply returns.
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

// newReply builds a reply from the buffered bytes of a connection. The connection is reusable only if the parameter
// ready is true and no bytes follow the reply.
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

// attach hands the connection to the reply, whose Release gives it back. attach unbinds the connection from its context
// at once, because the context will be cancelled before Release, and a connection whose context has ended is not
// reusable.
func (p *Pool) attach(reply *Reply, c *conn) {
	released := c.ReleaseContext()
	reply.pool, reply.conn = p, c
	reply.reusable = released && reply.reusable
}

// Release gives the connection of the attempt back to the pool, which keeps it as idle only if the reply is reusable,
// and closes it otherwise.
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
