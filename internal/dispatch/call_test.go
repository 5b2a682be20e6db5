package dispatch

import (
	"testing"

	"silvercove/balancer"
)

// TestAbandon_BeforeSubmission: a client leaves after the last byte of its query was read and before its call is
// submitted to the balancer. Nothing of the request may be sent to a backend.
func TestAbandon_BeforeSubmission(t *testing.T) {
	d := New(1, newSite(3, class("read", balancer.Idempotent, 2)), noopCallbacks())
	d.UpdateStage(releasedStage(1))
	d.UpdateEndpoints(true, readyEndpoints("s-1", "s-2"))
	leaves, stays := accept(t, d, Request{Class: "read"}), accept(t, d, Request{Class: "read"})
	d.Abandon(leaves)
	if step := d.Next(leaves); step.Answer != ClientGone || step.Attempt != nil {
		t.Errorf("call whose client left: %+v", step)
	}
	if step := d.Next(stays); step.Attempt == nil {
		t.Errorf("call whose client stayed: %+v", step)
	}
	if c := d.Snapshot(); c.Attempts != 1 || c.OpenRequests != 1 {
		t.Errorf("%d attempts, %d open requests", c.Attempts, c.OpenRequests)
	}
}
