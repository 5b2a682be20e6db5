package overload

import (
	"math"

	"silvercove/internal/tick"
)

const (
	budgetWindow = 10.0 // seconds of first attempts whose retries may be saved up
	earnedShare  = 0.95 // of the share that is earned: what relays that die pass on must not take the fleet above it
)

// retryBudget is this relay's part of the fleet's budget of retries. Each first attempt earns its relay a share of a
// retry, so the budget is divided by traffic. What a relay cannot keep is spilled, counted since its start and reported;
// each other relay takes a part of it that is the same for all, so that no report that is lost or late makes more of it
// than there was. What a relay that dies had left goes to one heir.
//
// It guards against retries that feed an overload. The fault of a single backend, where retries cost little, is met by
// it too; it hurts when more than the budget fails there before the backend is ejected.
type retryBudget struct {
	share         float64 // retries for each first attempt
	credit        float64 // retries that may be made
	spilled       float64 // retries that could not be kept, since the start
	firstAttempts float64 // decayed over budgetWindow
}

// limit is what may be saved up: next to nothing for a relay that has just started.
func (b *retryBudget) limit() float64 { return 1 + b.share*b.firstAttempts }

// deposit adds credit, and spills what is beyond the limit.
func (b *retryBudget) deposit(credit float64) {
	b.credit += credit
	if over := b.credit - b.limit(); over > 0 {
		b.credit -= over
		b.spilled += over
	}
}

// receive adds another relay's credit up to the limit. What is beyond it is lost: spilled once more it would go round
// for ever.
func (b *retryBudget) receive(credit float64) {
	b.credit = min(max(b.credit, b.limit()), b.credit+credit)
}

// decay decays the budget by so many seconds.
func (b *retryBudget) decay(elapsed float64) {
	b.firstAttempts *= math.Exp(-elapsed / budgetWindow)
	b.deposit(0)
}

// RecordFirstAttempt records that the first attempt of a request goes out. Requests that their clients repeat are not
// counted.
func (m *Manager) RecordFirstAttempt(now tick.Tick) {
	m.advance(now)
	m.budget.firstAttempts++
	m.budget.deposit(earnedShare * m.budget.share)
}

// AllowRetry reports whether a request may be attempted once more, and takes the retry out of the budget. A request that
// is its client's own retry is not retried.
func (m *Manager) AllowRetry(now tick.Tick, clientRetry bool) bool {
	m.advance(now)
	if m.standalone() {
		return true
	}
	if clientRetry || m.budget.credit < 1 {
		return false
	}
	m.budget.credit--
	return true
}

// absorbSpilled adds this relay's part of what another one has spilled between two of its reports.
func (m *Manager) absorbSpilled(before, after float64) {
	if after > before {
		m.budget.receive((after - before) / m.fleetSize())
	}
}

// inheritCredit adds the credit that a dead relay had left, if this one is its heir: the first by rendezvous hashing
// over the living, so that each side of a split has one at the most.
func (m *Manager) inheritCredit(dead *peer) {
	if dead.creditInherited {
		return
	}
	dead.creditInherited = true
	ownWeight := rendezvousWeight(dead.id, m.id)
	for _, p := range m.fleet.peers {
		if p != dead && p.alive && rendezvousWeight(dead.id, p.id) > ownWeight {
			return
		}
	}
	m.budget.receive(dead.report.RetryCredit)
}
