package replica

import (
	"silvercove/internal/placement"
	"silvercove/internal/tick"
)

// Defaults of the settings fleet.state and fleet.lease.
const (
	DefaultMaxStateBytes = 1 << 20
	DefaultLease         = tick.Second
)

// Intervals that scale with the lease duration: each constant is the number of intervals in one lease duration, and its
// comment describes the interval, which is the lease duration divided by the constant.
const (
	ticksPerLease            = 20 // longest interval between two calls of OnTick
	resendsPerLease          = 10 // interval after which a message without an answer is sent again
	proposalRetriesPerLease  = 10 // interval after which a refused proposal is made again
	proposalTimeoutsPerLease = 2  // interval after which a proposal without a result is made again
	confirmTimeoutsPerLease  = 3  // interval after which a replica that has not confirmed is dropped
)

// Timeouts in lease durations.
const (
	stalledCopyLeases = 2 // a copy without progress for longer is cancelled
	unusedCopyLeases  = 2 // a copy that the controllers no longer require is kept for this long
)

// Config identifies the node that a Manager runs on and limits its instances.
type Config struct {
	Node          string
	Incarnation   uint64    // number of the node's process; each later process has a greater one
	MaxStateBytes int       // limit of the entries kept of one instance: the setting fleet.state
	Lease         tick.Tick // duration of a lease: the setting fleet.lease
}

// ConfigFrom returns the configuration of a node's process from the settings of the block fleet: fleet.state in bytes
// and fleet.lease in seconds. Absent settings have their defaults.
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

// InitialState is the state that a node's process starts with.
type InitialState struct {
	Logs []Log // the logs on the disk

	// Assignments are the controllers' assignments at Version, from before this incarnation first asked for a lease. A
	// copy that they require on this node was stored by an earlier incarnation, so its log must be in Logs.
	Assignments []placement.Assignment
	Version     uint64
}
