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

// applyDefaults sets the default of each missing setting whose zero value would keep the relay from working or make it
// exceed a limit that the site sets.
func applyDefaults(s *balancer.Settings) error {
	longestDeadline, err := applyClassDefaults(s.Classes)
	if err != nil {
		return &Error{Setting: "grades", Err: err}
	}
	if s.Limits.MaxAttempts == 0 {
		s.Limits.MaxAttempts = 1
	}
	// Without a connect timeout, only the deadline of the request limits a connection attempt. The longest
	// deadline of all classes is therefore used as the connect timeout: it is never shorter than the request's deadline.
	if s.Limits.ConnectTimeout == 0 {
		s.Limits.ConnectTimeout = longestDeadline
	}
	// If the overload window is missing, the load (see OverloadMultiple) is counted over the whole slow-start window. A
	// backend warms up for no longer than that.
	if s.SlowStart.Window > 0 && s.SlowStart.OverloadWindow == 0 {
		s.SlowStart.OverloadWindow = s.SlowStart.Window
	}
	// In each window, ExposureFree attempts are exempt from the exposure cap. With a window of zero length, the number of
	// exempt attempts would be unlimited.
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
		// Without a latency objective, an answer has its full value until the deadline, because the client waits until
		// then.
		case class.LatencyObjective == 0:
			class.LatencyObjective = class.Deadline
		case class.Deadline == 0:
			class.Deadline = class.LatencyObjective
		}
		longest = max(longest, class.Deadline)
	}
	return longest, nil
}
