package fleetsim

import (
	"silvercove/internal/tick"
)

// Size is how large a fleet is, and how it is set.
type Size struct {
	Relays, Nodes, Zones, Instances, Controllers int
	Lease, Dwell, RestartAfter                   float64 // seconds
	Replicas, RemoteReplicas                     int
	RequestRate                                  float64   // a second, over the whole fleet: the sample that is played
	ReportInterval                               tick.Tick // between two reports of a relay
	UplinkRate                                   float64   // bytes a second of a zone's uplink
	KeepTimeline                                 bool      // keep the events for a timeline
	MembershipTimeout                            float64   // seconds, of members' tables; 0: they are not played
	AllOnFirstNode                               bool      // all instances are at the first node
	VerifyClaims                                 bool      // relays report to controllers how requests end, and these believe nodes by it
	PowerReadInterval                            tick.Tick // between two readings of a node's power; 0: at each renewal
}

// Small is the fleet that schedules are searched with.
func Small() Size {
	return Size{Relays: 2, Nodes: 6, Zones: 3, Instances: 12, Controllers: 3, Lease: 1, Dwell: 5, RestartAfter: 4,
		Replicas: 1, RequestRate: 20,
		ReportInterval: tick.Second, UplinkRate: 1e6, KeepTimeline: true}
}

// Large is a fleet of so many nodes, with relays, zones and instances in proportion to 1,000.
func Large(nodes int) Size {
	return Size{Relays: max(2, nodes*3/10), Nodes: nodes, Zones: max(2, nodes/50), Instances: nodes * 100,
		Controllers: 5, Lease: 5,
		Dwell: 30, RestartAfter: 30, Replicas: 1, RequestRate: float64(nodes) / 4, ReportInterval: 5 * tick.Second / 2, UplinkRate: 4e6,
		PowerReadInterval: 4 * tick.Second}
}

// disabledDefences are defences taken out, to show that the rules are looked at.
type disabledDefences struct {
	longLease               bool // a node takes its lease for longer than it is
	ignoreNodeStatus        bool // the planner takes all nodes to be well
	ackWithoutReplicas      bool // a primary takes each replica to have all
	ignoreRecordCounts      bool // a node takes its disk as it is
	acceptUnknownOperations bool // controllers take steps that they don't know
	rejoinAll               bool // each member asks all of a zone that is back for full states
	grantWhileExpiring      bool // a lease is granted while its end is being agreed on
	noBaseline              bool // a restarted node doesn't get its assignments before its start
	staleAssignments        bool // a lease is enough to serve, whatever assignments are on their way
	trustDisk               bool // a restarted primary trusts its disk, which may have been put back
}
