package dispatch

import (
	"context"
	"testing"
	"time"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
	"silvercove/internal/settings"
	"silvercove/internal/transport"
)

// fleetGate is a gate of a fleet before units a and b.
func fleetGate(t *testing.T) *Dispatcher {
	t.Helper()
	nothing := func(string) {}
	g := New(1, settings.Site{Balancer: balancer.Settings{
		Relays:  1,
		Classes: []balancer.RequestClass{{Name: "crop", Idempotency: balancer.Idempotent, LatencyObjective: 0.3, Deadline: 1, PriorityWeight: 1}},
		Limits:  balancer.Limits{MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: 1},
	}},
		Callbacks{Log: nothing, CloseIdle: nothing, WatchEndpoints: func(bool) {}, Vote: func(Vote) {}})
	g.FollowPlacements()
	g.UpdateStage(RolloutStage{Version: 1, Phase: "live", ExposureCap: 1})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.RunTimers(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return g
}

func hosts(names ...string) (all []Endpoint) {
	for _, n := range names {
		all = append(all, Endpoint{Name: n, Address: "127.0.0.1:1", State: "up", Weight: 1, Version: 1})
	}
	return all
}

func ask(t *testing.T, g *Dispatcher, key string) *Call {
	t.Helper()
	c, ok := g.Accept(Request{Class: "crop", Key: key, ReceivedAt: time.Now(), Timeout: time.Second})
	if !ok {
		t.Fatal("not taken")
	}
	return c
}

func TestCommandsFollowTheirInstance(t *testing.T) {
	g := fleetGate(t)
	g.UpdateEndpoints(true, hosts("a", "b"))
	g.UpdatePlacements(true, []Placement{{"camera-7", "a", 1, 1}, {"camera-8", "b", 1, 1}}, nil)
	for key, unit := range map[string]string{"camera-7": "a", "camera-8": "b"} {
		for range 10 {
			s := g.Next(ask(t, g, key))
			if s.Attempt == nil || s.Attempt.Name != unit {
				t.Fatalf("%s: %+v", key, s)
			}
			g.Report(s.Attempt, pgwire.Complete, transport.CloseStatus{}, nil)
		}
	}
	if moved := g.UpdatePlacements(false, []Placement{{"camera-7", "b", 1, 1}, {"camera-8", "b", 1, 2}}, nil); len(moved) > 0 {
		t.Errorf("old news, or news of the same unit, moved %v", moved)
	}

	// Refused in a handover: held until the news comes, then sent there.
	c := ask(t, g, "camera-7")
	s := g.Next(c)
	g.Report(s.Attempt, "53300", transport.CloseStatus{}, nil)
	steps := make(chan Step)
	go func() { steps <- g.Next(c) }()
	if moved := g.UpdatePlacements(false, []Placement{{"camera-7", "b", 2, 2}}, nil); len(moved) != 1 || moved[0].Backend != "b" {
		t.Errorf("moved %v", moved)
	}
	if s = <-steps; s.Attempt == nil || s.Attempt.Name != "b" {
		t.Errorf("after the news: %+v", s)
	}
	g.Report(s.Attempt, pgwire.Complete, transport.CloseStatus{}, nil)

	// It runs nowhere, or nobody has told of it: nacked once its target is lost, and nothing is kept.
	g.UpdatePlacements(false, nil, []string{"camera-7"})
	for _, key := range []string{"camera-7", "camera-9"} {
		if s := g.Next(ask(t, g, key)); s.Answer != Rejected || s.RetryAfter == 0 {
			t.Errorf("%s: %+v", key, s)
		}
	}
	if n := len(g.spots); n != 1 {
		t.Errorf("%d spots are kept", n)
	}
}

// TestUnitComesAfterTheNewsOfWhatRunsThere: a command that waits goes to it as soon as it is listed.
func TestUnitComesAfterTheNewsOfWhatRunsThere(t *testing.T) {
	g := fleetGate(t)
	g.UpdatePlacements(true, []Placement{{"camera-7", "c", 1, 1}}, nil)
	steps, c := make(chan Step), ask(t, g, "camera-7")
	go func() { steps <- g.Next(c) }()
	for taken := false; !taken; {
		g.WithLock(func() { taken = len(g.open) > 0 })
	}
	g.UpdateEndpoints(true, hosts("c"))
	if s := <-steps; s.Attempt == nil || s.Attempt.Name != "c" {
		t.Errorf("%+v", s)
	}
}
