package balancer

import "math"

// The rule: in any window of the site's length, a backend that warms up gets from all relays together no more than a
// multiple of its present capacity. No relay knows what others send, so each keeps to a part of its own rate at warm
// backends; as all do, the sum keeps the rule.
//
// Inputs: when a backend has started and what the site's slow-start settings say of it, the relay's rate at a warm backend
// in successes a second, the number of relays, the times of the attempts within the window.
//
// Guards against backends that fall over while they are cold: seen as a restart that all relays rush to; holds because the
// parts add up to less than what the site allows. A part of less than one attempt a window comes due over the time from a
// drawn moment, and leaves room for what chance piles up among the relays.

const (
	// slowStartShare is the part of what the site allows that is used.
	slowStartShare = 0.85
	// slowStartDeviations is how many standard deviations of chance are left free in it.
	slowStartDeviations = 3
	// minSlowStartAttempts is what no backend falls under in a window, whatever it can do: the site's rule has a slack of two.
	minSlowStartAttempts = 1
)

// warmUp is what a backend that warms up has been sent.
type warmUp struct {
	warmUpSends        []Tick  // within the window
	lastWarmUpSend     Tick    // or when this process was first listed
	warmUpCreditNeeded float64 // the part of an attempt's budget that must come due after it
}

// warmUpFraction is the part of its capacity that a backend has at the least.
func (b *Balancer) warmUpFraction(backend *Backend) float64 {
	if backend.StartedAt == 0 {
		return 1
	}
	window, age := b.settings.SlowStart.Window.Ticks(), b.now-backend.StartedAt
	if age >= window {
		return 1
	}
	from := b.settings.SlowStart.InitialFraction
	return from + (1-from)*float64(max(0, age))/float64(window)
}

// slowStartAllows tells whether a backend may get one more attempt of this relay within its part of the budget.
func (b *Balancer) slowStartAllows(backend *Backend) bool {
	fraction := b.warmUpFraction(backend)
	if fraction >= 1 {
		return true
	}
	window := b.settings.SlowStart.OverloadWindow.Ticks()
	backend.warmUpSends = dropBefore(backend.warmUpSends, b.now-window-1)
	budget := b.slowStartBudget(fraction, window)
	if budget >= 1 {
		return float64(len(backend.warmUpSends))+1 <= budget // rounded up by each, all would send up to twice as much
	}
	return float64(b.now-backend.lastWarmUpSend)*budget >= float64(window)*backend.warmUpCreditNeeded
}

// slowStartBudget is this relay's part of what a backend may get in a window, in attempts.
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

// startSlowStart draws the moment from which the first attempt at a new process comes due.
func (b *Balancer) startSlowStart(backend *Backend) {
	const steps = 1000
	backend.lastWarmUpSend, backend.warmUpCreditNeeded = b.now, float64(1+b.random.intN(steps))/steps
}
