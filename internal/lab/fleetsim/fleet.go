// Package fleetsim plays a whole fleet in simulated time: relays, edge units, keepers, their links, disks, clocks and
// batteries around the very decision modules that the processes run (handover.Planner and Owner, leases.Book,
// placement.Table, overload.Fleet, strength.Unit), and checks the fleet's rules as it goes. Nothing is polled that is
// idle: what happens is an event, and the same seed gives the same timeline line for line.
package fleetsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"silvercove/internal/placement"
	"silvercove/internal/replica"
	"silvercove/internal/standin/testcluster"
	"silvercove/internal/tick"
)

const milli = tick.Second / 1000

// Size is how large a fleet is, and how it is set.
type Size struct {
	Relays, Nodes, Zones, Instances, Controllers int
	Lease, Dwell, RestartAfter                   float64 // seconds
	Replicas, RemoteReplicas                     int
	RequestRate                                  float64   // a second, over the whole fleet: the sample that is played
	ReportInterval                               tick.Tick // between two pieces of news of a relay
	UplinkRate                                   float64   // bytes a second of a zone's uplink
	KeepTimeline                                 bool      // keep the events for a timeline
	MembershipTimeout                            float64   // seconds, of members' tables; 0: they are not played
	AllAtFirst                                   bool      // all instances are at the first unit
	VerifyClaims                                 bool      // relays tell keepers how commands end, and these believe units by it
	PowerReadInterval                            tick.Tick // between two readings of a unit's power; 0: at each renewal
}

// Small is the fleet that schedules are searched with.
func Small() Size {
	return Size{Relays: 2, Nodes: 6, Zones: 3, Instances: 12, Controllers: 3, Lease: 1, Dwell: 5, RestartAfter: 4,
		Replicas: 1, RequestRate: 20,
		ReportInterval: tick.Second, UplinkRate: 1e6, KeepTimeline: true}
}

// Large is a fleet of so many units, with relays, zones and instances in proportion to 1,000.
func Large(units int) Size {
	return Size{Relays: max(2, units*3/10), Nodes: units, Zones: max(2, units/50), Instances: units * 100,
		Controllers: 5, Lease: 5,
		Dwell: 30, RestartAfter: 30, Replicas: 1, RequestRate: float64(units) / 4, ReportInterval: 5 * tick.Second / 2, UplinkRate: 4e6,
		PowerReadInterval: 4 * tick.Second}
}

// Fleet is one run.
type Fleet struct {
	Size
	seed     uint64
	rng      *rand.Rand
	now      tick.Tick
	queue    wheel
	count    uint64
	Events   uint64 // that were played
	settings map[string]any

	endpoints      []*endpoint
	endpointByName map[string]*endpoint
	zones          []*zone
	blockedLinks   map[[2]int]int // pairs of nodes, one direction: cuts under way

	nodes        []*edgeNode // processes; a copy that runs beside another one is at the end
	nodeByName   map[string]*edgeNode
	relays       []*relay
	lastPressed  tick.Tick // a relay was
	cluster      *cluster
	members      *memberGroup // nil: members are not played
	devices      []*device
	deviceByName map[string]*device

	checker                        checker
	timeline                       []testcluster.Event
	digest                         *xxhash.Digest
	situations                     map[uint64]struct{} // what was reached, for the search
	lastDecision                   map[string]uint8    // the last decision of each instance
	activeFaults                   map[string]int      // faults under way by kind
	faultsUnderway                 int                 // under way
	lastHealed                     tick.Tick           // the last one ended
	refusedSteps, snapshotsChecked int                 // steps that keepers did not know; snapshots that were read back
	forcedDrains                   int                 // units that were made to hand all on
	ReportedLosses                 []string            // losses that were told
	disabled                       disabledDefences
}

// disabledDefences are defences taken out, to show that the rules are looked at.
type disabledDefences struct {
	longLease          bool // a unit takes its lease for longer than it is
	blindPlanner       bool // the planner takes all units to be well
	ackWithoutReplicas bool // an owner takes each holder to have all
	ignoreRecordCounts bool // a unit takes its disk as it is
	acceptUnknownSteps bool // keepers take steps that they don't know
	rejoinAll          bool // each member asks all of a zone that is back for whole states
	grantWhileExpiring bool // a lease is granted while its end is being agreed on
	noBaseline         bool // a restarted unit isn't told what was counted on before its start
	staleAssignments   bool // a lease is enough to act, whatever news are on their way
	trustDisk          bool // a restarted owner trusts its disk, which may have been put back
}

