package overload

import (
	"math"

	"silvercove/internal/tick"
)

const (
	budgetWindow = 10.0 // seconds: time constant with which firstAttempts decays
	earnedShare  = 0.95 // a first attempt earns this fraction of retryBudget.share; the remaining 5% keep the fleet within the share when dead relays pass on credit
)

// retryBudget is this relay's part of the fleet's retry budget.
//
// Each first attempt credits its relay with a share of a retry, so the budget is divided in proportion to traffic.
// Credit above the limit (see limit) is spilled: the relay gives the excess up and reports the total spilled since its
// start. Each other relay takes an equal part of the increase of that total. A lost or late report therefore never
// creates more credit than was spilled. The credit that a relay had left when it died passes to one successor.
//
// The budget guards against retries that amplify an overload. It also limits the retries after a fault of a single
// backend, where retries cost little. That restriction does harm if the backend fails more attempts before its ejection
// than the budget allows to retry.
type retryBudget struct {
	share         float64 // maximum number of retries per first attempt, over the whole fleet
	credit        float64 // retries that the relay may make
	spilled       float64 // credit above the limit, summed since the relay's start
	firstAttempts float64 // number of first attempts, decayed over budgetWindow
}

// limit returns the highest credit that the relay may save up: one retry, and those that firstAttempts earns. A relay
// that has just started may save up one retry.
func (b *retryBudget) limit() float64 { return 1 + b.share*b.firstAttempts }

// deposit adds credit and spills what exceeds the limit.
func (b *retryBudget) deposit(credit float64) {
	b.credit += credit
	if excess := b.credit - b.limit(); excess > 0 {
		b.credit -= excess
		b.spilled += excess
	}
}

// receive adds credit of another relay, up to the limit. Credit beyond the limit is lost: if it were spilled again, it
// would circulate among the relays forever.
func (b *retryBudget) receive(credit float64) {
	b.credit = min(max(b.credit, b.limit()), b.credit+credit)
}

// decay decays firstAttempts by the elapsed seconds. The limit falls with firstAttempts, and the credit above the new
// limit is spilled.
func (b *retryBudget) decay(elapsed float64) {
	b.firstAttempts *= math.Exp(-elapsed / budgetWindow)
	b.deposit(0)
}

// RecordFirstAttempt records that the first attempt of a request is sent. It must not be called for a request that is its
// client's own retry.
func (m *Manager) RecordFirstAttempt(now tick.Tick) {
	m.advance(now)
	m.budget.firstAttempts++
	m.budget.deposit(earnedShare * m.budget.share)
}

// AllowRetry reports whether a request may be attempted once more and, if so, takes the retry out of the budget. A request
// that is its client's own retry is not retried.
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

// absorbSpilled adds this relay's part of the credit that another relay spilled between two of its reports. The
// parameters before and after are the SpilledCredit of the older and of the newer report.
func (m *Manager) absorbSpilled(before, after float64) {
	if after > before {
		m.budget.receive((after - before) / m.fleetSize())
	}
}

// inheritCredit adds the credit that a dead relay had left, provided that this relay is the dead relay's successor. The
// successor is the living relay with the highest rendezvous weight for the dead one. Each side of a network partition
// therefore has at most one successor.
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
