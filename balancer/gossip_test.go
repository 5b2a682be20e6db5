package balancer

import "testing"

func TestGossip_CountsAsOwnOutcomes(t *testing.T) {
	b := newFixture(func(s *Settings) { s.Limits.Gossip = true })
	b.status(1, 0, Released, 1)
	b.feedOutcomes(1, 200, 0)
	b.status(2, 0, Canary, 0.2)
	b.OnGossip(b.now, 1, []byte{9, 0, 200, 90, 0, 0, 0, 0, 0, 0}) // another version
	b.OnGossip(b.now, 1, []byte{2, 0, 200, 90})                   // cut short
	check(t, "outcomes", b.evaluation.detectors.all.Outcomes(), 0)
	b.OnGossip(b.now, 1, []byte{2, 0, 200, 90, 0, 0, 0, 0, 0, 0})
	check(t, "outcomes told", b.evaluation.detectors.all.Outcomes(), 200)
	check(t, "alarm", b.evaluation.alarm != nil, true)
	check(t, "in the stage: own outcomes and those told", b.evaluation.outcomesInStage, 200)
}
