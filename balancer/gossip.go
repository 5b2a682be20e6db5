package balancer

import "slices"

// The rule: where relays may send each other messages, each tells its counts of outcomes at the version under evaluation,
// and takes those of others for its own. A relay sees a part of the traffic; together they see a bad version sooner.
//
// Guards against a rare failure that each relay sees too seldom: seen as a bad version that stays on trial for long; holds
// because the tests count every outcome alike, wherever it was seen. Outcomes are counted at the version alone, so that a
// message says nothing of the backends.
//
// A message is the version in two bytes, the low one first, and two bytes each for every class and for wrong answers: how
// many outcomes there were since the last message, and how many of them were bad.

const (
	// gossipInterval is the time between two messages.
	gossipInterval = Second / 2
	// MaxGossipOutcomes is the most outcomes of a stream in a message; a relay leaves more out.
	MaxGossipOutcomes = 254
	// gossipHeader is the size of the version in a message, and gossipCountSize that of one GossipCount.
	gossipHeader    = 2
	gossipCountSize = 2
)

// GossipCount counts outcomes of one stream since the last message.
type GossipCount struct {
	// Outcomes is how many there were, MaxGossipOutcomes at the most.
	Outcomes uint8
	// Bad is how many of them were bad.
	Bad uint8
}

// EncodeGossip makes a message about a version: a count for each class in the settings' order, and one of wrong answers.
func EncodeGossip(version uint16, counts []GossipCount) []byte {
	message := make([]byte, 0, gossipHeader+gossipCountSize*len(counts))
	message = append(message, byte(version), byte(version>>8))
	for _, count := range counts {
		message = append(message, count.Outcomes, count.Bad)
	}
	return message
}

// decodeGossip reads a message with so many counts; ok is false for one of another length.
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

// gossip is what the next message is to say.
type gossip struct {
	gossipCounts []GossipCount // by class, and then of wrong answers
	nextGossip   Tick
}

func (b *Balancer) resetGossip() { b.gossipCounts = make([]GossipCount, len(b.settings.Classes)+1) }

// addToGossip counts an outcome at the version under evaluation, of a class or, behind the last one, of wrong answers.
func (b *Balancer) addToGossip(index int, x float64) {
	count := &b.gossipCounts[index]
	count.Outcomes = min(count.Outcomes+1, MaxGossipOutcomes)
	count.Bad = min(count.Bad+uint8(x), count.Outcomes)
}

// sendGossip sends a message to all relays when it is due.
func (b *Balancer) sendGossip() {
	if !b.settings.Limits.Gossip || b.now < b.nextGossip || b.evaluation == nil {
		return
	}
	b.nextGossip = b.now + gossipInterval
	b.host.SendGossip(AllPeers, EncodeGossip(b.evaluation.version, b.gossipCounts))
	clear(b.gossipCounts)
}

// OnGossip takes the message of another relay. Its bad outcomes are spread evenly among the others.
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
