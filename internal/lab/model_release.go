package lab

import (
	"math"

	"silvercove/balancer"
)

// currentCap returns the exposure cap of the newest package in the current phase of the rollout.
func (m *model) currentCap() float64 {
	switch m.phase {
	case balancer.Canary:
		return m.Stages[m.stage].Cap
	case balancer.Released:
		return 1
	}
	return 0
}

// announceRelease notifies every relay of the state of the rollout after releaseLag, or after 5 s if the relay gets
// updates late (see Condition.BlindShare).
func (m *model) announceRelease() {
	for _, n := range m.relays {
		lag, incarnation := releaseLag, n.incarnation
		if n.updatesLate {
			lag = 5
		}
		m.after(lag, func() {
			if n.incarnation == incarnation {
				n.onRelease(false, balancer.Succeeded)
			}
		})
	}
}

// offerPackage starts the rollout of the next package in offers.
func (m *model) offerPackage() {
	m.newest = max(m.newest, stableVersion) + 1
	m.packages[m.newest], m.offers = m.offers[0], m.offers[1:]
	m.offeredAt = m.now
	m.enterStage(0)
}

// nextPackage starts the rollout of the next package after wait seconds. If no package is left, it ends the simulation
// after wait seconds. outcome says how the rollout of the package before ended: "back" (rolled back) or "released".
func (m *model) nextPackage(outcome string, wait float64) {
	if len(m.offers) == 0 {
		m.after(wait, func() { m.done = true })
		return
	}
	m.result.EarlierOutcomes += outcome + " "
	m.after(wait, m.offerPackage)
}

// enterStage starts a stage and moves the stage's share of the backends to the newest package.
func (m *model) enterStage(stage int) {
	m.stage, m.phase, m.stageStart, m.advancePending = stage, balancer.Canary, m.now, false
	m.announceRelease()
	m.replaceBackends(m.newest, int(math.Ceil(m.Stages[stage].Share*float64(m.Backends))))
}

// replaceBackends moves backends to a version until target backends run it. It replaces every seventh backend, so that
// backends replaced in sequence mostly have different numbers modulo six. failureShare depends on that remainder. If
// the number of backends is divisible by seven, steps of seven would not reach every backend. replaceBackends then goes
// through the backends in their order.
func (m *model) replaceBackends(version uint16, target int) {
	updated := 0
	for _, u := range m.backends {
		if u.version == version {
			updated++
		}
	}
	for i := 0; i < m.Backends && updated < target; i++ {
		u := m.backends[i*7%m.Backends]
		if m.Backends%7 == 0 {
			u = m.backends[i]
		}
		if u.version == version {
			continue
		}
		updated++
		u.replacements++
		replacement := u.replacements
		u.state = balancer.Draining
		m.announceBackend(u)
		m.after(replaceSpan, func() {
			if u.replacements != replacement {
				return
			}
			u.version, u.started, u.state = version, m.now, balancer.Ready
			u.incarnation++
			u.slots = [slotsPerBackend]balancer.Tick{}
			m.announceBackend(u)
		})
	}
}

// announceBackend notifies every relay of the state of a backend after listLag, or after 0.9 x replaceSpan if the relay
// gets updates late (see Condition.BlindShare).
func (m *model) announceBackend(u *backend) {
	state := *u
	for _, n := range m.relays {
		incarnation, lag := n.incarnation, listLag
		if n.updatesLate {
			lag = 0.9 * replaceSpan // late, but before the backend is ready with another version, replaceSpan after its drain began
		}
		m.after(lag, func() {
			if n.incarnation == incarnation {
				n.announce(&state)
				n.balancer.OnListSynced(m.now, true)
			}
		})
	}
}

// applyVote applies a vote to the rollout. A vote to roll back takes effect at once. A vote to promote ends the stage
// once the bake time is over.
func (m *model) applyVote(v balancer.Verdict) {
	switch {
	case v == balancer.RollBack && m.phase != balancer.RollingBack:
		last := len(m.offers) == 0
		if last {
			m.result.RolledBack = true
			m.recordVerdictTime()
		}
		m.phase = balancer.RollingBack
		m.announceRelease()
		if last {
			m.done = true
			return
		}
		m.replaceBackends(m.stable, m.Backends)
		m.after(2*replaceSpan, func() {
			m.phase = balancer.Withdrawn
			m.announceRelease()
		})
		m.nextPackage("back", 3*replaceSpan)
	case v == balancer.Promote && m.phase == balancer.Canary && !m.advancePending:
		m.advancePending = true
		wait := max(0, m.stageStart+ticksOf(m.Bake)-m.now)
		stage := m.stage
		m.at(m.now+wait, func() {
			if m.phase == balancer.Canary && m.stage == stage {
				m.advance()
			}
		})
	}
}

// recordVerdictTime records the time from the start of the rollout to its first verdict. It does not change a time that
// was recorded earlier.
func (m *model) recordVerdictTime() {
	if m.result.VerdictSeconds == 0 {
		m.result.VerdictSeconds = float64(m.now-m.offeredAt) / second
	}
}

// advance starts the next stage. After the last stage it releases the package.
func (m *model) advance() {
	last := len(m.offers) == 0
	if last {
		m.result.StagesPassed++
	}
	if m.stage+1 < len(m.Stages) {
		m.enterStage(m.stage + 1)
		return
	}
	m.phase = balancer.Released
	if last {
		m.result.Released = true
		m.recordVerdictTime()
	}
	m.announceRelease()
	if last {
		m.after(m.WatchSpan, func() { m.done = true })
		return
	}
	version := m.newest
	m.after(m.WatchSpan, func() {
		if m.phase == balancer.Released && m.newest == version { // the condition is false if the package was rolled back during WatchSpan
			m.stable = version
			m.nextPackage("released", 0)
		}
	})
}
