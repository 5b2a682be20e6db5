package gate

import (
	"silvercove/choice"
	"silvercove/internal/link"
	"silvercove/internal/pgwire"
)

// The one place where answers and the ends of connections become the module's outcomes.

// Outcome maps how a delivery ended: the SQLSTATE of its answer, or with none how its connection
// ended. What is uncertain may have run.
func Outcome(state string, end link.End) choice.Ending {
	switch state {
	case "":
		return withoutAnswer(end)
	case pgwire.Complete:
		return choice.Acked
	case pgwire.NoRoom:
		return choice.Full
	}
	return choice.Errored
}

// withoutAnswer: before the last byte was written nothing can have run.
func withoutAnswer(end link.End) choice.Ending {
	switch {
	case !end.Sent && end.How == link.CalledOff:
		return choice.Moot
	case !end.Sent:
		return choice.ConnectFailed
	case end.How == link.Late:
		return choice.TimedOut
	case end.How == link.CalledOff:
		return choice.Cancelled
	}
	return choice.Reset // also what cannot be read
}

// VoteOutcome maps how a vote ended: the status of its answer, 0 with none that can be read.
func VoteOutcome(status int, end link.End) choice.Ending {
	switch {
	case status == 200:
		return choice.Acked
	case status == 429:
		return choice.Full
	case status == 409:
		return choice.Moot
	case status == 400, status == 500:
		return choice.Errored
	case status == 0 && !end.Sent:
		return choice.ConnectFailed
	}
	return choice.TimedOut
}

// MirrorOutcome maps how a delivery at a mirror of a repository ended: the status of its answer, 0 with none,
// and whether what it said was believed. What is not believed is as good as what cannot be read.
func MirrorOutcome(status int, believed bool, end link.End) choice.Ending {
	switch {
	case believed:
		return choice.Acked
	case status == 429, status == 503:
		return choice.Full
	case status >= 500:
		return choice.Errored
	case status != 0:
		return choice.Reset
	}
	return withoutAnswer(end)
}
