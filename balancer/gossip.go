package balancer

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
	// gossipMost is the most outcomes of a stream in a message; more are left out.
	gossipMost = 254
	// gossipHeader is the size of the version.
	gossipHeader = 2
)

// gossip is what the next message is to say.
type gossip struct {
	gossipCounts []byte // outcomes and bad ones, by class and then of wrong answers
	nextGossip   Tick
}

func (b *Balancer) resetGossip() { b.gossipCounts = make([]byte, 2*len(b.settings.Classes)+2) }

// addToGossip counts an outcome at the version under evaluation, of a class or, behind the last one, of wrong answers.
func (b *Balancer) addToGossip(which int, x float64) {
	counts := b.gossipCounts[2*which : 2*which+2]
	counts[0] = min(counts[0]+1, gossipMost)
	counts[1] = min(counts[1]+byte(x), counts[0])
}

// sendGossip sends a message to all relays when it is due.
func (b *Balancer) sendGossip() {
	if !b.settings.Limits.Gossip || b.now < b.nextGossip || b.evaluation == nil {
		return
	}
	b.nextGossip = b.now + gossipInterval
	version := b.evaluation.version
	b.host.SendGossip(AllPeers, append([]byte{byte(version), byte(version >> 8)}, b.gossipCounts...))
	clear(b.gossipCounts)
}

// OnGossip takes the message of another relay. Its bad outcomes are spread evenly among the others.
func (b *Balancer) OnGossip(now Tick, _ uint32, data []byte) {
	b.now = now
	e, classes := b.evaluation, len(b.settings.Classes)
	if e == nil || len(data) != gossipHeader+2*classes+2 || uint16(data[0])|uint16(data[1])<<8 != e.version {
		return
	}
	counts := data[gossipHeader:]
	for class := range classes {
		n, bad := int(counts[2*class]), int(counts[2*class+1])
		e.outcomesInStage += n
		for i := range n {
			x := spread(i, bad, n)
			e.effects[class].Observe(x, b.baselineShare(class), ruledOutEffect)
			b.observeFailure(class, x)
		}
	}
	n, bad := int(counts[2*classes]), int(counts[2*classes+1])
	for i := range n {
		b.observe(stream{kind: wrongAnswers}, spread(i, bad, n), b.wrongAnswerBound())
	}
	b.considerVote()
}
