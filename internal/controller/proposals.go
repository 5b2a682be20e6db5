package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/raft"

	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// queuedProposal is an operation of the planner that waits to be proposed.
type queuedProposal struct {
	operation placement.Operation
	refusal   error // error of blockRenewal, because of which the operation is not proposed; nil if it may be proposed
}

// proposalBatch holds the proposals and record counts of one log entry.
type proposalBatch struct {
	leadership   *leadership
	proposals    []queuedProposal
	recordCounts map[string]uint64 // by edge node, from leases.RecordCounts.Due; nil if there are none
}

// wakeProposer wakes runProposer to check the queue and the record counts.
func (c *Controller) wakeProposer() {
	select {
	case c.proposalQueued <- struct{}{}:
	default:
	}
}

// runProposer proposes the planner's operations and the record counts that are due (leases.RecordCounts.Due), in batches, until
// the context ends.
func (c *Controller) runProposer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.proposalQueued:
		}
		for {
			batch, ok := c.nextBatch()
			if !ok {
				break
			}
			c.proposeBatch(batch)
		}
	}
}

// nextBatch takes the next proposals from the queue, and the record counts from leases.RecordCounts.Due. ok is false if there
// is nothing to propose or this controller does not lead.
func (c *Controller) nextBatch() (batch proposalBatch, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.currentLeadership()
	if l == nil {
		return batch, false
	}
	recordCounts := l.recordCounts.Due(c.Now())
	if len(l.proposals) == 0 && recordCounts == nil {
		return batch, false
	}
	proposals := l.proposals[:min(maxEntryOperations, len(l.proposals))]
	l.proposals = l.proposals[len(proposals):]
	if len(l.proposals) == 0 {
		l.proposals = nil
	}
	return proposalBatch{l, proposals, recordCounts}, true
}

// proposeBatch proposes a batch and reports the refused operations to the planner. If the result is unknown, the leadership has
// ended and its planner is no longer used, so nothing is reported.
func (c *Controller) proposeBatch(batch proposalBatch) {
	entry := logEntry{Term: batch.leadership.term, RecordCounts: batch.recordCounts}
	for _, proposal := range batch.proposals {
		if proposal.refusal == nil {
			entry.Operations = append(entry.Operations, proposal.operation)
		}
	}
	var results []operationResult
	if len(entry.Operations) > 0 || batch.recordCounts != nil {
		var err error
		results, err = c.proposeEntry(entry)
		if err != nil && !knownNotAgreed(err) {
			return
		}
		if err != nil {
			c.mu.Lock()
			batch.leadership.recordCounts.Requeue(batch.recordCounts)
			c.mu.Unlock()
		}
		for len(results) < len(entry.Operations) {
			results = append(results, operationResult{err: err})
		}
	}
	c.mu.Lock()
	if c.leadership == batch.leadership {
		batch.leadership.onBatchResult(c.Now(), batch.proposals, results)
	}
	c.mu.Unlock()
	c.waker.Wake()
}

// onBatchResult reports the refused proposals to the planner. results contains one result for each proposal whose field refusal
// is nil, in the order of the proposals. It is called with Controller.mu held.
func (l *leadership) onBatchResult(now tick.Tick, proposals []queuedProposal, results []operationResult) {
	for _, proposal := range proposals {
		err := proposal.refusal
		if err == nil {
			err = results[0].err
			results = results[1:]
			if requiresExpiredLease(proposal.operation) {
				l.unblockRenewal(proposal.operation.Node)
			}
		}
		if err != nil {
			l.planner.OnProposalRefused(now, proposal.operation, err)
		}
	}
}

// knownNotAgreed reports whether an error of proposeEntry proves that the entry was not agreed. It recognizes only the two
// errors after which the leadership may continue. One means that the entry waited too long for a place in raft's queue. The
// other means that a leadership transfer was in progress; if the transfer fails, this controller continues to lead.
func knownNotAgreed(err error) bool {
	return errors.Is(err, raft.ErrEnqueueTimeout) || errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// proposeEntry proposes an entry, waits until it is agreed and applied, and returns the results of its operations. After an
// error of raft the entry may or may not have been agreed, unless knownNotAgreed holds for the error. errTermEnded and
// leases.ErrStaleIncarnation mean that the entry was agreed and changed nothing.
func (c *Controller) proposeEntry(entry logEntry) ([]operationResult, error) {
	entry.FormatVersion = entryVersion
	text, err := json.Marshal(entry)
	if err != nil {
		return nil, err
	}
	r := c.raft.Load()
	if r == nil {
		return nil, raft.ErrNotLeader
	}
	future := r.Apply(text, c.timings.ProposalTimeout.Duration())
	if err := future.Error(); err != nil {
		return nil, err
	}
	switch response := future.Response().(type) {
	case error:
		return nil, response
	case []operationResult:
		return response, nil
	}
	return nil, nil
}

// onApplied reports the applied operations of an entry to the planner and logs them, if this controller leads. The state
// machine calls it for each entry with operations, in the log's order.
func (c *Controller) onApplied(ops []placement.Operation, results []operationResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.currentLeadership()
	if l == nil {
		return
	}
	now := c.Now()
	for i, op := range ops {
		if results[i].err != nil {
			continue
		}
		assignment := results[i].assignment
		metrics.GetOrCreateCounter(fmt.Sprintf("cove_keeper_steps_total{kind=%q}", op.Kind)).Inc()
		l.expectRenewals(now, assignment)
		l.planner.OnAssignment(now, assignment)
		c.logAssignment(op, assignment)
	}
	c.waker.Wake()
}

// logAssignment logs an operation if it changed where an instance runs.
func (c *Controller) logAssignment(op placement.Operation, a placement.Assignment) {
	switch op.Kind {
	case placement.OpCreate, placement.OpCutOver, placement.OpFailOver, placement.OpReportIncomplete, placement.OpRestart,
		placement.OpRelease, placement.OpQuarantine, placement.OpDelete:
	default:
		return
	}
	to := a.Primary
	if to == "" {
		to = string(a.State)
	}
	if op.Kind == placement.OpDelete {
		to = "forgotten"
	}
	c.Log.Info().Str("event", "placed").Str("instance", a.Instance).Uint64("epoch", a.Epoch).Str("from", op.Node).
		Str("to", to).Str("why", op.Reason).Msg("assignment changed")
}
