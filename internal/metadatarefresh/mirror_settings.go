package metadatarefresh

import (
	"silvercove/balancer"
	"silvercove/internal/settings"
)

// MirrorSettings returns the settings of the dispatcher of one repository's mirrors. The operator configures the
// parameters: the number of processes that share the mirrors, the connect timeout and the maximum Retry-After in
// seconds, and the request classes. MirrorSettings makes all request classes idempotent, by changing the elements of
// classes.
//
// The other settings are fixed. A new mirror starts at a tenth of its capacity and is warmed up after ten seconds. In
// any second of that time, the new mirror gets at most twice the requests that its current capacity allows. Requests to a mirror
// are excused for one second after the mirror began to drain. A request has at most sixteen attempts.
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