// zone is where units, relays and cameras are; what goes in or out of it shares one uplink.
type zone struct {
	name       string
	uplinkRate float64 // bytes a second
	busyUntil  tick.Tick
	lossRate   float64
	extraDelay tick.Tick // more delay
	nodes      []*edgeNode
	sunshine   float64
	partitions int // cuts of all that goes in or out
}

// endpoint is a place on the network.
type endpoint struct {
	id       int
	name     string
	zone     *zone // nil: the keepers', with a good link to all
	outCuts  int   // cuts of all that it sends
	inCuts   int
	lossRate float64
}

type event struct {
	at       tick.Tick
	sequence uint64
	run      func()
}

// events is a heap of four children each, by time and then by order of coming.
type events []event

func (e events) less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].sequence < e[b].sequence
}

func (e *events) push(x event) {
	*e = append(*e, x)
	q := *e
	for i := len(q) - 1; i > 0; {
		p := (i - 1) / 4
		if !q.less(i, p) {
			break
		}
		q[i], q[p] = q[p], q[i]
		i = p
	}
}

func (e *events) pop() event {
	q := *e
	top, n := q[0], len(q)-1
	q[0], q[n] = q[n], event{}
	q = q[:n]
	*e = q
	for i := 0; ; {
		best := i
		for c := 4*i + 1; c <= 4*i+4 && c < n; c++ {
			if q.less(c, best) {
				best = c
			}
		}
		if best == i {
			return top
		}
		q[i], q[best] = q[best], q[i]
		i = best
	}
}

func (f *Fleet) after(span tick.Tick, do func()) {
	f.count++
	f.queue.add(event{f.now + max(0, span), f.count, do})
}

