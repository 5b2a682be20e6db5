package dispatch

import (
	"testing"

	"silvercove/balancer"
)

// TestAbandonedBeforeItIsSubmitted: a client goes between its query's last byte and the moment at which its call comes to
// the balancer. Nothing of it is sent on.
func TestAbandonedBeforeItIsSubmitted(t *testing.T) {
	d := New(1, siteOf(3, class("read", balancer.Idempotent, 2)), quiet())
	d.UpdateStage(released(1))
	d.UpdateEndpoints(true, endpoints("s-1", "s-2"))
	leaves, stays := accept(t, d, Request{Class: "read"}), accept(t, d, Request{Class: "read"})
	d.Abandon(leaves)
	if step := d.Next(leaves); step.Answer != ClientGone || step.Attempt != nil {
		t.Errorf("the one that leaves: %+v", step)
	}
	if step := d.Next(stays); step.Attempt == nil {
		t.Errorf("the one that stays: %+v", step)
	}
	if c := d.Snapshot(); c.Attempts != 1 || c.OpenRequests != 1 {
		t.Errorf("%d attempts, %d open requests", c.Attempts, c.OpenRequests)
	}
}
