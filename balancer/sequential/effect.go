package sequential

const (
	// missProbability is the upper limit of the probability that a test rules out an effect that exists.
	missProbability = 0.05
	// maxMeanWithEffect is the upper limit of the baseline plus the effect. Being below 1, it keeps the probability of
	// a good outcome above 0 under the hypothesis that the effect exists.
	maxMeanWithEffect = 0.95
)

// EffectTest rules out that the mean of a stream exceeds a baseline by an effect. Its wealth is the likelihood ratio of
// two hypotheses: that the mean equals the baseline, and that the mean equals the baseline plus the effect. If the mean
// is at least the baseline plus the effect, the ratio is a supermartingale. The probability that it ever reaches
// 1/missProbability is then at most missProbability. Use NewEffectTest to create one.
type EffectTest struct{ wealth float64 }

// NewEffectTest returns a test without any outcomes.
func NewEffectTest() EffectTest { return EffectTest{wealth: 1} }

// Observe adds an outcome between 0 and 1. Until the effect is ruled out, it multiplies the wealth by the likelihood
// ratio of this outcome. A baseline above maxMeanWithEffect minus the effect is lowered to that difference.
func (t *EffectTest) Observe(outcome, baseline, effect float64) {
	b := min(baseline, maxMeanWithEffect-effect)
	if !t.RuledOut() {
		t.wealth *= outcome*b/(b+effect) + (1-outcome)*(1-b)/(1-b-effect)
	}
}

// RuledOut reports whether the effect is ruled out. Once ruled out, it stays ruled out.
func (t *EffectTest) RuledOut() bool { return t.wealth >= 1/missProbability }
