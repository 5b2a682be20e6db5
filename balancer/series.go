package balancer

import "slices"

// dropBefore drops the times before a moment from a sorted list.
func dropBefore(times []Tick, from Tick) []Tick {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// removeTime removes one occurrence of a time from a sorted list, if counted is true and the list still contains the
// time.
func removeTime(times []Tick, at Tick, counted bool) []Tick {
	if i, has := slices.BinarySearch(times, at); has && counted {
		return slices.Delete(times, i, i+1)
	}
	return times
}

// appendBounded appends a value and keeps the last n values.
func appendBounded[T any](values []T, value T, n int) []T {
	values = append(values, value)
	return values[max(0, len(values)-n):]
}

// mean returns the mean of samples, or 0 if there are none.
func mean(samples []float64) float64 {
	sum := 0.0
	for _, v := range samples {
		sum += v
	}
	return sum / float64(max(1, len(samples)))
}

// indicator returns 1 if a condition holds, and 0 otherwise.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
