package controller

import (
	"silvercove/internal/placement"
)

// plannerHost is the Host of the planner of one leadership. Its methods are called with Controller.mu held.
type plannerHost struct {
	controller *Controller
	leadership *leadership
}

// requiresExpiredLease reports whether an operation may be committed only while op.Node has no lease.
func requiresExpiredLease(op placement.Operation) bool {
	switch op.Kind {
	case placement.OpFailOver, placement.OpQuarantine, placement.OpDelete:
		return op.Node != ""
	}
	return false
}

// Propose queues an operation. If the queue is full, the operation is dropped: the planner proposes it again at a later tick.
func (h plannerHost) Propose(op placement.Operation) {
	if len(h.leadership.proposals) >= maxQueuedOperations {
		return
	}
	op.Version = placement.FormatVersion
	proposal := queuedProposal{operation: op}
	if requiresExpiredLease(op) {
		proposal.refusal = h.leadership.blockRenewal(h.controller.Now(), op.Node)
		if proposal.refusal != nil {
			h.controller.Log.Error().Str("event", "refused").Str("instance", op.Instance).Err(proposal.refusal).
				Msg("planned operation refused")
		}
	}
	h.leadership.proposals = append(h.leadership.proposals, proposal)
	h.controller.wakeProposer()
}

// Explain records a decision of the planner and logs it.
func (h plannerHost) Explain(text string) {
	decisions := append(h.leadership.decisions, text)
	h.leadership.decisions = decisions[max(0, len(decisions)-maxRecentDecisions):]
	h.controller.Log.Info().Str("event", "plans").Str("why", text).Msg("planner decision")
}
