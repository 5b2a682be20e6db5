package lab

import (
	"math"
	"slices"

	"silvercove/balancer"
)

// dayBackend takes longer the more it has in work, and is silent up to a moment.
type dayBackend struct {
	balancer.Endpoint
	inFlight       int
	work           []*dayAttempt // where it shares its cores, with what is left of each
	workedUntil    balancer.Tick
	turn           int // of the event that comes next for it
	silentUntil    balancer.Tick
	warmUpAttempts []warmUpAttempt // attempts of late, while it is cold
	overloaded     bool
}

// warmUpAttempt is an attempt at a cold backend. Work is in requests of mean work; announced: its relay knew of the start.
type warmUpAttempt struct {
	at        balancer.Tick
	work      float64
	announced bool
}

// overloads reports whether a cold backend falls under what it got of late, N being what the settings allow it then, and
// whether that breaks the rule.
func overloads(sends []warmUpAttempt, n float64) (falls, broken bool) {
	sum, told := 0.0, 0.0
	for _, s := range sends {
		sum += s.work
		if s.announced {
			told += s.work
		}
	}
	falls = sum > n+2*math.Sqrt(n)+2
	return falls, falls && told > sum*2/3
}

// run has a backend that shares its cores work on what it has up to now, take one more if there is one, and go on when the
// first of them is done. What its relay has given up it lets go.
func (u *dayBackend) run(f *fleetDay, more *dayAttempt) {
	pace := min(1, f.cores/float64(max(1, len(u.work)))) // of each
	if u.StartedAt > 0 {
		pace *= min(1, 0.5+0.5*float64(f.now-u.StartedAt)/(f.warmUp*second))
	}
	did := pace * float64(f.now-u.workedUntil) / second
	u.workedUntil, u.turn = f.now, u.turn+1
	u.work = slices.DeleteFunc(u.work, func(s *dayAttempt) bool {
		if s.workLeft -= did; s.workLeft < 1e-3 {
			f.after(0, func() { s.relay.finish(s, balancer.Succeeded) })
		}
		return s.ended || s.workLeft < 1e-3
	})
	if more != nil {
		u.work = append(u.work, more)
	}
	first, turn := math.Inf(1), u.turn
	for _, s := range u.work {
		first = min(first, s.workLeft)
	}
	if len(u.work) > 0 {
		f.after(max(1e-3, first/min(1, f.cores/float64(len(u.work)))), func() {
			if u.turn == turn {
				u.run(f, nil)
			}
		})
	}
}
