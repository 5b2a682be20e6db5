package balancer

import "math"

// While a backend warms up, all relays together send it in any OverloadWindow no more than OverloadMultiple times its
// present capacity. No relay knows how much the other relays send, so each relay limits itself to a part of its own
// rate at warm backends. If every relay does so, the sum stays within the limit.
//
// Inputs: the start time of a backend and the site's slow-start settings, the relay's rate at a warm backend in
// successes per second, the number of relays, and the times of the attempts within the window.
//
// Slow start guards against the collapse of a backend that has just started, for instance when all relays send to it at
// once after a restart. The parts add up to less than the site allows. If a relay's part is less than one attempt per
// window, the relay accrues a budget over time. It sends an attempt when the budget for one has accrued. The first
// attempt needs only a random fraction of the budget for one attempt. The parts also leave room for several relays that
// happen to send in the same window.

const (
	// slowStartShare is a share of the attempts that the site allows at a backend that warms up (see
	// SlowStart.OverloadMultiple). The slow-start budget of all relays together is computed from this share.
	slowStartShare = 0.85
	// slowStartDeviations is a number of standard deviations of the attempts that the relays together send in one
	// window. The budget leaves this many free within slowStartShare, for relays that happen to send in the same
	// window.
	slowStartDeviations = 3
	// minSlowStartAttempts is the minimum budget of all relays together, in attempts per window, before slowStartBudget
	// subtracts the deviations. One attempt per window stays within the site's tolerance whatever the capacity of the
	// backend: the site tolerates two attempts above its limit.
	minSlowStartAttempts = 1
)

// warmUp holds the attempts that a backend has been sent while it warms up.
type warmUp struct {
	warmUpSends        []Tick  // times of the attempts within the window
	lastWarmUpSend     Tick    // time of the last attempt; before the first attempt, when the present process was first listed
	warmUpCreditNeeded float64 // fraction of one attempt that the budget must accrue after lastWarmUpSend before the next attempt
}

// warmUpFraction returns a lower bound of a backend's current capacity, as a fraction of its warm capacity. It is 1 once
// the warm-up is over, and for a backend without a start time.
func (b *Balancer) warmUpFraction(backend *Backend) float64 {
	if backend.StartedAt == 0 {
		return 1
	}
	window, age := b.settings.SlowStart.Window.Ticks(), b.now-backend.StartedAt
	if age >= window {
		return 1
	}
	initialFraction := b.settings.SlowStart.InitialFraction
	return initialFraction + (1-initialFraction)*float64(max(0, age))/float64(window)
}

// slowStartAllows reports whether a backend may get one more attempt from this relay within the relay's part of the
// budget.
func (b *Balancer) slowStartAllows(backend *Backend) bool {
	fraction := b.warmUpFraction(backend)
	if fraction >= 1 {
		return true
	}
	window := b.settings.SlowStart.OverloadWindow.Ticks()
	backend.warmUpSends = dropBefore(backend.warmUpSends, b.now-window-1)
	budget := b.slowStartBudget(fraction, window)
	if budget >= 1 {
		// The budget is not rounded up: if every relay rounded it up, the relays together would send up to twice the
		// limit.
		return float64(len(backend.warmUpSends))+1 <= budget
	}
	return float64(b.now-backend.lastWarmUpSend)*budget >= float64(window)*backend.warmUpCreditNeeded
}

// slowStartBudget returns how many attempts this relay may send to a backend in a window.
func (b *Balancer) slowStartBudget(fraction float64, window Tick) float64 {
	relays := max(1, b.settings.Relays)
	multiple := b.settings.SlowStart.OverloadMultiple
	budget := slowStartShare * multiple * fraction * b.ratePerBackend * float64(window) / float64(Second)
	deviation := slowStartDeviations * math.Sqrt(max(0, 1-budget)) / 2
	return math.Pow(math.Sqrt(deviation*deviation+max(minSlowStartAttempts, budget*relays))-deviation, 2) / relays
}

// countWarmUpSend counts an attempt at a backend that warms up.
func (b *Balancer) countWarmUpSend(backend *Backend) {
	backend.warmUpSends = append(backend.warmUpSends, b.now)
	backend.lastWarmUpSend, backend.warmUpCreditNeeded = b.now, 1
}

// startSlowStart draws when the first attempt at a new process comes due, so that relays do not all send at once.
func (b *Balancer) startSlowStart(backend *Backend) {
	const steps = 1000
	backend.lastWarmUpSend, backend.warmUpCreditNeeded = b.now, float64(1+b.random.intN(steps))/steps
}