// New makes a fleet that has run for long: each instance is placed and copied.
func New(seed uint64, s Size) *Fleet {
	f := &Fleet{Size: s, seed: seed, rng: rand.New(rand.NewPCG(seed, 0xf1ee7)), endpointByName: map[string]*endpoint{},
		blockedLinks: map[[2]int]int{},
		nodeByName:   map[string]*edgeNode{}, deviceByName: map[string]*device{}, digest: xxhash.New(), situations: map[uint64]struct{}{},
		lastDecision: map[string]uint8{}, activeFaults: map[string]int{}, now: 1,
		settings: map[string]any{"fleet.lease": s.Lease, "fleet.drift": 0.02, "fleet.dwell": s.Dwell,
			"fleet.restart_after": s.RestartAfter,
			"fleet.copies":        float64(s.Replicas), "fleet.away": float64(s.RemoteReplicas), "fleet.relays": float64(s.Relays), "fleet.repeats": 0.1, "fleet.floor": 0.05,
			"fleet.probes": 1.0, "fleet.ramp": 10.0, "fleet.places": float64(max(8, 2*s.Instances/s.Nodes)),
			"fleet.moves.all": float64(max(64, s.Nodes/4))}}
	f.checker.start(f)
	for i := range s.Zones {
		f.zones = append(f.zones, &zone{name: fmt.Sprintf("zone-%d", i+1), uplinkRate: s.UplinkRate})
	}
	table := placement.New()
	for i := range s.Nodes {
		f.addNode(fmt.Sprintf("edge-%d", i+1), f.zones[i%s.Zones])
	}
	for i := range s.Relays {
		f.addRelay(fmt.Sprintf("relay-%d", i+1), f.zones[i%s.Zones])
	}
	agree := func(e placement.Operation) {
		e.Version = placement.FormatVersion
		if _, err := table.Apply(e); err != nil {
			panic(fmt.Sprintf("the fleet's beginning: %+v: %v", e, err))
		}
	}
	for i := range s.Instances {
		z := f.zones[i%s.Zones]
		if s.AllAtFirst {
			z = f.zones[0]
		}
		c := &device{fleet: f, name: fmt.Sprintf("cam-%d", i+1), zone: z, weight: float64(1 + f.rng.IntN(100))}
		u := z.nodes[i/s.Zones%len(z.nodes)]
		if s.AllAtFirst {
			u = z.nodes[0]
		}
		f.devices, f.deviceByName[c.name] = append(f.devices, c), c
		agree(placement.Operation{Kind: placement.OpCreate, Instance: c.name, Target: u.name, Zone: z.name, Weight: c.weight})
		agree(placement.Operation{Kind: placement.OpMarkServed, Instance: c.name, Epoch: 1, Node: u.name})
		u.logs[c.name] = &replica.Log{Instance: c.name}
		holders := []*edgeNode{u}
		for n := 0; len(holders) <= s.Replicas && n < len(z.nodes)+s.Nodes; n++ {
			h := f.nodes[n%s.Nodes] // where the zone has too few
			if len(holders) <= s.RemoteReplicas && s.Zones > 1 {
				y := f.zones[(i+1+(i/s.Zones+n)%(s.Zones-1))%s.Zones]
				h = y.nodes[(i/s.Zones/(s.Zones-1)+n)%len(y.nodes)]
			} else if n < len(z.nodes) {
				h = z.nodes[(i/s.Zones+i/s.Zones/len(z.nodes)+n+1)%len(z.nodes)]
			}
			if slices.Contains(holders, h) {
				continue
			}
			holders = append(holders, h)
			agree(placement.Operation{Kind: placement.OpStartCopy, Instance: c.name, Epoch: 1, Target: h.name})
			agree(placement.Operation{Kind: placement.OpReplicaReady, Instance: c.name, Epoch: 1, Node: u.name, Target: h.name})
			h.logs[c.name] = &replica.Log{Instance: c.name}
		}
		p, _ := table.Get(c.name)
		f.checker.onPlaced(placement.Assignment{}, p)
		c.owners = append(c.owners, ownership{at: 0, node: u.name})
		f.checker.idleSince[c.name] = 1
		for _, name := range append([]string{p.Primary}, p.Replicas...) {
			c.addInterested(f.nodeByName[name])
		}
	}
	f.addControllers(table)
	for i, u := range f.nodes {
		f.after(tick.Tick(i)*tick.Tick(s.Lease*float64(tick.Second))/tick.Tick(12*s.Nodes), u.start)
	}
	if s.RequestRate > 0 {
		f.after(tick.Second, f.nextRequest)
	}
	for i, r := range f.relays {
		f.after(s.ReportInterval*tick.Tick(i)/tick.Tick(s.Relays), r.report)
	}
	if s.MembershipTimeout > 0 {
		f.addMembers()
	}
	return f
}

func (f *Fleet) addEndpoint(name string, z *zone) *endpoint {
	n := &endpoint{id: len(f.endpoints), name: name, zone: z}
	f.endpoints = append(f.endpoints, n)
	f.endpointByName[name] = n
	return n
}

// Run plays on for a span, or to the first rule that is broken.
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

// isCut tells whether nothing passes from one node to another.
func (f *Fleet) isCut(from, to *endpoint) bool {
	if from.zone != to.zone && (from.zone != nil && from.zone.partitions > 0 || to.zone != nil &&
		to.zone.partitions > 0) {
		return true
	}
	return from.outCuts > 0 || to.inCuts > 0 || len(f.blockedLinks) > 0 && f.blockedLinks[[2]int{from.id, to.id}] > 0
}

// send brings something of so many bytes from one node to another, if it is not lost, after the links' delay.
func (f *Fleet) send(from, to *endpoint, size int, do func()) {
	if f.isCut(from, to) {
		return
	}
	delay, loss := milli/2+tick.Tick(f.rng.IntN(int(milli))), from.lossRate+to.lossRate
	if from.zone != to.zone {
		delay += 4 * milli
		for _, z := range [2]*zone{from.zone, to.zone} {
			if z == nil {
				continue
			}
			z.busyUntil = max(z.busyUntil, f.now) + tick.Tick(float64(size)/z.uplinkRate*float64(tick.Second))
			wait := z.busyUntil - f.now
			if wait > 2*tick.Second { // a full buffer
				z.busyUntil -= tick.Tick(float64(size) / z.uplinkRate * float64(tick.Second))
				return
			}
			delay += z.extraDelay + wait
			loss += z.lossRate
		}
	}
	if loss > 0 {
		chance := f.rng.Float64()
		if chance < loss {
			return
		}
		if chance > 0.9 { // sent again below: it may be overtaken by much
			delay += tick.Tick(f.rng.IntN(int(2 * f.Lease * float64(tick.Second))))
		}
	}
	f.after(delay, do)
}

