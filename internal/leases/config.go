package leases

import "silvercove/internal/tick"

// Config says how long leases last. It is the same at all processes of a fleet.
type Config struct {
	Seconds    float64 // span of a lease by a node's clock: the setting lease of the operator's block fleet
	ClockDrift float64 // share by which one process's clock may run faster than another's: drift
}

// ConfigFrom returns the configuration by the settings "fleet.lease", in seconds, and "fleet.drift", a share. The lease has
// to be there; without a drift clocks count as exact.
func ConfigFrom(settings map[string]any) Config {
	drift, _ := settings["fleet.drift"].(float64)
	return Config{Seconds: settings["fleet.lease"].(float64), ClockDrift: drift}
}

// Duration is how long a node may act on a lease, by its own clock.
func (c Config) Duration() tick.Tick { return tick.Tick(c.Seconds * float64(tick.Second)) }

// controllerDuration is after how long a lease is over by the controller's clock, however both clocks drift.
func (c Config) controllerDuration() tick.Tick {
	return tick.Tick(c.Seconds*(1+2*c.ClockDrift)*float64(tick.Second)) + 1
}
