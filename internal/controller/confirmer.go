package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// errNoMajority means that too few controllers have answered in time; the caller may ask again.
var errNoMajority = errors.New("a majority of keepers has not confirmed the lead")

// leadershipConfirmer finds out whether a majority still follows this controller's leadership, for many lease requests with
// one round trip. It is safe for concurrent use.
//
// Guards against a leader that grants leases while another one is elected already: raft's VerifyLeader also counts an
// answer to an earlier message, which a slow link may hold back until then. Holds because each controller is asked after the
// lease request came, and one that is in the leader's term then has not voted for another leader before.
type leadershipConfirmer struct {
	controller *Controller
	wakeups    map[string]chan struct{} // by controller: wakes the goroutine that asks it

	mu            sync.Mutex              // guards the fields below
	lastRound     uint64                  // number of the last question
	confirmations map[string]confirmation // by controller
	changed       chan struct{}           // closed at the next confirmation
	waiters       int                     // calls of confirm
}

// confirmation is a controller's answer: the last question that was asked before it, and the term that it was in.
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

// run asks the other controllers until the context ends, each with one question at a time, in goroutines that it waits for.
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

// ask asks one controller and notes its answer. It returns whether there was one.
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

// retryLater has a controller that did not answer asked again after a pause, where somebody waits for that.
func (l *leadershipConfirmer) retryLater(ctx context.Context, name string) {
	l.mu.Lock()
	hasWaiters := l.waiters > 0
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return
	case <-time.After(l.controller.timings.CommitInterval.Duration()):
	}
	if hasWaiters {
		l.wake(name)
	}
}

// wake has a controller asked. One that is to be asked already will be with the latest question; a name that is no other
// controller's has no channel and is passed over.
func (l *leadershipConfirmer) wake(name string) {
	select {
	case l.wakeups[name] <- struct{}{}:
	default:
	}
}

// confirm waits until a majority of the file's controllers, asked after this call began, is in the term. It fails with
// errNoMajority, raft.ErrLeadershipLost or an error of raft.
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
			if !leadsInTerm(r, term) { // its own vote is one of the majority's, and is given last
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

// beginRound numbers a new question.
func (l *leadershipConfirmer) beginRound() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRound++
	l.waiters++
	return l.lastRound
}

// endRound says that one caller less waits.
func (l *leadershipConfirmer) endRound() {
	l.mu.Lock()
	l.waiters--
	l.mu.Unlock()
}

// countConfirmations counts the voters that have answered a question or a later one in a term, this controller included, and
// returns what is closed at the next answer.
func (l *leadershipConfirmer) countConfirmations(voters []string, round, term uint64) (count int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range voters {
		confirmed := l.confirmations[name]
		if name == l.controller.name || confirmed.round >= round && confirmed.term == term {
			count++
		}
	}
	return count, l.changed
}

// voters are the names of the voters in raft's configuration.
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

// majority is how many voters have to confirm a leadership.
//
// Guards against two controllers that were rebuilt by mistake, out of each other's sight: a rebuilt log begins with one voter,
// so both would lead. Holds because only one of them can have a majority of the file's controllers.
func (c *Controller) majority(voters []string) int {
	return max(len(voters), len(c.peers)+1)/2 + 1
}
