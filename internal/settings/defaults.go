package settings

import (
	"errors"
	"fmt"
	"strconv"

	"silvercove/balancer"
)

// Errors for missing settings without which a relay cannot work.
var (
	errNoClasses             = errors.New("a list of classes is wanted, with one of them at the least")
	errNoObjectiveOrDeadline = errors.New("has neither on_time nor deadline")
)

// applyDefaults sets the defaults of missing settings, if the zero value would keep the relay from working or break a
// rule of the site.
func applyDefaults(s *balancer.Settings) error {
	longestDeadline, err := applyClassDefaults(s.Classes)
	if err != nil {
		return &Error{Setting: "grades", Err: err}
	}
	if s.Limits.MaxAttempts == 0 {
		s.Limits.MaxAttempts = 1
	}
	// Without a connect timeout, a connection attempt is limited only by the deadline of the request that it is for. The
	// longest deadline of all classes is never a shorter limit than that deadline.
	if s.Limits.ConnectTimeout == 0 {
		s.Limits.ConnectTimeout = longestDeadline
	}
	// If the overload window is missing, the load is counted over the whole slow-start window. This is the widest window,
	// and with it the rule on overload holds for any window.
	if s.SlowStart.Window > 0 && s.SlowStart.OverloadWindow == 0 {
		s.SlowStart.OverloadWindow = s.SlowStart.Window
	}
	// ExposureFree is a number of attempts per window. In a window of zero length, these attempts would be available again
	// at once, and so without limit.
	if s.Rollout.ExposureWindow == 0 {
		s.Rollout.ExposureFree = 0
	}
	return nil
}

// applyClassDefaults sets a missing latency objective of a class to its deadline, and a missing deadline to its latency
// objective. It returns the longest deadline.
func applyClassDefaults(classes []balancer.RequestClass) (longest balancer.Seconds, err error) {
	if len(classes) == 0 {
		return 0, errNoClasses
	}
	for i := range classes {
		class := &classes[i]
		switch {
		case class.LatencyObjective == 0 && class.Deadline == 0:
			return 0, fmt.Errorf("%s %w", strconv.Quote(truncate(class.Name)), errNoObjectiveOrDeadline)
		// Without a latency objective, an answer has its full value as long as the client waits, which is until the
		// deadline.
		case class.LatencyObjective == 0:
			class.LatencyObjective = class.Deadline
		case class.Deadline == 0:
			class.Deadline = class.LatencyObjective
		}
		longest = max(longest, class.Deadline)
	}
	return longest, nil
}
