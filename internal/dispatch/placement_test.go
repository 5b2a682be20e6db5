package dispatch

import (
	"testing"

	"silvercove/balancer"
	"silvercove/internal/pgwire"
)

// newFleetDispatcher makes a dispatcher that follows placements.
func newFleetDispatcher(tb testing.TB) *Dispatcher {
	tb.Helper()
	site := newSite(4, balancer.RequestClass{Name: "crop", Idempotency: balancer.Idempotent, LatencyObjective: 0.3, Deadline: 1,
		PriorityWeight: 1})
	site.Balancer.Limits.RetryAfter, site.Balancer.Limits.MaxRetryAfter = true, 1
	d := startDispatcher(tb, site, noopCallbacks())
	d.FollowPlacements()
	return d
}

func TestUpdatePlacements_CallsFollowInstance(t *testing.T) {
	d := newFleetDispatcher(t)
	ask := func(key string) *Call { return accept(t, d, Request{Class: "crop", Key: key}) }
	d.UpdateEndpoints(true, readyEndpoints("a", "b"))
	d.UpdatePlacements(true, []Placement{{"camera-7", "a", 1, 1}, {"camera-8", "b", 1, 1}}, nil)
	for key, backend := range map[string]string{"camera-7": "a", "camera-8": "b"} {
		for range 10 {
			step := d.Next(ask(key))
			if step.Attempt == nil || step.Attempt.Name != backend {
				t.Fatalf("%s: %+v", key, step)
			}
			d.Report(step.Attempt, pgwire.StateSuccess, answered, nil)
		}
	}
	if moved := d.UpdatePlacements(false, []Placement{{"camera-7", "b", 1, 1}, {"camera-8", "b", 1, 2}}, nil); len(moved) > 0 {
		t.Errorf("an old placement, or one with the same backend, moved %v", moved)
	}

	// A backend refuses an attempt for camera-7, as during a cut-over. The call is queued until the new placement
	// arrives, and is then sent to the new backend.
	call := ask("camera-7")
	step := d.Next(call)
	d.Report(step.Attempt, stateAtCapacity, answered, nil)
	steps := make(chan Step)
	go func() { steps <- d.Next(call) }()
	if moved := d.UpdatePlacements(false, []Placement{{"camera-7", "b", 2, 2}}, nil); len(moved) != 1 || moved[0].Backend != "b" {
		t.Errorf("moved %v", moved)
	}
	if step = <-steps; step.Attempt == nil || step.Attempt.Name != "b" {
		t.Errorf("after the new placement: %+v", step)
	}
	d.Report(step.Attempt, pgwire.StateSuccess, answered, nil)

	// camera-7 has been deleted, and camera-9 is unknown. A call for either instance is rejected after the latency
	// objective of the call, and the dispatcher keeps no entry for the instance.
	d.UpdatePlacements(false, nil, []string{"camera-7"})
	for _, key := range []string{"camera-7", "camera-9"} {
		if step := d.Next(ask(key)); step.Answer != Rejected || step.RetryAfter == 0 {
			t.Errorf("%s: %+v", key, step)
		}
	}
	if n := len(d.instances); n != 1 {
		t.Errorf("%d instances are kept, want 1", n)
	}
}

// TestUpdateEndpoints_ReleasesCallPinnedToLaterBackend: a placement may name a backend that is not listed yet. A call
// that waits for the backend is sent as soon as the backend is listed.
func TestUpdateEndpoints_ReleasesCallPinnedToLaterBackend(t *testing.T) {
	d := newFleetDispatcher(t)
	d.UpdatePlacements(true, []Placement{{"camera-7", "c", 1, 1}}, nil)
	steps, call := make(chan Step), accept(t, d, Request{Class: "crop", Key: "camera-7"})
	go func() { steps <- d.Next(call) }()
	for submitted := false; !submitted; {
		d.WithLock(func() { submitted = len(d.calls) > 0 })
	}
	d.UpdateEndpoints(true, readyEndpoints("c"))
	if step := <-steps; step.Attempt == nil || step.Attempt.Name != "c" {
		t.Errorf("%+v", step)
	}
}
