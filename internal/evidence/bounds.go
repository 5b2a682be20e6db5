package evidence

import "math"

// priorShape is the value of both parameters of the Beta(1/2, 1/2) distribution. ConfidenceBounds weights the possible
// shares of failures with this distribution.
const priorShape = 0.5

// bisections is the number of times that lowestInside halves its interval. More steps would go beyond the precision of
// a float64.
const bisections = 60

// ConfidenceBounds returns a lower and an upper bound on the true share of failures. They form a confidence sequence:
// with a probability of at least 1 − level, the true share is within the bounds after every outcome. A vote may
// therefore check the bounds at any time. The method is definition 1.1 of Shekhar and Ramdas, with the mixture of
// Robbins. Without outcomes the bounds are 0 and 1.
func ConfidenceBounds(failures, outcomes, level float64) (low, high float64) {
	if outcomes <= 0 {
		return 0, 1
	}
	successes := outcomes - failures
	threshold := math.Log(1 / level)
	mixture := logBeta(failures+priorShape, successes+priorShape) - logBeta(priorShape, priorShape)
	inside := func(p float64) bool {
		return mixture-logPower(p, failures)-logPower(1-p, successes) < threshold
	}
	mean := failures / outcomes
	low = lowestInside(0, mean, inside)
	high = 1 - lowestInside(0, 1-mean, func(q float64) bool { return inside(1 - q) })
	return low, high
}

// lowestInside finds by bisection the lowest point between outer and inner at which the function inside returns true.
// The function must return true at inner.
func lowestInside(outer, inner float64, inside func(float64) bool) float64 {
	if inside(outer) {
		return outer
	}
	for range bisections {
		if middle := (outer + inner) / 2; inside(middle) {
			inner = middle
		} else {
			outer = middle
		}
	}
	return inner
}

// logPower is the logarithm of p to the power of k; 0 to the power of 0 counts as 1.
func logPower(p, k float64) float64 {
	if k == 0 {
		return 0
	}
	return k * math.Log(p)
}

func logBeta(a, b float64) float64 {
	logGammaA, _ := math.Lgamma(a)
	logGammaB, _ := math.Lgamma(b)
	logGammaSum, _ := math.Lgamma(a + b)
	return logGammaA + logGammaB - logGammaSum
}
