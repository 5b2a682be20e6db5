package balancer

import "testing"

func TestGossip_CountsAsOwnOutcomes(t *testing.T) {
	b := newFixture(func(s *Settings) { s.Limits.Gossip = true })
	b.status(1, 0, Released, 1)
	b.feedOutcomes(1, 200, 0)
	b.status(2, 0, Canary, 0.2)
	b.OnGossip(b.now, 1, []byte{9, 0, 200, 90, 0, 0, 0, 0, 0, 0}) // a message about another version
	b.OnGossip(b.now, 1, []byte{2, 0, 200, 90})                   // a truncated message
	check(t, "outcomes", b.evaluation.detectors.all.Outcomes(), 0)
	b.OnGossip(b.now, 1, []byte{2, 0, 200, 90, 0, 0, 0, 0, 0, 0})
	check(t, "outcomes received", b.evaluation.detectors.all.Outcomes(), 200)
	check(t, "alarm", b.evaluation.alarm != nil, true)
	check(t, "outcomes in the stage, with those received", b.evaluation.outcomesInStage, 200)
}

// TestGossip_Format checks that decoding restores the encoded counts, and that a message of any other length is not
// decoded.
func TestGossip_Format(t *testing.T) {
	counts := []GossipCount{{Outcomes: 200, Bad: 90}, {}, {Outcomes: MaxGossipOutcomes, Bad: 1}}
	message := EncodeGossip(0x0102, counts)
	checkAll(t, "message", message, []byte{2, 1, 200, 90, 0, 0, 254, 1})
	version, decoded, ok := decodeGossip(message, len(counts))
	check(t, "decoded", ok, true)
	check(t, "version", version, 0x0102)
	checkAll(t, "counts", decoded, counts)
	_, _, ok = decodeGossip(message[1:], len(counts))
	check(t, "decoded when truncated", ok, false)
}
