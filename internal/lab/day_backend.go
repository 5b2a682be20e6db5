package lab

import (
	"math"
	"slices"

	"silvercove/balancer"
)

// dayBackend is a simulated backend. Its latency grows with the number of attempts in progress. An attempt that starts
// before silentUntil gets no answer and ends in a timeout. If fleetDay.cores is above 0, attempts share the cores of the
// backend instead (see run), and silentUntil has no effect on them.
type dayBackend struct {
	balancer.Endpoint
	inFlight       int
	work           []*dayAttempt // attempts in progress; used only if fleetDay.cores is above 0
	workedUntil    balancer.Tick
	completion     int // number of the scheduled completion event; events with a lower number are ignored
	silentUntil    balancer.Tick
	warmUpAttempts []warmUpAttempt // attempts of the last second; recorded only while the backend is cold
	overloaded     bool            // the backend has been overloaded while cold since its last start
}

// warmUpAttempt is an attempt at a cold backend. work is the work of the attempt, as a multiple of the mean work of a
// request. announced reports whether the attempt's relay had been notified of the backend's start.
type warmUpAttempt struct {
	at        balancer.Tick
	work      float64
	announced bool
}

// warmUpOverload reports whether attempts overload a cold backend, and whether the overload is a violation. attempts
// are those of the last second. allowed is the work that the settings allow the backend in that second, as a multiple
// of the mean work of a request. The backend is overloaded if the work exceeds allowed + 2 x sqrt(allowed) + 2. An
// overload is a violation if more than two thirds of the work came from relays that had been notified of the backend's
// start.
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

// run advances the attempts at a backend to the current time. It is used only if fleetDay.cores is above 0. It
// completes the attempts whose work is done and drops those that their relay has ended. If the parameter added is not
// nil, it adds that attempt. It then schedules the next completion.
func (u *dayBackend) run(f *fleetDay, added *dayAttempt) {
	speed := min(1, f.cores/float64(max(1, len(u.work)))) // progress of each attempt, in seconds of work per second
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
