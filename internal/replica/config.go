package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Defaults of the settings.
const (
	DefaultMaxStateBytes = 1 << 20
	DefaultLease         = tick.Second
)

// Config says which node a Manager is for, and how its instances are bounded.
type Config struct {
	Node          string
	Incarnation   uint64    // numbers the node's processes, and grows
	MaxStateBytes int       // of the entries that are kept of one instance: the setting fleet.state
	Lease         tick.Tick // how long a lease runs: the setting fleet.lease
}

// ConfigFrom is the configuration of a node's process by the settings of the block fleet: fleet.state in bytes and
// fleet.lease in seconds, or the defaults where they are absent.
func ConfigFrom(node string, incarnation uint64, settings map[string]any) Config {
	config := Config{Node: node, Incarnation: incarnation, MaxStateBytes: DefaultMaxStateBytes, Lease: DefaultLease}
	if bytes, ok := settings["fleet.state"].(float64); ok {
		config.MaxStateBytes = int(bytes)
	}
	if seconds, ok := settings["fleet.lease"].(float64); ok {
		config.Lease = tick.Tick(seconds * float64(tick.Second))
	}
	return config
}

// Start is what a node begins with.
type Start struct {
	Logs []Log // that its disk kept

	// Assignments are the controllers' as they stood at Version, before the first lease was asked for in this
	// incarnation: what they count on the node for was given to an earlier one, and has to be among Logs.
	Assignments []placement.Assignment
	Version     uint64
}
