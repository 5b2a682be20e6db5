package controller

import (
	"errors"

	"silvercove/internal/placement"
)

// plannerHost is what the planner acts through. It is called with mu.
type plannerHost struct {
	controller *Controller
	leadership *leadership
}

// errLeaseRunning refuses an entry that rests on the end of a lease.
var errLeaseRunning = errors.New("its owner's lease is not over: it may still act")

// restsOnExpiry: the entry rests on the lease of its By being over.
func restsOnExpiry(e placement.Operation) bool {
	switch e.Kind {
	case placement.OpFailOver, placement.OpQuarantine, placement.OpDelete:
		return e.Node != ""
	}
	return false
}

// Propose proposes an entry.
func (h plannerHost) Propose(e placement.Operation) {
	q := queuedProposal{operation: e}
	q.operation.Version = placement.FormatVersion
	if len(h.leadership.proposals) >= maxQueuedOperations {
		return // the planner's alarm comes again
	}
	if restsOnExpiry(e) {
		if q.refusal = h.leadership.holdExpiry(h.controller.Now(), e.Node); q.refusal != nil {
			h.controller.Log.Error().Str("event", "refused").Str("instance", e.Instance).Err(q.refusal).Send()
		}
	}
	h.leadership.proposals = append(h.leadership.proposals, q)
	h.controller.wakeProposer()
}

// Log is a word of the planner's.
func (h plannerHost) Log(text string) {
	h.leadership.decisions = append(h.leadership.decisions, text)
	h.leadership.decisions = h.leadership.decisions[max(0, len(h.leadership.decisions)-16):]
	h.controller.Log.Info().Str("event", "plans").Msg(text)
}
