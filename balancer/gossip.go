package balancer

import "slices"

// This file exchanges evidence between relays. If the settings allow messages between relays, each relay sends its
// outcome counts for the version under evaluation. A relay treats the outcomes that it receives like its own. Each
// relay sees only part of the traffic; together they detect a bad version sooner.
//
// The exchange detects a failure that is too rare for a single relay to see often, which would leave a bad version
// under evaluation for a long time. Outcomes of several relays can be combined because the tests treat every outcome
// alike, wherever it was observed. Outcomes are counted per version and not per backend, so a message contains nothing
// about individual backends.
//
// A message consists of the version in two bytes, the low byte first, followed by two bytes for each class and two for
// wrong answers. The first of the two bytes is the number of outcomes since the last message, and the second is the
// number of bad outcomes among them.

const (
	// gossipInterval is the time between two messages.
	gossipInterval = Second / 2
	// MaxGossipOutcomes is the maximum number of outcomes of a stream in one message. Further outcomes are left out.
	MaxGossipOutcomes = 254
	// gossipHeader is the encoded size of the version in bytes, and gossipCountSize that of one GossipCount.
	gossipHeader    = 2
	gossipCountSize = 2
)

// GossipCount counts the outcomes of one stream since the last message, and the bad outcomes among them.
type GossipCount struct {
	// Outcomes is the number of outcomes, at most MaxGossipOutcomes.
	Outcomes uint8
	// Bad is the number of bad outcomes among them.
	Bad uint8
}

// EncodeGossip encodes a message about a version. The counts are those of each class, in the order of the settings,
// followed by those of wrong answers.
func EncodeGossip(version uint16, counts []GossipCount) []byte {
	message := make([]byte, 0, gossipHeader+gossipCountSize*len(counts))
	message = append(message, byte(version), byte(version>>8))
	for _, count := range counts {
		message = append(message, count.Outcomes, count.Bad)
	}
	return message
}

// decodeGossip decodes a message with the given number of counts. The result ok is false if the message has any other
// length.
func decodeGossip(message []byte, counts int) (version uint16, decoded []GossipCount, ok bool) {
	if len(message) != gossipHeader+gossipCountSize*counts {
		return 0, nil, false
	}
	version = uint16(message[0]) | uint16(message[1])<<8
	for pair := range slices.Chunk(message[gossipHeader:], gossipCountSize) {
		decoded = append(decoded, GossipCount{Outcomes: pair[0], Bad: pair[1]})
	}
	return version, decoded, true
}

// gossip holds the contents of the next message and when it is due.
type gossip struct {
	gossipCounts []GossipCount // counts of each class, followed by those of wrong answers
	nextGossip   Tick
}

func (b *Balancer) resetGossip() { b.gossipCounts = make([]GossipCount, len(b.settings.Classes)+1) }

// addToGossip counts an outcome of the version under evaluation. The index is that of the class, or the number of
// classes for wrong answers.
func (b *Balancer) addToGossip(index int, outcome float64) {
	count := &b.gossipCounts[index]
	count.Outcomes = min(count.Outcomes+1, MaxGossipOutcomes)
	count.Bad = min(count.Bad+uint8(outcome), count.Outcomes)
}

// sendGossip sends a message to all relays if one is due.
func (b *Balancer) sendGossip() {
	if !b.settings.Limits.Gossip || b.now < b.nextGossip || b.evaluation == nil {
		return
	}
	b.nextGossip = b.now + gossipInterval
	b.host.SendGossip(AllPeers, EncodeGossip(b.evaluation.version, b.gossipCounts))
	clear(b.gossipCounts)
}

// OnGossip handles a message from another relay. It adds the outcomes of each count one by one, with the bad outcomes
// spread evenly among the good ones.
func (b *Balancer) OnGossip(now Tick, _ uint32, data []byte) {
	b.now = now
	e, classes := b.evaluation, len(b.settings.Classes)
	version, counts, ok := decodeGossip(data, classes+1)
	if !ok || e == nil || version != e.version {
		return
	}
	for class, count := range counts[:classes] {
		n, bad := int(count.Outcomes), int(count.Bad)
		e.outcomesInStage += n
		for i := range n {
			x := spreadOutcome(i, bad, n)
			e.effects[class].Observe(x, b.baselineShare(class), ruledOutEffect)
			b.observeFailure(class, x)
		}
	}
	n, bad := int(counts[classes].Outcomes), int(counts[classes].Bad)
	for i := range n {
		b.observe(stream{kind: wrongAnswers}, spreadOutcome(i, bad, n), b.wrongAnswerBound())
	}
	b.considerVote()
}
