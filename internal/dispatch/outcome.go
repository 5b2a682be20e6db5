package dispatch

import (
	"net/http"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// Only the functions of this file map answers and the ends of connections to the balancer's outcomes.

// AttemptOutcome maps the end of an attempt to an outcome: by the SQLSTATE of the answer or, without an answer (""), by
// how the connection ended. If it is unknown whether the request has run, the outcome does not rule out that the
// request has run.
func AttemptOutcome(sqlState string, status transport.CloseStatus) balancer.Outcome {
	switch sqlState {
	case "":
		return outcomeWithoutAnswer(status)
	case pgwire.StateSuccess:
		return balancer.Succeeded
	case pgwire.StateTooManyConnections:
		return balancer.AtCapacity
	}
	return balancer.Errored
}

// outcomeWithoutAnswer maps how a connection ended to an outcome. Before the last byte of the request is written, the
// request cannot have run.
func outcomeWithoutAnswer(status transport.CloseStatus) balancer.Outcome {
	switch {
	case !status.Flushed && status.Reason == transport.Canceled:
		return balancer.Discarded
	case !status.Flushed:
		return balancer.ConnectFailed
	case status.Reason == transport.DeadlineExceeded:
		return balancer.TimedOut
	case status.Reason == transport.Canceled:
		return balancer.Cancelled
	}
	return balancer.Reset // any other end, for example with an answer that cannot be read
}

// VoteOutcome maps the result of sending a vote to an outcome. httpStatus is the HTTP status of the answer, or 0 if
// there is no answer that can be read.
func VoteOutcome(httpStatus int, status transport.CloseStatus) balancer.Outcome {
	switch httpStatus {
	case http.StatusOK:
		return balancer.Succeeded
	case http.StatusTooManyRequests:
		return balancer.AtCapacity
	case http.StatusConflict:
		return balancer.Discarded
	case http.StatusBadRequest, http.StatusInternalServerError:
		return balancer.Errored
	case 0:
		if !status.Flushed {
			return balancer.ConnectFailed
		}
	}
	return balancer.TimedOut
}

// MirrorOutcome maps the end of an attempt at a mirror of a repository to an outcome. httpStatus is 0 without an
// answer. accepted reports whether the content of the answer was accepted; content that is not accepted counts like an
// answer that cannot be read.
func MirrorOutcome(httpStatus int, accepted bool, status transport.CloseStatus) balancer.Outcome {
	switch {
	case accepted:
		return balancer.Succeeded
	case httpStatus == http.StatusTooManyRequests, httpStatus == http.StatusServiceUnavailable:
		return balancer.AtCapacity
	case httpStatus >= http.StatusInternalServerError:
		return balancer.Errored
	case httpStatus != 0:
		return balancer.Reset
	}
	return outcomeWithoutAnswer(status)
}
