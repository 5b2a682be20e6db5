package lab

import (
	"math"
	"slices"

	"silvercove/balancer"
)

// dayBackend is a simulated backend. Its latency grows with its load, and it does not answer before silentUntil.
type dayBackend struct {
	balancer.Endpoint
	inFlight       int
	work           []*dayAttempt // attempts in progress, if the backend shares its cores
	workedUntil    balancer.Tick
	completion     int // number of the scheduled completion; events of earlier numbers are outdated
	silentUntil    balancer.Tick
	warmUpAttempts []warmUpAttempt // attempts of the last second, while the backend is cold
	overloaded     bool            // the backend has been overloaded since its start
}

// warmUpAttempt is an attempt at a cold backend. Its work is in requests of mean work. announced reports whether its relay
// knew of the backend's start.
type warmUpAttempt struct {
	at        balancer.Tick
	work      float64
	announced bool
}

// warmUpOverload reports whether recent attempts overload a cold backend, and whether that violates the rule on warm-up.
// With allowed as the work that the settings allow the backend at that time, an overload is more work than
// allowed + 2 x sqrt(allowed) + 2. An overload is a violation if relays that knew of the start sent more than two thirds of
// the work.
func warmUpOverload(attempts []warmUpAttempt, allowed float64) (overloaded, violation bool) {
	sum, announced := 0.0, 0.0
	for _, a := range attempts {
		sum += a.work
		if a.announced {
			announced += a.work
		}
	}
	overloaded = sum > allowed+2*math.Sqrt(allowed)+2
	return overloaded, overloaded && announced > sum*2/3
}

// run advances a backend that shares its cores to the present: it completes the attempts whose work is done, drops those that
// their relay has ended, adds an attempt unless added is nil, and schedules the next completion.
func (u *dayBackend) run(f *fleetDay, added *dayAttempt) {
	speed := min(1, f.cores/float64(max(1, len(u.work)))) // speed of each attempt, in seconds of work per second
	if u.StartedAt > 0 {
		speed *= min(1, 0.5+0.5*float64(f.now-u.StartedAt)/(f.warmUp*second))
	}
	workDone := speed * float64(f.now-u.workedUntil) / second
	u.workedUntil, u.completion = f.now, u.completion+1
	u.work = slices.DeleteFunc(u.work, func(s *dayAttempt) bool {
		if s.workLeft -= workDone; s.workLeft < 1e-3 {
			f.after(0, func() { s.relay.finish(s, balancer.Succeeded) })
		}
		return s.ended || s.workLeft < 1e-3
	})
	if added != nil {
		u.work = append(u.work, added)
	}
	shortest, completion := math.Inf(1), u.completion
	for _, s := range u.work {
		shortest = min(shortest, s.workLeft)
	}
	if len(u.work) > 0 {
		f.after(max(1e-3, shortest/min(1, f.cores/float64(len(u.work)))), func() {
			if u.completion == completion {
				u.run(f, nil)
			}
		})
	}
}
