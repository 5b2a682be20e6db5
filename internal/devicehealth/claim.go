package devicehealth

import "math"

// The sequential test of docs/design.md, as the relays' one: each outcome opens a test that uses it and
// those after, each bets against a failure share of at most b, and wealth beyond the n-th test's
// threshold is an alarm.
const (
	alpha      = 0.01 // chance of any false alarm of one unit, as of a stream at the relays
	mostTests  = 32
	firstGuess = 4 // times b: the failure share that a new test bets on
)

type test struct{ start, seen, bad, wealth float64 }

type stream struct {
	n     float64
	tests []test
}

// see takes one outcome, 1 for a failure, against a failure share of b.
func (s *stream) see(x, b float64) (alarm bool) {
	s.n++
	opened := test{start: s.n, wealth: 1}
	if len(s.tests) < mostTests {
		s.tests = append(s.tests, opened)
	} else {
		weak := mostTests / 2
		for i := weak + 1; i < mostTests; i++ {
			if s.tests[i].wealth < s.tests[weak].wealth {
				weak = i
			}
		}
		if s.tests[weak].wealth < 1 {
			s.tests[weak] = opened
		}
	}
	for i := range s.tests {
		t := &s.tests[i]
		mean := (t.bad + min(0.5, firstGuess*b)) / (t.seen + 1)
		bet := min(max(0, (mean-b)/(b*(1-b))), 1/b)
		t.wealth *= 1 + bet*(x-b)
		t.seen, t.bad = t.seen+1, t.bad+x
		alarm = alarm || t.wealth >= t.threshold()
	}
	return alarm
}

// wary: a test is past the root of its threshold.
func (s *stream) wary() bool {
	for _, t := range s.tests {
		if t.wealth > math.Sqrt(t.threshold()) {
			return true
		}
	}
	return false
}

func (t test) threshold() float64 { return math.Pi * math.Pi * t.start * t.start / (6 * alpha) }
