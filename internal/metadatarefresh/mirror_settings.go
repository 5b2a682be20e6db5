package metadatarefresh

import (
	"silvercove/balancer"
	"silvercove/internal/settings"
)

// Rules are the settings of the gate of one repository's mirrors, from what an operator chooses: how many relays
// share the mirrors, how long a connection may take, the longest come-back time, and for each op type its
// name, service target, command timeout (seconds) and importance. What is not an operator's to choose:
// a mirror that is new starts at a tenth of its capacity and is warm after ten seconds; in no second
// more reaches it than twice what the warm ones answer; a drained one has one second's grace; a command
// may be tried at every mirror, up to sixteen.
func Rules(relays, connect, comeBack float64, classes []balancer.RequestClass) settings.Site {
	for i := range classes {
		classes[i].Idempotency = balancer.Idempotent
	}
	return settings.Site{Balancer: balancer.Settings{
		Relays:  relays,
		Classes: classes,
		Limits: balancer.Limits{ConnectTimeout: balancer.Seconds(connect), IdleTimeout: 10, MaxAttempts: 16, MayCancel: true,
			RetryAfter: true, MaxRetryAfter: balancer.Seconds(comeBack)},
		SlowStart: balancer.SlowStart{Window: 10, InitialFraction: 0.1, OverloadWindow: 1, OverloadMultiple: 2},
		Endpoints: balancer.EndpointRules{DrainGrace: 1, PollInterval: 20},
	}}
}
