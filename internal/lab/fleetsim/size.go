package fleetsim

import (
	"silvercove/internal/tick"
)

// Size is the size of a simulated fleet and its settings.
type Size struct {
	Relays, Nodes, Zones, Instances, Controllers int
	Lease, Dwell, RestartAfter                   float64 // settings fleet.lease, fleet.dwell and fleet.restart_after, in seconds
	Replicas, RemoteReplicas                     int
	RequestRate                                  float64   // simulated requests per second in the whole fleet; they are only a sample of the fleet's load; 0: none
	ReportInterval                               tick.Tick // time between two load reports of a relay
	UplinkRate                                   float64   // bytes per second of a zone's uplink
	KeepTimeline                                 bool      // whether the fleet keeps its events for Timeline
	MembershipTimeout                            float64   // silence timeout of members in seconds; 0: membership is not simulated
	AllOnFirstNode                               bool      // whether the first node is the primary of all instances at the start
	VerifyClaims                                 bool      // whether controllers verify the health reports of nodes against the request outcomes that relays report
	PowerReadInterval                            tick.Tick // minimum time between two readings of a node's power; 0: at each renewal of the lease
}

// Small returns the size of a small fleet. Schedules and many tests change some of its values.
func Small() Size {
	return Size{Relays: 2, Nodes: 6, Zones: 3, Instances: 12, Controllers: 3, Lease: 1, Dwell: 5, RestartAfter: 4,
		Replicas: 1, RequestRate: 20,
		ReportInterval: tick.Second, UplinkRate: 1e6, KeepTimeline: true}
}

// Large returns the size of a fleet with the given number of nodes. The numbers of relays, zones and instances are in
// proportion: a fleet of 1,000 nodes has 300 relays, 20 zones and 100,000 instances.
func Large(nodes int) Size {
	return Size{Relays: max(2, nodes*3/10), Nodes: nodes, Zones: max(2, nodes/50), Instances: nodes * 100,
		Controllers: 5, Lease: 5,
		Dwell: 30, RestartAfter: 30, Replicas: 1, RequestRate: float64(nodes) / 4, ReportInterval: 5 * tick.Second / 2, UplinkRate: 4e6,
		PowerReadInterval: 4 * tick.Second}
}

// disabledDefences names the defences that are disabled in a run. Tests disable single defences to show that a rule is then
// broken and that the checker detects this.
type disabledDefences struct {
	longLease               bool // a node assumes that its lease is longer than granted
	ignoreNodeStatus        bool // the planner assumes that all nodes are healthy
	ackWithoutReplicas      bool // a primary takes entries as acknowledged by a replica as soon as it sends them
	ignoreRecordCounts      bool // a node does not check whether its disk was restored from a backup
	acceptUnknownOperations bool // controllers accept operations that they do not know
	rejoinAll               bool // a member exchanges full states with up to 4 dead members instead of the number that membership.SyncCount returns
	grantWhileExpiring      bool // a controller grants a lease while an operation that requires its expiry is being agreed on
	noBaseline              bool // a restarted node starts without the assignments that the method baseline otherwise returns
	staleAssignments        bool // a node serves as soon as it has a lease, even if newer assignments have not arrived yet
	trustDisk               bool // a restarted primary trusts its disk, which may have been restored from a backup
}
