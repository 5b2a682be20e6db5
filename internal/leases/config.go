package leases

import "silvercove/internal/tick"

// Config holds the lease duration and the clock drift. All processes of a fleet must use the same values.
type Config struct {
	Seconds    float64 // lease duration by the node's clock, in seconds; set by the directive lease in the operator's fleet block
	ClockDrift float64 // maximum fraction by which one process's clock may run faster than another's, 0 for exact clocks; set by the directive drift in the fleet block
}

// ConfigFrom reads the configuration from the settings "fleet.lease", in seconds, and "fleet.drift", a fraction. The lease
// setting is required. Without a drift setting, ClockDrift is 0.
func ConfigFrom(settings map[string]any) Config {
	drift, _ := settings["fleet.drift"].(float64)
	return Config{Seconds: settings["fleet.lease"].(float64), ClockDrift: drift}
}

// Duration returns how long a node may act on a lease, by the node's own clock.
func (c Config) Duration() tick.Tick { return tick.Tick(c.Seconds * float64(tick.Second)) }

// controllerDuration returns how long the controller waits, by its own clock, before it counts a lease as expired. Twice the
// drift is added to the lease duration so that the lease has already ended by the node's own clock, whichever of the two clocks
// runs faster.
func (c Config) controllerDuration() tick.Tick {
	return tick.Tick(c.Seconds*(1+2*c.ClockDrift)*float64(tick.Second)) + 1
}
