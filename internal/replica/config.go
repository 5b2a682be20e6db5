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

// Spans as parts of a lease, so that all of them scale with it.
const (
	ticksPerLease            = 20 // OnTick comes so often at least
	resendsPerLease          = 10 // a message without an answer is sent again so often
	proposalRetriesPerLease  = 10 // a refused proposal is made again after one such part
	proposalTimeoutsPerLease = 2  // one without a result is made again after one such part
	confirmTimeoutsPerLease  = 3  // a replica that does not confirm for one such part is dropped
)

// Spans in leases.
const (
	stalledCopyLeases = 2 // a copy that does not get on for so long is given up
	unusedCopyLeases  = 2 // a copy that the controllers no longer count on is kept so long
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

// InitialState is what a node begins with.
type InitialState struct {
	Logs []Log // that its disk kept

	// Assignments are the controllers' as they stood at Version, before the first lease was asked for in this
	// incarnation: what they count on the node for was given to an earlier one, and has to be among Logs.
	Assignments []placement.Assignment
	Version     uint64
}
