package dispatch

import (
	"net/http"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// The functions of this file are the one place where answers and the ends of connections become the balancer's outcomes.

// AttemptOutcome maps how an attempt ended: the SQLSTATE of its answer, or with none ("") how its connection ended. What is
// uncertain may have run.
func AttemptOutcome(state string, status transport.CloseStatus) balancer.Outcome {
	switch state {
	case "":
		return outcomeWithoutAnswer(status)
	case pgwire.StateSuccess:
		return balancer.Succeeded
	case pgwire.StateTooManyConnections:
		return balancer.AtCapacity
	}
	return balancer.Errored
}

// outcomeWithoutAnswer maps how a connection ended. Before the last byte was written nothing can have run.
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
	return balancer.Reset // also what cannot be read
}

// VoteOutcome maps how a vote ended: the HTTP status of its answer, 0 with none that can be read.
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

// MirrorOutcome maps how an attempt at a mirror of a repository ended: the HTTP status of its answer, 0 with none, and
// whether what it said was accepted. What is not accepted is as good as what cannot be read.
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
