package evidence

import "math"

// priorShape is that of the mixture's Beta(1/2, 1/2) prior.
const priorShape = 0.5

// bisections of ConfidenceBounds: beyond them a float64 does not change.
const bisections = 60

// ConfidenceBounds are the ends of a confidence sequence for a share of failures: with chance 1 − level they hold at
// every moment at once, so that a vote may look at any time (Shekhar and Ramdas, definition 1.1; the mixture is
// Robbins's). They are 0 and 1 of no outcomes.
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

// lowestInside finds by bisection the least point, from outer up to inner, that is inside; inner is.
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

// logPower is the logarithm of p to the power of k, with 0 to the power of 0 being 1.
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
