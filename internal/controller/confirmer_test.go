package controller

import (
	"testing"
	"time"
)

// TestConfirmer_CountsNoEarlierConfirmation: raft's own check also counts answers to earlier messages.
func TestConfirmer_CountsNoEarlierConfirmation(t *testing.T) {
	c := newTestFleet(t, 2*time.Second, 3, 0)
	c.start()
	first := c.waitForLeader()
	ctrl := c.processes[first].controller
	r := ctrl.raft.Load()
	term := r.CurrentTerm()
	if err := ctrl.confirmer.confirm(testContext(t), r, term); err != nil {
		t.Errorf("a majority is there: %v", err)
	}
	var others []string
	for _, name := range c.names {
		if name != first {
			others = append(others, name)
		}
	}
	// The answers that are under way count for raft, whoever was elected meanwhile; here the followers' answers are held back.
	for _, name := range others {
		ctrl.confirmer.mu.Lock()
		ctrl.confirmer.confirmations[name] = confirmation{round: ctrl.confirmer.lastRound, term: term} // of a moment ago
		ctrl.confirmer.mu.Unlock()
	}
	c.partition(true, first)
	if err := ctrl.confirmer.confirm(testContext(t), r, term); err == nil {
		t.Error("confirmed by words of before")
	}
	c.waitForLeader(first)
	c.partition(false, first)
	if err := ctrl.confirmer.confirm(testContext(t), r, term); err == nil {
		t.Error("confirmed for an earlier term")
	}
}
