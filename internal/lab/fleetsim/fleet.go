// Package fleetsim simulates a whole fleet: relays, edge nodes and controllers with their links, disks, clocks and batteries.
// The simulated processes use the same decision modules as the real ones (migration.Planner, replica.Manager, leases.Lessor,
// placement.Table, overload.Manager, devicehealth.Monitor). A checker checks the rules of the fleet during the run. The
// simulation is event-driven and does not poll idle parts. The same seed gives the same timeline, line for line.
package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

// milli is one millisecond of simulated time.
const milli = tick.Second / 1000

// Fleet is one simulated run of a fleet.
type Fleet struct {
	Size
	seed         uint64
	rng          *rand.Rand
	now          tick.Tick
	queue        wheel
	lastSequence uint64
	Events       uint64 // number of events run so far
	settings     map[string]any

	endpoints      []*endpoint
	endpointByName map[string]*endpoint
	zones          []*zone
	blockedLinks   map[[2]int]int // by endpoint ids (from, to): number of cuts under way

	nodes        []*edgeNode // the first Size.Nodes are the nodes; processes that run as duplicates of a node follow
	nodeByName   map[string]*edgeNode
	relays       []*relay
	lastPressure tick.Tick // last time that a relay was under pressure
	cluster      *cluster
	members      *memberGroup // nil: membership is not simulated
	devices      []*device
	deviceByName map[string]*device

	checker                             checker
	timeline                            []testcluster.Event
	digest                              *xxhash.Digest
	coverage                            map[uint64]struct{} // coverage keys that the run reached; see recordDecision
	lastDecision                        map[string]uint8    // by instance: last decision, as an index in decisions
	activeFaults                        map[string]int      // by kind: number of faults under way
	faultsUnderway                      int                 // number of faults under way
	lastFaultEnd                        tick.Tick           // time when the last fault ended
	refusedOperations, snapshotsChecked int                 // refusedOperations: number of operations refused as unknown; snapshotsChecked: number of snapshots compared after a restore
	forcedDrains                        int                 // number of faults that make nodes hand over all their instances
	ReportedLosses                      []string            // names of instances that restarted without a current replica, once per restart
	disabled                            disabledDefences
}

// after schedules do to run after a span of simulated time. A negative span counts as 0.
func (f *Fleet) after(span tick.Tick, do func()) {
	f.lastSequence++
	f.queue.add(event{f.now + max(0, span), f.lastSequence, do})
}

// New creates a fleet in its steady state: each instance has a primary and its replicas.
func New(seed uint64, s Size) *Fleet {
	f := &Fleet{
		Size:           s,
		seed:           seed,
		rng:            rand.New(rand.NewPCG(seed, 0xf1ee7)),
		now:            1,
		settings:       s.settings(),
		endpointByName: map[string]*endpoint{},
		blockedLinks:   map[[2]int]int{},
		nodeByName:     map[string]*edgeNode{},
		deviceByName:   map[string]*device{},
		digest:         xxhash.New(),
		coverage:       map[uint64]struct{}{},
		lastDecision:   map[string]uint8{},
		activeFaults:   map[string]int{},
	}
	f.checker.start(f)
	for i := range s.Zones {
		f.zones = append(f.zones, &zone{name: fmt.Sprintf("zone-%d", i+1), uplinkRate: s.UplinkRate})
	}
	for i := range s.Nodes {
		f.addNode(fmt.Sprintf("edge-%d", i+1), f.zones[i%s.Zones])
	}
	for i := range s.Relays {
		f.addRelay(fmt.Sprintf("relay-%d", i+1), f.zones[i%s.Zones])
	}
	table := placement.New()
	for i := range s.Instances {
		f.addInstance(table, i)
	}
	f.addControllers(table)
	f.scheduleStarts()
	return f
}

// settings returns the settings of the fleet's processes.
func (s Size) settings() map[string]any {
	return map[string]any{
		"fleet.lease":         s.Lease,
		"fleet.drift":         0.02,
		"fleet.dwell":         s.Dwell,
		"fleet.restart_after": s.RestartAfter,
		"fleet.copies":        float64(s.Replicas),
		"fleet.away":          float64(s.RemoteReplicas),
		"fleet.relays":        float64(s.Relays),
		"fleet.repeats":       0.1,
		"fleet.floor":         0.05,
		"fleet.probes":        1.0,
		"fleet.ramp":          10.0,
		"fleet.places":        float64(max(8, 2*s.Instances/s.Nodes)),
		"fleet.moves.all":     float64(max(64, s.Nodes/4)),
	}
}

