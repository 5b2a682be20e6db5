package devicehealth

import "math"

const (
	falseAlarmChance = 0.01 // of any false alarm of one node, as of a stream at the relays
	maxBets          = 32
	firstGuess       = 4 // times the usual share: the failure share that a new bet is on
	maxFirstGuess    = 0.5
)

// sequentialTest is the sequential test of docs/design.md, as the relays' one: each outcome opens a bet that uses it and
// those after; each bets against a failure share of at most the usual one, and wealth beyond the n-th bet's threshold is
// an alarm. The zero value is a test that has seen nothing.
type sequentialTest struct {
	outcomes float64
	bets     []bet
}

// bet is one bet of a sequentialTest.
type bet struct {
	opened   float64 // the outcome at which it began, from 1
	outcomes float64 // since
	failures float64 // among them
	wealth   float64
}

// record tests one outcome, 1 for a failure and 0 for a success, against a usual share of failures, and reports whether
// there is an alarm.
func (t *sequentialTest) record(outcome, usualShare float64) (alarm bool) {
	t.outcomes++
	t.open(bet{opened: t.outcomes, wealth: 1})
	for i := range t.bets {
		b := &t.bets[i]
		b.record(outcome, usualShare)
		alarm = alarm || b.wealth >= b.threshold()
	}
	return alarm
}

// open adds a bet. Where there are too many, it takes the place of the poorest one of the younger half, if that one has
// lost.
func (t *sequentialTest) open(opened bet) {
	if len(t.bets) < maxBets {
		t.bets = append(t.bets, opened)
		return
	}
	poorest := maxBets / 2
	for i := poorest + 1; i < maxBets; i++ {
		if t.bets[i].wealth < t.bets[poorest].wealth {
			poorest = i
		}
	}
	if t.bets[poorest].wealth < 1 {
		t.bets[poorest] = opened
	}
}

// suspicious reports whether a bet's wealth is past the root of its threshold.
func (t *sequentialTest) suspicious() bool {
	for _, b := range t.bets {
		if b.wealth > math.Sqrt(b.threshold()) {
			return true
		}
	}
	return false
}

func (b *bet) record(outcome, usualShare float64) {
	mean := (b.failures + min(maxFirstGuess, firstGuess*usualShare)) / (b.outcomes + 1)
	stake := min(max(0, (mean-usualShare)/(usualShare*(1-usualShare))), 1/usualShare)
	b.wealth *= 1 + stake*(outcome-usualShare)
	b.outcomes++
	b.failures += outcome
}

func (b bet) threshold() float64 {
	return math.Pi * math.Pi * b.opened * b.opened / (6 * falseAlarmChance)
}
