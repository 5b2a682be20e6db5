package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/raft"

	"silvercove/internal/placement"
)

type queuedProposal struct {
	operation placement.Operation
	refusal   error // it is refused before it is proposed
}

func (c *Controller) wakeProposer() {
	select {
	case c.proposalQueued <- struct{}{}:
	default:
	}
}

// runProposer has the planner's steps agreed, many at once.
func (c *Controller) runProposer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.proposalQueued:
		}
		for {
			c.mu.Lock()
			l := c.currentLeadership()
			if l == nil {
				c.mu.Unlock()
				break
			}
			marks := l.recordCounts.Due(c.Now())
			if len(l.proposals) == 0 && marks == nil {
				c.mu.Unlock()
				break
			}
			some := l.proposals[:min(maxEntryOperations, len(l.proposals))]
			if l.proposals = l.proposals[len(some):]; len(l.proposals) == 0 {
				l.proposals = nil
			}
			c.mu.Unlock()
			o := logEntry{Term: l.term, RecordCounts: marks}
			for _, q := range some {
				if q.refusal == nil {
					o.Operations = append(o.Operations, q.operation)
				}
			}
			var all []operationResult
			if len(o.Operations) > 0 || marks != nil {
				answer, err := c.proposeEntry(o)
				if all, _ = answer.([]operationResult); err != nil && !knownNotAgreed(err) {
					continue // what became of it is not known, and this lead is over
				} else if err != nil {
					c.mu.Lock()
					l.recordCounts.Requeue(marks)
					c.mu.Unlock()
				}
				for range len(o.Operations) - len(all) {
					all = append(all, operationResult{err: err})
				}
			}
			c.mu.Lock()
			if c.leadership == l {
				now := c.Now()
				for _, q := range some {
					err := q.refusal
					if err == nil {
						err, all = all[0].err, all[1:]
						if restsOnExpiry(q.operation) {
							l.releaseExpiry(q.operation.Node)
						}
					}
					if err != nil {
						l.planner.OnProposalRefused(now, q.operation, err)
					}
				}
			}
			c.mu.Unlock()
			c.waker.Wake()
		}
	}
}

// knownNotAgreed says of an error of apply that the order is not agreed, and that the lead may go on: it waited too long, or
// another keeper was about to be handed the lead, which may fail.
func knownNotAgreed(err error) bool {
	return errors.Is(err, raft.ErrEnqueueTimeout) || errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// proposeEntry has an order agreed. An error says that it may or may not be, but for those of never: it is not.
func (c *Controller) proposeEntry(o logEntry) (any, error) {
	o.FormatVersion = entryVersion
	text, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	r := c.raft.Load()
	if r == nil {
		return nil, raft.ErrNotLeader
	}
	f := r.Apply(text, c.timings.ProposalTimeout.Duration())
	if err := f.Error(); err != nil {
		return nil, err
	}
	if err, is := f.Response().(error); is {
		return nil, err
	}
	return f.Response(), nil
}

// onApplied has what was agreed told to the planner of the leading keeper, and logged.
func (c *Controller) onApplied(steps []placement.Operation, all []operationResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.currentLeadership()
	if l == nil {
		return
	}
	now := c.Now()
	for i, e := range steps {
		if all[i].err != nil {
			continue
		}
		p := all[i].assignment
		metrics.GetOrCreateCounter(fmt.Sprintf("cove_keeper_steps_total{kind=%q}", e.Kind)).Inc()
		l.expectRenewals(now, p)
		l.planner.OnAssignment(now, p)
		switch e.Kind {
		case placement.OpCreate, placement.OpCutOver, placement.OpFailOver, placement.OpReportIncomplete, placement.OpRestart, placement.OpRelease, placement.OpQuarantine,
			placement.OpDelete:
			to := p.Primary
			if to == "" {
				to = string(p.State)
			}
			if e.Kind == placement.OpDelete {
				to = "forgotten"
			}
			c.Log.Info().Str("event", "placed").Str("instance", p.Instance).Uint64("epoch", p.Epoch).Str("from", e.Node).
				Str("to", to).Str("why", e.Reason).Send()
		}
	}
	c.waker.Wake()
}
