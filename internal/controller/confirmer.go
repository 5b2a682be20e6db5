package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// leadershipConfirmer finds out whether a majority still follows this keeper's lead, for many units at once. raft's VerifyLeader
// counts an answer to an earlier message, too, which a slow link may hold back until after another one was elected;
// here each keeper is asked after the unit's request came: a keeper that is in this term then has not voted for
// another leader before. It costs a round trip between keepers a lease.
type leadershipConfirmer struct {
	controller *Controller

	mu            sync.Mutex
	lastQuestion  uint64                   // number of the last question
	confirmations map[string]confirmation  // by keeper: the last question that was asked before its answer
	wakeups       map[string]chan struct{} // rings the keeper's goroutine
	changed       chan struct{}
	waiting       int
}

type confirmation struct{ question, term uint64 }

func newLeadershipConfirmer(controller *Controller) *leadershipConfirmer {
	c := &leadershipConfirmer{controller: controller, confirmations: map[string]confirmation{}, wakeups: map[string]chan struct{}{}, changed: make(chan struct{})}
	for _, name := range controller.peers {
		c.wakeups[name] = make(chan struct{}, 1)
	}
	return c
}

// run asks; one question at a time is under way to each keeper.
func (c *leadershipConfirmer) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, name := range c.controller.peers {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-c.wakeups[name]:
				}
				c.mu.Lock()
				s := confirmation{question: c.lastQuestion}
				c.mu.Unlock()
				each, cancel := context.WithTimeout(ctx, c.controller.timings.ConfirmTimeout.Duration())
				term, err := c.controller.client.Confirm(each, name, c.controller.raft.Load().CurrentTerm())
				cancel()
				c.mu.Lock()
				if err != nil {
					again := c.waiting > 0
					c.mu.Unlock()
					select {
					case <-ctx.Done():
						return
					case <-time.After(c.controller.timings.CommitInterval.Duration()):
					}
					if again {
						c.wake(name)
					}
					continue
				}
				s.term = term
				c.confirmations[name] = s
				close(c.changed)
				c.changed = make(chan struct{})
				c.mu.Unlock()
			}
		})
	}
	group.Wait()
}

func (c *leadershipConfirmer) wake(name string) {
	select {
	case c.wakeups[name] <- struct{}{}:
	default: // it is rung already, and will ask with the latest number; a nil channel is no peer's
	}
}

var errNoMajority = errors.New("a majority of keepers has not confirmed the lead")

func (c *Controller) voters(r *raft.Raft) (names []string, err error) {
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			names = append(names, string(s.ID))
		}
	}
	return names, nil
}

// majority is how many voters have to confirm a lead. A rebuilt log begins with one voter: two keepers that were rebuilt by
// mistake, out of each other's sight, would both lead, each for those that hear it first; of the file's keepers only one of
// them can have a majority.
func (c *Controller) majority(voters []string) int { return max(len(voters), len(c.peers)+1)/2 + 1 }

// confirm waits until a majority of the file's keepers, asked after this call began, is in the term.
func (c *leadershipConfirmer) confirm(ctx context.Context, r *raft.Raft, term uint64) error {
	voters, err := c.controller.voters(r)
	if err != nil {
		return err
	}
	need := c.controller.majority(voters)
	ctx, cancel := context.WithTimeout(ctx, c.controller.timings.ConfirmTimeout.Duration())
	defer cancel()
	c.mu.Lock()
	c.lastQuestion++
	mine := c.lastQuestion
	c.waiting++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.waiting--
		c.mu.Unlock()
	}()
	for _, name := range voters {
		c.wake(name)
	}
	for {
		c.mu.Lock()
		count, changed := 0, c.changed
		for _, name := range voters {
			if name == c.controller.name || c.confirmations[name].question >= mine && c.confirmations[name].term == term {
				count++
			}
		}
		c.mu.Unlock()
		if count >= need {
			if !leadsInTerm(r, term) { // its own word is one of the majority's, and is given last
				return raft.ErrLeadershipLost
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return errNoMajority
		case <-changed:
		}
	}
}
