package balancer

import "slices"

// dropBefore drops the times before a moment from a list in order.
func dropBefore(times []Tick, from Tick) []Tick {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// removeTime takes one time out of a list in order, if it was counted there and still is.
func removeTime(times []Tick, at Tick, counted bool) []Tick {
	if i, has := slices.BinarySearch(times, at); has && counted {
		return slices.Delete(times, i, i+1)
	}
	return times
}

// appendBounded appends a value and keeps the last n.
func appendBounded[T any](values []T, value T, n int) []T {
	values = append(values, value)
	return values[max(0, len(values)-n):]
}

// mean is the mean of samples, 0 for none.
func mean(samples []float64) float64 {
	sum := 0.0
	for _, v := range samples {
		sum += v
	}
	return sum / float64(max(1, len(samples)))
}

// indicator is 1 for what is so, and else 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
