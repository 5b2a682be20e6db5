package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"silvercove/internal/http1"
	"silvercove/internal/transport"
)

// endpointsPath is the agent's resource. Without a query it answers at once with the complete list; after a version (since)
// it waits for something newer, for timeout_ms at the most.
const endpointsPath = "/v1/servers"

// statusOK is that of an answer with a page.
const statusOK = 200

// poll is one question to the agent.
type poll struct {
	complete bool // for the complete list, which comes at once; else for what follows the known version
	queued   bool // discovery itself has to answer, and has it wait in its queue first
}

// call makes one call, on the connection that is open or on a new one, and takes its answer. skipped: the answer held
// changes that lead to a version before the known one, so that some may be missing. A status that is closed tells why the
// call failed.
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

// ensureConn opens a connection where there is none that may carry another call.
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

// exchange sends a request and takes the answer's page. The status is ClosedLocally where the page was taken, but the
// connection may not be used again.
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

// applyPage hands a page to the dispatcher.
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

// closedAfterSend is the status of a call whose request was sent.
func closedAfterSend(reason transport.CloseReason) transport.CloseStatus {
	return transport.CloseStatus{Reason: reason, Flushed: true}
}
