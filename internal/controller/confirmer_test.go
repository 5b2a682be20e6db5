package controller

import (
	"testing"
	"time"
)

// confirm must not count answers to queries that were sent before the call: the answers may predate the election of another
// leader. raft's VerifyLeader counts such answers.
func TestConfirmer_CountsNoEarlierConfirmation(t *testing.T) {
	c := newTestFleet(t, 2*time.Second, 3, 0)
	c.start()
	first := c.waitForLeader()
	ctrl := c.processes[first].controller
	r := ctrl.raft.Load()
	term := r.CurrentTerm()
	if err := ctrl.confirmer.confirm(testContext(t), r, term); err != nil {
		t.Errorf("with a majority reachable: %v", err)
	}
	var followers []string
	for _, name := range c.names {
		if name != first {
			followers = append(followers, name)
		}
	}
	// The test simulates answers that were still in flight when another leader was elected; raft's VerifyLeader would count
	// them. Before the partition, the test records that each follower has confirmed lastRound. That is the newest round that began
	// before the call of confirm.
	for _, name := range followers {
		ctrl.confirmer.mu.Lock()
		ctrl.confirmer.confirmations[name] = confirmation{round: ctrl.confirmer.lastRound, term: term}
		ctrl.confirmer.mu.Unlock()
	}
	c.partition(true, first)
	if err := ctrl.confirmer.confirm(testContext(t), r, term); err == nil {
		t.Error("confirmed by answers to an earlier round")
	}
	c.waitForLeader(first)
	c.partition(false, first)
	if err := ctrl.confirmer.confirm(testContext(t), r, term); err == nil {
		t.Error("confirmed for an earlier term")
	}
}