// addInstance adds the device with the given number and places its instance and replicas as if agreed before the run.
func (f *Fleet) addInstance(table *placement.Table, number int) {
	z := f.zones[number%f.Zones]
	if f.AllOnFirstNode {
		z = f.zones[0]
	}
	c := &device{fleet: f, name: fmt.Sprintf("cam-%d", number+1), zone: z, weight: float64(1 + f.rng.IntN(100))}
	primary := z.nodes[number/f.Zones%len(z.nodes)]
	if f.AllOnFirstNode {
		primary = z.nodes[0]
	}
	f.devices, f.deviceByName[c.name] = append(f.devices, c), c
	mustApply(table, placement.Operation{Kind: placement.OpCreate, Instance: c.name, Target: primary.name, Zone: z.name, Weight: c.weight})
	mustApply(table, placement.Operation{Kind: placement.OpMarkServed, Instance: c.name, Epoch: 1, Node: primary.name})
	primary.logs[c.name] = &replica.Log{Instance: c.name}
	members := []*edgeNode{primary}
	for n := 0; len(members) <= f.Replicas && n < len(z.nodes)+f.Nodes; n++ {
		r := f.replicaCandidate(z, number, n, len(members))
		if slices.Contains(members, r) {
			continue
		}
		members = append(members, r)
		mustApply(table, placement.Operation{Kind: placement.OpStartCopy, Instance: c.name, Epoch: 1, Target: r.name})
		mustApply(table, placement.Operation{Kind: placement.OpReplicaReady, Instance: c.name, Epoch: 1, Node: primary.name, Target: r.name})
		r.logs[c.name] = &replica.Log{Instance: c.name}
	}
	p, _ := table.Get(c.name)
	f.checker.onPlaced(placement.Assignment{}, p)
	c.primaries = append(c.primaries, ownership{at: 0, node: primary.name})
	f.checker.idleSince[c.name] = 1
	for _, name := range append([]string{p.Primary}, p.Replicas...) {
		c.addInterested(f.nodeByName[name])
	}
}

// mustApply applies an operation that belongs to the initial state of the fleet.
func mustApply(table *placement.Table, op placement.Operation) {
	op.Version = placement.FormatVersion
	if _, err := table.Apply(op); err != nil {
		panic(fmt.Sprintf("initial state of the fleet: %+v: %v", op, err))
	}
}

// replicaCandidate returns the n-th candidate node for the next replica of the instance with the given number. copies is the
// number of nodes that already hold the instance, including its primary. Until the instance has Size.RemoteReplicas replicas,
// the candidates are nodes of other zones. After that, the nodes of zone z come first, then all nodes.
func (f *Fleet) replicaCandidate(z *zone, instance, n, copies int) *edgeNode {
	round := instance / f.Zones
	if copies <= f.RemoteReplicas && f.Zones > 1 {
		remoteZone := f.zones[(instance+1+(round+n)%(f.Zones-1))%f.Zones]
		return remoteZone.nodes[(round/(f.Zones-1)+n)%len(remoteZone.nodes)]
	}
	if n < len(z.nodes) {
		return z.nodes[(round+round/len(z.nodes)+n+1)%len(z.nodes)]
	}
	return f.nodes[n%f.Nodes]
}

// scheduleStarts spreads the starts of the nodes evenly over a twelfth of the lease duration. It also schedules the
// requests and the load reports, and adds the members if membership is simulated.
func (f *Fleet) scheduleStarts() {
	for i, u := range f.nodes {
		f.after(tick.Tick(i)*tick.Tick(f.Lease*float64(tick.Second))/tick.Tick(12*f.Nodes), u.start)
	}
	if f.RequestRate > 0 {
		f.after(tick.Second, f.nextRequest)
	}
	for i, r := range f.relays {
		f.after(f.ReportInterval*tick.Tick(i)/tick.Tick(f.Relays), r.report)
	}
	if f.MembershipTimeout > 0 {
		f.addMembers()
	}
}

// Run continues the simulation for a span, or until a rule is broken.
func (f *Fleet) Run(span tick.Tick) {
	end := f.now + span
	for f.checker.broken == "" {
		e, found := f.queue.next(end)
		if !found {
			break
		}
		f.now = e.at
		f.Events++
		e.run()
	}
	if f.checker.broken == "" {
		f.now = end
	}
}

// Broken describes the first broken rule; "" if none is broken.
func (f *Fleet) Broken() string { return f.checker.broken }
