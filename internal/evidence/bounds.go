package evidence

import "math"

// priorShape is the parameter of the Beta(1/2, 1/2) prior over which ConfidenceBounds mixes.
const priorShape = 0.5

// bisections is the number of bisection steps of ConfidenceBounds. More steps would not change a float64.
const bisections = 60

// ConfidenceBounds returns the ends of a confidence sequence for a share of failures. With probability 1 − level the
// true share is within the bounds at all times, so a vote may check them at any time (Shekhar and Ramdas, definition
// 1.1; the mixture is Robbins's). Without outcomes the bounds are 0 and 1.
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
