package dispatch

import (
	"testing"
	"time"
)

// TestLeftBeforeItIsHandedOver: of a client that goes between its query's last byte and the moment at which its command
// comes to the module, nothing is sent on.
func TestLeftBeforeItIsHandedOver(t *testing.T) {
	g := withShed(nil, false)
	left, _ := g.Accept(Request{Class: "read", ReceivedAt: time.Now(), Timeout: time.Second})
	stays, _ := g.Accept(Request{Class: "read", ReceivedAt: time.Now(), Timeout: time.Second})
	g.Abandon(left)
	if step := g.Next(left); step.Answer != ClientGone || step.Attempt != nil {
		t.Errorf("the one that left: %+v", step)
	}
	if step := g.Next(stays); step.Attempt == nil {
		t.Errorf("the one that stays: %+v", step)
	}
	if n := g.Snapshot(); n.Attempts != 1 || n.OpenRequests != 1 {
		t.Errorf("%d deliveries, %d open", n.Attempts, n.OpenRequests)
	}
}
