package sequential

const (
	// missProbability is the chance with which an effect that is there may be ruled out all the same.
	missProbability = 0.05
	// maxMeanWithEffect is the highest mean that is tested for, so that an effect leaves some chance of a good outcome.
	maxMeanWithEffect = 0.95
)

// EffectTest rules out that the mean of a stream is higher by an effect than a baseline. It is a likelihood ratio between
// the baseline and the baseline with the effect: at a mean of the latter or a higher one it is a supermartingale, so that
// it ever reaches 1/missProbability with probability at most missProbability. Make one with NewEffectTest.
type EffectTest struct{ wealth float64 }

// NewEffectTest makes a test that has seen nothing.
func NewEffectTest() EffectTest { return EffectTest{wealth: 1} }

// Observe adds an outcome between 0 and 1, tested against an effect above a baseline share.
func (t *EffectTest) Observe(outcome, baseline, effect float64) {
	b := min(baseline, maxMeanWithEffect-effect)
	if !t.RuledOut() {
		t.wealth *= outcome*b/(b+effect) + (1-outcome)*(1-b)/(1-b-effect)
	}
}

// RuledOut tells whether the effect is ruled out. Once it is, that stays so.
func (t *EffectTest) RuledOut() bool { return t.wealth >= 1/missProbability }
