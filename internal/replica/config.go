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

// Divisors of Config.Lease. The lease duration divided by one of these constants is the interval that the comment of
// the constant describes.
const (
	ticksPerLease            = 20 // Lease/ticksPerLease is the longest interval between two calls of OnTick
	resendsPerLease          = 10 // a message without an answer is sent again after Lease/resendsPerLease
	proposalRetriesPerLease  = 10 // a refused proposal is made again after Lease/proposalRetriesPerLease
	proposalTimeoutsPerLease = 2  // a proposal without a result is made again after Lease/proposalTimeoutsPerLease
	confirmTimeoutsPerLease  = 3  // a primary proposes to drop a replica that has confirmed no further entry for Lease/confirmTimeoutsPerLease
)

// Timeouts as multiples of Config.Lease.
const (
	stalledCopyLeases = 2 // a primary proposes to cancel a copy to a copy target that makes no progress for more than this number of leases
	unusedCopyLeases  = 2 // a copy that is not required and has not been used for this number of leases is deleted
)

// Config identifies the node that a Manager runs on and limits its instances.
type Config struct {
	Node          string
	Incarnation   uint64    // number of the node's process; each later process has a greater one
	MaxStateBytes int       // largest size of one instance's kept entries, in bytes: the setting fleet.state
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

	// Assignments are the controllers' assignments at Version. They date from before this incarnation first asked for a
	// lease. If an assignment requires a copy on this node, an earlier incarnation stored the copy, and Logs must
	// contain its log.
	Assignments []placement.Assignment
	Version     uint64
}
