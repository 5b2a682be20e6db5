package edgenode

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"silvercove/internal/controllerclient"
	"silvercove/internal/devicehealth"
	"silvercove/internal/pgwire"
	"silvercove/internal/replica"
	"silvercove/internal/tick"
)

// maxRequestWait limits the time of one request, even if the request asks for a longer timeout.
const maxRequestWait = time.Minute

// outcomeCounters are the names of the metrics that count requests, by outcome.
var outcomeCounters = [...]string{
	replica.Rejected:      `cove_edge_commands_total{end="never ran"}`,
	replica.Succeeded:     `cove_edge_commands_total{end="acked"}`,
	replica.Indeterminate: `cove_edge_commands_total{end="unknown"}`,
	replica.TooLarge:      `cove_edge_commands_total{end="too large"}`,
}

// answerQuery executes a query and returns the protocol messages of the answer.
func (n *Node) answerQuery(ctx context.Context, text string) []byte {
	switch command, _, _ := strings.Cut(text, " "); {
	case strings.TrimSpace(text) == "":
		return pgwire.EmptyQueryResponse()
	case command == "SET" || command == "RESET" || command == "DISCARD":
		return pgwire.CommandComplete(command)
	case text == "SELECT 1":
		if reason := n.unreadyReason(); reason != "" {
			return queryError(pgwire.StateCannotConnectNow, reason)
		}
		return pgwire.DataRow([]byte("1"), "SELECT 1")
	case text == "SHOW server_load":
		n.mu.Lock()
		load := fmt.Sprintf("inflight=%d", n.inFlight)
		n.mu.Unlock()
		return pgwire.DataRow([]byte(load), "SHOW")
	}
	query, parseError := pgwire.ParseQuery([]byte(text))
	if parseError != nil {
		return queryError(parseError.SQLState, parseError.Text)
	}
	response := n.execute(ctx, query)
	metrics.GetOrCreateCounter(outcomeCounters[response.Outcome]).Inc()
	switch response.Outcome {
	case replica.Succeeded:
		tag := "SELECT 1"
		if query.Write {
			tag = "INSERT 0 1"
		}
		return pgwire.DataRow(fmt.Appendf(nil, "%d %d %s", response.Index, response.Epoch, response.Node), tag)
	case replica.Rejected:
		return queryError(pgwire.StateTooManyConnections, response.Detail)
	case replica.TooLarge:
		return queryError(pgwire.StateLimitExceeded, response.Detail)
	}
	return queryError(pgwire.StateInternalError, response.Detail)
}

// unreadyReason returns why a health check fails, or "" if the node is ready.
func (n *Node) unreadyReason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.replicas == nil || !n.replicas.HoldsLease(controllerclient.Now()):
		return "the node has no lease"
	case n.terminating || n.report.State == devicehealth.StateShuttingDown:
		return "the node is shutting down"
	}
	return ""
}

// execute passes a request to the replica.Manager, and waits for the response or for the end of the context.
func (n *Node) execute(ctx context.Context, query *pgwire.Query) replica.Response {
	timeout := min(query.Timeout, maxRequestWait)
	request := &replica.Request{ID: query.ID, Instance: query.Key, Write: query.Write, Body: query.Value()}
	done := make(chan replica.Response, 1)
	n.mu.Lock()
	if n.replicas == nil {
		n.mu.Unlock()
		return replica.Response{Outcome: replica.Rejected, Detail: "the assignments are not loaded yet: never ran"}
	}
	n.inFlight++
	n.pendingRequests[request] = done
	now := controllerclient.Now()
	request.Deadline = now + tick.FromDuration(timeout)
	n.replicas.OnRequest(now, request)
	n.mu.Unlock()
	var response replica.Response
	select {
	case response = <-done:
	case <-ctx.Done():
		response = replica.Response{Outcome: replica.Indeterminate, Detail: "the node is stopping: its effect may be kept or dropped"}
	}
	n.mu.Lock()
	delete(n.pendingRequests, request)
	n.inFlight--
	switch response.Outcome {
	case replica.Succeeded:
		n.health.RecordOutcome(now, true)
	case replica.Indeterminate:
		// If LeaseLost is set, the controllers were unreachable or another node has become the primary. Neither says anything about
		// this node's health.
		if !response.LeaseLost {
			n.health.RecordOutcome(now, false)
		}
	}
	n.mu.Unlock()
	n.signalChange()
	return response
}
