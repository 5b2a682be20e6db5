package settings

import (
	"errors"
	"fmt"
	"strconv"

	"silvercove/balancer"
)

// Errors for missing settings that a relay cannot work without.
var (
	errNoClasses             = errors.New("a list of classes is wanted, with one of them at the least")
	errNoObjectiveOrDeadline = errors.New("has neither on_time nor deadline")
)

// applyDefaults sets the defaults of missing settings whose zero value would stop the relay or break a rule of the site.
func applyDefaults(s *balancer.Settings) error {
	longestDeadline, err := applyClassDefaults(s.Classes)
	if err != nil {
		return &Error{Setting: "grades", Err: err}
	}
	if s.Limits.MaxAttempts == 0 {
		s.Limits.MaxAttempts = 1
	}
	if s.Limits.ConnectTimeout == 0 { // without a connect timeout, only the deadline of the request limits a connection attempt
		s.Limits.ConnectTimeout = longestDeadline
	}
	// Without an overload window, the load is counted over the whole warm-up: the widest window keeps the rule for any window.
	if s.SlowStart.Window > 0 && s.SlowStart.OverloadWindow == 0 {
		s.SlowStart.OverloadWindow = s.SlowStart.Window
	}
	if s.Rollout.ExposureWindow == 0 { // in a window of zero length, the free attempts would be available again at once
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
		case class.LatencyObjective == 0: // without an objective, an answer keeps its full value as long as the client waits
			class.LatencyObjective = class.Deadline
		case class.Deadline == 0:
			class.Deadline = class.LatencyObjective
		}
		longest = max(longest, class.Deadline)
	}
	return longest, nil
}
