package dispatch

import (
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
)

// class makes a request class with a latency objective of 1 s and a deadline of 4 s.
func class(name string, idempotency balancer.Idempotency, weight float64) balancer.RequestClass {
	return balancer.RequestClass{Name: name, Idempotency: idempotency, LatencyObjective: 1, Deadline: 4, PriorityWeight: weight}
}

// newSite makes the settings of a single relay with the given classes.
func newSite(maxAttempts int, classes ...balancer.RequestClass) settings.Site {
	return settings.Site{Balancer: balancer.Settings{Relays: 1, Classes: classes, Limits: balancer.Limits{MaxAttempts: maxAttempts}}}
}

// noopCallbacks makes callbacks that do nothing.
func noopCallbacks() Callbacks {
	return Callbacks{
		Vote:           func(Vote) {},
		WatchEndpoints: func(bool) {},
		FetchEndpoints: func() {},
		CloseIdle:      func(string) {},
	}
}

// startDispatcher makes a dispatcher with version 1 released, and runs its timers until the test ends.
func startDispatcher(tb testing.TB, site settings.Site, callbacks Callbacks) *Dispatcher {
	tb.Helper()
	d := New(1, site, callbacks)
	d.UpdateStage(releasedStage(1))
	ended := make(chan error, 1)
	go func() { ended <- d.RunTimers(tb.Context()) }()
	tb.Cleanup(func() {
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
	return d
}

func releasedStage(version uint16) RolloutStage {
	return RolloutStage{Version: version, Phase: "live", ExposureCap: 1}
}

// readyEndpoints makes endpoints of version 1 that are up.
func readyEndpoints(names ...string) (all []Endpoint) {
	for _, name := range names {
		all = append(all, Endpoint{Name: name, Address: "127.0.0.1:9", State: "up", Weight: 1, Version: 1})
	}
	return all
}

// accept accepts a request that has just been received.
func accept(tb testing.TB, d *Dispatcher, r Request) *Call {
	tb.Helper()
	r.ReceivedAt = time.Now()
	if r.Timeout == 0 {
		r.Timeout = time.Second
	}
	call, ok := d.Accept(r)
	if !ok {
		tb.Fatalf("class %q is not accepted", r.Class)
	}
	return call
}

// Statuses of connections that ended after the attempt had been written in full.
var (
	answered = transport.CloseStatus{Flushed: true}
	reset    = transport.CloseStatus{Reason: transport.ConnectionReset, Flushed: true}
)

// SQLSTATEs of answers.
const (
	stateAtCapacity = "53300"
	stateInternal   = "XX000"
)
