package overload

import (
	"math"

	"silvercove/internal/tick"
)

const (
	budgetSpan = 10.0 // seconds of first deliveries whose repeats may be saved up
	usedPart   = 0.95 // of the share: what relays that die hand on must not take the fleet above it
)

// The budget of repeats is one for the fleet: each first delivery earns its relay a share of a repeat, so it is divided
// by traffic. What a relay cannot keep is spilled, counted since its start and told; each other relay takes a part of it
// that is the same for all, so that no news that are lost or late make more of it than there was. What one that dies had
// left goes to one heir. It guards against repeats that feed an overload; a single unit's fault, where repeats cost
// little, is met by it too, and hurts when more than the budget fails there before the unit is set aside.

// RecordFirstAttempt takes that the first delivery of a command goes out which its client does not repeat.
func (f *Manager) RecordFirstAttempt(now tick.Tick) {
	f.step(now)
	f.firsts++
	f.earn(usedPart * f.share)
}

// most is what may be saved up: next to nothing for a relay that has just started.
func (f *Manager) most() float64 { return 1 + f.share*f.firsts }

func (f *Manager) earn(credit float64) {
	f.credit += credit
	if over := f.credit - f.most(); over > 0 {
		f.credit -= over
		f.spilled += over
	}
}

// age brings on what decays with time.
func (f *Manager) age(seconds float64) {
	f.firsts *= math.Exp(-seconds / budgetSpan)
	f.earn(0)
}

// gain takes this relay's part of what another one has spilled since it was last heard. What cannot be kept is lost:
// spilled once more it would go round for ever.
func (f *Manager) gain(before, after float64) {
	if after > before {
		f.credit = min(max(f.credit, f.most()), f.credit+(after-before)/f.size())
	}
}

// AllowRetry tells whether a command may be delivered once more. What was a repeat of its client's already is not.
func (f *Manager) AllowRetry(now tick.Tick, wasRepeat bool) bool {
	f.step(now)
	switch {
	case f.solo():
		return true
	case wasRepeat || f.credit < 1:
		return false
	}
	f.credit--
	return true
}

// inherit takes the credit that a dead relay had left, if this is the heir: the first by rendezvous hashing over the
// living, so that each side of a split has one at the most.
func (f *Manager) inherit(p *peer) {
	if p.inherited {
		return
	}
	p.inherited = true
	best := weight(p.hash, f.self)
	for _, o := range f.peers {
		if o != p && o.alive && weight(p.hash, o.hash) > best {
			return
		}
	}
	f.credit = min(max(f.credit, f.most()), f.credit+p.told.RetryCredit)
}
