package metadatarefresh

import (
	"silvercove/balancer"
	"silvercove/internal/settings"
)

// MirrorSettings returns the settings of the dispatcher of one repository's mirrors. The operator configures the
// parameters. relays is the number of processes that share the mirrors. connectTimeout and maxRetryAfter, the maximum
// Retry-After time, are in seconds. classes holds the request classes; MirrorSettings changes its elements to make all
// of them idempotent.
//
// The other settings are fixed. A new mirror starts at a tenth of its capacity and is warmed up after ten seconds.
// While it warms up, it gets in any second at most twice the requests that its current capacity allows. DrainGrace, the
// tolerance for requests to a mirror that has begun to drain, is one second (see balancer.EndpointRules). A request has
// at most sixteen attempts.
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
