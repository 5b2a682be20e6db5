package dispatch

import (
	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/transport"
)

// The one place where answers and the ends of connections become the module's outcomes.

// AttemptOutcome maps how a delivery ended: the SQLSTATE of its answer, or with none how its connection
// ended. What is uncertain may have run.
func AttemptOutcome(state string, end transport.CloseStatus) balancer.Outcome {
	switch state {
	case "":
		return withoutAnswer(end)
	case pgwire.Complete:
		return balancer.Succeeded
	case pgwire.NoRoom:
		return balancer.AtCapacity
	}
	return balancer.Errored
}

// withoutAnswer: before the last byte was written nothing can have run.
func withoutAnswer(end transport.CloseStatus) balancer.Outcome {
	switch {
	case !end.Flushed && end.Reason == transport.Canceled:
		return balancer.Discarded
	case !end.Flushed:
		return balancer.ConnectFailed
	case end.Reason == transport.DeadlineExceeded:
		return balancer.TimedOut
	case end.Reason == transport.Canceled:
		return balancer.Cancelled
	}
	return balancer.Reset // also what cannot be read
}

// VoteOutcome maps how a vote ended: the status of its answer, 0 with none that can be read.
func VoteOutcome(status int, end transport.CloseStatus) balancer.Outcome {
	switch {
	case status == 200:
		return balancer.Succeeded
	case status == 429:
		return balancer.AtCapacity
	case status == 409:
		return balancer.Discarded
	case status == 400, status == 500:
		return balancer.Errored
	case status == 0 && !end.Flushed:
		return balancer.ConnectFailed
	}
	return balancer.TimedOut
}

// MirrorOutcome maps how a delivery at a mirror of a repository ended: the status of its answer, 0 with none,
// and whether what it said was believed. What is not believed is as good as what cannot be read.
func MirrorOutcome(status int, believed bool, end transport.CloseStatus) balancer.Outcome {
	switch {
	case believed:
		return balancer.Succeeded
	case status == 429, status == 503:
		return balancer.AtCapacity
	case status >= 500:
		return balancer.Errored
	case status != 0:
		return balancer.Reset
	}
	return withoutAnswer(end)
}