// logEvent notes an event for the timeline.
func (f *Fleet) logEvent(e testcluster.Event) {
	e.At = timelineStart.Add(f.now.Duration())
	_, _ = fmt.Fprintf(f.digest, "%d %s %s\n", f.now, e.Node, e.Text())
	if f.KeepTimeline {
		f.timeline = append(f.timeline, e)
	}
}

var timelineStart = time.Unix(0, 0)

// Digest sums the timeline up: the same for the same seed.
func (f *Fleet) Digest() uint64 { return f.digest.Sum64() }

// Broken is the first rule that was broken, "" for none.
func (f *Fleet) Broken() string { return f.checker.broken }

// Timeline draws what happened, one column a node.
func (f *Fleet) Timeline() string {
	columns := []string{"script"}
	for _, k := range f.cluster.controllers {
		columns = append(columns, k.endpoint.name)
	}
	for _, u := range f.nodes {
		if !slices.Contains(columns, u.displayName) {
			columns = append(columns, u.displayName)
		}
	}
	for _, r := range f.relays {
		columns = append(columns, r.endpoint.name)
	}
	return testcluster.Draw(columns, timelineStart, f.timeline)
}

// recordDecision notes a decision for an instance after the one before it, beside the faults under way.
func (f *Fleet) recordDecision(name string, decision uint8, place placement.Assignment) {
	before := f.lastDecision[name]
	f.lastDecision[name] = decision
	kinds := uint64(0)
	if f.KeepTimeline {
		for kind := range f.activeFaults {
			kinds += xxhash.Sum64String(kind) // a sum: in any order
		}
	}
	holders := min(3, len(place.Replicas))
	key := fmt.Sprintf("%d %d %d %v %v %d", before, decision, holders, place.CopyTarget != "", place.State, kinds)
	f.situations[xxhash.Sum64String(key)] = struct{}{}
	f.situations[uint64(before)<<8|uint64(decision)] = struct{}{}
}

// decisions numbers what is agreed, and what units do, for pairs of them.
var decisions = []string{"", string(placement.OpCreate), string(placement.OpStartCopy), "move", string(placement.OpReplicaReady),
	string(placement.OpDropReplica),
	string(placement.OpCutOver), string(placement.OpCancelCopy), string(placement.OpFailOver), "fail-lost", string(placement.OpRestart), string(placement.OpMoveDevice),
	string(placement.OpResetFailures), string(placement.OpMarkServed), string(placement.OpReportIncomplete), string(placement.OpQuarantine), string(placement.OpRelease),
	string(placement.OpDelete), "acts", "stops", "drops", "refused"}

func decision(name string) uint8 { return uint8(slices.Index(decisions, name)) }

// Pairs are the pairs of decisions that were reached, one after the other for one instance.
func (f *Fleet) Pairs() (all []string) {
	for key := range f.situations {
		if key < 1<<16 {
			all = append(all, decisions[key>>8]+">"+decisions[key&255])
		}
	}
	slices.Sort(all)
	return all
}

// device is a device with its instance, and what is known of its commands.
type device struct {
	fleet      *Fleet
	name       string
	zone       *zone
	weight     float64
	poisoned   bool        // fells each unit that acts for it
	interested []*edgeNode // those that ever had to do with it
	owners     []ownership // the last ones, for relays whose news lag behind
	requestHistory
}

// ownership says who owned an instance from a moment on, "" for nobody.
type ownership struct {
	at   tick.Tick
	node string
}

// addInterested has a unit told of the instance from now on.
func (c *device) addInterested(u *edgeNode) {
	if u == nil {
		return
	}
	if i, there := slices.BinarySearchFunc(c.interested, u, func(a, b *edgeNode) int {
		return cmp.Compare(a.id,
			b.id)
	}); !there {
		c.interested = slices.Insert(c.interested, i, u)
	}
}

// firstWords is text of the first words, for timelines.
func firstWords(text string) string {
	if first, _, ok := strings.Cut(text, ":"); ok && len(text) > 24 {
		return first
	}
	return text
}
