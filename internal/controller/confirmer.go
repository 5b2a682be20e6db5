package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// errNoMajority means that too few controllers have answered in time. The caller may retry.
var errNoMajority = errors.New("a majority of the controllers has not confirmed the leadership")

// leadershipConfirmer checks whether a majority of the controllers still follows this controller's leadership. Concurrent lease
// requests share one query of each controller. A leadershipConfirmer is safe for concurrent use.
//
// The check guards against a leader that grants leases after another leader has been elected. raft's VerifyLeader does not
// suffice: it also counts the answer to a message that was sent before the call, and a slow link may have held back that answer
// until after the election. Therefore each controller is queried after the lease request has arrived. A controller that is
// still in the leader's term when it answers has not yet voted in a later term. If a majority answers so, no later leader had
// been elected when the request arrived.
type leadershipConfirmer struct {
	controller *Controller
	wakeups    map[string]chan struct{} // by controller: wakes the goroutine that queries that controller

	mu            sync.Mutex              // guards the fields below
	lastRound     uint64                  // number of the newest round; each call of confirm begins one
	confirmations map[string]confirmation // by controller: the controller's newest answer
	changed       chan struct{}           // closed at the next confirmation
	pendingCalls  int                     // calls of confirm in progress
}

// confirmation is a controller's answer to a query: the newest round that had begun when the query was sent, and the
// controller's term.
type confirmation struct{ round, term uint64 }

func newLeadershipConfirmer(controller *Controller) *leadershipConfirmer {
	l := &leadershipConfirmer{
		controller:    controller,
		wakeups:       map[string]chan struct{}{},
		confirmations: map[string]confirmation{},
		changed:       make(chan struct{}),
	}
	for _, name := range controller.peers {
		l.wakeups[name] = make(chan struct{}, 1)
	}
	return l
}

// run queries the other controllers until the context ends. At most one query to each controller is in flight. run returns
// after its goroutines have ended.
func (l *leadershipConfirmer) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, name := range l.controller.peers {
		group.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-l.wakeups[name]:
				}
				if !l.query(ctx, name) {
					l.retryLater(ctx, name)
				}
			}
		})
	}
	group.Wait()
}

// query queries one controller's term and records the confirmation. It reports whether the controller answered.
func (l *leadershipConfirmer) query(ctx context.Context, name string) bool {
	l.mu.Lock()
	round := l.lastRound
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, l.controller.timings.ConfirmTimeout.Duration())
	defer cancel()
	term, err := l.controller.client.Confirm(ctx, name, l.controller.raft.Load().CurrentTerm())
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmations[name] = confirmation{round, term}
	close(l.changed)
	l.changed = make(chan struct{})
	return true
}

// retryLater is called after a query without an answer. It waits for CommitInterval (leases.Timings). It then requests another
// query of the controller if a call of confirm was in progress when retryLater began.
func (l *leadershipConfirmer) retryLater(ctx context.Context, name string) {
	l.mu.Lock()
	hasPendingCalls := l.pendingCalls > 0
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return
	case <-time.After(l.controller.timings.CommitInterval.Duration()):
	}
	if hasPendingCalls {
		l.wake(name)
	}
}

// wake requests a query of a controller. If an earlier request still waits for its query to begin, wake does nothing: that
// query will be for the newest round. wake ignores this controller's own name, which has no channel in wakeups.
func (l *leadershipConfirmer) wake(name string) {
	select {
	case l.wakeups[name] <- struct{}{}:
	default:
	}
}

// confirm waits until a majority of the controllers in the configuration file has confirmed the given term, in answer to
// queries that were sent after this call began. It fails with errNoMajority, raft.ErrLeadershipLost or another error of raft.
func (l *leadershipConfirmer) confirm(ctx context.Context, r *raft.Raft, term uint64) error {
	voters, err := l.controller.voters(r)
	if err != nil {
		return err
	}
	majority := l.controller.majority(voters)
	ctx, cancel := context.WithTimeout(ctx, l.controller.timings.ConfirmTimeout.Duration())
	defer cancel()
	round := l.beginRound()
	defer l.endRound()
	for _, name := range voters {
		l.wake(name)
	}
	for {
		count, changed := l.countConfirmations(voters, round, term)
		if count >= majority {
			if !leadsInTerm(r, term) { // this controller counts towards the majority without a query, so its own term is checked here
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

// beginRound begins a new round for a call of confirm and returns the round's number.
func (l *leadershipConfirmer) beginRound() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRound++
	l.pendingCalls++
	return l.lastRound
}

// endRound records that a call of confirm has ended.
func (l *leadershipConfirmer) endRound() {
	l.mu.Lock()
	l.pendingCalls--
	l.mu.Unlock()
}

// countConfirmations counts the voters, including this controller, that have confirmed the given term in the given round or a
// later one. changed is closed at the next confirmation.
func (l *leadershipConfirmer) countConfirmations(voters []string, round, term uint64) (count int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range voters {
		newest := l.confirmations[name]
		if name == l.controller.name || newest.round >= round && newest.term == term {
			count++
		}
	}
	return count, l.changed
}

// voters returns the names of the voters in raft's configuration.
func (c *Controller) voters(r *raft.Raft) (names []string, err error) {
	future := r.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	for _, server := range future.Configuration().Servers {
		if server.Suffrage == raft.Voter {
			names = append(names, string(server.ID))
		}
	}
	return names, nil
}

// majority returns how many voters have to confirm that a controller leads.
//
// The majority is counted over all controllers in the configuration file, even if fewer are voters. This guards against two
// controllers that were both rebuilt by mistake and can't reach each other. Each of their logs begins with one voter, so each
// of them would lead by its own vote. Only one of the two can reach a majority of the controllers in the file.
func (c *Controller) majority(voters []string) int {
	return max(len(voters), len(c.peers)+1)/2 + 1
}
