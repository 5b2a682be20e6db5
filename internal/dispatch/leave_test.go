package dispatch

import (
	"testing"
	"time"
)

// TestLeftBeforeItIsHandedOver: of a client that goes between its query's last byte and the moment at which its command
// comes to the module, nothing is sent on.
func TestLeftBeforeItIsHandedOver(t *testing.T) {
	g := withShed(nil, false)
	left, _ := g.Take(Ask{OpType: "read", Came: time.Now(), Wait: time.Second})
	stays, _ := g.Take(Ask{OpType: "read", Came: time.Now(), Wait: time.Second})
	g.Leave(left)
	if step := g.Pick(left); step.Final != Gone || step.Delivery != nil {
		t.Errorf("the one that left: %+v", step)
	}
	if step := g.Pick(stays); step.Delivery == nil {
		t.Errorf("the one that stays: %+v", step)
	}
	if n := g.Snapshot(); n.Delivered != 1 || n.Open != 1 {
		t.Errorf("%d deliveries, %d open", n.Delivered, n.Open)
	}
}
