package metadatarefresh

import (
	"silvercove/balancer"
	"silvercove/internal/settings"
)

// MirrorSettings returns the settings of the dispatcher of one repository's mirrors. The operator configures the parameters: the
// number of processes that share the mirrors, the connect timeout and the maximum Retry-After in seconds, and the request
// classes. The other settings are fixed: a new mirror starts at a tenth of its capacity and is warmed up after ten seconds; in
// any second a new mirror gets at most twice the requests that a warm mirror answers; a draining mirror has a grace period of one second;
// a request has at most sixteen attempts.
func MirrorSettings(relays, connectTimeout, maxRetryAfter float64, classes []balancer.RequestClass) settings.Site {
	for i := range classes {
		classes[i].Idempotency = balancer.Idempotent
	}
	return settings.Site{Balancer: balancer.Settings{
		Relays:  relays,
		Classes: classes,
		Limits: balancer.Limits{ConnectTimeout: balancer.Seconds(connectTimeout), IdleTimeout: 10, MaxAttempts: 16, MayCancel: true,
			RetryAfter: true, MaxRetryAfter: balancer.Seconds(maxRetryAfter)},
		SlowStart: balancer.SlowStart{Window: 10, InitialFraction: 0.1, OverloadWindow: 1, OverloadMultiple: 2},
		Endpoints: balancer.EndpointRules{DrainGrace: 1, PollInterval: 20},
	}}
}
