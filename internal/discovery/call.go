package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"silvercove/internal/http1"
	"silvercove/internal/transport"
)

// endpointsPath is the agent's resource for the endpoint list. The agent answers a request without a query at once with
// the complete list. If the query names a version (since), the agent waits for a newer version before it answers, but for
// no longer than timeout_ms.
const endpointsPath = "/v1/servers"

// statusOK is the HTTP status of a response with a page.
const statusOK = 200

// poll describes one request to the agent.
type poll struct {
	complete bool // whether to ask for the complete list, which the agent sends at once; if false, the request waits for changes
	queued   bool // whether the request begins a watch and so may wait in a queue at discovery
}

// call sends one request, on the open connection or on a new one, and applies the response. If the call failed,
// status is closed and holds the reason.
//
// skipped reports that changes may have been skipped: the response is not the complete list, and its version is lower
// than r.version. The agent sends such a response after the agent or discovery has restarted with older data. The
// response is applied, but it may lack some of the changes that lead to its version. The caller then has to ask for the
// complete list.
func (r *run) call(ctx context.Context, p poll) (skipped bool, status transport.CloseStatus) {
	path, wait := endpointsPath, time.Duration(0)
	if !p.complete {
		wait = r.pollWait
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", endpointsPath, r.version, wait.Milliseconds())
	}
	timeout := r.answerTimeout
	if p.queued {
		timeout = r.openTimeout
	}
	limited, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	if status := r.ensureConn(limited); status.Closed() {
		return false, status
	}
	r.conn.BindContext(limited)
	skipped, status = r.exchange(path)
	if !r.conn.ReleaseContext() || status.Closed() {
		r.closeConn()
	}
	if status.Reason == transport.ClosedLocally {
		status = transport.CloseStatus{}
	}
	return skipped, status
}

// ensureConn opens a connection, unless the current one can be reused.
func (r *run) ensureConn(ctx context.Context) transport.CloseStatus {
	if r.conn != nil && r.conn.Reusable() {
		return transport.CloseStatus{}
	}
	r.closeConn()
	conn, status := transport.Dial(ctx, r.agent, r.answerTimeout, r.buffers)
	if status.Closed() {
		return status
	}
	r.conn = conn
	return transport.CloseStatus{}
}

// exchange sends a request and applies the page in the response. The status is ClosedLocally if the page was applied but
// the connection cannot be reused.
func (r *run) exchange(path string) (skipped bool, status transport.CloseStatus) {
	r.conn.Append(http1.FormatRequest("GET", path, r.agent, ""))
	if status := r.conn.Flush(); status.Closed() {
		return false, status
	}
	var response http1.Response
	var body []byte
	for {
		used, read, err := response.Read(r.conn.Buffered(), body)
		r.conn.Discard(used)
		body = read
		switch {
		case errors.Is(err, http1.ErrTooLong):
			return false, closedAfterSend(transport.TooLarge)
		case response.Done && err == nil && response.Status/100 == 5:
			return false, closedAfterSend(transport.PeerBusy)
		case err != nil, response.Done && response.Status != statusOK:
			return false, closedAfterSend(transport.Malformed)
		case response.Done:
			return r.applyPage(body, response.Close)
		}
		if status := r.conn.Fill(0); status.Closed() {
			return false, status
		}
	}
}

// applyPage parses a page and passes it to the dispatcher. connCloses is set if the agent closes the connection after the
// response.
func (r *run) applyPage(body []byte, connCloses bool) (skipped bool, status transport.CloseStatus) {
	page, err := ParsePage(body)
	if err != nil {
		return false, closedAfterSend(transport.Malformed)
	}
	skipped = !page.Complete && page.Version < r.version
	r.version = page.Version
	r.Answers.Add(1)
	r.dispatcher.UpdateEndpoints(page.Complete, page.Endpoints)
	if connCloses {
		return skipped, closedAfterSend(transport.ClosedLocally)
	}
	return skipped, transport.CloseStatus{}
}

// closedAfterSend returns the status of a call that ended for the given reason after its request was sent.
func closedAfterSend(reason transport.CloseReason) transport.CloseStatus {
	return transport.CloseStatus{Reason: reason, Flushed: true}
}
